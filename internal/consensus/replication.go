package consensus

import (
	"fmt"
	"slices"
)

// progress is what a leader knows about one follower.
type progress struct {
	match uint64 // last index known to be durable there
	next  uint64 // next index to send
	// ack is the leader's tick at sending of the latest confirmed message.
	ack uint64
	// probing is set until the follower confirms next-1; then one message is
	// sent for each heartbeat.
	probing bool
	paused  bool
	// snapshotAt is the tick at which a snapshot was sent, if that is pending.
	snapshotAt uint64
}

// Propose appends data to the log and returns the place of the new entry. It
// is committed once Ready hands it out under the same term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != RoleLeader {
		return 0, 0, ErrNotLeader
	}
	if len(data) > MaxProposalBytes {
		return 0, 0, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), MaxProposalBytes)
	}
	n.appendOwn(EntryCommand, data)
	return n.log.lastIndex(), n.term, nil
}

// ProposeConfChange changes one member. A learner is promoted only when it
// holds all that is committed.
func (n *Node) ProposeConfChange(change ConfChange) error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.log.membersIndex() > n.log.commit || n.log.commit < n.termIndex {
		return ErrPendingChange
	}
	if err := n.checkChange(change); err != nil {
		return err
	}
	next := n.Members().with(change)
	n.appendOwn(EntryMembers, appendMembers(nil, next))
	n.followMembers()
	return nil
}

func (n *Node) checkChange(change ConfChange) error {
	members := n.Members()
	ok := false
	switch change.Type {
	case AddLearner:
		_, taken := members.Host(change.Node.Host)
		ok = !taken && change.Node.Host != "" && len(members.All()) < MaxMembers
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

// Unheard returns for how many ticks this leader has heard nothing of a member,
// counted at most from the start of its leadership.
func (n *Node) Unheard(id NodeID) uint64 {
	pr := n.progress[id]
	if n.role != RoleLeader || pr == nil {
		return 0
	}
	return n.tick - min(n.tick, max(pr.ack, n.leaderSince))
}

func (n *Node) hasCaughtUp(id NodeID) bool {
	pr := n.progress[id]
	return pr != nil && pr.match >= n.log.commit && n.tick-pr.ack < uint64(n.cfg.ElectionTicks)
}

// Compact makes data, the state after the last applied entry, the snapshot.
// It returns the snapshot for the storage.
func (n *Node) Compact(data []byte) Snapshot {
	index := n.log.applied
	term, _ := n.log.term(index)
	s := Snapshot{Index: index, Term: term, Members: n.log.membersAt(index), Data: data}
	if index > n.log.snapshot.Index {
		n.log.compact(s, n.cfg.KeepEntries)
	}
	return s
}

func (n *Node) appendOwn(kind EntryType, data []byte) {
	e := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Type: kind, Data: data}
	if err := n.log.extend([]Entry{e}); err != nil {
		panic(fmt.Sprintf("consensus: own entry: %v", err))
	}
	n.replicate()
}

// followMembers keeps a progress for each other member.
func (n *Node) followMembers() {
	members := n.Members()
	for id := range n.progress {
		if !members.Contains(id) {
			delete(n.progress, id)
		}
	}
	for _, id := range members.All() {
		if id != n.cfg.ID && n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.lastIndex() + 1, probing: true}
		}
	}
}

func (n *Node) replicate() {
	for _, id := range n.Members().All() {
		if pr := n.progress[id]; pr != nil {
			n.sendEntries(id, pr)
		}
	}
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatAt = n.tick
	for _, id := range n.Members().All() {
		if pr := n.progress[id]; pr != nil {
			pr.paused = false
			n.sendAppend(id, pr)
		}
	}
}

// sendEntries sends what the follower lacks, if it may be sent now.
func (n *Node) sendEntries(id NodeID, pr *progress) {
	full := !pr.probing && pr.next-1-pr.match >= n.cfg.MaxInflight
	if pr.paused || full || pr.next > n.log.lastIndex() {
		return
	}
	n.sendAppend(id, pr)
}

