package admission

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

const (
	// minShare keeps estimates finite for ranks that get next to nothing.
	minShare = 0.01
	// startSpreads is how many mean deviations of the service time a start
	// leaves before the deadline.
	startSpreads = 2
	// offerSpreads is the same at the offer, when the wait is estimated too.
	offerSpreads = 4
)

// startLimit returns the latest start of r that leaves time for its answer.
// A request that comes with less time than that, but with enough for the mean
// service time, may start at once.
func startLimit(now time.Duration, r *Request) time.Duration {
	limit := r.Deadline - r.cost - startSpreads*r.class.spread
	if limit < now && r.Deadline-r.cost >= now {
		return now
	}
	return limit
}

// wantedLimit returns the latest start of r that meets the objective of its
// class, zero if it has none.
func wantedLimit(now time.Duration, r *Request) time.Duration {
	if r.class.objective == 0 {
		return 0
	}
	return max(1, now+r.class.objective-r.cost)
}

// refusal decides whether r is refused at its offer.
func (q *Queue) refusal(now time.Duration, r *Request) (Reason, bool) {
	if r.startBy < now {
		return ReasonTooLate, true
	}
	if q.slots == 0 || q.running < q.slots {
		return 0, false
	}
	if q.full(r) {
		return ReasonQueueFull, true
	}
	if r.Continuation {
		return 0, false
	}
	left := r.Deadline - now - r.cost - offerSpreads*r.class.spread
	if q.wait(now, r) > left {
		return ReasonQueueTooLong, true
	}
	return 0, false
}

// full reports whether the queue of the rank is full and the caller of r has
// its fair share of it.
func (q *Queue) full(r *Request) bool {
	rank := &q.ranks[r.class.rank]
	if rank.count < q.maxQueued {
		return false
	}
	if rank.count >= 2*q.maxQueued {
		return true
	}
	k := r.class.callers[r.Caller]
	if k == nil || k.count == 0 {
		return false
	}
	return k.count >= q.maxQueued/(len(rank.classes)*len(r.class.active))
}

// wait estimates how long the new request r would wait: the work ahead of it
// in a fair service of classes and callers, over the slots its rank gets.
func (q *Queue) wait(now time.Duration, r *Request) time.Duration {
	rank, c := &q.ranks[r.class.rank], r.class
	ahead := c.work
	if k := c.callers[r.Caller]; k == nil || k.count == 0 {
		ahead = min(ahead, time.Duration(len(c.active))*c.mean)
	} else {
		ahead = min(ahead, k.work*time.Duration(len(c.active)))
	}
	classes := len(rank.classes)
	if c.count == 0 {
		classes++
	}
	slots := float64(q.slots)
	inRank := min(rank.work, ahead*time.Duration(classes))
	wait := scale(inRank, slots*q.share(c.rank))
	c.refill(now)
	if c.rate > 0 {
		own := c.rate * c.mean.Seconds() / slots
		wait = min(wait, scale(ahead, slots*max(minShare, min(1, own))))
	}
	if float64(c.count)+1 <= c.tokens {
		wait = min(wait, scale(ahead, slots))
	}
	return wait
}

// WaitEstimate returns how long new work of a rank is expected to wait, as a
// hint for routing.
func (q *Queue) WaitEstimate(now time.Duration, rank config.Rank) time.Duration {
	q.accrue(now)
	if q.slots == 0 || q.running < q.slots {
		return 0
	}
	work := q.ranks[rank].work
	if q.ranks[rank].count == 0 {
		work = q.ranks[rank].mean
	}
	return scale(work, float64(q.slots)*q.share(rank))
}

// share is the part of the slots that a rank can count on: what more urgent
// ranks have left lately, and its floor at the least. The floors of less
// urgent ranks are kept free while they have queued work.
func (q *Queue) share(rank config.Rank) float64 {
	left := 1.0
	for other := range q.ranks {
		o := &q.ranks[other]
		switch {
		case other < int(rank):
			left -= o.usage
		case other > int(rank) && o.count > 0:
			left -= o.floor
		}
	}
	return max(left, q.ranks[rank].floor, minShare)
}

func scale(d time.Duration, by float64) time.Duration {
	return time.Duration(float64(d) / by)
}
