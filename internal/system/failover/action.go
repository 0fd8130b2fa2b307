package failover

import (
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Action is what the caller of Step does next. It is one of Propose, Promote,
// Fence, SendOrder, MoveOwner, InstanceRemoved and Wait.
type Action interface{ action() }

// Propose appends a command to the replicated log. Its effect comes back by
// SetGroup.
type Propose struct{ Command control.Command }

// Promote asks the platform to make Instance the primary in Term. The result
// goes to Promoted.
type Promote struct {
	Group    table.GroupName
	Instance table.InstanceID
	Address  string
	Term     table.Term
	Owner    table.HostID // owner of Instance, empty if it has none
	// Leadership is the time in office that orders it.
	Leadership uint64
}

// Fence tells an old primary that terms below Term are over. The answer goes
// to Fenced.
type Fence struct {
	Group    table.GroupName
	Instance table.InstanceID
	Address  string
	Term     table.Term
	Epoch    table.Epoch  // epoch of the ownership in force
	Owner    table.HostID // owner of Instance, empty if it has none
}

// SendOrder sends an order to a host. Orders also returns it for the answers
// to the heartbeats of the host.
type SendOrder struct {
	Host  table.HostID
	Order Order
}

// MoveOwner asks for another owner of Instance: From cannot reach it, To can.
type MoveOwner struct {
	Instance table.InstanceID
	From     table.HostID
	To       table.HostID
}

// InstanceRemoved says that an instance that has left no longer counts: the others
// hold all that it may have held.
type InstanceRemoved struct{ Instance table.InstanceID }

// Wait says that a group waits for Reason. It is returned when the reason
// changes; Waiting returns the reason in force.
type Wait struct {
	Group  table.GroupName
	Reason WaitReason
}

func (Propose) action()   {}
func (Promote) action()   {}
func (Fence) action()     {}
func (SendOrder) action() {}
func (MoveOwner) action() {}
func (InstanceRemoved) action() {}
func (Wait) action()      {}

// WaitReason is what a group waits for.
type WaitReason uint8

// The reasons.
const (
	// WaitNothing means that the primary serves.
	WaitNothing WaitReason = iota
	// WaitReport means that the owner has not reported on the primary yet.
	WaitReport
	// WaitEvidence means that other hosts try to reach the primary.
	WaitEvidence
	// WaitOwnerLease means that the primary lives and its owner does not: the
	// instance gets another owner once the lease ran out.
	WaitOwnerLease
	// WaitOwnerMove means that the owner cannot reach the primary and another
	// host can: the instance is moved to that host.
	WaitOwnerMove
	// WaitCommit means that a command waits for the control hosts.
	WaitCommit
	// WaitOwnerRelease means that the owner of the old primary has neither
	// seen the new term nor lost its lease.
	WaitOwnerRelease
	// WaitPositions means that too few instances of the group can be read to
	// know the highest acknowledged position.
	WaitPositions
	// WaitSafeReplica means that no instance within reach holds the highest
	// acknowledged position.
	WaitSafeReplica
	// WaitPromotion means that the candidate is being promoted.
	WaitPromotion
	// WaitBootstrap means that the group is new and too few of its instances
	// announced themselves, or they disagree on the primary.
	WaitBootstrap
	// WaitQuiesce means that a planned switch-over waits for running writes.
	WaitQuiesce
	// WaitCatchUp means that a planned switch-over waits for the candidate.
	WaitCatchUp
	// WaitSwitchReplica means that a planned switch-over has no replica to
	// switch to.
	WaitSwitchReplica
	waitCount
)

var waitNames = [waitCount]string{
	WaitNothing:       "nothing",
	WaitReport:        "the owner to report on the primary",
	WaitEvidence:      "other hosts try to reach the primary",
	WaitOwnerLease:    "the lease of the owner to run out",
	WaitOwnerMove:     "the primary to move to an owner that reaches it",
	WaitCommit:        "the control hosts to agree",
	WaitOwnerRelease:  "the owner of the old primary to release it or to lose its lease",
	WaitPositions:     "the positions of enough instances",
	WaitSafeReplica:   "a replica that holds every acknowledged write",
	WaitPromotion:     "the candidate to be promoted",
	WaitBootstrap:     "enough instances to agree on the first primary",
	WaitQuiesce:       "running writes to end",
	WaitCatchUp:       "the candidate to catch up",
	WaitSwitchReplica: "a replica to switch to",
}

// String returns the reason as status and logs show it.
func (r WaitReason) String() string {
	if r >= waitCount {
		return "unknown"
	}
	return waitNames[r]
}

// PromoteResult is the outcome of a Promote action.
type PromoteResult struct {
	Group    table.GroupName
	Instance table.InstanceID
	Term     table.Term
	// OK means that Instance is the primary in Term; Status is its answer.
	OK     bool
	Status dbedge.Status
	// HigherTerm is a term above Term that the instance has seen, zero if it
	// named none.
	HigherTerm table.Term
}
