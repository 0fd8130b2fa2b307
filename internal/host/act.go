package host

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxGone bounds the instances that are remembered as gone.
const maxGone = 4096

// nudgeTimeout bounds the call that makes a host send a heartbeat at once.
const nudgeTimeout = 200 * time.Millisecond

// announced takes an announcement that reached the leader.
func (l *leader) announced(now time.Duration, a dbedge.Announcement) {
	in := instanceOf(a)
	in.SeenAt = now
	if l.overtaken(&in) {
		l.log.WithFields(logrus.Fields{"instance": in.ID, "born": in.Born, "sequence": in.Sequence}).Info("late announcement dropped")
		return
	}
	if a.Gone {
		l.left(now, in.ID)
		return
	}
	l.dropPredecessors(&in)
	l.failover.Announced(in)
	l.ownership.Announced(in)
	old, known := l.instances[in.ID]
	l.instances[in.ID] = in
	// What changes with each announcement does not go out to all hosts.
	old.Mark.Position, old.SeenAt, old.Sequence = in.Mark.Position, in.SeenAt, in.Sequence
	if !known || old != in {
		l.log.WithFields(logrus.Fields{
			"instance": in.ID, "group": in.Group, "role": in.Role.String(), "term": in.Mark.Term,
			"address": in.Address, "leaving": in.Leaving,
		}).Info("instance announced")
		l.instanceChanged(in.ID)
		l.noteInstance(in)
	}
}

// noteInstance has it recorded where an instance is reached, unless that is
// known already.
func (l *leader) noteInstance(in table.Instance) {
	in.Mark, in.SeenAt, in.Sequence = table.Mark{}, 0, 0
	if l.fed.Instances[in.ID] == in {
		return
	}
	l.propose(control.Command{NoteInstances: &control.NoteInstances{Known: []table.Instance{in}}})
}

// overtaken reports whether an announcement is older than what the leader
// knows: it was delayed, or its sender is gone and another instance lives at
// the address.
func (l *leader) overtaken(in *table.Instance) bool {
	if in.Sequence == 0 && in.Born == 0 {
		return false // instances that number nothing
	}
	if born, left := l.gone[in.ID]; left && in.Born <= born {
		return true
	}
	if old, known := l.instances[in.ID]; known && olderThan(in, &old) {
		return true
	}
	for _, other := range l.instances {
		if other.ID != in.ID && in.Address != "" && other.Address == in.Address && other.Born > in.Born {
			return true
		}
	}
	return false
}

// olderThan reports whether an instance said in before old. Nothing follows its
// last word but a new start.
func olderThan(in, old *table.Instance) bool {
	if in.Born != old.Born {
		return in.Born < old.Born
	}
	return old.Left || in.Sequence != 0 && in.Sequence < old.Sequence
}

// dropPredecessors takes out of use the instances that lived at the address before.
func (l *leader) dropPredecessors(in *table.Instance) {
	for id, other := range l.instances {
		if id != in.ID && other.Address == in.Address && other.Born < in.Born {
			l.left(in.SeenAt, id)
		}
	}
}

// left takes the last word of an instance, or that another one lives at its
// address. It stays in the tables, out of use, until no write can depend on it,
// for a later leader must count it too.
func (l *leader) left(now time.Duration, id table.InstanceID) {
	in, known := l.instances[id]
	if !known || in.Left {
		return
	}
	if len(l.gone) >= maxGone {
		clear(l.gone) // they went long ago
	}
	l.gone[id] = in.Born
	in.Leaving, in.Left = true, true
	l.instances[id] = in
	l.log.WithField("instance", id).Info("instance left")
	l.failover.Left(now, id)
	l.instanceChanged(id)
	l.noteInstance(in)
}

// dismissed drops an instance that has left and counts no more.
func (l *leader) dismissed(id table.InstanceID) {
	if in, known := l.instances[id]; !known || !in.Left {
		return // one that may come back
	}
	l.log.WithField("instance", id).Info("instance gone")
	delete(l.instances, id)
	l.propose(control.Command{NoteInstances: &control.NoteInstances{Gone: []table.InstanceID{id}}})
	l.version.Number++
	l.recent = tableLog{forgotten: l.version.Number} // hosts get whole tables
}

func instanceOf(a dbedge.Announcement) table.Instance {
	in := table.Instance{
		ID:          a.Instance,
		Group:       a.Group,
		Address:     a.Address,
		Domain:      a.Domain,
		Mark:        table.Mark{Term: a.Term, Position: a.Position},
		Slots:       a.Slots,
		Connections: a.Connections,
		Leaving:     a.Leaving,
		Born:        a.Born,
		Sequence:    a.Sequence,
	}
	if a.Role == table.RolePrimary.String() {
		in.Role = table.RolePrimary
	}
	return in
}

