package consensus

import (
	"fmt"
	"math"
	"slices"
)

// progress is the replication state of one follower as seen by the leader.
type progress struct {
	match uint64 // last index known to be durable on the follower
	next  uint64 // next index to send
	// ackTick is the leader's tick when it sent the latest message that the
	// follower has confirmed.
	ackTick uint64
	// addedTick is the leader's tick at which the follower became a member, or
	// at which the leader was elected if that is later.
	addedTick uint64
	// probing is set until the follower confirms next-1. While it is set, the
	// leader sends one message per heartbeat.
	probing bool
	// paused is set while no message may be sent before the next heartbeat.
	paused bool
	// snapshotTick is the tick at which a snapshot was sent that the follower
	// has not confirmed, and zero if there is none.
	snapshotTick uint64
}

// Propose appends data to the log and returns the index and the term of the new
// entry. The entry is committed once Ready returns an entry with this index and
// this term in Committed; another term there means that the entry was replaced.
// It returns ErrNotLeader or ErrTooLarge.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > MaxProposalBytes {
		return 0, 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), MaxProposalBytes)
	}
	n.appendAsLeader(EntryCommand, data)
	return n.log.lastIndex(), n.term, nil
}

// ProposeWithinLimit is like Propose, but returns ErrTooManyUncommitted while the
// uncommitted entries have MaxUncommittedBytes or more.
func (n *Node) ProposeWithinLimit(data []byte) (index, term uint64, err error) {
	uncommitted := n.log.bytesBetween(n.log.commit, n.log.lastIndex())
	if n.role == RoleLeader && uncommitted >= limitOrNone(n.cfg.MaxUncommittedBytes) {
		return 0, 0, fmt.Errorf("%w: %d bytes", ErrTooManyUncommitted, uncommitted)
	}
	return n.Propose(data)
}

// ProposeConfChange appends a membership change, which applies at once. It
// returns ErrNotLeader, ErrPendingChange, ErrBadChange or ErrNotCaughtUp.
func (n *Node) ProposeConfChange(change ConfChange) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if !n.MembersCommitted() || n.log.commit < n.termStartIndex {
		return ErrPendingChange
	}
	if err := n.checkChange(change); err != nil {
		return err
	}
	next := n.Members().with(change)
	n.appendAsLeader(EntryMembers, appendMembers(nil, next))
	n.syncProgress()
	return nil
}

func (n *Node) checkChange(change ConfChange) error {
	members := n.Members()
	ok := false
	switch change.Type {
	case AddLearner:
		_, exists := members.OnHost(change.Node.Host)
		ok = !exists && change.Node.Host != "" && len(members.All()) < MaxMembers
	case PromoteLearner:
		ok = members.IsLearner(change.Node)
		if ok && !n.hasCaughtUp(change.Node) {
			return ErrNotCaughtUp
		}
	case RemoveMember:
		ok = members.Contains(change.Node) && change.Node != n.cfg.ID
	}
	if !ok {
		return fmt.Errorf("%w: %s %s", ErrBadChange, change.Type, change.Node)
	}
	return nil
}

// TicksSinceAck returns the number of ticks since this leader sent the latest
// message that the member id has confirmed, or since its election or the addition
// of the member if that is later. It returns 0 if this node is not the leader or
// id is not another member.
func (n *Node) TicksSinceAck(id NodeID) uint64 {
	pr := n.progress[id]
	if n.role != RoleLeader || pr == nil {
		return 0
	}
	return n.tick - min(n.tick, max(pr.ackTick, pr.addedTick))
}

// HasConfirmed reports whether the member id has confirmed a message of this leader, or
// is this node.
func (n *Node) HasConfirmed(id NodeID) bool {
	pr := n.progress[id]
	return id == n.cfg.ID || pr != nil && pr.ackTick > 0
}

// hasCaughtUp reports whether the member id holds all committed entries and has
// confirmed a message within an election timeout.
func (n *Node) hasCaughtUp(id NodeID) bool {
	pr := n.progress[id]
	return pr != nil && pr.match >= n.log.commit && n.tick-pr.ackTick < uint64(n.cfg.ElectionTicks)
}

