// Package routing chooses, at the entry host, the instance that serves a
// request. The inputs are hints. The owner of the instance checks the exact age
// and position when it runs the request, so a wrong hint costs an additional
// hop but never causes a wrong answer. All times are readings of the local
// monotonic clock.
package routing

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// minAvoid is how long a replica is avoided after its first rejection.
	minAvoid = 50 * time.Millisecond
	// maxAvoid is the upper limit of that time, which doubles with each further
	// rejection.
	maxAvoid = 2 * time.Second
)

// Candidate is one instance of a group as the entry host sees it.
type Candidate struct {
	Instance table.InstanceID
	Owner    table.HostID // empty if no host owns the instance
	Domain   table.Domain
	Role     table.Role
	Leaving  bool
	// LeavingAt is the local time at which this host learned that the instance
	// is leaving.
	LeavingAt  time.Duration
	OwnerState table.HostState

	Hint  Hint
	avoid avoidance
}

// Hint is the latest information from the owner of an instance, received with
// an answer or by gossip.
type Hint struct {
	// At is the local time at which the hint arrived. Zero means that there is
	// no hint yet.
	At time.Duration
	// Age is the age of the data that the owner could prove. It is valid if
	// AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
	Mark     table.Mark
	// QueueWait is the expected queueing delay for work of each rank.
	QueueWait [config.RankCount]time.Duration
}

// isCurrent reports whether the hint has arrived and has not expired at now.
func (h *Hint) isCurrent(now time.Duration) bool {
	return h.At > 0 && now-h.At <= hintTTL
}

// queueWait returns the expected queueing delay for work of a rank at now. The
// reported delay decays linearly to zero over hintTTL. A queue usually
// persists, and many hosts receive hints of it at different times, so the
// estimate must not drop at once; the decay makes the host send requests to the
// instance again.
func (h *Hint) queueWait(now time.Duration, rank config.Rank) time.Duration {
	weight := float64(hintTTL-(now-h.At)) / float64(hintTTL)
	return time.Duration(max(0, weight) * float64(h.QueueWait[rank]))
}

// avoidance records why and until when a replica is avoided after a rejection.
type avoidance struct {
	at        time.Duration // time of the rejection
	until     time.Duration
	backoff   time.Duration
	staleness time.Duration // staleness that could not be proven, zero if not the cause
	floor     table.Mark    // floor that was not reached
	hasFloor  bool
}

// applies reports whether q would be rejected for the recorded cause.
func (a *avoidance) applies(now time.Duration, q *Query) bool {
	if now >= a.until {
		return false
	}
	if a.hasFloor && q.HasFloor && !q.Floor.Less(a.floor) {
		return true
	}
	return a.staleness > 0 && q.Staleness <= a.staleness
}

// keepCause drops the staleness or the floor if the hint of the owner shows
// that it was not the cause of the rejection. Otherwise a read with a recent
// floor would keep other reads away from the replica.
func (a *avoidance) keepCause(h *Hint) {
	fresh := h.AgeKnown && h.Age <= a.staleness
	switch {
	case a.hasFloor && fresh:
		a.staleness = 0
	case a.hasFloor && !h.Mark.Less(a.floor):
		a.hasFloor = false
	}
}

// isRetryDue reports whether h arrived with the rejection and the time to avoid
// the replica has passed, so that the replica is due for a retry.
func (a *avoidance) isRetryDue(now time.Duration, h *Hint) bool {
	return a.at == h.At && now >= a.until
}

// Rejection is the answer of an owner that its replica is not fresh enough for
// a request.
type Rejection struct {
	Hint Hint // hint that came with the answer
	// Staleness is the staleness of the request, zero if it is known not to be
	// the cause.
	Staleness time.Duration
	// Floor is the floor of the request. HasFloor is false if the floor is
	// known not to be the cause.
	Floor    table.Mark
	HasFloor bool
}

// GroupView is the state of one group as the entry host sees it. A published
// view is immutable.
type GroupView struct {
	Name       table.GroupName
	Term       table.Term
	Primary    table.InstanceID // empty if there is none
	Candidates []Candidate
}

// WithHint returns a copy of v with a new hint for one instance.
func (v *GroupView) WithHint(id table.InstanceID, h Hint) *GroupView {
	return v.update(id, func(c *Candidate) {
		c.Hint = h
	})
}

// WithRejection returns a copy of v that avoids the instance for requests that
// are at least as strict as the rejected one. Each consecutive rejection
// doubles the time for which the instance is avoided, up to maxAvoid, except
// rejections that arrive while the instance is already avoided.
func (v *GroupView) WithRejection(id table.InstanceID, r Rejection) *GroupView {
	return v.update(id, func(c *Candidate) {
		c.Hint = r.Hint
		backoff := c.avoid.backoff
		if r.Hint.At >= c.avoid.until {
			backoff = min(max(2*backoff, minAvoid), maxAvoid)
		}
		c.avoid = avoidance{
			at:        r.Hint.At,
			until:     r.Hint.At + backoff,
			backoff:   backoff,
			staleness: r.Staleness,
			floor:     r.Floor,
			hasFloor:  r.HasFloor,
		}
		c.avoid.keepCause(&r.Hint)
	})
}

// WithServed returns a copy of v after the instance has served a request. It
// clears the avoidance of the instance.
func (v *GroupView) WithServed(id table.InstanceID, h Hint) *GroupView {
	return v.update(id, func(c *Candidate) {
		c.Hint = h
		c.avoid = avoidance{}
	})
}

// CopyHintsTo copies the hints and avoidances of v to the candidates of next
// with the same instance, and returns next. It is used for a view that was
// rebuilt from the tables. v may be nil.
func (v *GroupView) CopyHintsTo(next *GroupView) *GroupView {
	if v == nil {
		return next
	}
	for i := range next.Candidates {
		c := &next.Candidates[i]
		old := v.Find(c.Instance)
		if old == nil {
			continue
		}
		if old.Hint.At > c.Hint.At {
			c.Hint = old.Hint
		}
		c.avoid = old.avoid
	}
	return next
}

// Find returns the candidate of an instance, nil if v has none.
func (v *GroupView) Find(id table.InstanceID) *Candidate {
	for i := range v.Candidates {
		if v.Candidates[i].Instance == id {
			return &v.Candidates[i]
		}
	}
	return nil
}

// update returns a copy of v with change applied to the candidate of one
// instance.
func (v *GroupView) update(id table.InstanceID, change func(*Candidate)) *GroupView {
	next := *v
	next.Candidates = append([]Candidate(nil), v.Candidates...)
	if c := next.Find(id); c != nil {
		change(c)
	}
	return &next
}
