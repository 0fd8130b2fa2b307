package consensus

import (
	"errors"
	"slices"
	"testing"

	"github.com/amaranthweir/amaranthweir/internal/table"
	"gotest.tools/v3/assert"
)

func id(host string) NodeID { return NodeID{Host: table.HostID(host), Incarnation: 1} }

// newFollower returns node a of the voters a, b and c. Its log has one entry for
// each of the given terms, after the snapshot at index 1. The node has run for
// an election timeout, so no leader can hold a lease that it confirmed.
func newFollower(t *testing.T, terms ...uint64) *Node {
	t.Helper()
	return newVoter(t, "a", terms...)
}

// newVoter is newFollower for any of the voters.
func newVoter(t *testing.T, host string, terms ...uint64) *Node {
	t.Helper()
	cfg := Config{
		ID: id(host), ElectionTicks: 10, HeartbeatTicks: 2, LeaseTicks: 7, MaxAppendBytes: 1 << 10, MaxInflight: 4,
		Snapshot: Snapshot{Index: 1, Term: 1, Members: NewMembers(id("a"), id("b"), id("c"))},
	}
	for i, term := range terms {
		cfg.Entries = append(cfg.Entries, Entry{Index: uint64(i) + 2, Term: term})
		cfg.HardState.Term = term
	}
	n, err := New(cfg)
	assert.NilError(t, err)
	for range cfg.ElectionTicks {
		n.tick++
	}
	n.electionDeadline = n.tick + 10
	return n
}

// newLeader returns node a after it has won an election. No entry of the new
// term is committed yet.
func newLeader(t *testing.T, terms ...uint64) *Node {
	t.Helper()
	n := newFollower(t, terms...)
	for n.role == RoleFollower {
		n.Tick()
	}
	step(t, n, Message{Type: MsgPreVoteReply, From: id("b"), Term: n.term + 1})
	step(t, n, Message{Type: MsgVoteReply, From: id("b"), Term: n.term})
	assert.Equal(t, n.Role(), RoleLeader)
	drainReady(n)
	return n
}

// step passes m, addressed to n, to n and fails the test on an error.
func step(t *testing.T, n *Node, m Message) {
	t.Helper()
	m.To = n.ID()
	assert.NilError(t, n.Step(m))
}

// drainReady processes all pending work of n and returns the messages it sent.
func drainReady(n *Node) []Message {
	var sent []Message
	for n.HasReady() {
		rd := n.Ready()
		sent = append(append(sent, rd.EarlyMessages...), rd.Messages...)
		n.Advance()
	}
	return sent
}

// ack makes the follower from confirm the leader's log up to index.
func ack(t *testing.T, n *Node, from string, index uint64) {
	t.Helper()
	step(t, n, Message{Type: MsgAppendReply, From: id(from), Term: n.term, Index: index, Stamp: n.tick})
	drainReady(n)
}

func TestVoteRequests(t *testing.T) {
	cases := map[string]struct {
		before  func(n *Node)
		message Message
		granted bool
		ignored bool
	}{
		"equal log":           {message: Message{Type: MsgVote, Term: 3, Index: 3, LogTerm: 2}, granted: true},
		"pre-vote":            {message: Message{Type: MsgPreVote, Term: 3, Index: 3, LogTerm: 2}, granted: true},
		"shorter log":         {message: Message{Type: MsgVote, Term: 3, Index: 2, LogTerm: 2}},
		"longer, older log":   {message: Message{Type: MsgVote, Term: 3, Index: 9, LogTerm: 1}},
		"shorter, later log":  {message: Message{Type: MsgVote, Term: 4, Index: 2, LogTerm: 3}, granted: true},
		"same candidate":      {before: voteFor("b"), message: Message{Type: MsgVote, Term: 2, Index: 3, LogTerm: 2}, granted: true},
		"second candidate":    {before: voteFor("c"), message: Message{Type: MsgVote, Term: 2, Index: 3, LogTerm: 2}},
		"old term":            {message: Message{Type: MsgVote, Term: 1, Index: 9, LogTerm: 9}},
		"vote in a lease":     {before: recentLeaderContact, message: Message{Type: MsgVote, Term: 3, Index: 9, LogTerm: 2}, ignored: true},
		"pre-vote in a lease": {before: recentLeaderContact, message: Message{Type: MsgPreVote, Term: 3, Index: 9, LogTerm: 2}, ignored: true},
		"just started":        {before: justStarted, message: Message{Type: MsgVote, Term: 3, Index: 9, LogTerm: 2}, ignored: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newFollower(t, 2, 2)
			if c.before != nil {
				c.before(n)
			}
			drainReady(n)
			c.message.From = id("b")
			step(t, n, c.message)
			rd := n.Ready()
			if c.ignored {
				assert.Equal(t, len(rd.Messages), 0)
				return
			}
			assert.Equal(t, len(rd.Messages), 1)
			assert.Equal(t, !rd.Messages[0].Reject, c.granted)
			if c.granted && c.message.Type == MsgVote && n.savedHardState.Vote != id("b") {
				assert.Assert(t, rd.MustSync, "the vote must be durable before the reply")
				assert.Equal(t, rd.HardState.Vote, id("b"))
			}
		})
	}
}

