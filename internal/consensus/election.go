package consensus

// inLeaderLease reports whether a leader may still hold a lease that this node
// has confirmed. During that time the node must not grant votes, except for
// requests that are marked with Handover.
func (n *Node) inLeaderLease() bool {
	return n.role == RoleLeader || n.tick-n.leaderContactTick < uint64(n.cfg.ElectionTicks)
}

// lastLeader returns the leader of the current term according to the log. It
// returns false if the log does not tell: it has no entry of that term, or the
// first one was compacted.
//
// Only this leader can hold a lease that this node has confirmed, even before a
// restart: in the current term there was no other, and the leases of earlier terms
// had ended when it was elected. While it campaigns itself it holds no lease, so
// it needs no wait, and neither do the nodes that vote for it.
func (n *Node) lastLeader() (NodeID, bool) {
	first, ok := n.log.firstOfLastTerm()
	if !ok || first.Term != n.term || first.Type != EntryEmpty {
		return NodeID{}, false
	}
	r := newReader(first.Data)
	id := r.node()
	return id, r.finish() == nil
}

// wasLeader reports whether id was the last leader.
func (n *Node) wasLeader(id NodeID) bool {
	last, known := n.lastLeader()
	return known && last == id
}

// campaign requests votes from the other voters: pre-votes if role is
// RolePreCandidate, votes in a new term if it is RoleCandidate. handover is set if
// the previous leader asked for the campaign with MsgHandover.
func (n *Node) campaign(role Role, handover bool) {
	if !n.Members().IsVoter(n.cfg.ID) {
		return
	}
	kind, term := MsgPreVote, n.term+1
	if role == RoleCandidate {
		n.term++
		n.vote = n.cfg.ID
		kind = MsgVote
	}
	n.role = role
	n.leader = NodeID{}
	n.votes = map[NodeID]bool{n.cfg.ID: true}
	for _, id := range n.Members().Voters {
		if id != n.cfg.ID {
			n.send(Message{
				Type: kind, To: id, Term: term, Handover: handover,
				Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
			})
		}
	}
	n.countVotes()
}

func (n *Node) handleVote(m Message) {
	kind := MsgVoteReply
	canVote := n.vote.IsZero() && n.leader.IsZero()
	if m.Type == MsgPreVote {
		n.yieldTo(m)
		kind = MsgPreVoteReply
		canVote = canVote || m.Term > n.term
	}
	if (canVote || n.vote == m.From) && n.log.isUpToDate(m.Index, m.LogTerm) {
		if m.Type == MsgVote {
			n.vote = m.From
			n.resetElectionDeadline()
		}
		n.send(Message{Type: kind, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Type: kind, To: m.From, Reject: true})
}

// yieldTo ends the own campaign of a pre-candidate if the pre-vote request m comes
// from a candidate that has precedence: its log is more up to date, or as up to
// date and its id is higher. Two nodes that campaign at the same time would
// otherwise both vote for themselves and elect nobody. The next campaign of this
// node stays scheduled, in case the other one fails.
func (n *Node) yieldTo(m Message) {
	if n.role != RolePreCandidate || !n.log.isUpToDate(m.Index, m.LogTerm) {
		return
	}
	equal := m.Index == n.log.lastIndex() && m.LogTerm == n.log.lastTerm()
	if equal && compareNodes(m.From, n.cfg.ID) < 0 {
		return
	}
	n.role = RoleFollower
	n.votes = nil
}

func (n *Node) handleVoteReply(m Message) {
	isCurrent := n.role == RolePreCandidate && m.Type == MsgPreVoteReply && (m.Reject || m.Term == n.term+1) ||
		n.role == RoleCandidate && m.Type == MsgVoteReply
	if !isCurrent {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// countVotes ends the campaign if a quorum has granted or rejected it. A
// successful pre-vote is followed by the vote.
func (n *Node) countVotes() {
	granted, rejected := 0, 0
	for _, id := range n.Members().Voters {
		vote, ok := n.votes[id]
		switch {
		case ok && vote:
			granted++
		case ok:
			rejected++
		}
	}
	quorum := n.Members().Quorum()
	switch {
	case granted >= quorum && n.role == RolePreCandidate:
		n.campaign(RoleCandidate, false)
	case granted >= quorum:
		n.becomeLeader()
	case rejected >= quorum:
		n.becomeFollower(n.term, NodeID{})
		n.scheduleElectionRetry()
	}
}

// Handover is HandoverTo with the best successor, if there is one.
func (n *Node) Handover() {
	successor, _ := n.Successor(func(NodeID) bool { return true })
	n.HandoverTo(successor)
}

// HandoverTo gives up the leadership and its lease, and asks successor, unless it is
// zero, to campaign immediately. The caller must stop using the lease before it sends
// the messages of the next Ready.
func (n *Node) HandoverTo(successor NodeID) {
	if n.role != RoleLeader {
		return
	}
	n.becomeFollower(n.term, NodeID{})
	if !successor.IsZero() {
		n.send(Message{Type: MsgHandover, To: successor})
	}
}

// Successor returns the voter that can follow this leader best: of those that eligible
// accepts and that hold every entry of the log, the one that confirmed a message last.
// It returns false if there is none or this node does not lead.
func (n *Node) Successor(eligible func(NodeID) bool) (successor NodeID, found bool) {
	ack := uint64(0)
	for _, id := range n.Members().Voters {
		if pr := n.progress[id]; pr != nil && pr.match == n.log.lastIndex() && pr.ackTick > ack && eligible(id) {
			successor, ack = id, pr.ackTick
		}
	}
	return successor, !successor.IsZero()
}

func (n *Node) handleHandover(m Message) {
	if n.role == RoleFollower && n.leader == m.From {
		n.campaign(RoleCandidate, true)
	}
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.votes = nil
	n.electedTick = n.tick
	n.termStartIndex = n.log.lastIndex() + 1
	n.progress = make(map[NodeID]*progress)
	n.syncProgress()
	n.appendAsLeader(EntryEmpty, appendNode(nil, n.cfg.ID))
	n.broadcastHeartbeat()
}
