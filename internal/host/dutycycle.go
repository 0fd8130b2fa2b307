package host

import "time"

// dutyCycle spaces the runs of a task so that they take at most half of the
// time: after each run it requires a pause as long as the run. Short runs are
// hardly delayed.
type dutyCycle struct {
	idleUntil time.Duration
}

// due reports whether a run may begin at now.
func (d *dutyCycle) due(now time.Duration) bool { return now >= d.idleUntil }

// recordRun records a run and computes the end of the pause after it.
func (d *dutyCycle) recordRun(began, ended time.Duration) { d.idleUntil = ended + (ended - began) }
