package host

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// This file implements what the leader makes of announcements: the entries of the
// instance table.

// maxLeftInstances limits how many entries leader.leftInstances has.
const maxLeftInstances = 4096

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