func voteFor(host string) func(n *Node) { return func(n *Node) { n.vote = id(host) } }

func recentLeaderContact(n *Node) { n.leaderContactTick = n.tick - uint64(n.cfg.ElectionTicks) + 1 }

func justStarted(n *Node) { n.tick = uint64(n.cfg.ElectionTicks) - 1 }

// A node that already knows the term of a vote request must still sync its vote
// before it replies. Otherwise it could vote twice in that term after a crash.
func TestVoteInCurrentTermIsSynced(t *testing.T) {
	n := newFollower(t, 2, 2)
	step(t, n, Message{Type: MsgVoteReply, From: id("b"), Term: 5, Reject: true})
	drainReady(n)
	step(t, n, Message{Type: MsgVote, From: id("c"), Term: 5, Index: 3, LogTerm: 2})
	assert.Assert(t, n.Ready().MustSync)
}

func TestHandleAppend(t *testing.T) {
	entries := func(from uint64, terms ...uint64) (es []Entry) {
		for i, term := range terms {
			es = append(es, Entry{Index: from + uint64(i), Term: term})
		}
		return es
	}
	cases := map[string]struct {
		message Message
		reject  bool
		index   uint64 // of the reply
		last    uint64
		commit  uint64
	}{
		"heartbeat":              {Message{Index: 4, LogTerm: 2, Commit: 3}, false, 4, 4, 3},
		"new entry":              {Message{Index: 4, LogTerm: 2, Commit: 9, Entries: entries(5, 3)}, false, 5, 5, 5},
		"known entry":            {Message{Index: 2, LogTerm: 1, Commit: 2, Entries: entries(3, 2)}, false, 3, 4, 2},
		"replaces the tail":      {Message{Index: 2, LogTerm: 1, Commit: 1, Entries: entries(3, 3)}, false, 3, 3, 1},
		"gap":                    {Message{Index: 8, LogTerm: 2, Entries: entries(9, 3)}, true, 8, 4, 1},
		"conflicting entry":      {Message{Index: 4, LogTerm: 1, Entries: entries(5, 3)}, true, 4, 4, 1},
		"old term":               {Message{Term: 1, Index: 4, LogTerm: 2}, true, 4, 4, 1},
		"commit above confirmed": {Message{Index: 2, LogTerm: 1, Commit: 4}, false, 2, 4, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newFollower(t, 1, 2, 2)
			c.message.Type, c.message.From = MsgAppend, id("b")
			if c.message.Term == 0 {
				c.message.Term = 3
			}
			step(t, n, c.message)
			reply := n.Ready().Messages[0]
			assert.Equal(t, reply.Type, MsgAppendReply)
			assert.Equal(t, reply.Reject, c.reject)
			assert.Equal(t, reply.Index, c.index)
			assert.Equal(t, n.LastIndex(), c.last)
			assert.Equal(t, n.CommitIndex(), c.commit)
		})
	}
}

// Entries of an earlier term may still be replaced although a quorum holds them.
// A leader commits them only together with an entry of its own term.
func TestOnlyCurrentTermEntriesCommit(t *testing.T) {
	n := newLeader(t, 2, 2)
	ack(t, n, "b", 3)
	assert.Equal(t, n.CommitIndex(), uint64(1), "entries of term 2 are on a quorum, but may still be replaced")
	ack(t, n, "b", 4)
	assert.Equal(t, n.CommitIndex(), uint64(4))
}

