package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Errors that Node returns.
var (
	// ErrNotLeader means that the node is not the leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrPendingChange means that an earlier membership change, or the first
	// entry of the term, is not committed yet.
	ErrPendingChange = errors.New("an earlier change of membership is pending")
	// ErrNotCaughtUp means that a learner does not hold all committed entries,
	// or has not confirmed a message within an election timeout.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrBadChange means that the membership change is not valid for the
	// current membership, for example the removal of a host that is no member.
	ErrBadChange = errors.New("the change does not fit the membership")
	// ErrCommittedConflict means that a message contradicts a committed entry.
	ErrCommittedConflict = errors.New("a message contradicts a committed entry")
	// ErrTooManyUncommitted means that the uncommitted entries leave no room for
	// the proposal.
	ErrTooManyUncommitted = errors.New("too many proposals wait for a majority")
	// ErrTooLarge means that a proposal exceeds MaxProposalBytes.
	ErrTooLarge = errors.New("the proposal is too large")
)

// MaxProposalBytes is the largest size of the data of one entry.
const MaxProposalBytes = 8 << 20

// Config configures a Node.
type Config struct {
	ID NodeID
	// ElectionTicks is the minimum election timeout. Each timeout is drawn at
	// random from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats.
	HeartbeatTicks int
	// LeaseTicks is the duration of the leader lease, counted from the sending
	// of a heartbeat that a quorum confirmed. It must be shorter than
	// ElectionTicks by at least the clock drift between two hosts.
	LeaseTicks int
	// MaxAppendBytes limits the entry data in one MsgAppend. A single larger
	// entry is still sent.
	MaxAppendBytes int
	// MaxInflight limits the number of entries that were sent to a follower
	// but are not confirmed.
	MaxInflight uint64
	// KeepEntries is the number of entries before a snapshot that stay in
	// memory, so that a slightly lagging follower needs no snapshot.
	KeepEntries uint64
	// MaxInflightBytes and KeepBytes are limits of the data of the entries that
	// MaxInflight and KeepEntries count. MaxUncommittedBytes limits the data of the
	// entries that a leader has appended and not committed. Each may be exceeded by
	// one message or entry. Zero means no limit.
	MaxInflightBytes    uint64
	KeepBytes           uint64
	MaxUncommittedBytes uint64
	// Seed seeds the random source of the election timeouts.
	Seed uint64
	// Snapshot, Entries and HardState are the state read from storage.
	Snapshot  Snapshot
	Entries   []Entry
	HardState HardState
}

func (c *Config) validate() error {
	switch {
	case c.ID.Host == "" || len(c.ID.Host) > maxHostBytes:
		return fmt.Errorf("consensus: host id %q is empty or too long", c.ID.Host)
	case c.HeartbeatTicks <= 0:
		return errors.New("consensus: HeartbeatTicks must be positive")
	case c.LeaseTicks <= c.HeartbeatTicks:
		return errors.New("consensus: LeaseTicks must exceed HeartbeatTicks")
	case c.ElectionTicks <= c.LeaseTicks:
		return errors.New("consensus: ElectionTicks must exceed LeaseTicks")
	case c.MaxAppendBytes <= 0 || c.MaxInflight == 0:
		return errors.New("consensus: MaxAppendBytes and MaxInflight must be positive")
	}
	return nil
}

// Node is the Raft state machine of one member. It is not safe for concurrent
// use.
type Node struct {
	cfg    Config
	rng    *rand.Rand
	log    *entryLog
	role   Role
	term   uint64
	vote   NodeID
	leader NodeID
	tick   uint64
	// leaderContactTick is the tick of the last message from a leader. It
	// starts at 0, as if a leader had sent a message at the start, because the
	// node may have confirmed a lease before a restart.
	leaderContactTick uint64
	electionDeadline  uint64 // tick of the next election
	votes             map[NodeID]bool
	// caughtUp is set once the node has committed, since its start, an entry of
	// the current term and every entry that it may have applied before.
	caughtUp bool

	electedTick    uint64 // tick of the election
	termStartIndex uint64 // index of the first entry of the leader's term
	heartbeatTick  uint64 // tick of the last heartbeat
	progress       map[NodeID]*progress

	messages        []Message
	pendingSnapshot *Snapshot
	savedHardState  HardState
}

// New returns a follower with the state in cfg.
func New(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(cfg.Snapshot, cfg.Entries, cfg.HardState.Commit)
	if err != nil {
		return nil, fmt.Errorf("consensus: restored log: %w", err)
	}
	n := &Node{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.Seed, cfg.ID.Incarnation)),
		log:            log,
		term:           max(cfg.HardState.Term, log.lastTerm()),
		vote:           cfg.HardState.Vote,
		savedHardState: cfg.HardState,
	}
	if n.term != cfg.HardState.Term {
		n.vote = NodeID{}
	}
	n.resetElectionDeadline()
	if n.isReturningLeader() {
		n.electionDeadline = n.tick + 1
	}
	return n, nil
}

