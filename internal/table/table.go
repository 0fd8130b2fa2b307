// Package table holds the entities that the decision systems work on: hosts,
// upstream instances, groups, ownerships and leases. The types are plain
// data. Nothing in this package does I/O or reads a clock: every moment is a
// time.Duration on the local monotonic clock, counted from process start.
package table

import "time"

// HostID names one host of the system, unique within a deployment.
type HostID string

// InstanceID names one upstream instance, unique within a deployment.
type InstanceID string

// GroupName names a group: one primary and its replicas.
type GroupName string

// Domain names a failure domain.
type Domain string

// Term counts the primaries of a group. It grows by at least one with each
// change of primary.
type Term uint64

// Position is a log position within one group, in the unit the upstream
// reports (bytes for PostgreSQL).
type Position uint64

// Epoch counts the owners of an instance. It grows with each change of owner.
type Epoch uint64

// Mark is a point in the history of a group.
type Mark struct {
	Term     Term
	Position Position
}

// Less reports whether m lies before o in the history of a group. A later
// term lies after every position of an earlier one.
func (m Mark) Less(o Mark) bool {
	if m.Term != o.Term {
		return m.Term < o.Term
	}
	return m.Position < o.Position
}

// Role is what an instance says it is within its group.
type Role uint8

// The roles of an instance.
const (
	RoleReplica Role = iota
	RolePrimary
)

// String returns the name of the role as it stands in announcements.
func (r Role) String() string {
	if r == RolePrimary {
		return "primary"
	}
	return "replica"
}

// Instance is one upstream instance, as its latest announcement described it.
type Instance struct {
	ID      InstanceID
	Group   GroupName
	Address string // ip:port, PostgreSQL protocol
	Domain  Domain
	Role    Role
	Mark    Mark // term and position it reported last
	// Slots is how many statements the instance runs at once.
	Slots int
	// Connections is how many open connections the instance accepts.
	Connections int
	// Leaving is set once the instance said it is going away.
	Leaving bool
	// Left is set once it said its last word.
	Left bool
	// Born orders the starts of the instance and Sequence what it said after
	// one; zero where instances number neither.
	Born     uint64
	Sequence uint64
	// SeenAt is the local moment of the latest announcement.
	SeenAt time.Duration
}

// HostState is what the membership knows about a host.
type HostState uint8

// The states of a host.
const (
	HostAlive HostState = iota
	HostSuspect
	HostDead
	HostLeft
)

// Host is one host of the system.
type Host struct {
	ID          HostID
	Domain      Domain
	PeerAddress string // ip:port, drpc between hosts
	Incarnation uint64
	State       HostState
	Control     bool // whether it is a control host
	Draining    bool // takes no new ownerships
}

// Ownership says which host alone may open connections to an instance.
type Ownership struct {
	Instance InstanceID
	Host     HostID
	Epoch    Epoch
}

// Group is the agreed state of one group.
type Group struct {
	Name  GroupName
	Term  Term
	Phase GroupPhase
	// Primary is the instance promoted last; in PhasePromoting it is the
	// primary of the term before, or empty.
	Primary InstanceID
	// Candidate is the only instance that may be promoted in Term.
	Candidate InstanceID
	// TermStart is the position at which the current term began: what an
	// older term holds beyond it was lost.
	TermStart Position
	// LogTerm is the term of the log of Primary. It differs from Term where the
	// platform numbers the terms of logs itself; zero stands for Term.
	LogTerm Term
	// History holds where the latest terms began, the current one included
	// once its primary is promoted.
	History TermHistory
}

// GroupPhase is the state of a change of primary.
type GroupPhase uint8

// The phases of a group.
const (
	// PhaseStable means that Primary is promoted in Term.
	PhaseStable GroupPhase = iota
	// PhasePromoting means that Term has begun and Candidate is not yet known
	// to be promoted; no write is acknowledged.
	PhasePromoting
)

// EffectiveLogTerm returns the term under which the promoted primary writes its log.
func (g Group) EffectiveLogTerm() Term {
	if g.LogTerm != 0 {
		return g.LogTerm
	}
	return g.Term
}
