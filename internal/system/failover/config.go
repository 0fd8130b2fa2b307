// Package failover decides, at the control leader, when the primary of a group
// changes and which instance follows it. It tells a dead primary from a dead
// owner and from a cut between the two. A change agrees on the next term
// first, waits until the owner of the old primary can acknowledge nothing
// more, reads the positions of the group after that, and has the most advanced
// safe replica promoted. Where safety cannot be shown it waits and says what
// it waits for.
//
// The System is driven by inputs (agreed groups and owners, announcements,
// reports of owners, lease changes, results of promotions) and by Step, which
// returns actions. It neither reads a clock nor does I/O, and it is not safe
// for concurrent use. Its cost follows the groups with something going on.
package failover

import (
	"errors"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
)

// Config holds all durations that together bound a change of primary.
type Config struct {
	Lease lease.Config
	// ExternalTerms is set where the platform numbers the terms of logs: a
	// promotion begins the next one, whatever term is agreed for the group.
	ExternalTerms bool
	// ProbeInterval is how often an owner probes an instance it owns.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a probe may stay without an answer.
	ProbeTimeout time.Duration
	// FastHeartbeatInterval is how often a host sends heartbeats while it holds
	// orders of the leader.
	FastHeartbeatInterval time.Duration
	// MoveAfter is how long the owner could not reach a primary that other
	// hosts reach before the primary is moved to one of them.
	MoveAfter time.Duration
	// CheckTimeout is how long the leader waits for the hosts it asked.
	CheckTimeout time.Duration
	// AnnounceTimeout is how long a primary that announced itself must have
	// been silent to count as dead where no other host can be asked.
	AnnounceTimeout time.Duration
	// ReadTimeout is how long the leader waits for positions that are not
	// needed to show safety but may show a more advanced replica.
	ReadTimeout time.Duration
	// ProposeRetry is when a command that did not take effect is proposed
	// again.
	ProposeRetry time.Duration
	// PromoteRetry is when a promotion without a result is ordered again.
	PromoteRetry time.Duration
	// PromoteTimeout is when a candidate that was not promoted is given up.
	PromoteTimeout time.Duration
	// FenceRetry is when an old primary that did not answer is fenced again.
	FenceRetry time.Duration
	// QuiesceTimeout is how long a planned switch-over may hold writes back.
	QuiesceTimeout time.Duration
	// SwitchRetry is when a planned switch-over that was given up starts again.
	SwitchRetry time.Duration
}

// DefaultConfig returns the durations for deployments of up to a hundred
// hosts.
func DefaultConfig() Config {
	return Config{
		Lease:           lease.DefaultConfig(),
		ProbeInterval:   100 * time.Millisecond,
		ProbeTimeout:    250 * time.Millisecond,
		FastHeartbeatInterval:   20 * time.Millisecond,
		MoveAfter:       400 * time.Millisecond,
		CheckTimeout:      450 * time.Millisecond,
		AnnounceTimeout: 1250 * time.Millisecond,
		ReadTimeout:       200 * time.Millisecond,
		ProposeRetry:    300 * time.Millisecond,
		PromoteRetry:    150 * time.Millisecond,
		PromoteTimeout:    600 * time.Millisecond,
		FenceRetry:      200 * time.Millisecond,
		QuiesceTimeout:    250 * time.Millisecond,
		SwitchRetry:     2 * time.Second,
	}
}

// Validate reports durations that are missing or contradict each other.
func (c Config) Validate() error {
	if err := c.Lease.Validate(); err != nil {
		return err
	}
	positive := []time.Duration{
		c.ProbeInterval, c.ProbeTimeout, c.FastHeartbeatInterval, c.MoveAfter, c.CheckTimeout,
		c.AnnounceTimeout, c.ReadTimeout, c.ProposeRetry, c.PromoteRetry, c.PromoteTimeout,
		c.FenceRetry, c.QuiesceTimeout, c.SwitchRetry,
	}
	for _, d := range positive {
		if d <= 0 {
			return errors.New("failover: every duration must be positive")
		}
	}
	if c.FastHeartbeatInterval > c.Lease.Heartbeat {
		return errors.New("failover: the hurry interval must not exceed the heartbeat interval")
	}
	if c.CheckTimeout < c.ProbeTimeout+c.Lease.Heartbeat {
		return errors.New("failover: the check bound must cover one heartbeat and one probe timeout")
	}
	if c.PromoteTimeout < 2*c.PromoteRetry {
		return errors.New("failover: the promote bound must leave room for a retry")
	}
	return nil
}
