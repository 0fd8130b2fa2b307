package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// The errors of a node.
var (
	// ErrNotLeader means that the node does not lead.
	ErrNotLeader = errors.New("not the leader")
	// ErrPendingChange means that an earlier change of membership, or the
	// first entry of the term, is not committed yet.
	ErrPendingChange = errors.New("an earlier change of membership is pending")
	// ErrNotCaughtUp means that a learner lacks entries that are committed.
	ErrNotCaughtUp = errors.New("the learner has not caught up")
	// ErrBadChange means that the change does not fit the membership.
	ErrBadChange = errors.New("the change does not fit the membership")
	// ErrCommittedConflict means that a message contradicts what is committed.
	ErrCommittedConflict = errors.New("a message contradicts a committed entry")
	// ErrTooLarge means that a proposal exceeds the limit of one message.
	ErrTooLarge = errors.New("the proposal is too large")
)

// MaxProposalBytes bounds the data of one entry.
const MaxProposalBytes = 8 << 20

// Config is what a node is made from.
type Config struct {
	ID NodeID
	// ElectionTicks is how long a follower waits for a leader at least; the
	// wait is drawn between it and twice of it.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats.
	HeartbeatTicks int
	// LeaseTicks is how long a confirmed heartbeat entitles a leader to act.
	// It is below ElectionTicks by the clock drift that is allowed for.
	LeaseTicks int
	// MaxAppendBytes bounds the data of one append message.
	MaxAppendBytes int
	// MaxInflight bounds the entries sent to a follower but not confirmed.
	MaxInflight uint64
	// KeepEntries is how many entries before a snapshot stay for followers
	// that lag a little.
	KeepEntries uint64
	// Seed starts the random source of the election timeouts.
	Seed uint64
	// Snapshot, Entries and HardState are what the storage holds.
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

// Node is one member. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	rng    *rand.Rand
	log    *entryLog
	role   Role
	term   uint64
	vote   NodeID
	leader NodeID
	tick   uint64
	// contact is the tick of the last message of a leader. A node also counts
	// its start as one: it may have confirmed a lease before.
	contact  uint64
	deadline uint64 // tick of the next election
	votes    map[NodeID]bool
	// caughtUp is set once the node has committed, since its start, an entry
	// of a current leader and all that it may have applied before.
	caughtUp bool

	leaderSince uint64 // tick of the election
	termIndex   uint64 // index of the first entry of the leader's term
	heartbeatAt uint64 // tick of the last heartbeat
	progress    map[NodeID]*progress

	messages []Message
	install  *Snapshot
	saved    HardState
}

// New returns a follower with what the storage holds.
func New(cfg Config) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(cfg.Snapshot, cfg.Entries, cfg.HardState.Commit)
	if err != nil {
		return nil, fmt.Errorf("consensus: restored log: %w", err)
	}
	n := &Node{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, cfg.ID.Incarnation)),
		log:   log,
		term:  max(cfg.HardState.Term, log.lastTerm()),
		vote:  cfg.HardState.Vote,
		saved: cfg.HardState,
	}
	if n.term != cfg.HardState.Term {
		n.vote = NodeID{}
	}
	n.resetDeadline()
	return n, nil
}

// ID returns the identity of the node.
func (n *Node) ID() NodeID { return n.cfg.ID }

// Role returns the role of the node.
func (n *Node) Role() Role { return n.role }

// Term returns the term of the node.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader of the term, if known.
func (n *Node) Leader() NodeID { return n.leader }

// Members returns the membership in force, which may not be committed yet.
func (n *Node) Members() Members { return n.log.members() }

// Commit returns the commit index.
func (n *Node) Commit() uint64 { return n.log.commit }

// Applied returns the index of the last entry handed out for applying.
func (n *Node) Applied() uint64 { return n.log.applied }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Now returns how many ticks the node has counted.
func (n *Node) Now() uint64 { return n.tick }

// Silence returns for how many ticks the node has heard no leader.
func (n *Node) Silence() uint64 {
	if n.role == RoleLeader {
		return 0
	}
	return n.tick - n.contact
}

// CaughtUp reports whether the node, since its start, has committed an entry
// of the term of a leader, and all that it may have applied before its start.
func (n *Node) CaughtUp() bool { return n.caughtUp }

// Tick counts one tick of the local clock.
func (n *Node) Tick() {
	n.tick++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.tick >= n.deadline {
		n.campaignAgainSoon()
		n.campaign(RolePreCandidate, false)
	}
}

