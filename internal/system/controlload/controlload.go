// Package controlload keeps the load that hosts put on control hosts bounded while
// no control leader answers. A host that finds no leader asks less and less often,
// and a control host that is asked more than it can answer tells each host when to
// come back. All decisions take the time and a random draw as arguments.
package controlload

import "time"

// Pace bounds the delays of a Backoff.
type Pace struct {
	Least, Most time.Duration
}

// Backoff spaces the attempts at something that fails. The zero value allows the
// first attempt at once.
type Backoff struct {
	failures int
	readyAt  time.Duration
}

// Fail records a failed attempt at now. The delay doubles with each consecutive
// failure. A draw uniform in [0, 1) takes off up to half of it, so that hosts that
// failed together return spread out.
func (b *Backoff) Fail(now time.Duration, p Pace, draw float64) {
	delay := p.Most
	if b.failures < maxDoublings {
		delay = min(p.Least<<b.failures, p.Most)
	}
	b.failures++
	b.readyAt = now + spread(delay, draw)
}

// Succeed records a successful attempt.
func (b *Backoff) Succeed() { *b = Backoff{} }

// Ready reports whether the next attempt may be made at now.
func (b *Backoff) Ready(now time.Duration) bool { return now >= b.readyAt }

// maxDoublings bounds the shift in Fail.
const maxDoublings = 20

// spread takes off up to half of delay.
func spread(delay time.Duration, draw float64) time.Duration {
	return delay - time.Duration(draw*float64(delay)/2)
}