func TestLeaseRequiresQuorumAndExpires(t *testing.T) {
	n := newLeader(t)
	_, ok := n.Lease()
	assert.Assert(t, !ok, "no entry of the leader's own term is committed")
	ack(t, n, "b", n.LastIndex())
	until, ok := n.Lease()
	assert.Assert(t, ok)
	assert.Equal(t, until, n.Now()+7)
	for range 7 {
		n.Tick()
	}
	_, ok = n.Lease()
	assert.Assert(t, !ok)
	for range 3 {
		n.Tick()
	}
	assert.Equal(t, n.Role(), RoleFollower, "check-quorum")
}

// A host that lost its disk comes back with another incarnation. Its replies
// must not count towards a quorum until it is a member, and messages for the
// previous incarnation must not reach the new one.
func TestRepliesOfNonMembersAreIgnored(t *testing.T) {
	wiped := NodeID{Host: "b", Incarnation: 2}
	n := newFollower(t)
	for n.role == RoleFollower {
		n.Tick()
	}
	step(t, n, Message{Type: MsgPreVoteReply, From: wiped, Term: n.term + 1})
	assert.Equal(t, n.Role(), RolePreCandidate)
	n = newLeader(t)
	step(t, n, Message{Type: MsgAppendReply, From: wiped, Term: n.term, Index: n.LastIndex(), Stamp: n.tick})
	drainReady(n)
	assert.Equal(t, n.CommitIndex(), uint64(1))
	step(t, n, Message{Type: MsgAppendReply, From: wiped, Term: n.term + 5, Reject: true})
	assert.Equal(t, n.Role(), RoleLeader, "a non-member must not make the leader step down")
	assert.NilError(t, n.Step(Message{Type: MsgAppend, From: id("b"), To: NodeID{Host: "a", Incarnation: 7}, Term: 99}))
	assert.Assert(t, n.Term() != 99, "a message for another incarnation must be ignored")
}

func TestMembershipChangesOneMemberAtATime(t *testing.T) {
	d := id("d")
	add, promote := ConfChange{AddLearner, d}, ConfChange{PromoteLearner, d}
	n := newLeader(t)
	assert.Assert(t, errors.Is(n.ProposeConfChange(add), ErrPendingChange), "no entry of the leader's own term is committed")
	ack(t, n, "b", n.LastIndex())
	bad := []ConfChange{
		promote,
		{AddLearner, id("b")},
		{AddLearner, NodeID{Host: "b", Incarnation: 2}},
		{RemoveMember, d},
		{RemoveMember, id("a")},
	}
	for _, change := range bad {
		assert.Assert(t, errors.Is(n.ProposeConfChange(change), ErrBadChange), "%v", change)
	}
	assert.NilError(t, n.ProposeConfChange(add))
	drainReady(n)
	assert.Assert(t, errors.Is(n.ProposeConfChange(promote), ErrPendingChange))
	ack(t, n, "b", n.LastIndex())
	assert.Assert(t, errors.Is(n.ProposeConfChange(promote), ErrNotCaughtUp))
	assert.Assert(t, !n.Members().IsVoter(d))
	ack(t, n, "d", n.LastIndex())
	assert.NilError(t, n.ProposeConfChange(promote))
	assert.Assert(t, n.Members().IsVoter(d))
	assert.Equal(t, n.Members().Quorum(), 3)
}

// When a leader replaces an uncommitted EntryMembers, the follower must return
// to the membership before that entry.
func TestMembershipOfReplacedEntryIsRolledBack(t *testing.T) {
	n := newFollower(t)
	before := n.Members()
	members, _ := before.with(ConfChange{AddLearner, id("d")}).AppendBinary(nil)
	entry := Entry{Index: 2, Term: 2, Type: EntryMembers, Data: members}
	step(t, n, Message{Type: MsgAppend, From: id("b"), Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{entry}})
	assert.Assert(t, n.Members().IsLearner(id("d")))
	step(t, n, Message{Type: MsgAppend, From: id("c"), Term: 3, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 3}}})
	assert.Assert(t, slices.Equal(n.Members().All(), before.All()))
}

