// Package routing chooses, at the entry host, the instance that a request
// goes to. Its inputs are hints: the owner of the instance checks age and
// position exactly when it runs the request, so a wrong hint costs a hop and
// never a wrong answer. All moments are on the local monotonic clock.
package routing

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// minAvoid is how long a replica is avoided after its first bounce.
	minAvoid = 50 * time.Millisecond
	// maxAvoid bounds the doubling of that time.
	maxAvoid = 2 * time.Second
)

// Candidate is one instance of a group as the entry host knows it.
type Candidate struct {
	Instance table.InstanceID
	Owner    table.HostID // empty when no host owns it
	Domain   table.Domain
	Role     table.Role
	Leaving  bool
	// LeavingAt is the local moment at which this host heard that the instance
	// leaves.
	LeavingAt  time.Duration
	OwnerState table.HostState

	Hint  Hint
	avoid avoidance
}

// Hint is what the owner of an instance said last, with an answer or in
// gossip.
type Hint struct {
	// At is the local moment at which the hint arrived. Zero means that
	// nothing has been heard.
	At time.Duration
	// Age is the age that the owner could prove; AgeKnown is false when it
	// could prove none.
	Age      time.Duration
	AgeKnown bool
	Mark     table.Mark
	// QueueWait estimates how long work of each rank waits for a slot.
	QueueWait [config.RankCount]time.Duration
}

// recent reports whether the hint still counts at now.
func (h *Hint) recent(now time.Duration) bool {
	return h.At > 0 && now-h.At <= hintLife
}

// wait is how long work of a rank is expected to wait now. A queue lasts, and
// many hosts hear of it, each at another moment; but the older the hint, the
// less it counts, so that the instance is asked again.
func (h *Hint) wait(now time.Duration, rank config.Rank) time.Duration {
	left := float64(hintLife-(now-h.At)) / float64(hintLife)
	return time.Duration(max(0, left) * float64(h.QueueWait[rank]))
}

// avoidance is the memory of a bounce.
type avoidance struct {
	at        time.Duration // moment of the bounce
	until     time.Duration
	backoff   time.Duration
	staleness time.Duration // the staleness that could not be proven, zero if none
	floor     table.Mark    // the floor that was not reached
	hasFloor  bool
}

// covers reports whether a request of q would bounce for the same cause.
func (a *avoidance) covers(now time.Duration, q *Query) bool {
	if now >= a.until {
		return false
	}
	if a.hasFloor && q.HasFloor && !q.Floor.Less(a.floor) {
		return true
	}
	return a.staleness > 0 && q.Staleness <= a.staleness
}

// narrow leaves out what the owner's hint shows not to be the cause of the
// bounce, so that a read with a late floor does not keep others away.
func (a *avoidance) narrow(h *Hint) {
	fresh := h.AgeKnown && h.Age <= a.staleness
	switch {
	case a.hasFloor && fresh:
		a.staleness = 0
	case a.hasFloor && !h.Mark.Less(a.floor):
		a.hasFloor = false
	}
}

// over reports whether h came with the bounce and the time to avoid the
// replica for it has passed: it is due for another try.
func (a *avoidance) over(now time.Duration, h *Hint) bool {
	return a.at == h.At && now >= a.until
}

// Rejection is the answer of an owner that its replica was not fresh enough.
type Rejection struct {
	Hint Hint // what the owner knew
	// Staleness is the staleness of the request, zero if it is known not to be
	// the cause.
	Staleness time.Duration
	// Floor is the floor of the request, left out if it is known not to be the
	// cause.
	Floor    table.Mark
	HasFloor bool
}

// GroupView is what the entry host knows about one group. A published view is
// immutable.
type GroupView struct {
	Name       table.GroupName
	Term       table.Term
	Primary    table.InstanceID // empty while there is none
	Candidates []Candidate
}

// WithHint returns a copy of v with a new hint for one instance.
func (v *GroupView) WithHint(id table.InstanceID, h Hint) *GroupView {
	return v.with(id, func(c *Candidate) {
		c.Hint = h
	})
}

// WithRejection returns a copy of v that avoids the instance for requests as
// strict as the one that bounced. Each bounce in a row doubles the time.
func (v *GroupView) WithRejection(id table.InstanceID, b Rejection) *GroupView {
	return v.with(id, func(c *Candidate) {
		c.Hint = b.Hint
		backoff := c.avoid.backoff
		if b.Hint.At >= c.avoid.until {
			backoff = min(max(2*backoff, minAvoid), maxAvoid)
		}
		c.avoid = avoidance{
			at:        b.Hint.At,
			until:     b.Hint.At + backoff,
			backoff:   backoff,
			staleness: b.Staleness,
			floor:     b.Floor,
			hasFloor:  b.HasFloor,
		}
		c.avoid.narrow(&b.Hint)
	})
}

// WithServed returns a copy of v after the instance served a request: the
// memory of its bounces ends.
func (v *GroupView) WithServed(id table.InstanceID, h Hint) *GroupView {
	return v.with(id, func(c *Candidate) {
		c.Hint = h
		c.avoid = avoidance{}
	})
}

// CopyHintsTo returns next with the hints and bounces that v holds for the same
// instances, for a view rebuilt from the tables.
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

// Find returns the candidate of an instance, or nil when v has none.
func (v *GroupView) Find(id table.InstanceID) *Candidate {
	for i := range v.Candidates {
		if v.Candidates[i].Instance == id {
			return &v.Candidates[i]
		}
	}
	return nil
}

func (v *GroupView) with(id table.InstanceID, change func(*Candidate)) *GroupView {
	next := *v
	next.Candidates = append([]Candidate(nil), v.Candidates...)
	if c := next.Find(id); c != nil {
		change(c)
	}
	return &next
}
