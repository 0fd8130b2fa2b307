package routing

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// remoteCost is the round trip time to another failure domain.
	remoteCost = 3 * time.Millisecond
	// suspectPenalty is the additional cost of a replica whose owner may be
	// dead.
	suspectPenalty = 100 * time.Millisecond
	// equalCostMargin is the difference up to which the costs of two replicas
	// count as equal. Estimates of the queueing delay are too old for smaller
	// differences to matter.
	equalCostMargin = time.Millisecond
	// waitDivisor limits the time that a read may wait for a replica to
	// 1/waitDivisor of the time that remains until its deadline.
	waitDivisor = 4
	// queueDivisor limits the time that a read may queue at a replica, while the
	// queue of the primary is short, to 1/queueDivisor of the objective.
	queueDivisor = 16
	// sampleInterval is the interval at which an owner samples its replicas.
	sampleInterval = 20 * time.Millisecond
	// leavingPrimaryGrace is how long a leaving primary is still used. Another
	// instance should become primary within that time: no more than a few
	// seconds.
	leavingPrimaryGrace = 4 * time.Second
	// hintTTL is how long a hint can exclude a replica. After that, requests
	// are sent to the replica again.
	hintTTL = time.Second
)

// Query is one request to be routed.
type Query struct {
	Access config.Access
	// Staleness is the maximum age of the data of a read. Zero requires current
	// data.
	Staleness time.Duration
	// Floor is the mark that the session must see. It applies if HasFloor is
	// set.
	Floor    table.Mark
	HasFloor bool
	// Deadline is the local time after which an answer is useless.
	Deadline time.Duration
	// Objective is the time within which an answer has its full worth. Zero
	// means none.
	Objective time.Duration
	Rank      config.Rank
	Home      table.Domain // failure domain of the entry host
	// Seed distributes requests among equally suitable replicas.
	Seed uint64
	// Affinity is a hash of the workspace of the caller, zero if it has none.
	// Requests with the same value prefer the same one of equally suitable
	// replicas, because connections to instances are kept per workspace.
	Affinity uint64
	// Responsive reports whether a host is expected to answer. Nil means that
	// every host is.
	Responsive func(table.HostID) bool
}

// responds reports whether the owner of c is expected to answer.
func (q *Query) responds(c *Candidate) bool {
	return q.Responsive == nil || q.Responsive(c.Owner)
}

// Decision is the instance that a request goes to, or its refusal.
type Decision struct {
	// Instance is empty when the request is refused.
	Instance table.InstanceID
	Owner    table.HostID
	Reason   Reason
	// Wait is how long the owner may delay the request until the replica is
	// fresh enough, before it rejects the request.
	Wait time.Duration
	// Trial is set if the instance rejected an equally strict request before.
	// The view must then be replaced by WithTrial.
	Trial bool
	// Refuse is the kind of the refusal. It applies if Instance is empty.
	Refuse errkind.Kind
}

// Refused reports whether no instance can serve the request.
func (d *Decision) Refused() bool { return d.Instance == "" }

// Choose routes the request q to an instance of the group v, or refuses it. It
// never chooses a replica that is leaving, or an instance without a live owner.
// A leaving primary is used for a short time.
func Choose(now time.Duration, q *Query, v *GroupView) Decision {
	if now >= q.Deadline {
		return refuse(errkind.DeadlineUnreachable, ReasonDeadlinePassed)
	}
	if v == nil {
		return refuse(errkind.NoPrimary, ReasonNoPrimary)
	}
	if q.Access == config.AccessWrite {
		return toPrimary(now, q, v, ReasonWrite)
	}
	if q.Staleness <= 0 {
		return toPrimary(now, q, v, ReasonCurrentRead)
	}
	var set candidateSet
	set.collect(now, q, v)
	if set.countBy[suitable] == 0 {
		return fallBack(now, q, v, &set)
	}
	o := set.pick(q, suitable)
	if shouldOverflow(now, q, v, o) {
		return toPrimary(now, q, v, ReasonReplicasBusy)
	}
	reason := ReasonReplicaRemote
	if o.candidate.Domain == q.Home {
		reason = ReasonReplicaLocal
	}
	return toReplica(now, q, o, reason)
}

