package control

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// reconcileMembers proposes the next membership change, if one is needed. A host
// that asked to join is admitted first, because the number of members decides which
// silent voters may be removed.
func (r *replica) reconcileMembers() {
	if r.admitHosts() || r.cfg.Open && r.removeMember() {
		return
	}
	if r.cfg.Open && !r.needsVoter() {
		return
	}
	for _, id := range r.stayingLearners() {
		if r.proposeChange(consensus.PromoteLearner, id) {
			return
		}
	}
}

// removeMember proposes the removal of a member of an open membership, if one should
// not stay. It reports whether it proposed a change.
func (r *replica) removeMember() bool {
	return r.removeLeavingMember() || r.removeUnresponsiveVoter() || r.removeUnresponsiveLearner() || r.removeEvenVoter()
}

// admitHosts proposes to make a host that asked to join a learner. The old
// identity of a host that lost its disk is removed first; only a blank host may
// replace another identity. It reports whether it proposed a change.
func (r *replica) admitHosts() bool {
	for _, host := range slices.Sorted(maps.Keys(r.joinRequests)) {
		j := r.joinRequests[host]
		current, isMember := r.node.Members().OnHost(host)
		switch {
		case isMember && current == j.id, r.node.Now()-j.tick > uint64(stampTimeouts*r.cfg.ElectionTicks):
			delete(r.joinRequests, host)
		case isMember:
			if r.proposeChange(consensus.RemoveMember, current) {
				return true
			}
		case r.proposeChange(consensus.AddLearner, j.id):
			return true
		}
	}
	return false
}

const (
	// minVoters is the minimum number of voters of an open membership. Three
	// voters tolerate the loss of one.
	minVoters = 3
	// unresponsiveTimeouts is the number of election timeouts without contact
	// after which a voter may be removed. It may join again.
	unresponsiveTimeouts = 6
	// learnerTimeouts is the same for a learner. It is longer, because a learner
	// may be slow while it receives a snapshot, and does not count towards the
	// quorum.
	learnerTimeouts = 12
)

// voterFloor returns the number of voters below which a silent voter is not
// removed. A voter that is only cut off keeps its disk, and with
// 2*Tolerance+1 voters a majority still has a disk after the loss of Tolerance of
// them. Fewer are enough if there are fewer members.
func (r *replica) voterFloor() int {
	all := len(r.node.Members().All())
	largestOdd := all - 1 + all%2
	return max(minVoters, min(2*r.cfg.Tolerance+1, largestOdd))
}

// needsVoter reports whether a learner of an open membership should become a
// voter. The number of voters is kept odd, so that one side has a majority when
// a partition splits the control hosts in two. A single remaining learner is a
// standby that replaces a voter which leaves or becomes unresponsive. While it is not
// known yet whether a silent voter comes back, the number of voters does not grow.
func (r *replica) needsVoter() bool {
	members := r.node.Members()
	silent := r.countSilent(members.Voters)
	switch {
	case len(members.Voters) < r.voterFloor(), r.hasLeavingVoter():
		return true
	case len(members.Voters)%2 == 0:
		return silent == 0
	case slices.ContainsFunc(members.Voters, r.isUnresponsive):
		return true
	default:
		return silent == 0 && len(members.Learners)-r.countSilent(members.Learners) > 1
	}
}

// countSilent returns how many of ids are other members that have confirmed nothing for
// an election timeout, or nothing yet: a new leader does not know who still runs.
func (r *replica) countSilent(ids []consensus.NodeID) int {
	silent := 0
	for _, id := range ids {
		if r.isSilentFor(id, 1) || !r.node.HasConfirmed(id) {
			silent++
		}
	}
	return silent
}

// isSilentFor reports whether id is another member that has been without contact for
// the given number of election timeouts, counted from the election at the earliest.
func (r *replica) isSilentFor(id consensus.NodeID, timeouts int) bool {
	return id != r.id && r.node.TicksSinceAck(id) >= uint64(timeouts*r.cfg.ElectionTicks)
}

