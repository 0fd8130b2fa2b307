// Package config holds the two files an operator writes: the settings of a
// host and the document of a service. Both are JSON with comments and are
// checked strictly.
package config

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Rank orders work by urgency.
type Rank uint8

// The three ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankNormal
	RankBackground
	RankCount
)

// Access says whether a class only reads.
type Access uint8

// The accesses of a class.
const (
	AccessRead Access = iota
	AccessWrite
)

// Class is one kind of work of a service.
type Class struct {
	Name   string
	Rank   Rank
	Access Access
	// Groups lists the groups that hold the data of the class. With more than
	// one, a request names its key and the key selects the group.
	Groups []table.GroupName
	// Staleness is how old the data of a read may be; zero means that it must
	// be current.
	Staleness time.Duration
	// Deadline is how long after its arrival an answer is still of use.
	Deadline time.Duration
	// Objective is how soon an answer is worth most; zero means none.
	Objective time.Duration
	// Worth weighs a timely answer of this class against others.
	Worth int
	// RatePerSecond is the arrival rate the class declares; zero means none.
	RatePerSecond float64
	// Repeatable is false for work that must never run twice.
	Repeatable bool
	// AckReplicas is how many replicas must hold a write before it is
	// acknowledged: 0 or 1.
	AckReplicas int
}

// GroupSpec states what a service expects of one of its groups.
type GroupSpec struct {
	Name table.GroupName
	// Instances is how many instances the group has when whole.
	Instances int
}

// Document is the checked document of one service. Callers name the service
// as the database they connect to.
type Document struct {
	Service string
	Version uint64
	Groups  []GroupSpec
	Classes []Class
	// Default is the class of requests that carry no tag.
	Default string
	// RankFloors is the share of an instance's slots, in percent, that each
	// rank keeps while higher ranks flood.
	RankFloors [RankCount]int
	// RequestWindow is how long a request id is remembered.
	RequestWindow time.Duration
}
