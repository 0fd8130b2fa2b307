// Package throttle keeps a host from sending an instance much more work than
// the instance admits. Refused requests cost the owner of the instance nearly
// as much bandwidth and processor time as admitted ones, and the owner then
// lacks these resources for its probes and heartbeats. Each host throttles by
// the answers that it received itself.
package throttle

import (
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// overshoot is the number of requests that are sent for each admitted one.
	// It is more than one so that a host notices when the instance has free
	// capacity again.
	overshoot = 2
	// refusalTolerance is the number of refusals within two periods that cause
	// no throttling, because so few are not significant.
	refusalTolerance = 2
	// period is the length of a counting period. Allow uses the counts of the
	// current and of the previous period.
	period = 500 * time.Millisecond
)

// Key identifies what is throttled independently. It includes the rank, so that
// refused background work does not affect urgent work.
type Key struct {
	Instance table.InstanceID
	Rank     config.Rank
	// Movable is set for work that another instance of the group could serve.
	// Its refusals do not affect the work that only this instance can do.
	Movable bool
}

// counts holds the numbers of admitted and refused requests of one key.
// Requests that are waiting for an answer are in neither.
type counts struct {
	periodStart       time.Duration // start of the current period
	admitted, refused [2]float64    // in the current and in the previous period
}

// Throttle decides which requests a host sends. The zero value is ready for use
// and safe for concurrent use.
type Throttle struct {
	mu      sync.Mutex
	sweptAt time.Duration // time of the latest sweep
	byKey   map[Key]*counts
}

// Allow reports whether to send a request; draw is uniform in [0, 1). All
// requests are sent while the instance admits at least one in overshoot
// requests. A request that is not sent counts as refused, because the instance
// would have refused it.
func (t *Throttle) Allow(now time.Duration, k Key, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsFor(now, k)
	admitted := c.admitted[0] + c.admitted[1]
	refused := c.refused[0] + c.refused[1]
	surplus := refused - (overshoot-1)*admitted - refusalTolerance
	if draw >= surplus/(refused+admitted+1) {
		return true
	}
	c.refused[0]++
	return false
}

// Answered counts an answer. refused tells whether the instance refused the
// request for lack of capacity.
func (t *Throttle) Answered(now time.Duration, k Key, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsFor(now, k)
	if refused {
		c.refused[0]++
		return
	}
	c.admitted[0]++
}

// countsFor returns the counts of a key, advanced to the period of now. The
// caller must hold the lock.
func (t *Throttle) countsFor(now time.Duration, k Key) *counts {
	t.sweep(now)
	c := t.byKey[k]
	if c == nil {
		c = &counts{periodStart: now}
		t.byKey[k] = c
	}
	switch age := now - c.periodStart; {
	case age >= 2*period:
		*c = counts{periodStart: now}
	case age >= period:
		c.periodStart += period
		c.admitted = [2]float64{0, c.admitted[0]}
		c.refused = [2]float64{0, c.refused[0]}
	}
	return c
}

// sweep removes expired counts once per period. The caller must hold the lock.
func (t *Throttle) sweep(now time.Duration) {
	if t.byKey == nil {
		t.byKey = map[Key]*counts{}
	}
	if now-t.sweptAt < period {
		return
	}
	t.sweptAt = now
	for k, c := range t.byKey {
		if now-c.periodStart >= 2*period {
			delete(t.byKey, k)
		}
	}
}
