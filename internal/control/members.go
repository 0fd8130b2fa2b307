package control

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// foundingIndex is the index of the snapshot that opens every log.
const foundingIndex = 1

// stampTimeouts is how many election timeouts an echoed stamp stays fresh.
const stampTimeouts = 4

func (r *replica) blank() bool { return r.node.LastIndex() == 0 }

// asksAgain reports whether a member asks to be one, once for each election
// timeout: after a long silence it may have been removed without being told.
func (r *replica) asksAgain() bool {
	election := uint64(r.cfg.ElectionTicks)
	return r.node.Silence() >= stampTimeouts*election && r.node.Now()%election < uint64(r.cfg.HeartbeatTicks)
}

// hostsToAsk returns the other hosts that may be members: those of the
// settings, and the members that this host knows of.
func (r *replica) hostsToAsk() []table.HostID {
	hosts := slices.Clone(r.cfg.Voters)
	for _, id := range r.node.Members().All() {
		if !slices.Contains(hosts, id.Host) {
			hosts = append(hosts, id.Host)
		}
	}
	return slices.DeleteFunc(hosts, func(h table.HostID) bool { return h == r.id.Host })
}

func (r *replica) sendHello(to table.HostID, ask bool) {
	r.cfg.Transport.Send(to, encodeHello(hello{
		From: r.id, To: to, Ask: ask, Blank: r.blank(),
		Pinned: r.founding.pinned,
		Stamp:  r.token + r.node.Now(),
		Echo:   r.echoes[to],
	}))
}

func (r *replica) takeHello(h hello) error {
	if h.To != r.id.Host || h.From.Host == r.id.Host || !r.cfg.knows(h.From.Host) {
		return nil
	}
	r.echoes[h.From.Host] = h.Stamp
	if r.blank() {
		if r.founding.take(h) {
			r.log.WithField("from", h.From.String()).
				Error("another founding membership is pinned there: empty the data folders of hosts that were never in use")
		}
		return r.found()
	}
	if h.Ask {
		r.sendHello(h.From.Host, false)
	}
	now, member := r.node.Members().Host(h.From.Host)
	joins := !member || h.Blank && now != h.From
	if h.Ask && joins && r.freshEcho(h.Echo) {
		r.joining[h.From.Host] = joiner{id: h.From, tick: r.node.Now()}
	}
	return nil
}

// freshEcho reports whether stamp was sent by this process a short while ago.
func (r *replica) freshEcho(stamp uint64) bool {
	return r.token+r.node.Now()-stamp < uint64(stampTimeouts*r.cfg.ElectionTicks)
}

// found goes on with the founding of a deployment as far as it can.
func (r *replica) found() error {
	f := r.founding
	if !r.blank() {
		return nil
	}
	if len(f.pinned) == 0 {
		if !r.cfg.mayFound() {
			return nil
		}
		members, ok := f.complete(r.cfg.Voters)
		if !ok {
			return nil
		}
		if err := r.wal.SaveFounding(members); err != nil {
			return err
		}
		f.pinned = members.Voters
		r.log.WithField("voters", fmt.Sprint(members.Voters)).Info("founding membership pinned")
	}
	if !f.settled(r.id.Host, r.cfg.Voters) {
		return nil
	}
	return r.begin(consensus.Members{Voters: f.pinned})
}

// begin starts the log with the founding membership.
func (r *replica) begin(members consensus.Members) error {
	data, err := r.state.Snapshot()
	if err != nil {
		return err
	}
	s := consensus.Snapshot{Index: foundingIndex, Term: 1, Members: members, Data: data}
	if err := r.node.Found(s); err != nil {
		return err
	}
	r.log.WithField("voters", fmt.Sprint(members.Voters)).Info("deployment founded")
	return nil
}

