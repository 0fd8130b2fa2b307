// Package capacity estimates the network traffic, CPU time and memory that each
// role of a host needs at the deployment size that the users expect. It multiplies
// unit costs, which benchmarks measure on one machine, by the size.
package capacity

import "time"

// Unit is the unit of a figure.
type Unit string

// The units of figures.
const (
	Bytes       Unit = "B"
	Microsecond Unit = "us" // of CPU time
	Count       Unit = "1"
)

// Figure is one measured unit cost.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  Unit    `json:"unit"`
}

// Sizes describes the size of a deployment.
type Sizes struct {
	Hosts                int
	Groups               int
	InstancesPerGroup    int
	Services             int
	ControlHosts         int
	Domains              int
	Callers              int
	StatementsPerSecond  int
	PrimaryChangesPerDay int
	DocumentsPerDay      int // changes of documents
	RestartsPerDay       int // of hosts
	FailuresPerDay       int // of hosts
	HeartbeatInterval    time.Duration
	PingInterval         time.Duration
	ProbeInterval        time.Duration
	AnnounceInterval     time.Duration
}

// Limits states what a host may spend on control, and how many control hosts there
// may be.
type Limits struct {
	CorePercent    float64
	MemoryBytes    float64
	BytesPerSecond float64
	ControlHosts   int
}

// ExpectedSizes returns the sizes that the users expect within two years. The
// users state neither the number of services nor the instances of a group, so 22
// groups per service and three instances per group are assumed. The intervals are
// the defaults of the code.
func ExpectedSizes() Sizes {
	return Sizes{
		Hosts:                4700,
		Groups:               8800,
		InstancesPerGroup:    3,
		Services:             400,
		ControlHosts:         5,
		Domains:              5,
		Callers:              12_000_000,
		StatementsPerSecond:  7_900_000,
		PrimaryChangesPerDay: 10,
		DocumentsPerDay:      3300,
		RestartsPerDay:       4800,
		FailuresPerDay:       31,
		HeartbeatInterval:    150 * time.Millisecond,
		PingInterval:         250 * time.Millisecond,
		ProbeInterval:        100 * time.Millisecond,
		AnnounceInterval:     500 * time.Millisecond,
	}
}

// ControlLimits returns the limits that the users set for control.
func ControlLimits() Limits {
	return Limits{CorePercent: 1.2, MemoryBytes: 256 << 20, BytesPerSecond: 9000, ControlHosts: 13}
}

// Instances returns the number of upstream instances.
func (s *Sizes) Instances() int { return s.Groups * s.InstancesPerGroup }
