package standin

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Config describes one stand-in instance.
type Config struct {
	Group    table.GroupName
	Instance table.InstanceID
	Domain   table.Domain
	// Address is ip:port for the PostgreSQL protocol. Port 0 picks a free one.
	Address string
	// ControlAddress is ip:port of the HTTP port that serves the peers of the
	// group and the fault switches. Port 0 picks a free one.
	ControlAddress string
	// Primary bootstraps the group: the instance starts as its primary in
	// term 1, unless a peer already follows a term.
	Primary bool
	// Peers are the control addresses of the other instances of the group.
	Peers []string
	// Hosts are the HTTP addresses (ip:port) of the hosts that accept
	// announcements. If empty, the instance does not announce itself.
	Hosts []string
	// Slots is the maximum number of statements that run concurrently.
	Slots int
	// Connections is the maximum number of open connections of callers.
	Connections int
	// StatementTime is how long a statement holds its slot.
	StatementTime time.Duration
	// OpenCost is the time that it takes to open a connection.
	OpenCost time.Duration
	// Lag is the replication lag: while the instance is a replica, an entry
	// reaches it this long after its commit.
	Lag time.Duration
}

// DefaultConfig returns a Config on free loopback ports with the slots,
// connections and open cost of production instances, and no work time or lag.
func DefaultConfig(group table.GroupName, instance table.InstanceID) Config {
	return Config{
		Group:          group,
		Instance:       instance,
		Address:        "127.0.0.1:0",
		ControlAddress: "127.0.0.1:0",
		Slots:          3,
		Connections:    45,
		OpenCost:       10 * time.Millisecond,
	}
}

func (c Config) validate() error {
	if c.Group == "" || c.Instance == "" {
		return errors.New("group and instance must be named")
	}
	if c.Slots < 1 || c.Connections < 1 {
		return errors.New("slots and connections must be at least 1")
	}
	if c.StatementTime < 0 || c.OpenCost < 0 || c.Lag < 0 {
		return errors.New("work, open cost and lag must not be negative")
	}
	addresses := append([]string{c.Address, c.ControlAddress}, c.Peers...)
	for _, a := range append(addresses, c.Hosts...) {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("address %q: %w", a, err)
		}
	}
	return nil
}