// arrangeMembers brings in listed hosts that are no members, and those that
// came back without their disk: the old identity goes, the new one becomes a
// learner and, once it has caught up, a voter. Only a blank host displaces
// another identity. One step is proposed at a time.
func (r *replica) arrangeMembers() {
	if r.cfg.Open && r.dropSilentVoter() {
		return
	}
	for _, id := range r.node.Members().Learners {
		if r.cfg.Open && !r.wantsVoter() {
			break
		}
		if r.change(consensus.PromoteLearner, id) {
			return
		}
	}
	for _, host := range slices.Sorted(maps.Keys(r.joining)) {
		j := r.joining[host]
		now, member := r.node.Members().Host(host)
		switch {
		case member && now == j.id, r.node.Now()-j.tick > uint64(stampTimeouts*r.cfg.ElectionTicks):
			delete(r.joining, host)
		case member:
			if r.change(consensus.RemoveMember, now) {
				return
			}
		case r.change(consensus.AddLearner, j.id):
			return
		}
	}
}

const (
	// minVoters is how many voters an open membership keeps at least, so that
	// the loss of one is borne.
	minVoters = 3
	// silentTimeouts is for how many election timeouts a voter must have been
	// silent to be dropped. It may join again.
	silentTimeouts = 6
)

// wantsVoter reports whether a learner of an open membership shall become a
// voter. The number of voters is kept odd: when the control hosts are cut into
// two halves, one of them then has a majority. A learner that is left over
// stands by for a voter that falls silent.
func (r *replica) wantsVoter() bool {
	members := r.node.Members()
	if len(members.Voters)%2 == 0 || len(members.Learners) > 1 {
		return true
	}
	for _, id := range members.Voters {
		if r.silent(id) {
			return true
		}
	}
	return false
}

// silent reports whether another voter has not been heard of for long enough to
// be dropped.
func (r *replica) silent(id consensus.NodeID) bool {
	return id != r.id && r.node.Unheard(id) >= uint64(silentTimeouts*r.cfg.ElectionTicks)
}

// dropSilentVoter removes a voter of an open membership that has been silent
// for long, so that hosts that never come back do not count for a quorum. The
// others must be enough to bear a further loss.
func (r *replica) dropSilentVoter() bool {
	voters := r.node.Members().Voters
	if len(voters) <= minVoters {
		return false
	}
	var lost consensus.NodeID
	alive := 0
	for _, id := range voters {
		switch {
		case id == r.id || r.node.Unheard(id) < uint64(r.cfg.ElectionTicks):
			alive++
		case r.silent(id):
			lost = id
		}
	}
	if lost.IsZero() || alive < max(minVoters, (len(voters)-1)/2+2) {
		return false
	}
	return r.change(consensus.RemoveMember, lost)
}

func (r *replica) remove(p proposal) {
	delete(r.joining, p.remove)
	id, member := r.node.Members().Host(p.remove)
	if !member && r.node.Role() == consensus.RoleLeader {
		r.answer(p.done, Result{}, nil)
		return
	}
	err := r.node.ProposeConfChange(consensus.ConfChange{Type: consensus.RemoveMember, Node: id})
	switch {
	case err == nil:
		r.waiting[r.node.LastIndex()] = waiter{term: r.node.Term(), done: p.done}
	case errors.Is(err, consensus.ErrNotLeader):
		r.answer(p.done, Result{}, r.notLeader())
	case errors.Is(err, consensus.ErrPendingChange):
		r.answer(p.done, Result{}, errkind.Wrap(err, errkind.NoQuorum, "%v", err).WithEffect(errkind.NotRun))
	default:
		r.answer(p.done, Result{}, errkind.Wrap(err, errkind.BadRequest, "%v", err))
	}
}

func (r *replica) change(kind consensus.ConfChangeType, id consensus.NodeID) bool {
	err := r.node.ProposeConfChange(consensus.ConfChange{Type: kind, Node: id})
	if err == nil {
		r.log.WithField("node", id.String()).Infof("proposed: %s", kind)
		return true
	}
	if !errors.Is(err, consensus.ErrPendingChange) && !errors.Is(err, consensus.ErrNotCaughtUp) {
		r.log.WithError(err).Warn("cannot change the control membership")
	}
	return false
}