// A follower rejects every append until it has loaded the snapshot. The leader
// must not send the snapshot again for each of these replies.
func TestPendingSnapshotIsNotResentAtOnce(t *testing.T) {
	n := newLeader(t)
	ack(t, n, "b", n.LastIndex())
	for range 5 {
		_, _, err := n.Propose([]byte("x"))
		assert.NilError(t, err)
	}
	drainReady(n)
	ack(t, n, "b", n.LastIndex())
	n.Compact([]byte("state"))
	snapshots := 0
	for range 4 {
		step(t, n, Message{Type: MsgAppendReply, From: id("c"), Term: n.term, Reject: true, Index: 2, Stamp: n.tick})
		n.Tick()
		n.Tick()
		for _, m := range drainReady(n) {
			if m.Type == MsgSnapshot {
				snapshots++
			}
		}
	}
	assert.Equal(t, snapshots, 1)
}

// A leader may send entries before it has synced them, but it must not count its
// own copy before Advance, and it must not send early while its term is not
// durable.
func TestEarlyMessagesRequireDurableTerm(t *testing.T) {
	n := newLeader(t)
	_, _, err := n.Propose([]byte("x"))
	assert.NilError(t, err)
	ack(t, n, "b", n.LastIndex()-1)
	_, _, err = n.Propose([]byte("y"))
	assert.NilError(t, err)
	step(t, n, Message{Type: MsgAppendReply, From: id("b"), Term: n.term, Index: n.LastIndex(), Stamp: n.tick})
	assert.Equal(t, n.CommitIndex(), n.LastIndex()-1, "the leader has not synced the last entry yet")
	rd := n.Ready()
	assert.Assert(t, len(rd.EarlyMessages) > 0 && len(rd.Messages) == 0)
	n.Advance()
	assert.Equal(t, n.CommitIndex(), n.LastIndex())
	n.savedHardState.Term--
	_, _, err = n.Propose([]byte("z"))
	assert.NilError(t, err)
	assert.Equal(t, len(n.Ready().EarlyMessages), 0)
}

func TestHandover(t *testing.T) {
	n := newLeader(t)
	ack(t, n, "c", n.LastIndex())
	n.Tick()
	ack(t, n, "b", n.LastIndex()-1)
	n.Handover()
	_, leased := n.Lease()
	assert.Assert(t, !leased)
	sent := drainReady(n)
	assert.Equal(t, len(sent), 1)
	assert.Equal(t, sent[0].Type, MsgHandover)
	assert.Equal(t, sent[0].To, id("c"), "only c holds every entry of the log")

	successor := newFollower(t)
	step(t, successor, Message{Type: MsgAppend, From: id("b"), Term: 2, Index: 1, LogTerm: 1})
	drainReady(successor)
	step(t, successor, Message{Type: MsgHandover, From: id("c"), Term: 2})
	assert.Equal(t, successor.Role(), RoleFollower, "c is not the leader")
	step(t, successor, Message{Type: MsgHandover, From: id("b"), Term: 2})
	assert.Equal(t, successor.Role(), RoleCandidate)
	for _, m := range drainReady(successor) {
		assert.Assert(t, m.Type == MsgVote && m.Handover)
	}
	voter := newFollower(t)
	recentLeaderContact(voter)
	step(t, voter, Message{Type: MsgVote, From: id("b"), Term: 3, Index: 1, LogTerm: 1, Handover: true})
	assert.Assert(t, !voter.Ready().Messages[0].Reject)
}

func TestCountersCannotOverflow(t *testing.T) {
	m := Message{Type: MsgVote, From: id("b"), To: id("a"), Term: maxCounter}
	encoded, err := m.AppendBinary(nil)
	assert.NilError(t, err)
	assert.NilError(t, new(Message).UnmarshalBinary(encoded))
	m.Term++
	encoded, _ = m.AppendBinary(nil)
	assert.Assert(t, errors.Is(new(Message).UnmarshalBinary(encoded), ErrMalformed))
}