// isUnresponsive reports whether a voter may be removed because it is silent.
func (r *replica) isUnresponsive(id consensus.NodeID) bool {
	return r.isSilentFor(id, unresponsiveTimeouts)
}

// removeUnresponsiveVoter removes the voter of an open membership that has been
// unresponsive for longest, so that hosts that never come back do not count towards the
// quorum. It does so only if the other voters are enough, and enough of them are
// responsive to tolerate the loss of one more. It reports whether it proposed a
// change.
func (r *replica) removeUnresponsiveVoter() bool {
	voters := r.node.Members().Voters
	remaining := len(voters) - 1
	responsive := len(voters) - r.countSilent(voters)
	if remaining < r.voterFloor() || responsive < remaining/2+2 {
		return false
	}
	longest := slices.MaxFunc(voters, func(a, b consensus.NodeID) int {
		return cmp.Compare(r.node.TicksSinceAck(a), r.node.TicksSinceAck(b))
	})
	return r.isUnresponsive(longest) && r.proposeChange(consensus.RemoveMember, longest)
}

// removeEvenVoter removes a voter if the number of voters is even and no learner is there
// to make it odd, as after the return of a voter whose place the standby has taken. The
// host joins again as the standby. It reports whether it proposed a change.
func (r *replica) removeEvenVoter() bool {
	members := r.node.Members()
	voters := members.Voters
	if len(voters)%2 == 1 || len(members.Learners) > 0 || len(voters) <= r.voterFloor() || r.countSilent(voters) > 0 {
		return false
	}
	for _, id := range slices.Backward(voters) {
		if id != r.id {
			return r.proposeChange(consensus.RemoveMember, id)
		}
	}
	return false
}

// removeUnresponsiveLearner removes a learner of an open membership that has been
// without contact for learnerTimeouts election timeouts. It may join again. It
// reports whether it proposed a change.
func (r *replica) removeUnresponsiveLearner() bool {
	for _, id := range r.node.Members().Learners {
		if r.isSilentFor(id, learnerTimeouts) {
			return r.proposeChange(consensus.RemoveMember, id)
		}
	}
	return false
}

// proposeRemoval proposes the removal of the host p.remove on behalf of
// Server.RemoveMember.
func (r *replica) proposeRemoval(p proposal) {
	delete(r.joinRequests, p.remove)
	id, isMember := r.node.Members().OnHost(p.remove)
	if !isMember && r.node.Role() == consensus.RoleLeader {
		r.queueAnswer(p.done, Result{}, nil)
		return
	}
	err := r.node.ProposeConfChange(consensus.ConfChange{Type: consensus.RemoveMember, Node: id})
	switch {
	case err == nil:
		r.pending[r.node.LastIndex()] = pendingProposal{term: r.node.Term(), done: p.done}
	case errors.Is(err, consensus.ErrNotLeader):
		r.queueAnswer(p.done, Result{}, r.notLeader())
	case errors.Is(err, consensus.ErrPendingChange):
		r.queueAnswer(p.done, Result{}, errkind.Wrap(err, errkind.NoQuorum, "%v", err).WithEffect(errkind.NotRun))
	default:
		r.queueAnswer(p.done, Result{}, errkind.Wrap(err, errkind.BadRequest, "%v", err))
	}
}

// proposeChange proposes a membership change and reports whether the node
// accepted it.
func (r *replica) proposeChange(kind consensus.ConfChangeType, id consensus.NodeID) bool {
	err := r.node.ProposeConfChange(consensus.ConfChange{Type: kind, Node: id})
	if err == nil {
		r.log.WithField("node", id.String()).Infof("proposed a control membership change: %s", kind)
		return true
	}
	if !errors.Is(err, consensus.ErrPendingChange) && !errors.Is(err, consensus.ErrNotCaughtUp) {
		r.log.WithError(err).Warn("cannot change the control membership")
	}
	return false
}
