// Package consensus is the agreement of the control hosts: a replicated log
// with pre-vote, check-quorum, a leadership lease, snapshots, and membership
// that changes by one member at a time with a learner stage first.
//
// Node is a pure state machine. It does no I/O, reads no clock and starts no
// goroutine: the caller feeds it ticks, messages and proposals, and carries
// out what Ready asks for. Two nodes with the same Config and the same inputs
// behave the same.
package consensus

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// NodeID names one member. A host whose disk was lost comes back with another
// incarnation, so it is another member than before.
type NodeID struct {
	Host        table.HostID
	Incarnation uint64
}

// IsZero reports whether id names no member.
func (id NodeID) IsZero() bool { return id == NodeID{} }

// String returns host and incarnation.
func (id NodeID) String() string { return fmt.Sprintf("%s/%016x", id.Host, id.Incarnation) }

func compareNodes(a, b NodeID) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// Members is the membership at one point of the log. Learners receive the log
// but are not counted. Both lists are sorted.
type Members struct {
	Voters   []NodeID
	Learners []NodeID
}

// NewMembers returns a membership of the given voters.
func NewMembers(voters ...NodeID) Members {
	m := Members{Voters: slices.Clone(voters)}
	slices.SortFunc(m.Voters, compareNodes)
	return m
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id NodeID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Members) IsLearner(id NodeID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a member.
func (m Members) Contains(id NodeID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns how many voters are a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// Host returns the member that lives on host.
func (m Members) Host(host table.HostID) (NodeID, bool) {
	for _, id := range m.All() {
		if id.Host == host {
			return id, true
		}
	}
	return NodeID{}, false
}

// All returns the voters followed by the learners.
func (m Members) All() []NodeID { return slices.Concat(m.Voters, m.Learners) }

func (m Members) with(change ConfChange) Members {
	isNode := func(id NodeID) bool { return id == change.Node }
	next := Members{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), isNode),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), isNode),
	}
	switch change.Type {
	case AddLearner:
		next.Learners = append(next.Learners, change.Node)
	case PromoteLearner:
		next.Voters = append(next.Voters, change.Node)
	case RemoveMember:
	}
	slices.SortFunc(next.Voters, compareNodes)
	slices.SortFunc(next.Learners, compareNodes)
	return next
}

// ConfChangeType is the kind of a change of membership.
type ConfChangeType uint8

// The changes of membership.
const (
	AddLearner ConfChangeType = iota
	PromoteLearner
	RemoveMember
)

// String returns the name of the change.
func (t ConfChangeType) String() string {
	switch t {
	case AddLearner:
		return "add learner"
	case PromoteLearner:
		return "promote learner"
	default:
		return "remove member"
	}
}

// ConfChange changes one member.
type ConfChange struct {
	Type ConfChangeType
	Node NodeID
}

// EntryType says what the data of an entry is.
type EntryType uint8

// The types of entries.
const (
	// EntryCommand carries data of the caller.
	EntryCommand EntryType = iota
	// EntryEmpty opens the term of a leader.
	EntryEmpty
	// EntryMembers carries the membership from this entry on.
	EntryMembers
	entryTypeCount
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is what a node must not forget besides its log. Commit may be
// lost; Term and Vote may not.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Snapshot stands for all entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// IsZero reports whether s stands for nothing.
func (s Snapshot) IsZero() bool { return s.Index == 0 }

// Role is the part that a node plays in its term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// MessageType is the kind of a message between nodes.
type MessageType uint8

// The messages.
const (
	MsgPreVote MessageType = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	// MsgAppend carries entries, or none as a heartbeat.
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	// MsgHandover asks a voter to campaign at once, for its leader stops.
	MsgHandover
	messageTypeCount
)

// Message is what nodes send each other.
type Message struct {
	Type MessageType
	From NodeID
	To   NodeID
	Term uint64
	// Index and LogTerm name an entry: the last one of a candidate, the one
	// before Entries, or the last one that a reply confirms or refuses.
	Index   uint64
	LogTerm uint64
	// Commit is the commit index of the leader.
	Commit uint64
	// Hint is the highest index at which a refusing follower may agree.
	Hint uint64
	// Stamp is the leader's tick at sending; the reply returns it.
	Stamp  uint64
	Reject bool
	// Handover marks the votes that a leader asked for when it stopped: its
	// lease is over, so nobody needs to wait for it.
	Handover bool
	Entries  []Entry
	Snapshot *Snapshot
}

// Ready is what the caller must do, in this order: send Early, make Snapshot,
// Entries and HardState durable (synced if MustSync), send Messages, load
// Snapshot into the state machine, apply Committed, call Advance. Between Ready
// and Advance no other method that changes the node may be called.
type Ready struct {
	// Early claims nothing that is not durable yet: a leader sends its entries
	// while it syncs them itself, and counts itself only after Advance.
	Early     []Message
	HardState *HardState
	Entries   []Entry
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	MustSync  bool
}
