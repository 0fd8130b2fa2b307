package routing

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// remoteCost is the round trip to another failure domain.
	remoteCost = 3 * time.Millisecond
	// suspectCost weighs a replica whose owner may be dead.
	suspectCost = 100 * time.Millisecond
	// equalCost is the difference up to which two replicas count as equal:
	// queue estimates are older than that is worth.
	equalCost = time.Millisecond
	// waitShare is the part of the remaining deadline, as a divisor, that a
	// read may wait for a replica.
	waitShare = 4
	// queueShare is the part of the objective, as a divisor, that a read may
	// queue at a replica while the primary has room.
	queueShare = 16
	// sampleInterval is how often an owner hears from its replicas.
	sampleInterval = 20 * time.Millisecond
	// leavingPrimary is how long a primary that leaves is still used, until
	// another one follows it: no more than a few seconds.
	leavingPrimary = 4 * time.Second
	// hintLife is how long a hint rules a replica out. After it the replica
	// is tried again.
	hintLife = time.Second
)

// Query is one request to be routed.
type Query struct {
	Access config.Access
	// Staleness is how old the data of a read may be, zero for current.
	Staleness time.Duration
	// Floor is the mark that the session must see, if HasFloor is set.
	Floor    table.Mark
	HasFloor bool
	// Deadline is the local moment after which an answer is of no use.
	Deadline time.Duration
	// Objective is how soon an answer is worth most; zero means none.
	Objective time.Duration
	Rank      config.Rank
	Home      table.Domain // failure domain of the entry host
	// Seed spreads requests over equal replicas.
	Seed uint64
}

// Decision says where a request goes.
type Decision struct {
	// Instance is empty when the request is refused.
	Instance table.InstanceID
	Owner    table.HostID
	Reason   Reason
	// Wait is how long the owner may let the request wait for the replica to
	// become fresh enough, before it answers that it is not.
	Wait time.Duration
	// Refuse is the kind of the refusal; it counts when Instance is empty.
	Refuse errkind.Kind
}

// Refused reports whether nothing can serve the request.
func (d *Decision) Refused() bool { return d.Instance == "" }

// Choose decides where the request q on the group v goes. It never chooses an
// instance that is leaving or that no live host owns.
func Choose(now time.Duration, q *Query, v *GroupView) Decision {
	if now >= q.Deadline {
		return refuse(errkind.DeadlineUnreachable, ReasonDeadlinePassed)
	}
	if v == nil {
		return refuse(errkind.NoPrimary, ReasonNoPrimary)
	}
	if q.Access == config.AccessWrite {
		return toPrimary(now, v, ReasonWrite)
	}
	if q.Staleness <= 0 {
		return toPrimary(now, v, ReasonCurrentRead)
	}
	var s survey
	s.take(now, q, v)
	if s.per[fit] == 0 {
		return fallBack(now, q, v, &s)
	}
	o := s.pick(q.Seed, fit)
	if overflows(now, q, v, o) {
		return toPrimary(now, v, ReasonReplicasBusy)
	}
	why := ReasonReplicaRemote
	if o.candidate.Domain == q.Home {
		why = ReasonReplicaLocal
	}
	return toReplica(now, q, o, why)
}

// overflows reports whether the primary should take a read because the queues
// of the replicas eat up the deadline or the objective while its own is short.
func overflows(now time.Duration, q *Query, v *GroupView, o *option) bool {
	if o.cost <= patience(now, q) {
		return false
	}
	c := v.Find(v.Primary)
	return c != nil && !c.Leaving && owned(c) && 2*cost(now, q, c) < o.cost
}

// patience is how long a read may queue at a replica before the primary may
// take it.
func patience(now time.Duration, q *Query) time.Duration {
	if q.Objective == 0 {
		return budget(now, q)
	}
	return min(budget(now, q), q.Objective/queueShare)
}

// fallBack decides for a read that no replica is known to be fit for.
func fallBack(now time.Duration, q *Query, v *GroupView, s *survey) Decision {
	d := toPrimary(now, v, ReasonReplicasStale)
	switch {
	case s.per[lagging] > 0:
		o := s.pick(q.Seed, lagging)
		if d.Refused() || q.Rank != config.RankUrgent || o.cost <= cost(now, q, v.Find(v.Primary)) {
			return toReplica(now, q, o, ReasonReplicaWait)
		}
		// Only urgent work takes the primary's slots to be sooner.
		d.Reason = ReasonPrimarySooner
	case d.Refused() && s.per[doubted] > 0:
		return toReplica(now, q, s.pick(q.Seed, doubted), ReasonReplicaLastResort)
	case d.Refused() && s.count > 0:
		return refuse(errkind.StalenessUnprovable, ReasonUnprovable)
	case !d.Refused() && s.count == 0:
		d.Reason = ReasonNoReplica
	}
	return d
}

// toPrimary sends the request to the primary, or refuses it.
func toPrimary(now time.Duration, v *GroupView, why Reason) Decision {
	c := v.Find(v.Primary)
	switch {
	case v.Primary == "" || c == nil:
		return refuse(errkind.NoPrimary, ReasonNoPrimary)
	case c.Leaving && now >= c.LeavingAt+leavingPrimary:
		return refuse(errkind.NoPrimary, ReasonPrimaryLeaving)
	case !owned(c):
		return refuse(errkind.NoOwner, ReasonNoOwner)
	case c.OwnerState == table.HostSuspect:
		return refuse(errkind.NoOwner, ReasonOwnerSuspect)
	}
	return Decision{Instance: c.Instance, Owner: c.Owner, Reason: why}
}

// toReplica sends the request to a replica. Its owner may wait until the
// replica reaches the floor, or until it next hears from it: the age that it
// can prove grows between two samples.
func toReplica(now time.Duration, q *Query, o *option, why Reason) Decision {
	d := Decision{Instance: o.candidate.Instance, Owner: o.candidate.Owner, Reason: why}
	h := &o.candidate.Hint
	switch {
	case why == ReasonReplicaLastResort:
		d.Wait = budget(now, q)
	case q.HasFloor && h.Mark.Less(q.Floor):
		d.Wait = min(budget(now, q), 2*h.Age+sampleInterval)
	default:
		d.Wait = min(budget(now, q), sampleInterval)
	}
	return d
}

func refuse(kind errkind.Kind, why Reason) Decision {
	return Decision{Reason: why, Refuse: kind}
}

// owned reports whether a host that may be alive owns c.
func owned(c *Candidate) bool {
	return c.Owner != "" && (c.OwnerState == table.HostAlive || c.OwnerState == table.HostSuspect)
}

// cost is the expected time until c gives a slot to work of the rank of q.
// A replica of another failure domain must be clearly better to win.
func cost(now time.Duration, q *Query, c *Candidate) time.Duration {
	wait := c.Hint.wait(now, q.Rank)
	if c.Domain != q.Home {
		wait += wait/4 + remoteCost
	}
	if c.OwnerState == table.HostSuspect {
		wait += suspectCost
	}
	return wait
}
