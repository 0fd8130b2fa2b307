// Package breaker limits how often a host asks an owner that refuses: the
// retries of all that waits at all hosts would fill the link of the owner, whose
// probes and heartbeats would then be late too. Each host follows what it saw
// itself.
package breaker

import (
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// minPause and maxPause bound the time between two trials of an owner that
	// refuses; it doubles with each. An owner that serves again is found by then.
	minPause = 20 * time.Millisecond
	maxPause = 320 * time.Millisecond
	// jitter is the part of a pause, as a divisor, by which it is cut at most, so
	// that hosts do not ask in step.
	jitter = 2
	// kept is how long an owner of which nothing more was heard is remembered.
	kept = time.Minute
)

// Key is what is asked: an instance by its present owner. After a move the next
// owner is asked at once.
type Key struct {
	Instance table.InstanceID
	Owner    table.HostID
}

// state is that of one key.
type state struct {
	closed bool          // it serves: all goes through
	next   time.Duration // moment of the next trial
	pause  time.Duration
	used   time.Duration
}

// Breaker says which requests may be sent. One whose key is new, or refuses, is
// sent one request at a time until it serves one. The zero value is ready for
// use by many goroutines.
type Breaker struct {
	mu    sync.Mutex
	swept time.Duration // moment of the latest sweep
	by    map[Key]*state
}

// Allow reports whether a request may be sent now; draw is uniform in [0, 1).
// What may not is to be tried again a little later.
func (b *Breaker) Allow(now time.Duration, k Key, draw float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	s := b.by[k]
	if s == nil {
		s = &state{next: now}
		b.by[k] = s
	}
	s.used = now
	if s.closed {
		return true
	}
	if now < s.next {
		return false
	}
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.next = now + s.pause - time.Duration(draw*float64(s.pause/jitter))
	return true
}

// Served notes that the owner served a request, or had a reason of its own
// against it.
func (b *Breaker) Served(k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.by[k]; s != nil {
		s.closed, s.pause, s.next = true, 0, 0
	}
}

// Refused notes that the owner cannot serve the instance.
func (b *Breaker) Refused(now time.Duration, k Key) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.by[k]; s != nil && s.closed {
		s.closed, s.pause, s.next = false, minPause, now+minPause
	}
}

// sweep forgets, now and then, what is not used any more. It runs under the
// lock.
func (b *Breaker) sweep(now time.Duration) {
	if b.by == nil {
		b.by = map[Key]*state{}
	}
	if now-b.swept < kept {
		return
	}
	b.swept = now
	for k, s := range b.by {
		if now-s.used >= kept {
			delete(b.by, k)
		}
	}
}
