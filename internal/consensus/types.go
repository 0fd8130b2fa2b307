// Package consensus implements Raft for the control hosts: a replicated log
// with pre-vote, check-quorum, a leader lease and snapshots. The membership
// changes by one member at a time, and a new member is a learner before it
// becomes a voter.
//
// Node is a deterministic state machine. It does no I/O, reads no clock and
// starts no goroutine: the caller passes in ticks, messages and proposals, and
// processes the work that Ready returns. Two nodes with the same Config and the
// same inputs behave the same.
package consensus

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// NodeID identifies one member. A host that lost its disk restarts with a new
// incarnation, so it counts as a different member.
type NodeID struct {
	Host        table.HostID
	Incarnation uint64
}

// IsZero reports whether id is the zero value, which identifies no member.
func (id NodeID) IsZero() bool { return id == NodeID{} }

// String returns the host and the incarnation, separated by a slash.
func (id NodeID) String() string { return fmt.Sprintf("%s/%016x", id.Host, id.Incarnation) }

func compareNodes(a, b NodeID) int {
	if c := cmp.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// Members is the membership at one index of the log. Learners receive the log
// but do not count towards a quorum. Both lists are sorted.
type Members struct {
	Voters   []NodeID
	Learners []NodeID
}

// NewMembers returns a membership of the given voters and no learners.
func NewMembers(voters ...NodeID) Members {
	m := Members{Voters: slices.Clone(voters)}
	slices.SortFunc(m.Voters, compareNodes)
	return m
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id NodeID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id is a learner.
func (m Members) IsLearner(id NodeID) bool { return slices.Contains(m.Learners, id) }

// Contains reports whether id is a voter or a learner.
func (m Members) Contains(id NodeID) bool { return m.IsVoter(id) || m.IsLearner(id) }

// Quorum returns the number of voters that form a majority.
func (m Members) Quorum() int { return len(m.Voters)/2 + 1 }

// OnHost returns the member that runs on host, and false if there is none.
func (m Members) OnHost(host table.HostID) (NodeID, bool) {
	for _, id := range m.All() {
		if id.Host == host {
			return id, true
		}
	}
	return NodeID{}, false
}

// All returns the voters followed by the learners.
func (m Members) All() []NodeID { return slices.Concat(m.Voters, m.Learners) }

// with returns the membership after change.
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

// ConfChangeType is the type of a membership change.
type ConfChangeType uint8

// The types of membership changes.
const (
	AddLearner ConfChangeType = iota
	PromoteLearner
	RemoveMember
)

// String returns the name of the change as log lines and errors show it.
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

// ConfChange adds, promotes or removes one member.
type ConfChange struct {
	Type ConfChangeType
	Node NodeID
}

// EntryType is the type of the data of an entry.
type EntryType uint8

// The entry types.
const (
	// EntryCommand carries data that the caller proposed.
	EntryCommand EntryType = iota
	// EntryEmpty is the first entry of each leader's term. Its data is the encoded
	// NodeID of the leader; entries of earlier versions have none.
	EntryEmpty
	// EntryMembers carries the membership that applies from this entry on.
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

// HardState is the state that a node keeps across restarts in addition to its
// log. Term and Vote must be durable; Commit may be lost.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Snapshot replaces all entries up to and including Index. Data is the state
// of the replicated state machine after that entry.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members Members
	Data    []byte
}

// IsZero reports whether s replaces no entry.
func (s Snapshot) IsZero() bool { return s.Index == 0 }

// Role is the role of a node in its term.
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

// MessageType is the type of a message between nodes.
type MessageType uint8

// The message types.
const (
	MsgPreVote MessageType = iota
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	// MsgAppend carries entries. Without entries it is a heartbeat.
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	// MsgHandover asks a voter to campaign immediately because its leader
	// gives up the leadership.
	MsgHandover
	messageTypeCount
)

// Message is a message from one node to another.
type Message struct {
	Type MessageType
	From NodeID
	To   NodeID
	Term uint64
	// Index and LogTerm identify an entry: in a vote request the last entry of
	// the candidate, in MsgAppend the entry before Entries, in MsgAppendReply
	// the last entry that the follower confirms or rejects.
	Index   uint64
	LogTerm uint64
	// Commit is the commit index of the leader.
	Commit uint64
	// Hint is the highest index at which the log of a rejecting follower may
	// match the leader's log.
	Hint uint64
	// Stamp is the leader's tick when it sent the message. The reply carries
	// the same value.
	Stamp  uint64
	Reject bool
	// Handover marks the vote requests of a candidate that received
	// MsgHandover. The previous leader has given up its lease, so voters need
	// not wait until that lease expires.
	Handover bool
	Entries  []Entry
	Snapshot *Snapshot
}

// Ready is the work that the caller must do, in this order: send EarlyMessages,
// make Snapshot, Entries and HardState durable (synced if MustSync), send
// Messages, restore the state machine from Snapshot, apply Committed, and call
// Advance. Between Ready and Advance the caller must not call any other method
// that changes the node.
type Ready struct {
	// EarlyMessages may be sent before Entries and HardState are durable. They
	// let a leader replicate entries while it syncs them to its own disk. The
	// leader counts its own copy towards the quorum only after Advance.
	EarlyMessages []Message
	HardState     *HardState
	Entries       []Entry
	Snapshot      *Snapshot
	Messages      []Message
	Committed     []Entry
	MustSync      bool
}