// sendAppend sends entries, or none where the follower has enough in flight.
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
	if prev-pr.match < n.cfg.MaxInflight || pr.probing {
		m.Entries = n.log.slice(pr.next, n.cfg.MaxAppendBytes)
	}
	if pr.probing {
		pr.paused = true
	} else {
		pr.next += uint64(len(m.Entries))
	}
	n.send(m)
}

// sendSnapshot sends the snapshot, again only after an election timeout.
func (n *Node) sendSnapshot(id NodeID, pr *progress) {
	pr.paused = true
	if pr.snapshotAt != 0 && n.tick-pr.snapshotAt < uint64(n.cfg.ElectionTicks) {
		n.send(Message{
			Type: MsgAppend, To: id, Index: n.log.baseIndex, LogTerm: n.log.baseTerm,
			Commit: n.log.commit, Stamp: n.tick,
		})
		return
	}
	pr.snapshotAt = n.tick
	s := n.log.snapshot
	n.send(Message{Type: MsgSnapshot, To: id, Commit: n.log.commit, Stamp: n.tick, Snapshot: &s})
}

// followLeader notes a sign of life of the leader of the term.
func (n *Node) followLeader(leader NodeID) {
	if n.role != RoleFollower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.contact = n.tick
	n.resetDeadline()
}

func (n *Node) handleAppend(m Message) error {
	if n.role == RoleLeader {
		return fmt.Errorf("%w: two leaders in term %d", ErrCommittedConflict, m.Term)
	}
	n.followLeader(m.From)
	reply := Message{Type: MsgAppendReply, To: m.From, Stamp: m.Stamp}
	switch {
	case m.Index < n.log.commit:
		reply.Index = n.log.commit
	case !n.log.matches(m.Index, m.LogTerm):
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
	n.noteCaughtUp()
	n.send(reply)
	return nil
}

func (n *Node) handleSnapshot(m Message) error {
	if n.role == RoleLeader {
		return fmt.Errorf("%w: two leaders in term %d", ErrCommittedConflict, m.Term)
	}
	n.followLeader(m.From)
	s := *m.Snapshot
	switch {
	case s.Index <= n.log.commit:
	case n.log.matches(s.Index, s.Term):
		n.log.commitTo(s.Index)
	default:
		n.log.reset(s)
		n.install = &s
	}
	n.noteCaughtUp()
	n.send(Message{Type: MsgAppendReply, To: m.From, Index: n.log.commit, Stamp: m.Stamp})
	return nil
}

func (n *Node) handleAppendReply(m Message) error {
	pr := n.progress[m.From]
	if n.role != RoleLeader || pr == nil {
		return nil
	}
	if m.Stamp > n.tick || (!m.Reject && m.Index > n.log.lastIndex()) {
		return fmt.Errorf("%w: reply beyond what was sent", ErrMalformed)
	}
	pr.ack = max(pr.ack, m.Stamp)
	if m.Reject {
		n.backOff(m, pr)
		return nil
	}
	if m.Index < pr.match {
		return nil
	}
	pr.match = m.Index
	pr.next = max(pr.next, pr.match+1)
	pr.probing, pr.paused, pr.snapshotAt = false, false, 0
	n.advanceCommit()
	n.sendEntries(m.From, pr)
	return nil
}

// backOff goes back to where the follower may agree.
func (n *Node) backOff(m Message, pr *progress) {
	if m.Index <= pr.match {
		return
	}
	pr.next = max(pr.match+1, min(m.Index, m.Hint+1))
	pr.probing, pr.paused = true, pr.snapshotAt != 0
	n.sendEntries(m.From, pr)
}

// advanceCommit commits what a majority holds durably, in the leader's own
// term only.
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

// quorumAck returns the latest tick whose messages a majority has confirmed.
func (n *Node) quorumAck() uint64 {
	return n.quorumValue(n.tick, func(pr *progress) uint64 { return pr.ack })
}

// quorumValue returns the highest value that a majority of voters reaches.
func (n *Node) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	members := n.Members()
	values := make([]uint64, 0, len(members.Voters))
	for _, id := range members.Voters {
		switch pr := n.progress[id]; {
		case id == n.cfg.ID:
			values = append(values, own)
		case pr != nil:
			values = append(values, of(pr))
		default:
			values = append(values, 0)
		}
	}
	slices.Sort(values)
	return values[len(values)-members.Quorum()]
}
