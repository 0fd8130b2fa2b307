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

// maxLeftInstances limits how many entries leader.leftInstances has.
const maxLeftInstances = 4096

// nudgeTimeout limits the call that asks a host for an immediate heartbeat.
const nudgeTimeout = 200 * time.Millisecond

// handleAnnouncement applies an announcement that a host forwarded to the
// leader. Stale announcements are dropped, and so are those that no instance sends:
// the host may run a build that lets them pass.
func (l *leader) handleAnnouncement(now time.Duration, a dbedge.Announcement) {
	if err := a.Validate(); err != nil {
		l.log.WithError(err).Warn("announcement of a host refused")
		return
	}
	in := instanceFromAnnouncement(a)
	in.SeenAt = now
	if !l.acceptsAnnouncement(&in, a.Gone) {
		return
	}
	if a.Gone {
		l.markLeft(now, in.ID)
		return
	}
	if !l.holdsAddress(&in) {
		l.markPredecessorsLeft(&in)
		l.claimAddress(&in)
	}
	l.putInstance(in)
}

// acceptsAnnouncement reports whether an announcement is current and agrees with what
// the instance said before. It logs one that is not accepted.
func (l *leader) acceptsAnnouncement(in *table.Instance, gone bool) bool {
	if l.isStaleAnnouncement(in, gone) {
		l.log.WithFields(logrus.Fields{"instance": in.ID, "born": in.Born, "sequence": in.Sequence}).Info("late announcement dropped")
		return false
	}
	if old, known := l.instances[in.ID]; known && old.Born == in.Born && in.Group != "" && old.Group != in.Group {
		l.log.WithFields(logrus.Fields{"instance": in.ID, "group": in.Group, "known_group": old.Group}).Warn("announcement of another group refused")
		return false
	}
	return true
}

// putInstance installs the entry of an announced instance.
func (l *leader) putInstance(in table.Instance) {
	old, known := l.instances[in.ID]
	in.Emptied = known && l.isEmptied(&old, &in)
	l.failover.HandleAnnouncement(in)
	l.ownership.HandleAnnouncement(in)
	l.instances[in.ID] = in
	if _, committed := l.appliedView.Instances[in.ID]; !known && !committed && l.uncommitted != nil {
		l.uncommitted[in.ID] = true
	}
	// These fields change with every announcement, so a change of them alone
	// is not distributed to the hosts.
	old.Mark.Position, old.SeenAt, old.Sequence = in.Mark.Position, in.SeenAt, in.Sequence
	if !known || old != in {
		l.log.WithFields(logrus.Fields{
			"instance": in.ID, "group": in.Group, "role": in.Role.String(), "term": in.Mark.Term,
			"address": in.Address, "leaving": in.Leaving,
		}).Info("instance announced")
		l.recordInstanceChange(in.ID)
	}
	l.recordInstance(in) // also if an earlier proposal was lost
}

// isEmptied reports whether an instance whose entry old is replaced by in may lack what
// it once held. A later start may. An announcement of an earlier start is accepted only
// if the entry of the later one was not the instance's own, so that the mark which that
// entry set does not count.
func (l *leader) isEmptied(old, in *table.Instance) bool {
	switch {
	case old.Born == 0 || in.Born == old.Born:
		return old.Emptied
	case in.Born > old.Born:
		if l.earlierStarts == nil {
			l.earlierStarts = map[table.InstanceID]table.Instance{}
		}
		l.earlierStarts[in.ID] = *old
		return true
	default:
		before, known := l.earlierStarts[in.ID]
		return !known || before.Born != in.Born || before.Emptied
	}
}

// addressClaim is the address at which an instance has announced itself and the
// number of that start.
type addressClaim struct {
	address string
	born    uint64
}

// holdsAddress reports whether an announcement repeats the address and the start of
// an earlier one to this leader. No other instance can have started at that address
// before or since, because the earlier announcement was checked, and a later start
// marks this instance as left.
func (l *leader) holdsAddress(in *table.Instance) bool {
	claim, known := l.claims[in.ID]
	return known && claim == addressClaim{in.Address, in.Born}
}

func (l *leader) claimAddress(in *table.Instance) {
	if l.claims == nil {
		l.claims = map[table.InstanceID]addressClaim{}
	}
	l.claims[in.ID] = addressClaim{in.Address, in.Born}
}

// recordInstance queues the instance to be stored in the control state, unless the
// state already holds the same entry.
func (l *leader) recordInstance(in table.Instance) {
	in.Mark, in.SeenAt, in.Sequence = table.Mark{}, 0, 0
	if l.appliedView.Instances[in.ID] != in {
		l.notes = append(l.notes, in)
	}
}

// proposeNotes proposes one command for the instances that recordInstance queued.
func (l *leader) proposeNotes() {
	if len(l.notes) > 0 {
		l.propose(control.Command{NoteInstances: &control.NoteInstances{Known: l.notes}})
		l.notes = nil
	}
}

