package routing

// Reason is the cause of a routing decision. The log line of a decision contains
// its name.
type Reason uint8

// The reasons. Those marked as refused leave Decision.Instance empty.
const (
	// ReasonWrite: a write goes to the primary.
	ReasonWrite Reason = iota
	// ReasonCurrentRead: a read that must be current goes to the primary.
	ReasonCurrentRead
	// ReasonReplicaLocal: a replica in the failure domain of the entry host.
	ReasonReplicaLocal
	// ReasonReplicaRemote: a replica in another failure domain.
	ReasonReplicaRemote
	// ReasonReplicaWait: a replica that is expected to reach the floor soon.
	ReasonReplicaWait
	// ReasonReplicaLastResort: there is no usable primary, and the hints of the
	// replica suggest that it is not fresh enough.
	ReasonReplicaLastResort
	// ReasonPrimarySooner: the primary is expected to answer urgent work sooner
	// than a lagging replica.
	ReasonPrimarySooner
	// ReasonReplicasBusy: the queues of the replicas take too much of the
	// deadline or of the objective, and that of the primary is short.
	ReasonReplicasBusy
	// ReasonReplicasStale: no replica is expected to be fresh enough.
	ReasonReplicasStale
	// ReasonNoReplica: the group has no usable replica.
	ReasonNoReplica
	// ReasonDeadlinePassed: refused, the deadline has passed.
	ReasonDeadlinePassed
	// ReasonNoPrimary: refused, the group has no primary.
	ReasonNoPrimary
	// ReasonPrimaryLeaving: refused, the primary is leaving.
	ReasonPrimaryLeaving
	// ReasonNoOwner: refused, no live host owns the instance.
	ReasonNoOwner
	// ReasonOwnerSuspect: refused, the owner of the primary may be dead.
	ReasonOwnerSuspect
	// ReasonOwnerUnresponsive: refused, the owner of the primary does not answer.
	ReasonOwnerUnresponsive
	// ReasonUnprovable: refused, there is no usable primary and every replica
	// was recently too stale.
	ReasonUnprovable
	// ReasonOwnerRefuses: refused, the owner refused the latest requests.
	ReasonOwnerRefuses
	// ReasonThrottled: refused, the instance refuses most work of the rank.
	ReasonThrottled
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonWrite:             "write",
	ReasonCurrentRead:       "current_read",
	ReasonReplicaLocal:      "replica_local",
	ReasonReplicaRemote:     "replica_remote",
	ReasonReplicaWait:       "replica_wait",
	ReasonReplicaLastResort: "replica_last_resort",
	ReasonPrimarySooner:     "primary_sooner",
	ReasonReplicasBusy:      "replicas_busy",
	ReasonReplicasStale:     "replicas_stale",
	ReasonNoReplica:         "no_replica",
	ReasonDeadlinePassed:    "deadline_passed",
	ReasonNoPrimary:         "no_primary",
	ReasonPrimaryLeaving:    "primary_leaving",
	ReasonNoOwner:           "no_owner",
	ReasonOwnerSuspect:      "owner_suspect",
	ReasonOwnerUnresponsive: "owner_unresponsive",
	ReasonUnprovable:        "unprovable",
	ReasonOwnerRefuses:      "owner_refuses",
	ReasonThrottled:         "throttled",
}

// String returns the stable name of the reason.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}
