package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	// minShare is a lower limit that keeps estimates finite for ranks with next
	// to no slots.
	minShare = 0.01
	// startDeviations is the safety margin between the expected end of a
	// request and its deadline, in mean deviations of the service time.
	startDeviations = 2
	// offerDeviations is the same margin when a request is offered. It is
	// larger because the queueing delay is an estimate too.
	offerDeviations = 4
)

// startLimit returns the latest start of r that leaves time for its answer
// before the deadline. A request that arrives without the full safety margin,
// but with enough time for the mean service time, may start at once.
func startLimit(now time.Duration, r *Request) time.Duration {
	limit := r.Deadline - r.cost - startDeviations*r.class.deviation
	if limit < now && r.Deadline-r.cost >= now {
		return now
	}
	return limit
}

// objectiveStartLimit returns the latest start of r that meets the objective of
// its class, zero if the class has none.
func objectiveStartLimit(now time.Duration, r *Request) time.Duration {
	if r.class.objective == 0 {
		return 0
	}
	return max(1, now+r.class.objective-r.cost)
}

// refusal reports whether r is refused when it is offered, and why.
func (q *Queue) refusal(now time.Duration, r *Request) (Reason, bool) {
	if r.startBy < now {
		return ReasonTooLate, true
	}
	if q.slots == 0 || q.running < q.slots {
		return 0, false
	}
	if q.isFull(r) {
		return ReasonQueueFull, true
	}
	if r.Continuation {
		return 0, false
	}
	maxWait := r.Deadline - now - r.cost - offerDeviations*r.class.deviation
	if q.estimateWait(now, r) > maxWait {
		return ReasonQueueTooLong, true
	}
	return 0, false
}

// isFull reports whether the queue of the rank is full and the caller of r
// already has its fair share of it.
func (q *Queue) isFull(r *Request) bool {
	rank := &q.ranks[r.class.rank]
	if rank.count < q.maxQueued {
		return false
	}
	if rank.count >= 2*q.maxQueued {
		return true
	}
	w := r.class.workspaces.byName[r.Workspace]
	if w == nil || !w.callers.isQueued(r.Caller) {
		return false
	}
	competitors := len(rank.classes) * len(r.class.workspaces.active) * len(w.callers.active)
	return w.callers.byName[r.Caller].count >= q.maxQueued/competitors
}

// estimateWait returns the expected queueing delay of the new request r: the
// work ahead of it under fair queueing among classes, workspaces and callers, divided by
// the slots that its rank gets.
func (q *Queue) estimateWait(now time.Duration, r *Request) time.Duration {
	rank, c := &q.ranks[r.class.rank], r.class
	ahead := c.workAhead(r)
	classes := len(rank.classes)
	if c.count == 0 {
		classes++
	}
	slots := float64(q.slots)
	inRank := min(rank.work, ahead*time.Duration(classes))
	wait := divide(inRank, slots*q.availableShare(c.rank))
	c.refill(now)
	if c.rate > 0 {
		declaredShare := c.rate * c.mean.Seconds() / slots
		wait = min(wait, divide(ahead, slots*max(minShare, min(1, declaredShare))))
	}
	if float64(c.count)+1 <= c.tokens {
		wait = min(wait, divide(ahead, slots))
	}
	return max(wait, q.waitForOthers(now, r))
}

// waitForOthers returns how long a workspace that has used up its fair share waits
// for the queued work of the others, zero for any other workspace.
func (q *Queue) waitForOthers(now time.Duration, r *Request) time.Duration {
	if !q.shares.contended() || !q.shares.isAhead(now, r.Workspace) {
		return 0
	}
	return divide(q.shares.work-q.shares.byName[r.Workspace].work, float64(q.slots))
}

// workAhead returns the expected service time of the queued requests of the class
// that start before the new request r: what its workspace has ahead of it, and as
// much for each other workspace.
func (c *class) workAhead(r *Request) time.Duration {
	workspaces := time.Duration(len(c.workspaces.active))
	w := c.workspaces.byName[r.Workspace]
	if w == nil || w.count == 0 {
		return min(c.work, workspaces*c.mean)
	}
	callers := time.Duration(len(w.callers.active))
	ahead := callers * c.mean
	if w.callers.isQueued(r.Caller) {
		ahead = callers * w.callers.byName[r.Caller].work
	}
	return min(c.work, workspaces*min(ahead, w.work))
}

// WaitEstimate returns the expected queueing delay of new work of a rank.
// Routing uses it as a hint.
func (q *Queue) WaitEstimate(now time.Duration, rank config.Rank) time.Duration {
	q.accrue(now)
	if q.slots == 0 || q.running < q.slots {
		return 0
	}
	work := q.ranks[rank].work
	if q.ranks[rank].count == 0 {
		work = q.ranks[rank].mean
	}
	return divide(work, float64(q.slots)*q.availableShare(rank))
}

// availableShare returns the share of the slots that a rank can rely on: what
// more urgent ranks have recently left unused, and at least the floor of the
// rank. The floors of less urgent ranks are reserved while they have queued
// work.
func (q *Queue) availableShare(rank config.Rank) float64 {
	available := 1.0
	for other := range q.ranks {
		o := &q.ranks[other]
		switch {
		case other < int(rank):
			available -= o.usage
		case other > int(rank) && o.count > 0:
			available -= o.floor
		}
	}
	return max(available, q.ranks[rank].floor, minShare)
}

func divide(d time.Duration, divisor float64) time.Duration {
	return time.Duration(float64(d) / divisor)
}