// Compact makes data, the state after the last applied entry, the latest
// snapshot and drops older entries. It returns the snapshot, which the caller
// must store.
func (n *Node) Compact(data []byte) Snapshot {
	index := n.log.applied
	term, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: term, Members: n.log.membersAt(index), Data: data}
	if index > n.log.snapshot.Index {
		n.log.compact(s, n.log.countWithin(index, n.cfg.KeepEntries, limitOrNone(n.cfg.KeepBytes)))
	}
	return s
}

// appendAsLeader appends an entry of the current term and sends it to the
// followers.
func (n *Node) appendAsLeader(kind EntryType, data []byte) {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Type: kind, Data: data}
	if err := n.log.extend([]Entry{e}); err != nil {
		panic(fmt.Sprintf("consensus: cannot append an entry as the leader: %v", err))
	}
	n.replicate()
}

// syncProgress adds a progress for each new member and removes those of former
// members.
func (n *Node) syncProgress() {
	members := n.Members()
	for id := range n.progress {
		if !members.Contains(id) {
			delete(n.progress, id)
		}
	}
	for _, id := range members.All() {
		if id != n.cfg.ID && n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.lastIndex() + 1, addedTick: n.tick, probing: true}
		}
	}
}

// replicate sends new entries to every follower that may receive them now.
func (n *Node) replicate() {
	for _, id := range n.Members().All() {
		if pr := n.progress[id]; pr != nil {
			n.maybeSendEntries(id, pr)
		}
	}
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatTick = n.tick
	for _, id := range n.Members().All() {
		if pr := n.progress[id]; pr != nil {
			pr.paused = false
			n.sendAppend(id, pr)
		}
	}
}

// maybeSendEntries sends the entries that the follower does not hold, unless
// the follower is paused, has too many entries in flight or holds them all.
func (n *Node) maybeSendEntries(id NodeID, pr *progress) {
	if pr.paused || n.isInflightFull(pr) || pr.next > n.log.lastIndex() {
		return
	}
	n.sendAppend(id, pr)
}

// isInflightFull reports whether as many entries are in flight to the follower as
// MaxInflight or MaxInflightBytes allows.
func (n *Node) isInflightFull(pr *progress) bool {
	if pr.probing {
		return false
	}
	return pr.next-1-pr.match >= n.cfg.MaxInflight || n.log.bytesBetween(pr.match, pr.next-1) >= limitOrNone(n.cfg.MaxInflightBytes)
}

// limitOrNone returns limit, or the highest value if it is zero, which means no
// limit.
func limitOrNone(limit uint64) uint64 {
	if limit == 0 {
		return math.MaxUint64
	}
	return limit
}

// sendAppend sends a MsgAppend, without entries if the follower has too many
// entries in flight. It sends a snapshot instead if the entry before pr.next was
// compacted.
func (n *Node) sendAppend(id NodeID, pr *progress) {
	prev := pr.next - 1
	prevTerm, ok := n.log.term(prev)
	if !ok {
		n.sendSnapshot(id, pr)
		return
	}
	m := Message{
		Type: MsgAppend, To: id, Index: prev, LogTerm: prevTerm,
		Commit: n.log.commit, Stamp: n.tick,
	}
	if !n.isInflightFull(pr) {
		m.Entries = n.log.entriesFrom(pr.next, n.cfg.MaxAppendBytes)
	}
	if pr.probing {
		pr.paused = true
	} else {
		pr.next += uint64(len(m.Entries))
	}
	n.send(m)
}

// sendSnapshot sends the latest snapshot. If a snapshot was sent less than an
// election timeout ago and is not confirmed, it sends a heartbeat instead.
func (n *Node) sendSnapshot(id NodeID, pr *progress) {
	pr.paused = true
	if pr.snapshotTick != 0 && n.tick-pr.snapshotTick < uint64(n.cfg.ElectionTicks) {
		n.send(Message{
			Type: MsgAppend, To: id, Index: n.log.baseIndex, LogTerm: n.log.baseTerm,
			Commit: n.log.commit, Stamp: n.tick,
		})
		return
	}
	pr.snapshotTick = n.tick
	s := n.log.snapshot
	n.send(Message{Type: MsgSnapshot, To: id, Commit: n.log.commit, Stamp: n.tick, Snapshot: &s})
}

