// Package capacity works out what each role of the system needs at the size
// that its users expect, from slopes that were measured on one machine.
package capacity

import "time"

// Unit is the unit of a figure.
type Unit string

// The units of figures.
const (
	Bytes       Unit = "B"
	Microsecond Unit = "us" // of processor time
	Count       Unit = "1"
)

// Figure is one measured slope.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  Unit    `json:"unit"`
}

// Sizes describe a deployment.
type Sizes struct {
	Hosts             int
	Groups            int
	InstancesPerGroup int
	Services          int
	ControlHosts      int
	Domains           int
	Callers           int
	Statements        int // a second
	PrimaryChanges    int // a day
	Documents         int // changes a day
	Restarts          int // of hosts a day
	Failures          int // of hosts a day
	Heartbeat         time.Duration
	Ping              time.Duration
	Probe             time.Duration
	Announce          time.Duration
}

// Limits are what a host may spend on control.
type Limits struct {
	CorePercent    float64
	MemoryBytes    float64
	BytesPerSecond float64
	ControlHosts   int
}

// ExpectedSizes is what the users expect within two years. They state neither the
// number of services nor the instances of a group: 22 groups a service and
// three instances are assumed. Intervals are the defaults of the code.
func ExpectedSizes() Sizes {
	return Sizes{
		Hosts:             4700,
		Groups:            8800,
		InstancesPerGroup: 3,
		Services:          400,
		ControlHosts:      5,
		Domains:           5,
		Callers:           12_000_000,
		Statements:        7_900_000,
		PrimaryChanges:    10,
		Documents:         3300,
		Restarts:          4800,
		Failures:          31,
		Heartbeat:         150 * time.Millisecond,
		Ping:              250 * time.Millisecond,
		Probe:             100 * time.Millisecond,
		Announce:          500 * time.Millisecond,
	}
}

// UsersLimits is what the users allow for control.
func UsersLimits() Limits {
	return Limits{CorePercent: 1.2, MemoryBytes: 256 << 20, BytesPerSecond: 9000, ControlHosts: 13}
}

// Instances returns the number of upstream instances.
func (s *Sizes) Instances() int { return s.Groups * s.InstancesPerGroup }
