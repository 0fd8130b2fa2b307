// Package lease computes the validity of host leases on monotonic clocks. The
// control leader grants each host one lease with each heartbeat; the lease
// covers all instances that the host owns. Lease state is not replicated: a new
// leader waits for a full lease duration before it treats the lease of a silent
// host as expired.
//
// The holder and the grantor read different clocks, whose rates may differ by a
// factor of up to MaxClockRatio. The holder counts from the moment it sent the
// heartbeat and uses the lease for less than the granted duration. The grantor
// counts from the moment it granted the lease and waits for more than the
// granted duration.
//
// Package lease neither reads a clock nor does I/O: callers pass each moment as
// a time.Duration on the local monotonic clock. Its types are not safe for
// concurrent use.
package lease

import (
	"errors"
	"time"
)

const (
	// drift is the fraction by which each side corrects the granted duration.
	drift = 0.01
	// MaxClockRatio is the highest supported ratio between the rates of two
	// clocks. It is covered because both sides correct by drift, and 1.01 *
	// 1.01 is above 1.02.
	MaxClockRatio = 1.02
	// Margin is how long the grantor waits beyond the corrected duration, to
	// allow for the granularity of clocks and timers.
	Margin = 20 * time.Millisecond
)

// Config holds the timing of leases. All hosts of a deployment must use the
// same Duration.
type Config struct {
	// Heartbeat is the interval at which a holder asks for renewal.
	Heartbeat time.Duration
	// Duration is how long a lease lasts after each grant.
	Duration time.Duration
	// LateAfter is how long after its last grant a host counts as late.
	LateAfter time.Duration
	// FindLeader is how much longer a host may take that has sent no heartbeat to a
	// new leader. Its heartbeat to the old one has to time out first.
	FindLeader time.Duration
}

// DefaultConfig returns the timing for deployments of up to a hundred hosts.
func DefaultConfig() Config {
	return Config{
		Heartbeat: 150 * time.Millisecond,
		Duration:  time.Second,
		LateAfter: 400 * time.Millisecond,

		FindLeader: 400 * time.Millisecond,
	}
}

// Validate returns an error if the heartbeat interval is not positive or the
// durations contradict each other.
func (c Config) Validate() error {
	if c.Heartbeat <= 0 {
		return errors.New("lease: the heartbeat interval must be positive")
	}
	if c.LateAfter < 2*c.Heartbeat {
		return errors.New("lease: LateAfter must be at least two heartbeat intervals")
	}
	if c.FindLeader < 0 {
		return errors.New("lease: FindLeader must not be negative")
	}
	if HolderTime(c.Duration) <= c.LateAfter+c.Heartbeat {
		return errors.New("lease: the duration, corrected for clock drift, must exceed LateAfter plus one heartbeat interval")
	}
	return nil
}

// HolderTime returns how long a holder may use a lease granted for duration d,
// on its own clock, counted from the moment it sent the heartbeat.
func HolderTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 + drift))
}

// GrantorTime returns how long a grantor waits before it treats a lease granted
// for duration d as expired, on its own clock, counted from the grant.
func GrantorTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+drift)) + Margin
}