// recordLeaderContact records a message from the leader of the current term and
// restarts the election timeout.
func (n *Node) recordLeaderContact(leader NodeID) {
	if n.role != RoleFollower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.leaderContactTick = n.tick
	n.resetElectionDeadline()
}

func (n *Node) handleAppend(m Message) error {
	if n.role == RoleLeader {
		return fmt.Errorf("%w: two leaders in term %d", ErrCommittedConflict, m.Term)
	}
	n.recordLeaderContact(m.From)
	reply := Message{Type: MsgAppendReply, To: m.From, Stamp: m.Stamp}
	switch {
	case m.Index < n.log.commit:
		reply.Index = n.log.commit
	case !n.log.matchesTerm(m.Index, m.LogTerm):
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = n.log.conflictHint(m.Index)
	default:
		if err := n.log.merge(m.Entries); err != nil {
			return err
		}
		reply.Index = m.Index + uint64(len(m.Entries))
		n.log.commitTo(min(m.Commit, reply.Index))
	}
	n.updateCaughtUp()
	n.send(reply)
	return nil
}

func (n *Node) handleSnapshot(m Message) error {
	if n.role == RoleLeader {
		return fmt.Errorf("%w: two leaders in term %d", ErrCommittedConflict, m.Term)
	}
	n.recordLeaderContact(m.From)
	s := *m.Snapshot
	switch {
	case s.Index <= n.log.commit:
	case n.log.matchesTerm(s.Index, s.Term):
		n.log.commitTo(s.Index)
	default:
		n.log.reset(s)
		n.pendingSnapshot = &s
	}
	n.updateCaughtUp()
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit, Stamp: m.Stamp})
	return nil
}

func (n *Node) handleAppendReply(m Message) error {
	pr := n.progress[m.From]
	if n.role != RoleLeader || pr == nil {
		return nil
	}
	if m.Stamp > n.tick || (!m.Reject && m.Index > n.log.lastIndex()) {
		return fmt.Errorf("%w: the reply confirms an entry or a tick that does not exist", ErrMalformed)
	}
	pr.ackTick = max(pr.ackTick, m.Stamp)
	if m.Reject {
		n.rewindProgress(m, pr)
		return nil
	}
	if m.Index < pr.match {
		return nil
	}
	pr.match = m.Index
	pr.next = max(pr.next, pr.match+1)
	pr.probing, pr.paused, pr.snapshotTick = false, false, 0
	n.advanceCommit()
	n.maybeSendEntries(m.From, pr)
	return nil
}

// rewindProgress handles a rejected append: it moves next back to the entry
// after the highest index at which the follower's log may match.
func (n *Node) rewindProgress(m Message, pr *progress) {
	if m.Index <= pr.match {
		return
	}
	pr.next = max(pr.match+1, min(m.Index, m.Hint+1))
	pr.probing, pr.paused = true, pr.snapshotTick != 0
	n.maybeSendEntries(m.From, pr)
}

// advanceCommit commits the entries that are durable on a quorum, provided that
// the last of them is of the leader's own term: an entry of an earlier term may
// still be replaced although a quorum holds it.
func (n *Node) advanceCommit() {
	if n.role != RoleLeader {
		return
	}
	index := n.quorumValue(n.log.stable, func(pr *progress) uint64 { return pr.match })
	term, _ := n.log.term(index)
	if index <= n.log.commit || term != n.term {
		return
	}
	n.log.commitTo(index)
	n.broadcastHeartbeat()
}

// quorumAckTick returns the latest tick such that a quorum has confirmed a
// message sent at or after it.
func (n *Node) quorumAckTick() uint64 {
	return n.quorumValue(n.tick, func(pr *progress) uint64 { return pr.ackTick })
}

// quorumValue returns the highest value that a quorum of voters has reached,
// where ownValue is the value of this node and followerValue returns the value of
// a follower.
func (n *Node) quorumValue(ownValue uint64, followerValue func(*progress) uint64) uint64 {
	members := n.Members()
	values := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		switch pr := n.progress[id]; {
		case id == n.cfg.ID:
			values = append(values, ownValue)
		case pr != nil:
			values = append(values, followerValue(pr))
		default:
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-members.Quorum()]
}
