// Package config parses and validates the two kinds of file that an operator
// writes: the settings of a host and the document of a service. Both are JSON
// with comments. Unknown, duplicate and missing fields are errors.
package config

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Rank is the priority of a class of requests.
type Rank uint8

// The three ranks, most urgent first.
const (
	RankUrgent Rank = iota
	RankNormal
	RankBackground
	RankCount
)

// Access tells whether a class reads or writes.
type Access uint8

// The access types of a class.
const (
	AccessRead Access = iota
	AccessWrite
)

// Class describes one class of requests of a service.
type Class struct {
	Name   string
	Rank   Rank
	Access Access
	// Groups lists the groups that hold the data of the class. If there is more
	// than one, each request carries a key, which selects the group.
	Groups []table.GroupName
	// Staleness is the maximum age of the data that a read returns. Zero means
	// that the data must be current.
	Staleness time.Duration
	// Deadline is the time after the arrival of a request within which it must
	// be answered.
	Deadline time.Duration
	// Objective is the target latency, within which an answer has its full
	// worth. Zero means no target.
	Objective time.Duration
	// Worth is the weight of a timely answer of this class relative to those of
	// other classes.
	Worth int
	// RatePerSecond is the declared arrival rate of the class. Zero means that
	// no rate is declared.
	RatePerSecond float64
	// Repeatable is false for requests that must run at most once.
	Repeatable bool
	// AckReplicas is the number of replicas that must hold a write before it is
	// acknowledged: 0 or 1.
	AckReplicas int
}

// GroupSpec is the specification of a group in the document of a service.
type GroupSpec struct {
	Name table.GroupName
	// Instances is the number of instances in the complete group.
	Instances int
}

// Document is the validated document of one service. Callers select the
// service by the name of the database they connect to.
type Document struct {
	Service string
	Version uint64
	Groups  []GroupSpec
	Classes []Class
	// Default is the class of requests that carry no class tag.
	Default string
	// RankFloors is the share of an instance's slots, in percent, that is
	// guaranteed to each rank when more urgent ranks are overloaded.
	RankFloors [RankCount]int
	// RequestWindow is how long the id of a request is remembered.
	RequestWindow time.Duration
}
