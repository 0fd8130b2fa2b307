// Package breaker is a circuit breaker that limits how often a host sends
// requests to an owner that cannot serve an instance. Without it, the retries
// of all pending requests at all hosts would saturate the link of the owner and
// delay its probes and heartbeats. Each host decides by the answers that it
// received itself.
package breaker

import (
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// minBackoff and maxBackoff bound the time between two trial requests to an
	// owner that refuses. The time doubles with each trial. maxBackoff also
	// bounds how late a recovered owner is detected.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// jitterDivisor sets the jitter: a backoff is reduced by up to
	// backoff/jitterDivisor, so that hosts do not send their trials at the same
	// time.
	jitterDivisor = 2
	// idleTTL is how long an unused key is kept.
	idleTTL = time.Minute
)

// Key identifies an instance and its present owner. After a move, the new owner
// has a new key and gets a trial request at once.
type Key struct {
	Instance table.InstanceID
	Owner    table.HostID
}

// state is the circuit state of one key.
type state struct {
	closed    bool          // the owner serves: all requests pass
	nextTrial time.Duration // earliest time of the next trial request
	backoff   time.Duration
	lastUsed  time.Duration // time of the latest Allow
}

// Breaker decides which requests may be sent. The circuit of a key is open at
// first and after a refusal. While it is open, one trial request is allowed per
// backoff. The zero value is ready for use and safe for concurrent use.
type Breaker struct {
	mu      sync.Mutex
	sweptAt time.Duration // time of the latest sweep
	byKey   map[Key]*state
}

// Allow reports whether a request may be sent now; draw is uniform in [0, 1).
// If not, the caller should try again a little later.
func (b *Breaker) Allow(now time.Duration, k Key, draw float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	s := b.byKey[k]
	if s == nil {
		s = &state{nextTrial: now}
		b.byKey[k] = s
	}
	s.lastUsed = now
	if s.closed {
		return true
	}
	if now < s.nextTrial {
		return false
	}
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.nextTrial = now + s.backoff - time.Duration(draw*float64(s.backoff/jitterDivisor))
	return true
}

// Served records that the owner can serve the instance: the owner served a
// request or refused one for another reason. Served closes the circuit.
func (b *Breaker) Served(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byKey[k]; s != nil {
		s.closed, s.backoff, s.nextTrial = true, 0, 0
	}
}

// Refused records that the owner cannot serve the instance, and opens the
// circuit.
func (b *Breaker) Refused(now time.Duration, k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byKey[k]; s != nil && s.closed {
		s.closed, s.backoff, s.nextTrial = false, minBackoff, now+minBackoff
	}
}

// sweep removes unused keys, at most once per idleTTL. The caller must hold the
// lock.
func (b *Breaker) sweep(now time.Duration) {
	if b.byKey == nil {
		b.byKey = map[Key]*state{}
	}
	if now-b.sweptAt < idleTTL {
		return
	}
	b.sweptAt = now
	for k, s := range b.byKey {
		if now-s.lastUsed >= idleTTL {
			delete(b.byKey, k)
		}
	}
}
