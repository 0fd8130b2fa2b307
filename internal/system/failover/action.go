package failover

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Action is an instruction that Step returns to its caller. It is one of
// Propose, Promote, Fence, SendOrder, MoveOwner, InstanceRemoved, InstanceRefilled
// and Wait.
type Action interface{ action() }

// Propose asks the caller to append a command to the replicated log. Once the
// command is applied, its result arrives through SetGroup.
type Propose struct{ Command control.Command }

// Promote asks the platform to make Instance the primary in Term. The result
// must be passed to HandlePromoteResult.
type Promote struct {
	Group    table.GroupName
	Instance table.InstanceID
	Address  string
	Term     table.Term
	Owner    table.HostID // owner of Instance, empty if it has none
	// Leadership identifies the leadership that ordered the promotion.
	Leadership uint64
	// MinLogTerm is the lowest log term in which Instance counts as promoted, zero
	// without external terms.
	MinLogTerm table.Term
	// OrderedAt is the time of the order, to be returned with the result.
	OrderedAt time.Duration
}

// Fence tells an old primary that all terms below Term have ended. If the
// instance answers, the caller must call HandleFenceResult.
type Fence struct {
	Group    table.GroupName
	Instance table.InstanceID
	Address  string
	Term     table.Term
	Epoch    table.Epoch  // epoch of the ownership in force
	Owner    table.HostID // owner of Instance, empty if it has none
}

// SendOrder sends an order to a host. Orders also returns the order for the
// answers to heartbeats of the host.
type SendOrder struct {
	Host  table.HostID
	Order Order
}

// MoveOwner asks for another owner of Instance, because From cannot reach it
// and To can.
type MoveOwner struct {
	Instance table.InstanceID
	From     table.HostID
	To       table.HostID
}

// InstanceRemoved reports that an instance that has left is removed from its
// group, because all other instances hold every write that it may have held.
type InstanceRemoved struct{ Instance table.InstanceID }

// InstanceRefilled reports that an instance that was marked as emptied holds what
// its primary held after the start Born.
type InstanceRefilled struct {
	Instance table.InstanceID
	Born     uint64
}

// Wait reports that the group now waits for Reason. It is returned only when
// the reason or Missing changes; Waiting returns the current reason.
type Wait struct {
	Group  table.GroupName
	Reason WaitReason
	// Missing names the instances that do not count as answers of a change of primary
	// that has waited for them for some time, and why, or the instance whose promotion
	// is open. It is empty otherwise.
	Missing string
}

func (Propose) action()          {}
func (Promote) action()          {}
func (Fence) action()            {}
func (SendOrder) action()        {}
func (MoveOwner) action()        {}
func (InstanceRefilled) action() {}
func (InstanceRemoved) action()  {}
func (Wait) action()             {}

// WaitReason is the condition that a group waits for.
type WaitReason uint8

const (
	// WaitNothing means that the primary serves.
	WaitNothing WaitReason = iota
	// WaitReport means that the owner has not reported on the primary yet.
	WaitReport
	// WaitEvidence means that other hosts are probing the primary.
	WaitEvidence
	// WaitOwnerLease means that the primary is reachable but its owner is not.
	// The instance gets another owner once the owner's lease expires.
	WaitOwnerLease
	// WaitOwnerMove means that the owner cannot reach the primary but another
	// host can. The instance is being moved to that host.
	WaitOwnerMove
	// WaitCommit means that a proposed command is not committed yet.
	WaitCommit
	// WaitOwnerRelease means that the owner of the old primary has not seen the
	// new term and its lease has not expired.
	WaitOwnerRelease
	// WaitPositions means that too few instances of the group have reported
	// their positions to determine the highest acknowledged position.
	WaitPositions
	// WaitSafeReplica means that no reachable instance holds the highest
	// acknowledged position.
	WaitSafeReplica
	// WaitPromotion means that the candidate is being promoted.
	WaitPromotion
	// WaitPromotionLapse means that the promotion of an earlier candidate, or a
	// further one of the primary, was ordered and may still take effect. No other
	// instance may serve before.
	WaitPromotionLapse
	// WaitBootstrap means that the group is new and that too few of its
	// instances have announced themselves, or that they disagree on the
	// primary.
	WaitBootstrap
	// WaitQuiesce means that a planned switchover waits for running writes to
	// finish.
	WaitQuiesce
	// WaitCatchUp means that a planned switchover waits for the candidate to
	// catch up.
	WaitCatchUp
	// WaitSwitchReplica means that a planned switchover has no suitable replica
	// as its candidate.
	WaitSwitchReplica
	waitCount
)

var waitNames = [waitCount]string{
	WaitNothing:        "nothing",
	WaitReport:         "the owner to report on the primary",
	WaitEvidence:       "other hosts try to reach the primary",
	WaitOwnerLease:     "the lease of the owner to run out",
	WaitOwnerMove:      "the primary to move to an owner that reaches it",
	WaitCommit:         "the control hosts to agree",
	WaitOwnerRelease:   "the owner of the old primary to release it or to lose its lease",
	WaitPositions:      "the positions of enough instances",
	WaitSafeReplica:    "a replica that holds every acknowledged write",
	WaitPromotion:      "the candidate to be promoted",
	WaitPromotionLapse: "an ordered promotion to take effect or to lapse",
	WaitBootstrap:      "enough instances to agree on the first primary",
	WaitQuiesce:        "running writes to end",
	WaitCatchUp:        "the candidate to catch up",
	WaitSwitchReplica:  "a replica to switch to",
}

// String returns the reason as it appears in the status and in logs.
func (r WaitReason) String() string {
	if r >= waitCount {
		return "unknown"
	}
	return waitNames[r]
}

// PromoteResult is the result of a Promote action.
type PromoteResult struct {
	Group    table.GroupName
	Instance table.InstanceID
	Term     table.Term
	// OK is set if Instance is the primary in Term. Status is its answer.
	OK     bool
	Status dbedge.Status
	// HigherTerm is a term above Term that the instance has seen, zero if it
	// reported none.
	HigherTerm table.Term
	// Refused is set if the order has no effect, and Accepted if the platform has
	// accepted it. If neither is set, it may have been accepted.
	Refused, Accepted bool
	// OrderedAt is that of the Promote action.
	OrderedAt time.Duration
}
