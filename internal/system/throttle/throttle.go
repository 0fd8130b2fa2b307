// Package throttle keeps a host from sending an instance much more work than
// it admits. Refused work costs its owner nearly as many bytes and as much
// processor time as admitted work, and what the owner lacks then is missing in
// its probes and heartbeats. Each host throttles by what it saw itself.
package throttle

import (
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// overshoot is how much work is sent for each request that was admitted:
	// more than one, so that a host notices when the instance has room again.
	overshoot = 2
	// spared is how many refused requests in two periods change nothing: a few
	// say little.
	spared = 2
	// period is how long requests count by themselves; they count for a second
	// period behind the next ones.
	period = 500 * time.Millisecond
)

// Key is what is throttled by itself: urgent work does not suffer from refused
// background work.
type Key struct {
	Instance table.InstanceID
	Rank     config.Rank
}

// counts are those of one key. A request that has no answer yet is in none.
type counts struct {
	began             time.Duration // of the current period
	admitted, refused [2]float64    // in the current period and the one before
}

// Throttle decides which requests a host sends on. The zero value is ready for
// use by many goroutines.
type Throttle struct {
	mu    sync.Mutex
	swept time.Duration // moment of the latest sweep
	by    map[Key]*counts
}

// Allow reports whether to send a request; draw is uniform in [0, 1). Where the
// instance admits at least one in overshoot requests, all are sent. What is held
// back counts as refused, as it would have been.
func (t *Throttle) Allow(now time.Duration, k Key, draw float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(now, k)
	admitted := c.admitted[0] + c.admitted[1]
	refused := c.refused[0] + c.refused[1]
	surplus := refused - (overshoot-1)*admitted - spared
	if draw >= surplus/(refused+admitted+1) {
		return true
	}
	c.refused[0]++
	return false
}

// Answered counts a request that the instance refused for want of room, or did
// not.
func (t *Throttle) Answered(now time.Duration, k Key, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(now, k)
	if refused {
		c.refused[0]++
		return
	}
	c.admitted[0]++
}

// of returns the counts of a key in the period of now. It runs under the lock.
func (t *Throttle) of(now time.Duration, k Key) *counts {
	t.sweep(now)
	c := t.by[k]
	if c == nil {
		c = &counts{began: now}
		t.by[k] = c
	}
	switch age := now - c.began; {
	case age >= 2*period:
		*c = counts{began: now}
	case age >= period:
		c.began += period
		c.admitted = [2]float64{0, c.admitted[0]}
		c.refused = [2]float64{0, c.refused[0]}
	}
	return c
}

// sweep forgets, once a period, what counts no more.
func (t *Throttle) sweep(now time.Duration) {
	if t.by == nil {
		t.by = map[Key]*counts{}
	}
	if now-t.swept < period {
		return
	}
	t.swept = now
	for k, c := range t.by {
		if now-c.began >= 2*period {
			delete(t.by, k)
		}
	}
}