func FuzzMessage(f *testing.F) {
	m := Message{
		Type: MsgAppend, From: id("a"), To: id("b"), Term: 3, Index: 4, LogTerm: 2, Commit: 3,
		Entries: []Entry{{Index: 5, Term: 3, Data: []byte("x")}},
	}
	encoded, _ := m.AppendBinary(nil)
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	m = Message{Type: MsgSnapshot, Term: 1, Snapshot: &Snapshot{Index: 1, Term: 1, Members: NewMembers(id("a"))}}
	encoded, _ = m.AppendBinary(nil)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m, decoded Message
		if m.UnmarshalBinary(b) != nil {
			return
		}
		encoded, err := m.AppendBinary(nil)
		assert.NilError(t, err)
		assert.NilError(t, decoded.UnmarshalBinary(encoded))
		assert.DeepEqual(t, m, decoded)
		n := newFollower(t, 1, 2)
		m.To = n.ID()
		_ = n.Step(m)
	})
}

// newRestarted returns the node host of the voters a, b and c right after a
// restart. Its last term is 2, which leader began; without a leader the log does
// not tell who did.
func newRestarted(t *testing.T, host, leader string, term uint64) *Node {
	t.Helper()
	first := Entry{Index: 2, Term: 2, Type: EntryEmpty}
	if leader != "" {
		first.Data = appendNode(nil, id(leader))
	}
	n, err := New(Config{
		ID: id(host), ElectionTicks: 10, HeartbeatTicks: 2, LeaseTicks: 7, MaxAppendBytes: 1 << 10, MaxInflight: 4,
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: NewMembers(id("a"), id("b"), id("c"))},
		Entries:   []Entry{first, {Index: 3, Term: 2}},
		HardState: HardState{Term: term},
	})
	assert.NilError(t, err)
	return n
}

// After a restart a node may have confirmed a lease shortly before. It has to wait
// before it votes, except for the leader whose lease that was. Without the
// exception, the deployment has no leader for an election timeout after all
// control hosts were killed at once.
func TestVoteForReturningLeader(t *testing.T) {
	for name, c := range map[string]struct {
		leader  string // as the log tells
		term    uint64
		from    string
		granted bool
	}{
		"the last leader":              {"b", 2, "b", true},
		"another node":                 {"b", 2, "c", false},
		"the log does not tell":        {"", 2, "b", false},
		"a later term had no entry":    {"b", 3, "b", false},
		"this node was itself leader":  {"a", 2, "b", false},
		"another incarnation of leads": {"b/2", 2, "b", false},
	} {
		for _, kind := range []MessageType{MsgPreVote, MsgVote} {
			n := newRestarted(t, "a", c.leader, c.term)
			if c.leader == "b/2" {
				n.log.entries[0].Data = appendNode(nil, NodeID{Host: "b", Incarnation: 2})
			}
			step(t, n, Message{Type: kind, From: id(c.from), Term: c.term + 1, Index: 3, LogTerm: 2})
			sent := drainReady(n)
			granted := len(sent) == 1 && !sent[0].Reject
			assert.Equal(t, granted, c.granted, "%s: %v", name, kind)
		}
	}
}

// The last leader campaigns as soon as it runs again, and repeats that at the pace
// of heartbeats while the other nodes are still down. Every other node waits.
func TestReturningLeaderCampaignsAtOnce(t *testing.T) {
	leader := newRestarted(t, "a", "a", 2)
	preVotes := 0
	for range 10 {
		leader.Tick()
		for _, m := range drainReady(leader) {
			if m.Type == MsgPreVote && m.To == id("b") {
				preVotes++
			}
		}
	}
	assert.Assert(t, preVotes >= 4, "%d campaigns", preVotes)
	step(t, leader, Message{Type: MsgPreVoteReply, From: id("b"), Term: 3})
	step(t, leader, Message{Type: MsgVoteReply, From: id("b"), Term: 3})
	assert.Equal(t, leader.Role(), RoleLeader)

	follower := newRestarted(t, "a", "b", 2)
	for range 9 {
		follower.Tick()
		assert.Equal(t, len(drainReady(follower)), 0, "tick %d", follower.Now())
	}
}

// Once the first entry of the term is compacted, the log no longer tells who began
// the term.
func TestLastLeaderIsUnknownAfterCompaction(t *testing.T) {
	n := newRestarted(t, "a", "b", 2)
	_, known := n.lastLeader()
	assert.Assert(t, known)
	n.log.compact(Snapshot{Index: 3, Term: 2, Members: n.Members()}, 1)
	_, known = n.lastLeader()
	assert.Assert(t, !known)
}