// shouldOverflow reports whether the primary should serve a read because the
// queues of the replicas take too much of the deadline or of the objective and
// the primary's queue is less than half as long.
func shouldOverflow(now time.Duration, q *Query, v *GroupView, o *option) bool {
	if o.cost <= maxReplicaWait(now, q) {
		return false
	}
	c := v.Find(v.Primary)
	return c != nil && !c.Leaving && hasLiveOwner(c) && q.responds(c) && 2*cost(now, q, c) < o.cost
}

// maxReplicaWait is how long a read may queue at a replica before the primary
// may serve it.
func maxReplicaWait(now time.Duration, q *Query) time.Duration {
	if q.Objective == 0 {
		return waitBudget(now, q)
	}
	return min(waitBudget(now, q), q.Objective/queueDivisor)
}

// fallBack routes a read for which the hints show no suitable replica.
func fallBack(now time.Duration, q *Query, v *GroupView, set *candidateSet) Decision {
	d := toPrimary(now, q, v, ReasonReplicasStale)
	switch {
	case set.countBy[lagging] > 0:
		o := set.pick(q, lagging)
		if d.Refused() || q.Rank != config.RankUrgent || o.cost <= cost(now, q, v.Find(v.Primary)) {
			return toReplica(now, q, o, ReasonReplicaWait)
		}
		// Only urgent work uses slots of the primary to be answered sooner.
		d.Reason = ReasonPrimarySooner
	case d.Refused() && set.countBy[unlikely] > 0:
		return toReplica(now, q, set.pick(q, unlikely), ReasonReplicaLastResort)
	case d.Refused() && set.count > 0:
		return refuse(errkind.StalenessUnprovable, ReasonUnprovable)
	case !d.Refused() && set.count == 0:
		d.Reason = ReasonNoReplica
	}
	return d
}

// toPrimary routes the request to the primary, or refuses it if the primary is
// not usable.
func toPrimary(now time.Duration, q *Query, v *GroupView, reason Reason) Decision {
	c := v.Find(v.Primary)
	switch {
	case v.Primary == "" || c == nil:
		return refuse(errkind.NoPrimary, ReasonNoPrimary)
	case c.Leaving && now >= c.LeavingAt+leavingPrimaryGrace:
		return refuse(errkind.NoPrimary, ReasonPrimaryLeaving)
	case !hasLiveOwner(c):
		return refuse(errkind.NoOwner, ReasonNoOwner)
	case c.OwnerState == table.HostSuspect:
		return refuse(errkind.NoOwner, ReasonOwnerSuspect)
	case !q.responds(c):
		return refuse(errkind.NoOwner, ReasonOwnerUnresponsive)
	}
	return Decision{Instance: c.Instance, Owner: c.Owner, Reason: reason}
}

// toReplica routes the request to a replica. The owner may delay the request
// until the replica reaches the floor, or until the next sample of the replica,
// because the provable age grows between two samples.
func toReplica(now time.Duration, q *Query, o *option, reason Reason) Decision {
	d := Decision{Instance: o.candidate.Instance, Owner: o.candidate.Owner, Reason: reason, Trial: o.trial}
	h := &o.candidate.Hint
	switch {
	case reason == ReasonReplicaLastResort:
		d.Wait = waitBudget(now, q)
	case q.HasFloor && h.Mark.Less(q.Floor):
		d.Wait = min(waitBudget(now, q), 2*h.Age+sampleInterval)
	default:
		d.Wait = min(waitBudget(now, q), sampleInterval)
	}
	return d
}

func refuse(kind errkind.Kind, reason Reason) Decision {
	return Decision{Reason: reason, Refuse: kind}
}

// hasLiveOwner reports whether c has an owner that is alive or suspect.
func hasLiveOwner(c *Candidate) bool {
	return c.Owner != "" && (c.OwnerState == table.HostAlive || c.OwnerState == table.HostSuspect)
}

// cost is the expected time until c gives a slot to work of the rank of q. A
// replica in another failure domain has a surcharge, so that it is preferred
// only if it is clearly better.
func cost(now time.Duration, q *Query, c *Candidate) time.Duration {
	wait := c.Hint.queueWait(now, q.Rank)
	if c.Domain != q.Home {
		wait += wait/4 + remoteCost
	}
	if c.OwnerState == table.HostSuspect {
		wait += suspectPenalty
	}
	return wait
}
