package host

import "time"

// pace keeps long runs apart, so that they take at most half of the time. Short
// ones it hardly holds up.
type pace struct {
	restUntil time.Duration
}

// due reports whether a run may begin at now.
func (p *pace) due(now time.Duration) bool { return now >= p.restUntil }

// ran notes a run.
func (p *pace) ran(began, ended time.Duration) { p.restUntil = ended + (ended - began) }
