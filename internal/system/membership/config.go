// Package membership detects host failures at a constant cost per host. In each
// period, a host probes one other host. If that host does not answer, the
// prober asks a few other hosts to probe it, suspects it, and declares it dead
// after a timeout. A suspected host can refute the suspicion with a higher
// incarnation. Updates are piggybacked on the probes, in messages of bounded
// size. Dead hosts are still probed occasionally, so that the two sides of a
// network partition find each other when it heals.
//
// A Node is driven by Step (a message arrived), Tick (time passed) and Ready
// (messages to send). It neither reads a clock nor does I/O, its random numbers
// come from a seed, and it is not safe for concurrent use.
package membership

import (
	"errors"
	"math"
	"time"
)

// Config holds the intervals and limits of failure detection.
type Config struct {
	// Period is the interval at which a host probes another host.
	Period time.Duration
	// ProbeTimeout is how long an answer may take before other hosts are asked
	// to probe the target.
	ProbeTimeout time.Duration
	// Helpers is the number of hosts that are asked to probe an unresponsive
	// target.
	Helpers int
	// SuspicionPeriods is how long a host stays suspected before it is declared
	// dead, in periods, among up to ten hosts. Among more hosts it is
	// multiplied by the base-10 logarithm of their number.
	SuspicionPeriods int
	// RetransmitFactor, times the base-2 logarithm of the number of hosts, is
	// how many times a host sends an update.
	RetransmitFactor int
	// MaxBytes is the size limit of a message, except for a Page.
	MaxBytes int
	// ForgetAfter is how long a host that is dead or has left is kept, unless
	// its whole failure domain is unreachable.
	ForgetAfter time.Duration
}

// DefaultConfig returns values for deployments of any size.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		Helpers:          3,
		SuspicionPeriods: 3,
		RetransmitFactor: 3,
		MaxBytes:         800,
		ForgetAfter:      10 * time.Minute,
	}
}

// Validate returns an error if a value is missing or contradicts another one.
func (c Config) Validate() error {
	if c.ProbeTimeout <= 0 || c.Period <= 2*c.ProbeTimeout {
		return errors.New("membership: the period must exceed two probe timeouts")
	}
	if c.Helpers < 1 || c.SuspicionPeriods < 1 || c.RetransmitFactor < 1 {
		return errors.New("membership: helpers, suspicion periods and retransmit factor must be at least 1")
	}
	if c.MaxBytes < 500 {
		return errors.New("membership: a message must hold at least 500 bytes")
	}
	if c.ForgetAfter < time.Duration(c.SuspicionPeriods)*c.Period {
		return errors.New("membership: a dead host must be kept at least as long as the suspicion periods")
	}
	return nil
}

// suspicionTimeout returns how long a host stays suspected among n hosts.
func (c Config) suspicionTimeout(n int) time.Duration {
	factor := max(1, math.Log10(float64(n)))
	return time.Duration(float64(c.SuspicionPeriods) * factor * float64(c.Period))
}

// retransmitLimit returns how many times an update is sent among n hosts.
func (c Config) retransmitLimit(n int) int {
	return c.RetransmitFactor * int(math.Ceil(math.Log2(float64(n+1))))
}