// Two of three voters campaign in the same tick while the third is down. Each
// needs the vote of the other, so one of them must yield. Without that rule both
// vote for themselves and nobody leads until the next election.
func TestSimultaneousCampaignsElectALeader(t *testing.T) {
	for name, c := range map[string]struct {
		termsA, termsB []uint64
		leads          string
	}{
		"equal logs":            {[]uint64{1, 1}, []uint64{1, 1}, "b"},
		"a has a longer log":    {[]uint64{1, 1, 1}, []uint64{1, 1}, "a"},
		"a has a later term":    {[]uint64{1, 2}, []uint64{1, 1, 1}, "a"},
		"b has the longer log":  {[]uint64{1}, []uint64{1, 1}, "b"},
		"b has an earlier term": {[]uint64{3}, []uint64{2, 2}, "a"},
	} {
		nodes := map[NodeID]*Node{id("a"): newVoter(t, "a", c.termsA...), id("b"): newVoter(t, "b", c.termsB...)}
		nodes[id("a")].term, nodes[id("b")].term = 3, 3
		for _, n := range nodes {
			n.electionDeadline = n.tick + 1
			n.Tick()
		}
		exchange(t, nodes)
		for host, n := range nodes {
			assert.Equal(t, n.Role() == RoleLeader, host == id(c.leads), "%s: %v is %v", name, host, n.Role())
		}
	}
}

// exchange delivers messages among the nodes until none is left. Each round
// delivers what was sent in the round before, so messages cross.
func exchange(t *testing.T, nodes map[NodeID]*Node) {
	t.Helper()
	for {
		var sent []Message
		for _, n := range nodes {
			sent = append(sent, drainReady(n)...)
		}
		if len(sent) == 0 {
			return
		}
		for _, m := range sent {
			if n := nodes[m.To]; n != nil {
				assert.NilError(t, n.Step(m))
			}
		}
	}
}

// Guards against limits that count entries where their size matters: with entries
// of hundreds of kilobytes, a thousand of them fill the memory of a process.
func TestLimitsInBytes(t *testing.T) {
	const size = 100
	propose := func(t *testing.T, n *Node) error {
		t.Helper()
		_, _, err := n.ProposeWithinLimit(make([]byte, size))
		return err
	}
	t.Run("entries in flight", func(t *testing.T) {
		n := newLeader(t)
		n.cfg.MaxInflight, n.cfg.MaxInflightBytes, n.cfg.MaxAppendBytes = 100, 3*size, size
		ack(t, n, "b", n.log.lastIndex())
		for range 10 {
			assert.NilError(t, propose(t, n))
		}
		sent := 0
		for _, m := range drainReady(n) {
			if m.To == id("b") {
				sent += len(m.Entries)
			}
		}
		assert.Equal(t, sent, 3)
		ack(t, n, "b", n.progress[id("b")].match+1)
		assert.Equal(t, n.progress[id("b")].next-1-n.progress[id("b")].match, uint64(3), "an answer makes room for one more")
	})
	t.Run("entries that are not committed", func(t *testing.T) {
		n := newLeader(t)
		n.cfg.MaxUncommittedBytes = 3 * size
		ack(t, n, "b", n.log.lastIndex())
		for range 3 {
			assert.NilError(t, propose(t, n))
		}
		assert.ErrorIs(t, propose(t, n), ErrTooManyUncommitted)
		_, _, err := n.Propose(nil)
		assert.NilError(t, err, "a command that no limit applies to")
		drainReady(n)
		ack(t, n, "b", n.log.lastIndex())
		assert.NilError(t, propose(t, n))
	})
	t.Run("entries before a snapshot", func(t *testing.T) {
		n := newLeader(t)
		n.cfg.KeepEntries, n.cfg.KeepBytes = 100, 3*size+size/2
		for range 10 {
			assert.NilError(t, propose(t, n))
			drainReady(n)
			ack(t, n, "b", n.log.lastIndex())
		}
		last := n.log.lastIndex()
		n.Compact([]byte("state"))
		assert.Equal(t, len(n.log.entries), 3)
		assert.Equal(t, n.log.lastIndex(), last)
		assert.NilError(t, propose(t, n))
		assert.Equal(t, n.log.bytesBetween(0, n.log.lastIndex()), uint64(4*size))
	})
}
