// Package ownership decides, at the control leader, which host owns each
// upstream instance. At most one host owns an instance: the instance moves only
// after its owner released it or the owner's lease expired. The owner is in the
// failure domain of the instance if that domain has a usable host. When all
// hosts of a failure domain lose their leases, the instances of the domain keep
// their owners, except those whose announcements still reach the leader.
//
// The System is driven by inputs (heartbeats, lease changes, announcements,
// committed ownerships, releases) and by Step. It neither reads a clock nor does
// I/O, and it is not safe for concurrent use. The cost of a step is
// proportional to the number of changes.
package ownership

import (
	"errors"
	"time"
)

// Config holds the durations and limits of placement.
type Config struct {
	// Choices is how many hosts are compared for one placement in a large pool.
	// In a pool of at most Choices hosts, all hosts are compared.
	Choices int
	// CutGrace decides which instances of a failure domain count as still
	// reachable when the domain's last host loses its lease: those whose latest
	// announcement is then at most CutGrace old. CutGrace must be shorter than a
	// lease.
	CutGrace time.Duration
	// SettleTime is how long a new leader waits for heartbeats of all hosts
	// before it assigns an instance to a host outside the instance's failure
	// domain.
	SettleTime time.Duration
	// HoldOff is the minimum time that an owner keeps an instance before the
	// instance moves for balance or back to its failure domain. Before a move
	// for balance, the new host must have held a fresh lease for HoldOff. Before
	// a return, the failure domain must have had a usable host for HoldOff.
	HoldOff time.Duration
	// AvoidFor is how long a host that could not reach an instance is excluded
	// as its owner.
	AvoidFor time.Duration
	// ProposeRetry is how long to wait for an assignment to take effect before
	// it is proposed again.
	ProposeRetry time.Duration
	// BatchSize is the maximum number of assignments in one command.
	BatchSize int
	// LoadPercent is the load of a host, in percent of the mean load in a
	// failure domain, above which its instances move to less loaded hosts.
	LoadPercent int
	// ReviewsPerStep is how many instances each Step reviews for balance.
	ReviewsPerStep int
}

// DefaultConfig returns the values for deployments of any size.
func DefaultConfig() Config {
	return Config{
		Choices:        8,
		CutGrace:       400 * time.Millisecond,
		SettleTime:     time.Second,
		HoldOff:        10 * time.Second,
		AvoidFor:       15 * time.Second,
		ProposeRetry:   300 * time.Millisecond,
		BatchSize:      256,
		LoadPercent:    150,
		ReviewsPerStep: 16,
	}
}

// Validate returns an error if a value is missing or out of range.
func (c Config) Validate() error {
	for _, d := range []time.Duration{c.CutGrace, c.SettleTime, c.HoldOff, c.AvoidFor, c.ProposeRetry} {
		if d <= 0 {
			return errors.New("ownership: every duration must be positive")
		}
	}
	if c.Choices < 2 || c.BatchSize < 1 || c.ReviewsPerStep < 1 {
		return errors.New("ownership: Choices must be at least 2, BatchSize and ReviewsPerStep at least 1")
	}
	if c.LoadPercent <= 100 {
		return errors.New("ownership: the load percentage must be above 100")
	}
	return nil
}
