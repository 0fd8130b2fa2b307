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
	// lagRetryInterval is the interval at which a host sends a read to a replica
	// that rejected an equally strict one. It is constant, because it bounds how
	// late a host notices that the replica is fresh again.
	lagRetryInterval = 200 * time.Millisecond
	// minAvoid is how long a replica that cannot be reached is avoided at first.
	minAvoid = 50 * time.Millisecond
	// maxAvoid is the upper limit of that time, which doubles with each further
	// failure.
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
	// unreachable is set if the replica or its owner did not answer.
	unreachable bool
}

// matches reports whether q would be rejected for the recorded cause if nothing
// has changed. h is the latest hint: a replica is not avoided for a floor that it
// holds, or for an age that a later hint proves.
func (a *avoidance) matches(q *Query, h *Hint) bool {
	if a.hasFloor && q.HasFloor && !q.Floor.Less(a.floor) && h.Mark.Less(q.Floor) {
		return true
	}
	if a.staleness == 0 || q.Staleness > a.staleness {
		return false
	}
	return a.unreachable || h.At <= a.at || !h.AgeKnown || h.Age > q.Staleness
}

// applies reports whether the replica is avoided for q now.
func (a *avoidance) applies(now time.Duration, q *Query, h *Hint) bool {
	return now < a.until && a.matches(q, h)
}

// isOver reports whether h shows that the cause has gone.
func (a *avoidance) isOver(h *Hint) bool {
	return !a.hasFloor || a.staleness > 0 || !h.Mark.Less(a.floor)
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
	// Unreachable is set if the replica or its owner did not answer.
	Unreachable bool
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
// are at least as strict as the rejected one: for lagRetryInterval, or, if the
// instance could not be reached, for a time that each consecutive failure
// doubles, up to maxAvoid. Failures that arrive while the instance is already
// avoided do not count.
func (v *GroupView) WithRejection(id table.InstanceID, r Rejection) *GroupView {
	return v.update(id, func(c *Candidate) {
		c.Hint = r.Hint
		backoff := lagRetryInterval
		if r.Unreachable {
			backoff = c.avoid.nextBackoff(r.Hint.At)
		}
		c.avoid = avoidance{
			at:          r.Hint.At,
			until:       r.Hint.At + backoff,
			backoff:     backoff,
			staleness:   r.Staleness,
			floor:       r.Floor,
			hasFloor:    r.HasFloor,
			unreachable: r.Unreachable,
		}
		c.avoid.keepCause(&r.Hint)
	})
}

// nextBackoff returns how long an instance that cannot be reached at at is
// avoided.
func (a *avoidance) nextBackoff(at time.Duration) time.Duration {
	switch {
	case !a.unreachable:
		return minAvoid
	case at < a.until:
		return a.backoff
	}
	return min(2*a.backoff, maxAvoid)
}

// WithTrial returns a copy of v after a read was sent to an instance for which
// the time to avoid it has passed. Other reads avoid the instance until the
// answer arrives or the same time has passed again.
func (v *GroupView) WithTrial(id table.InstanceID, now time.Duration) *GroupView {
	return v.update(id, func(c *Candidate) {
		c.avoid.until = max(c.avoid.until, now+c.avoid.backoff)
	})
}

// WithServed returns a copy of v after the instance has served a request. It
// clears the avoidance of the instance, unless the instance was avoided for a
// floor that it does not hold yet.
func (v *GroupView) WithServed(id table.InstanceID, h Hint) *GroupView {
	return v.update(id, func(c *Candidate) {
		c.Hint = h
		if c.avoid.isOver(&h) {
			c.avoid = avoidance{}
		}
	})
}

// IsAvoided reports whether the latest rejection by the instance has not been
// followed by an answer that shows that its cause has gone.
func (c *Candidate) IsAvoided() bool { return c.avoid.at > 0 }

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