// actFailover carries out one decision on a primary.
func (l *leader) actFailover(now time.Duration, action failover.Action) {
	switch a := action.(type) {
	case failover.Propose:
		l.propose(a.Command)
	case failover.Promote:
		l.log.WithFields(logrus.Fields{"group": a.Group, "instance": a.Instance, "term": a.Term}).Info("promote")
		go l.promote(a)
	case failover.Fence:
		go l.fence(a)
	case failover.TellOwner:
		go l.nudge(a.Host)
	case failover.MoveOwner:
		l.log.WithFields(logrus.Fields{"instance": a.Instance, "from": a.From, "to": a.To}).Info("move owner")
		l.ownership.Move(now, a.Instance, a.From, a.To)
	case failover.Dismissed:
		l.dismissed(a.Instance)
	case failover.Wait:
		l.log.WithFields(logrus.Fields{"group": a.Group, "waits_for": a.Reason.String()}).Info("change of primary")
		l.waits[a.Group] = a.Reason.String()
		if a.Reason == failover.WaitNothing {
			delete(l.waits, a.Group)
		}
	}
}

// actOwnership carries out one decision on owners.
func (l *leader) actOwnership(action ownership.Action) {
	switch a := action.(type) {
	case ownership.Propose:
		if a.Command.AssignOwners != nil {
			for _, o := range a.Command.AssignOwners.Ownerships {
				l.log.WithFields(logrus.Fields{"instance": o.Instance, "owner": o.Host, "epoch": o.Epoch}).Info("place")
			}
		}
		l.propose(a.Command)
	case ownership.HandOver:
		go l.nudge(a.Host)
	case ownership.DomainCut:
		l.log.WithFields(logrus.Fields{"failure_domain": a.Domain, "cut": a.Cut}).Warn("failure domain")
	}
}

// proposeToLog hands a command to the replicated log. Its effect comes back through
// the view; a command that got lost is proposed again by its system.
func (l *leader) proposeToLog(c control.Command) {
	parent := l.ctx
	go func() {
		ctx, stop := context.WithTimeout(parent, proposeTimeout)
		defer stop()
		res, err := l.server.Propose(ctx, c)
		if err == nil {
			err = res.Err()
		}
		if err != nil {
			l.log.WithError(err).Info("command refused")
		}
		l.soon()
	}()
}

func (l *leader) promote(a failover.Promote) {
	ctx, stop := context.WithTimeout(l.ctx, l.host.timing.PromoteBound)
	defer stop()
	st, err := l.host.edge.Promote(ctx, dbedge.Promotion{
		Target:     dbedge.Target{Group: a.Group, Instance: a.Instance, Address: a.Address},
		Term:       a.Term,
		Leadership: a.Leadership,
	})
	if err != nil {
		l.log.WithError(err).WithField("instance", a.Instance).Warn("promotion failed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.host.clock()
	l.failover.Promoted(now, failover.PromoteResult{
		Group: a.Group, Instance: a.Instance, Term: a.Term, OK: err == nil, Status: st,
	})
	l.step(now)
}

func (l *leader) fence(a failover.Fence) {
	ctx, stop := context.WithTimeout(l.ctx, l.host.timing.FenceRetry)
	defer stop()
	if err := l.host.edge.Fence(ctx, dbedge.Target{Group: a.Group, Instance: a.Instance, Address: a.Address}, a.Term, a.Epoch); err != nil {
		return // ordered again until it succeeds
	}
	l.log.WithFields(logrus.Fields{"instance": a.Instance, "term": a.Term}).Info("fenced")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failover.Fenced(a.Instance, a.Term)
}

// nudge makes a host send a heartbeat at once, so that it hears of its orders.
func (l *leader) nudge(id table.HostID) {
	l.mu.Lock()
	h, ok := l.hosts[id]
	l.mu.Unlock()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(l.ctx, nudgeTimeout)
	defer stop()
	_ = peer.Call(ctx, l.host.dir.dial, h.PeerAddress, methodNudge, nudge{Leader: l.host.settings.PeerAddress}, &struct{}{})
}

// apply hands a document to the replicated log.
func (l *leader) apply(ctx context.Context, in *applyRequest) (applyReply, error) {
	res, err := l.server.Propose(ctx, control.Command{PutDocument: &control.PutDocument{
		Service:  in.Service,
		Version:  in.Version,
		Digest:   in.Digest,
		Body:     in.Body,
		Operator: in.Operator,
	}})
	if err != nil {
		return applyReply{}, err
	}
	if res.Document == nil {
		return applyReply{}, errors.Join(res.Err(), errkind.New(errkind.Internal, "no document in the answer"))
	}
	return applyReply{
		Accepted: res.Refusal == control.Accepted,
		Revision: res.Revision,
		Version:  res.Document.Version,
		Digest:   res.Document.Digest,
	}, nil
}

// switchOver begins a planned change of primary.
func (l *leader) switchOver(group table.GroupName, to table.InstanceID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return errkind.New(errkind.NotLeader, "")
	}
	return l.failover.SwitchOver(group, to)
}