// isReturningLeader reports whether the node was the last leader and has just been
// restarted. Nobody else can have been elected yet, so it campaigns at once.
func (n *Node) isReturningLeader() bool {
	return n.tick < uint64(n.cfg.ElectionTicks) && n.wasLeader(n.cfg.ID)
}

// ID returns the identity of the node.
func (n *Node) ID() NodeID { return n.cfg.ID }

// Role returns the role of the node.
func (n *Node) Role() Role { return n.role }

// Term returns the term of the node.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader of the term, or the zero NodeID if it is not known.
func (n *Node) Leader() NodeID { return n.leader }

// Members returns the latest membership in the log. It applies from its entry
// on, even before that entry is committed.
func (n *Node) Members() Members { return n.log.members() }

// MembersCommitted reports whether the latest membership in the log is committed, so
// that no later leader has an earlier one.
func (n *Node) MembersCommitted() bool { return n.log.membersIndex() <= n.log.commit }

// CommitIndex returns the commit index.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// AppliedIndex returns the index of the last entry that Ready returned in
// Committed and Advance confirmed.
func (n *Node) AppliedIndex() uint64 { return n.log.applied }

// LastIndex returns the index of the last entry in the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// UnsavedBytes returns the size of the data that Advance has not confirmed yet.
func (n *Node) UnsavedBytes() uint64 { return n.log.bytesBetween(n.log.stable, n.log.lastIndex()) }

// Now returns the number of ticks since the start of the node.
func (n *Node) Now() uint64 { return n.tick }

// TicksSinceLeaderContact returns the number of ticks since the last message
// from a leader, and 0 on the leader itself.
func (n *Node) TicksSinceLeaderContact() uint64 {
	if n.role == RoleLeader {
		return 0
	}
	return n.tick - n.leaderContactTick
}

// CaughtUp reports whether the node has committed, since its start, an entry of
// the current term and every entry that it may have applied before its start.
func (n *Node) CaughtUp() bool { return n.caughtUp }

// Tick advances the local clock by one tick. It may start an election or send
// heartbeats.
func (n *Node) Tick() {
	n.tick++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.tick >= n.electionDeadline {
		n.scheduleElectionRetry()
		n.campaign(RolePreCandidate, false)
	}
}

// tickLeader sends heartbeats, and steps down if no quorum has confirmed one
// for an election timeout (check-quorum).
func (n *Node) tickLeader() {
	quorumContact := max(n.quorumAckTick(), n.electedTick)
	if n.tick-quorumContact >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, NodeID{})
		return
	}
	if n.tick-n.heartbeatTick >= uint64(n.cfg.HeartbeatTicks) {
		n.broadcastHeartbeat()
	}
}

// Lease returns the tick at which the lease of this leader expires. It returns
// false if the node is not the leader, has not committed an entry in its term
// yet, or holds no valid lease.
func (n *Node) Lease() (until uint64, ok bool) {
	if n.role != RoleLeader || n.log.commit < n.termStartIndex {
		return 0, false
	}
	ack := n.quorumAckTick()
	if ack < n.electedTick {
		return 0, false
	}
	until = ack + uint64(n.cfg.LeaseTicks)
	return until, n.tick < until
}

func (n *Node) resetElectionDeadline() {
	election := uint64(n.cfg.ElectionTicks)
	n.electionDeadline = n.tick + election + n.rng.Uint64N(election)
}

// scheduleElectionRetry sets the deadline for the next election in case this
// one elects no leader, for example because of a split vote. The minimum wait is
// one heartbeat interval instead of an election timeout, because there is no
// leader whose heartbeats could still arrive.
func (n *Node) scheduleElectionRetry() {
	n.electionDeadline = n.tick + uint64(n.cfg.HeartbeatTicks)
	if !n.isReturningLeader() {
		n.electionDeadline += n.rng.Uint64N(uint64(n.cfg.ElectionTicks))
	}
}

