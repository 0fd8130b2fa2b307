// Package membership is the failure detection among hosts at a constant cost a
// host. Each host probes one other host a period, asks a few others to probe
// it when it does not answer, suspects it before it declares it dead, and lets
// a suspected host refute with a higher incarnation. News travels with the
// probes, in messages of bounded size. Hosts that are dead are probed now and
// then, so that two sides of a healed cut find each other again.
//
// A Node is driven by Step (a message arrived), Tick (time passed) and Ready
// (messages to send). It neither reads a clock nor does I/O, its randomness
// comes from a seed, and it is not safe for concurrent use.
package membership

import (
	"errors"
	"math"
	"time"
)

// Config holds the durations and bounds of the failure detection.
type Config struct {
	// Period is how often a host probes another one.
	Period time.Duration
	// ProbeTimeout is how long an answer may take before other hosts are
	// asked to probe.
	ProbeTimeout time.Duration
	// Helpers is how many hosts are asked to probe.
	Helpers int
	// SuspicionPeriods is how many periods a host is suspected before it is
	// dead, for up to ten hosts. It grows with the logarithm of the number of
	// hosts to the base ten.
	SuspicionPeriods int
	// Spread is how many times a host passes a piece of news on, times the
	// logarithm of the number of hosts to the base two.
	Spread int
	// MaxBytes bounds the size of a message.
	MaxBytes int
	// ForgetAfter is how long a dead host is remembered, unless its whole
	// failure domain is out of reach.
	ForgetAfter time.Duration
}

// DefaultConfig returns the values for deployments of any size.
func DefaultConfig() Config {
	return Config{
		Period:           time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		Helpers:          3,
		SuspicionPeriods: 3,
		Spread:           3,
		MaxBytes:         800,
		ForgetAfter:      10 * time.Minute,
	}
}

// Validate reports values that are missing or contradict each other.
func (c Config) Validate() error {
	if c.ProbeTimeout <= 0 || c.Period <= 2*c.ProbeTimeout {
		return errors.New("membership: the period must exceed two probe timeouts")
	}
	if c.Helpers < 1 || c.SuspicionPeriods < 1 || c.Spread < 1 {
		return errors.New("membership: helpers, suspicion periods and spread must be at least 1")
	}
	if c.MaxBytes < 500 {
		return errors.New("membership: a message must hold at least 500 bytes")
	}
	if c.ForgetAfter < time.Duration(c.SuspicionPeriods)*c.Period {
		return errors.New("membership: a dead host must be remembered longer than it is suspected")
	}
	return nil
}

// suspicion returns how long a host is suspected among n hosts.
func (c Config) suspicion(n int) time.Duration {
	factor := max(1, math.Log10(float64(n)))
	return time.Duration(float64(c.SuspicionPeriods) * factor * float64(c.Period))
}

// spread returns how often a piece of news is passed on among n hosts.
func (c Config) spread(n int) int {
	return c.Spread * int(math.Ceil(math.Log2(float64(n+1))))
}
