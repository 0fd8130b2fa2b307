// Package failover decides, at the control leader, when the primary of a group
// changes and which instance becomes the next primary. It distinguishes a
// failed primary from a failed owner and from a network partition between the
// two. A change of primary has these steps: commit the next term, wait until
// the owner of the old primary can no longer acknowledge writes, read the
// positions of the group after that, and promote the most advanced safe
// replica. If safety cannot be proven, the group waits and reports the reason.
//
// The System is driven by inputs (committed groups and owners, announcements,
// reports of owners, lease changes, results of promotions) and by Step, which
// returns actions. It neither reads a clock nor does I/O, and it is not safe
// for concurrent use. Its cost is proportional to the number of active groups,
// see ActiveGroups.
package failover

import (
	"errors"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
)

// Config holds the durations that together bound the time of a change of
// primary.
type Config struct {
	Lease lease.Config
	// ExternalTerms is set if the platform assigns the terms of logs: each
	// promotion then starts the next log term, independent of the committed
	// term of the group.
	ExternalTerms bool
	// ProbeInterval is the interval at which an owner probes an instance.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe waits for an answer.
	ProbeTimeout time.Duration
	// FastHeartbeatInterval is the heartbeat interval of a host that has orders
	// of the leader to carry out.
	FastHeartbeatInterval time.Duration
	// MoveAfter is how long the owner must have been unable to reach a primary
	// that other hosts reach before the primary is moved to one of them.
	MoveAfter time.Duration
	// CheckTimeout is how long the leader waits for the reports of witnesses.
	CheckTimeout time.Duration
	// AnnounceTimeout is how long a primary must have sent no announcement to
	// count as failed if no other host can probe it.
	AnnounceTimeout time.Duration
	// ReadTimeout is how long the leader waits for positions that are not
	// needed to prove safety but may show a more advanced replica.
	ReadTimeout time.Duration
	// ProposeRetry is how long to wait for a command to take effect before it
	// is proposed again.
	ProposeRetry time.Duration
	// PromoteRetry is how long to wait for the result of a promotion before it
	// is ordered again.
	PromoteRetry time.Duration
	// PromoteTimeout is how long a candidate may take to be promoted before
	// another candidate is chosen.
	PromoteTimeout time.Duration
	// PromotionLapse is how long after a promotion was ordered it may take effect,
	// on platforms that promote by themselves (ExternalTerms). It includes the time
	// in which the order may reach the platform.
	PromotionLapse time.Duration
	// FenceRetry is how long to wait for the answer of an old primary before it
	// is fenced again.
	FenceRetry time.Duration
	// QuiesceTimeout is how long a planned switchover may hold back writes.
	QuiesceTimeout time.Duration
	// SwitchRetry is how long after a planned switchover was paused it starts
	// again.
	SwitchRetry time.Duration
}

// DefaultConfig returns the durations for deployments of up to a hundred hosts.
func DefaultConfig() Config {
	return Config{
		Lease:                 lease.DefaultConfig(),
		ProbeInterval:         100 * time.Millisecond,
		ProbeTimeout:          250 * time.Millisecond,
		FastHeartbeatInterval: 20 * time.Millisecond,
		MoveAfter:             400 * time.Millisecond,
		CheckTimeout:          450 * time.Millisecond,
		AnnounceTimeout:       1250 * time.Millisecond,
		ReadTimeout:           200 * time.Millisecond,
		ProposeRetry:          300 * time.Millisecond,
		PromoteRetry:          150 * time.Millisecond,
		PromoteTimeout:        600 * time.Millisecond,
		PromotionLapse:        3500 * time.Millisecond,
		FenceRetry:            200 * time.Millisecond,
		QuiesceTimeout:        250 * time.Millisecond,
		SwitchRetry:           2 * time.Second,
	}
}

// Validate returns an error if a duration is missing or if durations contradict
// each other.
func (c Config) Validate() error {
	if err := c.Lease.Validate(); err != nil {
		return err
	}
	positive := []time.Duration{
		c.ProbeInterval, c.ProbeTimeout, c.FastHeartbeatInterval, c.MoveAfter, c.CheckTimeout,
		c.AnnounceTimeout, c.ReadTimeout, c.ProposeRetry, c.PromoteRetry, c.PromoteTimeout,
		c.PromotionLapse, c.FenceRetry, c.QuiesceTimeout, c.SwitchRetry,
	}
	for _, d := range positive {
		if d <= 0 {
			return errors.New("failover: every duration must be positive")
		}
	}
	if c.FastHeartbeatInterval > c.Lease.Heartbeat {
		return errors.New("failover: FastHeartbeatInterval must not exceed the heartbeat interval")
	}
	if c.CheckTimeout < c.ProbeTimeout+c.Lease.Heartbeat {
		return errors.New("failover: CheckTimeout must be at least one heartbeat interval plus ProbeTimeout")
	}
	if c.PromoteTimeout < 2*c.PromoteRetry {
		return errors.New("failover: PromoteTimeout must be at least twice PromoteRetry")
	}
	return nil
}
