// Package table defines the entities that the decision systems work on: hosts,
// upstream instances, groups and ownerships. The types are plain data. Nothing
// in this package does I/O or reads a clock. Points in time are time.Duration
// values on the local monotonic clock, counted from process start.
package table

import "time"

// HostID is the name of a host. It is unique within a deployment.
type HostID string

// InstanceID is the name of an upstream instance. It is unique within a
// deployment.
type InstanceID string

// GroupName is the name of a group, which is one primary and its replicas.
type GroupName string

// Domain is the name of a failure domain.
type Domain string

// Term numbers the primaries of a group. It increases with each change of
// primary, by one or more.
type Term uint64

// Position is a log position within one group, in the unit that the upstream
// reports (bytes for PostgreSQL).
type Position uint64

// Epoch numbers the owners of an instance. It increases with each change of
// owner.
type Epoch uint64

// Mark is a point in the log of a group: a position written in a term.
type Mark struct {
	Term     Term
	Position Position
}

// Less reports whether m is before o in the history of a group. A higher term is
// after every position of a lower one.
func (m Mark) Less(o Mark) bool {
	if m.Term != o.Term {
		return m.Term < o.Term
	}
	return m.Position < o.Position
}

// Role is the role within its group that an instance announces or reports.
type Role uint8

// The roles of an instance.
const (
	RoleReplica Role = iota
	RolePrimary
)

// String returns the name of the role as it appears in announcements.
func (r Role) String() string {
	if r == RolePrimary {
		return "primary"
	}
	return "replica"
}

// Instance describes an upstream instance according to its latest announcement.
type Instance struct {
	ID      InstanceID
	Group   GroupName
	Address string // ip:port, PostgreSQL protocol
	Domain  Domain
	Role    Role
	Mark    Mark // latest reported term and position
	// Slots is the number of statements that the instance runs concurrently.
	Slots int
	// Connections is the maximum number of open connections to the instance.
	Connections int
	// Leaving is set once the instance has announced that it is leaving.
	Leaving bool
	// Left is set once the instance has left: it has sent its last announcement,
	// or a later instance uses its address.
	Left bool
	// Emptied is set from a start under the id of an earlier one until the instance
	// was seen to hold what its primary held after that start. It may have lost
	// what the earlier start held.
	Emptied bool
	// Born orders the starts of the instance, and Sequence the announcements
	// after one start. Both are zero if the instance does not number them.
	Born     uint64
	Sequence uint64
	// SeenAt is the local time of the latest announcement.
	SeenAt time.Duration
}

// HostState is the state of a host as the control leader or another host sees
// it.
type HostState uint8

// The states of a host.
const (
	HostAlive HostState = iota
	HostSuspect
	HostDead
	HostLeft
)

// Host describes a host according to its latest heartbeat.
type Host struct {
	ID          HostID
	Domain      Domain
	PeerAddress string // ip:port, drpc between hosts
	Incarnation uint64
	State       HostState
	Control     bool // set for a control host
	Draining    bool // the host takes no new ownerships
}

// Ownership assigns an instance to its owner, the only host that may open
// connections to it.
type Ownership struct {
	Instance InstanceID
	Host     HostID
	Epoch    Epoch
}

// Group is the control state of one group.
type Group struct {
	Name  GroupName
	Term  Term
	Phase GroupPhase
	// Primary is the instance promoted last. In PhasePromoting it is the primary
	// of an earlier term, or empty.
	Primary InstanceID
	// Candidate is the only instance that may be promoted in Term.
	Candidate InstanceID
	// TermStart is the log position at which the current term began. The log of
	// older terms beyond that position was lost.
	TermStart Position
	// LogTerm is the term of the log of Primary. It differs from Term if the
	// platform assigns log terms itself. Zero means Term.
	LogTerm Term
	// History holds the start positions of the latest terms. It includes the
	// current term once its primary is promoted.
	History TermHistory
	// LogTermInDoubt is set in PhasePromoting if the promotion of an earlier
	// candidate was ordered since LogTerm was committed. It may have begun a later
	// log term that no host has seen.
	LogTermInDoubt bool `json:",omitempty"`
	// PromotionOpen is set in PhaseStable if a further order to promote Primary may
	// still take effect.
	PromotionOpen bool `json:",omitempty"`
}

// GroupPhase is the progress of a change of primary.
type GroupPhase uint8

// The phases of a group.
const (
	// PhaseStable means that Primary is promoted in Term.
	PhaseStable GroupPhase = iota
	// PhasePromoting means that Term has begun but the promotion of Candidate is
	// not confirmed yet. No write is acknowledged.
	PhasePromoting
)

// EffectiveLogTerm returns the term in which the promoted primary writes its log.
func (g Group) EffectiveLogTerm() Term {
	if g.LogTerm != 0 {
		return g.LogTerm
	}
	return g.Term
}