// isStaleAnnouncement reports whether an announcement is older than what the
// leader knows: the announcement was delayed, or its sender has left and a
// later instance uses the address. Gone is set for a last announcement.
func (l *leader) isStaleAnnouncement(in *table.Instance, gone bool) bool {
	if in.Sequence == 0 && in.Born == 0 {
		return l.lacksNumbers(in, gone)
	}
	if l.runsElsewhere(in) {
		delete(l.leftInstances, in.ID)
		delete(l.departures, in.ID)
	} else if born, left := l.leftInstances[in.ID]; left && in.Born <= born {
		return true
	} else if old, known := l.instances[in.ID]; known && isOlderAnnouncement(in, &old) {
		if !l.continuesDespite(in, &old) {
			return true
		}
		l.log.WithFields(logrus.Fields{
			"instance": in.ID, "born": in.Born, "sequence": in.Sequence, "dropped_born": old.Born, "dropped_sequence": old.Sequence,
		}).Warn("entry ahead of its instance dropped")
	}
	if l.holdsAddress(in) {
		return false
	}
	for _, other := range l.instances {
		if other.ID != in.ID && in.Address != "" && other.Address == in.Address && other.Born > in.Born {
			return true
		}
	}
	return false
}

// lacksNumbers reports whether an announcement without numbers names an instance that
// numbers its starts. It is not known whether its sender is that instance. Only the
// last announcement of an instance that said that it is leaving may come without.
func (l *leader) lacksNumbers(in *table.Instance, gone bool) bool {
	old, known := l.instances[in.ID]
	return known && old.Born != 0 && !(gone && old.Leaving)
}

// isOlderAnnouncement reports whether the instance sent in before old. After an
// instance has left, only an announcement of a new start is newer.
func isOlderAnnouncement(in, old *table.Instance) bool {
	if in.Born != old.Born {
		return in.Born < old.Born
	}
	return old.Left || in.Sequence != 0 && in.Sequence < old.Sequence
}

// markPredecessorsLeft marks the instances that used the address earlier as left.
func (l *leader) markPredecessorsLeft(in *table.Instance) {
	for id, other := range l.instances {
		if id != in.ID && other.Address == in.Address && other.Born < in.Born {
			l.markLeft(in.SeenAt, id)
		}
	}
}

// markLeft marks an instance as left, after its last announcement or after a
// later instance has announced itself at its address. The instance stays in the
// tables, unused, until no write can depend on it, because a new leader must
// take it into account too.
func (l *leader) markLeft(now time.Duration, id table.InstanceID) {
	in, known := l.instances[id]
	if !known || in.Left {
		return
	}
	if len(l.leftInstances) >= maxLeftInstances {
		clear(l.leftInstances) // most of these instances left long ago
		clear(l.departures)
	}
	l.leftInstances[id] = in.Born
	in.Leaving, in.Left = true, true
	if l.departures == nil {
		l.departures = map[table.InstanceID]table.Instance{}
	}
	l.departures[id] = in
	l.instances[id] = in
	l.log.WithField("instance", id).Info("instance left")
	l.failover.HandleInstanceLeft(now, id)
	l.recordInstanceChange(id)
	l.recordInstance(in)
}

// recordRefill records that the given start of an instance holds what the instance
// may have lost.
func (l *leader) recordRefill(id table.InstanceID, born uint64) {
	in, known := l.instances[id]
	if !known || in.Born != born || !in.Emptied {
		return
	}
	l.log.WithField("instance", id).Info("instance holds what its primary holds")
	in.Emptied = false
	l.instances[id] = in
	l.recordInstanceChange(id)
	l.recordInstance(in)
	l.proposeNotes()
}

// removeInstance deletes an instance that has left, once the other instances hold
// everything that it may have held.
func (l *leader) removeInstance(id table.InstanceID) {
	if in, known := l.instances[id]; !known || !in.Left {
		return // the instance is unknown or has started again
	}
	l.log.WithField("instance", id).Info("instance gone")
	delete(l.instances, id)
	delete(l.claims, id)
	delete(l.continuations, id)
	delete(l.earlierStarts, id)
	l.proposeGone(id)
	l.tablesVersion.Number++
	l.changeLog = tableLog{truncatedThrough: l.tablesVersion.Number} // hosts get full tables
}

// proposeGone proposes that instances are removed from the control state.
func (l *leader) proposeGone(ids ...table.InstanceID) {
	l.propose(control.Command{NoteInstances: &control.NoteInstances{Gone: ids}})
}

// removeInvalidInstances removes the restored instances that no announcement may
// name. They come from hosts of a build that let them pass, and a group would wait
// for the positions of instances that are not there.
func (l *leader) removeInvalidInstances() {
	var gone []table.InstanceID
	for id, in := range l.instances {
		a := announcementFromInstance(in)
		err := a.Validate()
		if err == nil {
			continue
		}
		l.log.WithError(err).Warn("stored instance refused")
		delete(l.instances, id)
		gone = append(gone, id)
	}
	if len(gone) > 0 {
		slices.Sort(gone)
		l.proposeGone(gone...)
	}
}

// announcementFromInstance returns the announcement that leads to an entry of the
// instance table.
func announcementFromInstance(in table.Instance) dbedge.Announcement {
	return dbedge.Announcement{
		Group: in.Group, Instance: in.ID, Address: in.Address, Domain: in.Domain, Role: in.Role.String(),
		Term: in.Mark.Term, Position: in.Mark.Position, Slots: in.Slots, Connections: in.Connections,
		Leaving: in.Leaving, Born: in.Born, Sequence: in.Sequence,
	}
}

// instanceFromAnnouncement converts an announcement to an entry of the instance
// table. Any role but primary counts as replica.
func instanceFromAnnouncement(a dbedge.Announcement) table.Instance {
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
	})
	if err != nil {
		l.log.WithError(err).WithField("instance", a.Instance).Warn("promotion failed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.host.clock()
	l.failover.HandlePromoteResult(now, failover.PromoteResult{
		Group: a.Group, Instance: a.Instance, Term: a.Term, OK: err == nil, Status: st,
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
