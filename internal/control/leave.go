package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
)

// leaveTimeouts is the number of election timeouts for which a host that stops waits
// to be removed. A leader that does not hear it has removed it as unresponsive by then,
// also if that leader had to be elected first.
const leaveTimeouts = unresponsiveTimeouts + 4

// leaveAnswer is what a control host answers to one that asks to leave.
type leaveAnswer uint8

const (
	// leavePending means that the host is to ask again: it is being removed, or the
	// answering host does not lead.
	leavePending leaveAnswer = iota
	// leaveCommitted means that the host is no member, and that this is committed.
	leaveCommitted
	// leaveRefused means that no other host can take the place of the voter.
	leaveRefused
)

// leave is the planned stop of this host.
type leave struct {
	// ended receives one value at the end: whether the host is no member any more.
	ended chan bool
	// isOver is set once ended has received its value.
	isOver bool
}

// Leave prepares the planned stop of this host. It gives up the leadership and asks
// the leader to remove this host from an open membership, after a standby has taken
// the place of a voter. The host takes part in the consensus until its removal is
// committed: other hosts may be lost right after it has stopped.
//
// Leave returns true once this host is no member any more. It returns false if the
// host keeps its vote, because no other host can take it or the membership is not
// open, if leaveTimeouts election timeouts have passed, and if ctx or Run ends first.
// It must be called at most once, before the context of Run ends.
func (s *Server) Leave(ctx context.Context) bool {
	if !s.cfg.Open {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeouts*time.Duration(s.cfg.ElectionTicks)*s.cfg.TickInterval)
	defer cancel()
	l := &leave{ended: make(chan bool, 1)}
	s.leaves <- l
	select {
	case left := <-l.ended:
		return left
	case <-ctx.Done():
		s.log.Warn("the control host stops without an answer to its request to leave the membership")
		return false
	case <-s.stopped:
		return false
	}
}

// startLeave begins the planned stop of this host.
func (r *replica) startLeave(l *leave) {
	r.log.Info("the control host asks to leave the membership")
	r.leave = l
	r.continueLeave()
}

// continueLeave asks the other members to remove this host, or ends the wait if that is
// of no use.
func (r *replica) continueLeave() {
	if r.leave.isOver {
		return
	}
	if r.isBlank() || !r.hasStayingVoter() {
		r.endLeave(false)
		return
	}
	r.askHosts(r.hostsToAsk())
}

// endLeave ends the wait of the host that stops. The last request lets the other hosts
// know that this host will be gone.
func (r *replica) endLeave(left bool) {
	r.askHosts(r.hostsToAsk())
	r.leave.isOver = true
	r.leave.ended <- left
	r.log.WithField("left", left).Info("the control host may stop")
}

// handOverToLeave gives up the leadership of a host that leaves, as soon as a voter that
// stays holds the whole log. It reports whether it did.
func (r *replica) handOverToLeave() bool {
	if r.leave == nil {
		return false
	}
	successor, found := r.node.Successor(r.staysAndAnswers)
	if found {
		r.node.HandoverTo(successor)
	}
	return found
}

// staysAndAnswers reports whether a member is not leaving and has confirmed a message
// within an election timeout.
func (r *replica) staysAndAnswers(id consensus.NodeID) bool {
	return !r.isLeaving(id) && r.countSilent([]consensus.NodeID{id}) == 0
}

// hasStayingVoter reports whether the membership has another voter that is not leaving.
func (r *replica) hasStayingVoter() bool {
	return slices.ContainsFunc(r.node.Members().Voters, func(id consensus.NodeID) bool { return id != r.id && !r.isLeaving(id) })
}

// handleLeaveAnswer ends the wait of this host if h is the final answer to its request
// to leave.
func (r *replica) handleLeaveAnswer(h hello) {
	if r.leave == nil || r.leave.isOver || h.LeaveAnswer == leavePending || !r.isFreshEcho(h.Echo) {
		return
	}
	r.endLeave(h.LeaveAnswer == leaveCommitted)
}

// recordLeave records the request of a member to leave. The echo proves that it is not
// an old one: the host may have started again.
func (r *replica) recordLeave(h hello) {
	if !h.Leave || !r.isFreshEcho(h.Echo) {
		return
	}
	delete(r.joinRequests, h.From.Host)
	r.leaving[h.From] = r.node.Now()
	maps.DeleteFunc(r.leaving, func(id consensus.NodeID, _ uint64) bool { return !r.node.Members().Contains(id) })
}

// isLeaving reports whether the member id has asked to leave and has not started again:
// until it stops it repeats its request, so a message an election timeout after the
// last request comes from a later start.
func (r *replica) isLeaving(id consensus.NodeID) bool {
	if id == r.id {
		return r.leave != nil
	}
	at, asked := r.leaving[id]
	return asked && r.heard[id.Host] < at+uint64(r.cfg.ElectionTicks)
}

// answerLeave returns the answer to the request of id to leave. Only a leader with a
// lease knows the membership.
func (r *replica) answerLeave(id consensus.NodeID) leaveAnswer {
	if _, leased := r.node.Lease(); !leased {
		return leavePending
	}
	switch {
	case !r.node.Members().Contains(id) && r.node.MembersCommitted():
		return leaveCommitted
	case r.node.Members().IsVoter(id) && !r.canReplaceVoter():
		return leaveRefused
	default:
		return leavePending
	}
}

// canReplaceVoter reports whether a leaving voter can be removed, now or once a learner
// has become a voter.
func (r *replica) canReplaceVoter() bool {
	return len(r.node.Members().Voters) > r.voterFloor() || len(r.stayingLearners()) > 0 || len(r.joinRequests) > 0
}

// hasLeavingVoter reports whether a voter leaves.
func (r *replica) hasLeavingVoter() bool {
	return slices.ContainsFunc(r.node.Members().Voters, r.isLeaving)
}

// stayingLearners returns the learners that are not leaving.
func (r *replica) stayingLearners() []consensus.NodeID {
	return slices.DeleteFunc(slices.Clone(r.node.Members().Learners), r.isLeaving)
}

// removeLeavingMember proposes the removal of another member that leaves, if there is
// one that may be removed. It reports whether it proposed a change.
func (r *replica) removeLeavingMember() bool {
	for _, id := range r.node.Members().All() {
		if id != r.id && r.isLeaving(id) && r.mayRemove(id) && r.proposeChange(consensus.RemoveMember, id) {
			return true
		}
	}
	return false
}

// mayRemove reports whether the membership may do without the leaving member id. Without
// a voter, enough voters must remain, and a majority of these must be responsive.
func (r *replica) mayRemove(id consensus.NodeID) bool {
	members := r.node.Members()
	if !members.IsVoter(id) {
		return true
	}
	rest := slices.DeleteFunc(slices.Clone(members.Voters), func(v consensus.NodeID) bool { return v == id })
	responsive := len(rest) - r.countSilent(rest)
	return len(rest) >= r.voterFloor() && responsive > len(rest)/2
}
