// Package ownership decides, at the control leader, which host owns each
// upstream instance. At most one host owns an instance: it moves only after
// its owner released it or the lease of its owner expired. The owner lives in
// the failure domain of the instance where a host is there. A failure domain
// that is cut off as a whole keeps its instances, except those that still
// announce themselves to this side.
//
// The System is driven by inputs (heartbeats, lease changes, announcements,
// agreed ownerships, releases) and by Step. It neither reads a clock nor does
// I/O, and it is not safe for concurrent use. Its cost follows the number of
// changes.
package ownership

import (
	"errors"
	"time"
)

// Config holds the durations and bounds of placement.
type Config struct {
	// Choices is how many hosts of a large failure domain are compared for
	// one placement.
	Choices int
	// CutGrace is how long before the lease of the last host of a failure
	// domain expired an announcement must have arrived to show that the
	// instance is still within reach. It is shorter than a lease.
	CutGrace time.Duration
	// SettleTime is how long after it took office a leader gives an instance to no
	// host outside its failure domain, since it has not heard of all hosts.
	SettleTime time.Duration
	// HoldOff is how long an owner stays before it is changed for the sake of
	// balance or to return to the failure domain of the instance, and how
	// long a host must have been there before instances are moved to it.
	HoldOff time.Duration
	// AvoidFor is how long a host that could not reach an instance is not
	// chosen for it.
	AvoidFor time.Duration
	// ProposeRetry is when an assignment that did not take effect is proposed
	// again.
	ProposeRetry time.Duration
	// BatchSize is the highest number of assignments in one command.
	BatchSize int
	// LoadPercent is the load, in percent of the mean of a failure domain,
	// above which instances are moved away for balance.
	LoadPercent int
	// ReviewsPerStep is how many instances each Step reviews for balance.
	ReviewsPerStep int
}

// DefaultConfig returns the values for deployments of any size.
func DefaultConfig() Config {
	return Config{
		Choices:      8,
		CutGrace:     400 * time.Millisecond,
		SettleTime:       time.Second,
		HoldOff:      10 * time.Second,
		AvoidFor:     15 * time.Second,
		ProposeRetry: 300 * time.Millisecond,
		BatchSize:        256,
		LoadPercent:  150,
		ReviewsPerStep:       16,
	}
}

// Validate reports values that are missing or contradict each other.
func (c Config) Validate() error {
	for _, d := range []time.Duration{c.CutGrace, c.SettleTime, c.HoldOff, c.AvoidFor, c.ProposeRetry} {
		if d <= 0 {
			return errors.New("ownership: every duration must be positive")
		}
	}
	if c.Choices < 2 || c.BatchSize < 1 || c.ReviewsPerStep < 1 {
		return errors.New("ownership: choices must be at least 2, batch and review at least 1")
	}
	if c.LoadPercent <= 100 {
		return errors.New("ownership: the load percentage must be above 100")
	}
	return nil
}
