package consensus

// hearsLeader reports whether a leader may still hold a lease that this node
// has confirmed. Such a node helps nobody to be elected.
func (n *Node) hearsLeader() bool {
	return n.role == RoleLeader || n.tick-n.contact < uint64(n.cfg.ElectionTicks)
}

// campaign asks the voters, first whether they would elect this node, then to
// do so.
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
	free := n.vote.IsZero() && n.leader.IsZero()
	if m.Type == MsgPreVote {
		kind = MsgPreVoteReply
		free = free || m.Term > n.term
	}
	if (free || n.vote == m.From) && n.log.upToDate(m.Index, m.LogTerm) {
		if m.Type == MsgVote {
			n.vote = m.From
			n.resetDeadline()
		}
		n.send(Message{Type: kind, To: m.From, Term: m.Term})
		return
	}
	n.send(Message{Type: kind, To: m.From, Reject: true})
}

func (n *Node) handleVoteReply(m Message) {
	counted := n.role == RolePreCandidate && m.Type == MsgPreVoteReply && (m.Reject || m.Term == n.term+1) ||
		n.role == RoleCandidate && m.Type == MsgVoteReply
	if !counted {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) countVotes() {
	granted, refused := 0, 0
	for _, id := range n.Members().Voters {
		vote, ok := n.votes[id]
		switch {
		case ok && vote:
			granted++
		case ok:
			refused++
		}
	}
	quorum := n.Members().Quorum()
	switch {
	case granted >= quorum && n.role == RolePreCandidate:
		n.campaign(RoleCandidate, false)
	case granted >= quorum:
		n.becomeLeader()
	case refused >= quorum:
		n.becomeFollower(n.term, NodeID{})
		n.campaignAgainSoon()
	}
}

// Handover gives up the leadership and its lease. If a voter holds the whole
// log, it is asked to campaign at once. The caller must see to it that the
// lease is no longer used before it sends the messages of the next Ready.
func (n *Node) Handover() {
	if n.role != RoleLeader {
		return
	}
	var heir NodeID
	ack := uint64(0)
	for _, id := range n.Members().Voters {
		if pr := n.progress[id]; pr != nil && pr.match == n.log.lastIndex() && pr.ack > ack {
			heir, ack = id, pr.ack
		}
	}
	n.becomeFollower(n.term, NodeID{})
	if !heir.IsZero() {
		n.send(Message{Type: MsgHandover, To: heir})
	}
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
	n.leaderSince = n.tick
	n.termIndex = n.log.lastIndex() + 1
	n.progress = make(map[NodeID]*progress)
	n.followMembers()
	n.appendOwn(EntryEmpty, nil)
	n.broadcastHeartbeat()
}