func (n *Node) tickLeader() {
	heard := max(n.quorumAck(), n.leaderSince)
	if n.tick-heard >= uint64(n.cfg.ElectionTicks) {
		n.becomeFollower(n.term, NodeID{})
		return
	}
	if n.tick-n.heartbeatAt >= uint64(n.cfg.HeartbeatTicks) {
		n.broadcastHeartbeat()
	}
}

// Lease returns the tick before which this node may act as the only leader,
// and false if it holds no lease or has not committed in its term yet.
func (n *Node) Lease() (until uint64, ok bool) {
	if n.role != RoleLeader || n.log.commit < n.termIndex {
		return 0, false
	}
	ack := n.quorumAck()
	if ack < n.leaderSince {
		return 0, false
	}
	until = ack + uint64(n.cfg.LeaseTicks)
	return until, n.tick < until
}

func (n *Node) resetDeadline() {
	election := uint64(n.cfg.ElectionTicks)
	n.deadline = n.tick + election + n.rng.Uint64N(election)
}

// campaignAgainSoon sets the next election for the case that this one brings no
// leader, for example because two candidates split the votes. There is no
// leader to wait for any more, so it comes sooner than the first.
func (n *Node) campaignAgainSoon() {
	n.deadline = n.tick + uint64(n.cfg.HeartbeatTicks) + n.rng.Uint64N(uint64(n.cfg.ElectionTicks))
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
	n.resetDeadline()
}

func (n *Node) send(m Message) {
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messages = append(n.messages, m)
}

// Step takes in a message of another node. Messages for another identity and
// messages of the past are ignored.
func (n *Node) Step(m Message) error {
	if m.To != n.cfg.ID || m.From == n.cfg.ID {
		return nil
	}
	if n.isUncounted(m) {
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

// isUncounted reports whether m is a reply of a node that is no member, for
// example of the old incarnation of a host.
func (n *Node) isUncounted(m Message) bool {
	switch m.Type {
	case MsgPreVoteReply, MsgVoteReply, MsgAppendReply:
		return !n.Members().Contains(m.From)
	default:
		return false
	}
}

// stepHigherTerm moves to the term of m where it must and reports whether m
// is to be handled.
func (n *Node) stepHigherTerm(m Message) bool {
	switch m.Type {
	case MsgPreVote, MsgVote:
		if n.hearsLeader() && !m.Handover {
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

// stepLowerTerm tells the sender of the past which term it is.
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

// HasReady reports whether Ready would ask for anything.
func (n *Node) HasReady() bool {
	return n.hardState() != n.saved || n.install != nil || len(n.messages) > 0 ||
		n.log.stable < n.log.lastIndex() || n.log.applied < n.log.commit
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
}

// Ready returns what the caller must do now.
func (n *Node) Ready() Ready {
	rd := Ready{
		Snapshot:  n.install,
		Entries:   n.log.between(n.log.stable, n.log.lastIndex()),
		Committed: n.log.between(n.log.applied, n.log.commit),
	}
	rd.Early, rd.Messages = n.splitMessages()
	if hs := n.hardState(); hs != n.saved {
		rd.HardState = &hs
		rd.MustSync = hs.Term != n.saved.Term || hs.Vote != n.saved.Vote
	}
	rd.MustSync = rd.MustSync || len(rd.Entries) > 0 || rd.Snapshot != nil
	return rd
}

// splitMessages returns what a leader of a durable term sends to followers,
// and all else.
func (n *Node) splitMessages() (early, others []Message) {
	leads := n.role == RoleLeader && n.saved.Term == n.term
	for _, m := range n.messages {
		if leads && m.Term == n.term && (m.Type == MsgAppend || m.Type == MsgSnapshot) {
			early = append(early, m)
			continue
		}
		others = append(others, m)
	}
	return early, others
}

// Advance tells the node that all of the last Ready is done.
func (n *Node) Advance() {
	n.install = nil
	n.messages = nil
	n.saved = n.hardState()
	n.log.applied = n.log.commit
	n.log.stable = n.log.lastIndex()
	if n.role == RoleLeader {
		n.advanceCommit()
		n.noteCaughtUp()
	}
}

func (n *Node) noteCaughtUp() {
	term, _ := n.log.term(n.log.commit)
	if n.log.commit >= n.log.restored && term == n.term {
		n.caughtUp = true
	}
}

// Found starts the log of a node that has none with a snapshot that all
// founding members share.
func (n *Node) Found(s Snapshot) error {
	if n.log.lastIndex() != 0 {
		return ErrCommittedConflict
	}
	n.log.reset(s)
	n.install = &s
	n.term = max(n.term, s.Term)
	return nil
}