func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if term != n.term {
		n.term = term
		n.vote = NodeID{}
	}
	n.role = RoleFollower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.resetElectionDeadline()
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Step processes a message from another node. It ignores messages that are
// addressed to another identity, for example to another incarnation of this
// host, replies from nodes that are not members, and replies of a lower term. It
// rejects requests of a lower term. An error means that m contradicts the
// protocol.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID || m.From == n.cfg.ID {
		return nil
	}
	if n.isReplyFromNonMember(m) {
		return nil
	}
	switch {
	case m.Term > n.term:
		if !n.stepHigherTerm(m) {
			return nil
		}
	case m.Term < n.term:
		n.stepLowerTerm(m)
		return nil
	}
	switch m.Type {
	case MsgPreVote, MsgVote:
		n.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		return n.handleAppend(m)
	case MsgSnapshot:
		return n.handleSnapshot(m)
	case MsgAppendReply:
		return n.handleAppendReply(m)
	case MsgHandover:
		n.handleHandover(m)
	}
	return nil
}

// isReplyFromNonMember reports whether m is a reply from a node that is not a
// member, for example from the old incarnation of a host.
func (n *Node) isReplyFromNonMember(m Message) bool {
	switch m.Type {
	case MsgPreVoteReply, MsgVoteReply, MsgAppendReply:
		return !n.Members().Contains(m.From)
	default:
		return false
	}
}

// stepHigherTerm processes a message of a higher term: it adopts that term,
// except for pre-vote requests and granted pre-votes, and reports whether Step
// should handle m. While a leader may hold a lease, it ignores vote and pre-vote
// requests, unless they are marked with Handover or come from that leader.
func (n *Node) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		if n.inLeaderLease() && !m.Handover && !n.wasLeader(m.From) {
			return false
		}
		if m.Type == MsgPreVote {
			return true
		}
		n.becomeFollower(m.Term, NodeID{})
	case MsgPreVoteReply:
		if !m.Reject {
			return true
		}
		n.becomeFollower(m.Term, NodeID{})
	case MsgAppend, MsgSnapshot:
		n.becomeFollower(m.Term, m.From)
	default:
		n.becomeFollower(m.Term, NodeID{})
	}
	return true
}

// stepLowerTerm rejects a request of a lower term, so that the sender learns
// the current term.
func (n *Node) stepLowerTerm(m Message) {
	switch m.Type {
	case MsgPreVote:
		n.send(Message{Type: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Type: MsgVoteReply, To: m.From, Reject: true})
	case MsgAppend, MsgSnapshot:
		n.send(Message{Type: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: n.log.commit})
	}
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	return n.hardState() != n.savedHardState || n.pendingSnapshot != nil || len(n.messages) > 0 ||
		n.log.stable < n.log.lastIndex() || n.log.applied < n.log.commit
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Ready returns the work that is pending. The caller must call Advance after
// the work is done.
func (n *Node) Ready() Ready {
	rd := Ready{
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.entriesBetween(n.log.stable, n.log.lastIndex()),
		Committed: n.log.entriesBetween(n.log.applied, n.log.commit),
	}
	rd.EarlyMessages, rd.Messages = n.splitMessages()
	if hs := n.hardState(); hs != n.savedHardState {
		rd.HardState = &hs
		rd.MustSync = hs.Term != n.savedHardState.Term || hs.Vote != n.savedHardState.Vote
	}
	rd.MustSync = rd.MustSync || len(rd.Entries) > 0 || rd.Snapshot != nil
	return rd
}

// splitMessages separates the messages that may be sent before Entries and
// HardState are durable from the others. Only the appends and snapshots of a
// leader whose term is already durable may be sent early.
func (n *Node) splitMessages() (early, others []Message) {
	leadsDurableTerm := n.role == RoleLeader && n.savedHardState.Term == n.term
	for _, m := range n.messages {
		if leadsDurableTerm && m.Term == n.term && (m.Type == MsgAppend || m.Type == MsgSnapshot) {
			early = append(early, m)
			continue
		}
		others = append(others, m)
	}
	return early, others
}

// Advance confirms that the work of the last Ready is done.
func (n *Node) Advance() {
	n.pendingSnapshot = nil
	n.messages = nil
	n.savedHardState = n.hardState()
	n.log.applied = n.log.commit
	n.log.stable = n.log.lastIndex()
	if n.role == RoleLeader {
		n.advanceCommit()
		n.updateCaughtUp()
	}
}

// updateCaughtUp sets caughtUp once its conditions hold.
func (n *Node) updateCaughtUp() {
	term, _ := n.log.term(n.log.commit)
	if n.log.commit >= n.log.restoredIndex && term == n.term {
		n.caughtUp = true
	}
}

// Initialize starts the log of a node that has none with the snapshot that all
// founding members share. It returns ErrCommittedConflict if the log is not
// empty.
func (n *Node) Initialize(s Snapshot) error {
	if n.log.lastIndex() != 0 {
		return ErrCommittedConflict
	}
	n.log.reset(s)
	n.pendingSnapshot = &s
	n.term = max(n.term, s.Term)
	return nil
}
