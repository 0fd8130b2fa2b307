// Package lease does the arithmetic of host leases on monotonic clocks. The
// control leader grants each host one lease with each heartbeat; the lease
// covers everything the host owns. No lease state is replicated: a new leader
// waits a whole lease before it treats the lease of a silent host as expired.
//
// The two sides read different clocks. The rates of any two clocks may differ
// by a factor of MaxClockRatio. The holder counts from the moment it sent the
// heartbeat and uses less than the granted duration; the grantor counts from
// the moment it granted and waits for more.
//
// Package lease neither reads a clock nor does I/O: every moment is a
// time.Duration on the local monotonic clock. Its types are not safe for
// concurrent use.
package lease

import (
	"errors"
	"time"
)

const (
	// drift is the part by which each side corrects the granted duration.
	drift = 0.01
	// MaxClockRatio is how much faster one clock may run than another. Both
	// sides correct by drift, and 1.01 * 1.01 is above 1.02.
	MaxClockRatio = 1.02
	// Margin is what the grantor waits beyond the corrected duration, for the
	// granularity of clocks and timers.
	Margin = 20 * time.Millisecond
)

// Config holds the durations of leases. All hosts of a deployment use the
// same Duration.
type Config struct {
	// Heartbeat is how often a holder asks for renewal.
	Heartbeat time.Duration
	// Duration is how long one grant lasts.
	Duration time.Duration
	// LateAfter is how long after its last grant a host counts as late.
	LateAfter time.Duration
}

// DefaultConfig returns the durations for deployments of up to a hundred
// hosts.
func DefaultConfig() Config {
	return Config{
		Heartbeat: 150 * time.Millisecond,
		Duration:  time.Second,
		LateAfter: 400 * time.Millisecond,
	}
}

// Validate reports durations that contradict each other.
func (c Config) Validate() error {
	if c.Heartbeat <= 0 {
		return errors.New("lease: the heartbeat interval must be positive")
	}
	if c.LateAfter < 2*c.Heartbeat {
		return errors.New("lease: a host must not count as late before two heartbeats are missing")
	}
	if HolderTime(c.Duration) <= c.LateAfter+c.Heartbeat {
		return errors.New("lease: the duration must outlast a late host and one heartbeat more")
	}
	return nil
}

// HolderTime returns how long a holder may use a grant of duration d, on its
// own clock and counted from the moment it sent the heartbeat.
func HolderTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + drift))
}

// GrantorTime returns how long a grantor waits before it treats a grant of
// duration d as expired, on its own clock and counted from the grant.
func GrantorTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+drift)) + Margin
}
