package host

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// nudgeTimeout limits the call that asks a host for an immediate heartbeat.
const nudgeTimeout = 200 * time.Millisecond

// executeFailoverAction executes one action of the failover system.
func (l *leader) executeFailoverAction(now time.Duration, action failover.Action) {
	switch a := action.(type) {
	case failover.Propose:
		l.propose(a.Command)
	case failover.Promote:
		l.log.WithFields(logrus.Fields{"group": a.Group, "instance": a.Instance, "term": a.Term}).Info("promote")
		go l.promote(a)
	case failover.Fence:
		go l.fence(a)
	case failover.SendOrder:
		go l.nudge(a.Host)
	case failover.MoveOwner:
		l.log.WithFields(logrus.Fields{"instance": a.Instance, "from": a.From, "to": a.To}).Info("move owner")
		l.ownership.RequestMove(now, a.Instance, a.From, a.To)
	case failover.InstanceRemoved:
		l.removeInstance(a.Instance)
	case failover.InstanceRefilled:
		l.recordRefill(a.Instance, a.Born)
	case failover.Wait:
		l.recordWait(a)
	}
}

// recordWait records what a change of primary waits for, for the log, the status and
// the metrics.
func (l *leader) recordWait(w failover.Wait) {
	fields := logrus.Fields{"group": w.Group, "waits_for": w.Reason.String()}
	l.waits[w.Group] = w.Reason.String()
	if w.Missing != "" {
		fields["missing"] = w.Missing
		l.waits[w.Group] += ": " + w.Missing
	}
	l.log.WithFields(fields).Info("change of primary")
	if w.Reason == failover.WaitNothing {
		delete(l.waits, w.Group)
	}
	l.host.metrics.SetWait(w.Group, w.Reason.String(), w.Reason != failover.WaitNothing)
}

// executeOwnershipAction executes one action of the ownership system.
func (l *leader) executeOwnershipAction(action ownership.Action) {
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
	case ownership.DomainChange:
		l.log.WithFields(logrus.Fields{"failure_domain": a.Domain, "cut": a.Cut}).Warn("failure domain")
	}
}

// proposeToLog proposes a command to the replicated log without waiting for the
// result. The effect becomes visible in the control state; the system that
// issued a lost command proposes it again.
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
			l.log.WithError(err).Info("control command failed")
		}
		l.requestStep()
	}()
}

// promote asks an instance to become primary and passes the result to the
// failover system.
func (l *leader) promote(a failover.Promote) {
	ctx, stop := context.WithTimeout(l.ctx, l.host.timing.PromoteTimeout)
	defer stop()
	st, err := l.host.edge.Promote(ctx, dbedge.Promotion{
		Target:     dbedge.Target{Group: a.Group, Instance: a.Instance, Address: a.Address},
		Term:       a.Term,
		Leadership: a.Leadership,
		MinLogTerm: a.MinLogTerm,
	})
	refused := errors.Is(err, dbedge.ErrPromotionRefused)
	if err != nil {
		fields := logrus.Fields{"instance": a.Instance, "term": a.Term, "may_take_effect": !refused}
		l.log.WithError(err).WithFields(fields).Warn("promotion failed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.host.clock()
	l.failover.HandlePromoteResult(now, failover.PromoteResult{
		Group: a.Group, Instance: a.Instance, Term: a.Term, OK: err == nil, Status: st, OrderedAt: a.OrderedAt,
		Refused: refused, Accepted: err == nil || errors.Is(err, dbedge.ErrPromotionPending),
	})
	l.step(now)
}

// fence tells an old primary that terms before a.Term are over.
func (l *leader) fence(a failover.Fence) {
	ctx, stop := context.WithTimeout(l.ctx, l.host.timing.FenceRetry)
	defer stop()
	if err := l.host.edge.Fence(ctx, dbedge.Target{Group: a.Group, Instance: a.Instance, Address: a.Address}, a.Term, a.Epoch); err != nil {
		return // the failover system orders the fence again until it succeeds
	}
	l.log.WithFields(logrus.Fields{"instance": a.Instance, "term": a.Term}).Info("fenced")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failover.HandleFenceResult(a.Instance, a.Term)
}

// maxNudges bounds the nudges that run at the same time when a leadership begins.
const maxNudges = 32

// nudgeAll nudges all hosts when a leadership begins. Owners come first, because
// their leases run out.
func (l *leader) nudgeAll(owners map[table.HostID]struct{}, hosts []table.HostID) {
	slices.SortStableFunc(hosts, func(a, b table.HostID) int {
		_, first := owners[a]
		_, second := owners[b]
		switch {
		case first && !second:
			return -1
		case second && !first:
			return 1
		}
		return 0
	})
	var group errgroup.Group
	group.SetLimit(maxNudges)
	for _, id := range hosts {
		group.Go(func() error {
			l.nudge(id)
			return nil
		})
	}
	_ = group.Wait()
}

// nudge asks a host for an immediate heartbeat. The reply carries its orders. While
// a nudge of the host is in flight, later ones are merged into one.
func (l *leader) nudge(id table.HostID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, inFlight := l.nudging[id]; inFlight {
		l.nudging[id] = true
		return
	}
	for again := true; again; again = l.nudging[id] {
		h, ok := l.hosts[id]
		if !ok {
			break
		}
		l.nudging[id] = false
		l.mu.Unlock()
		l.callNudge(h.PeerAddress)
		l.mu.Lock()
	}
	delete(l.nudging, id)
}

// callNudge sends one nudge and waits for its answer.
func (l *leader) callNudge(address string) {
	ctx, stop := context.WithTimeout(l.ctx, nudgeTimeout)
	defer stop()
	_ = l.nudges.Call(ctx, address, methodNudge, nudge{Leader: l.host.settings.PeerAddress}, &struct{}{})
}

// proposeDocument proposes a document to the replicated log and returns the
// version that is in force afterwards.
func (l *leader) proposeDocument(ctx context.Context, in *applyRequest) (applyReply, error) {
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

// switchOver starts a planned change of primary.
func (l *leader) switchOver(group table.GroupName, to table.InstanceID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leading {
		return errkind.New(errkind.NotLeader, "")
	}
	return l.failover.SwitchOver(group, to)
}
