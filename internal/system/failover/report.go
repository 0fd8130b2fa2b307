package failover

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Stamp is a time on the clock of one leader. Every answer to a heartbeat
// carries a stamp, and a report returns the latest stamp that the host had
// received before it began the probe. The leader thereby knows that the probe
// began after that time on its own clock, however long messages were delayed.
type Stamp struct {
	// Leadership identifies the leadership, for example by the term of the
	// replicated log.
	Leadership uint64
	At         time.Duration
}

// Report describes one instance in a heartbeat of a host. An owner reports an
// instance when its Reachable, Role, Leaving, Mark.Term, LogTerm, SeenTerm, Quiesced
// or Held changed, when an order asks for a report, and when the leadership
// changed. A change of Reachable is sent at once, without waiting for the next
// heartbeat.
type Report struct {
	Group    table.GroupName
	Instance table.InstanceID
	// Address is where the host probed the instance, as ip:port.
	Address string
	// Witness is set if the host does not own the instance.
	Witness bool
	// Reachable is the result of the latest finished probe.
	Reachable bool
	// UnreachableFor is the time between the first failed probe since the last
	// success and the sending of the heartbeat.
	UnreachableFor time.Duration
	// ConnectedFor is how long the connection of the latest successful probe has been
	// open, zero if that is not known.
	ConnectedFor time.Duration
	// Role, Mark and TermStart are the results of the latest successful probe.
	Role      table.Role
	Mark      table.Mark
	TermStart table.Position
	// LogTerm is the log term that the instance led or followed at the latest
	// successful probe, zero if it does not tell. It may be above Mark.Term.
	LogTerm table.Term
	// Held is the term in which the replica was ordered to stop receiving, zero
	// while it receives.
	Held table.Term
	// Leaving is set once the instance reported that it is leaving.
	Leaving bool
	// After is the latest stamp that the host received before the probe began.
	After Stamp
	// SeenTerm is the highest term of the group that the host has applied. The
	// host no longer acknowledges writes in lower terms.
	SeenTerm table.Term
	// Acked is at or above every position that was acknowledged in the term of
	// the instance, by this owner or an earlier one. A new owner initializes it
	// to the position that the primary reports. It is valid if AckedKnown is
	// set.
	Acked      table.Mark
	AckedKnown bool
	// Quiesced is set while new writes are held back, no write is running, and
	// Mark was read after the last write finished.
	Quiesced bool
}

// OrderKind is the type of an order to a host.
type OrderKind uint8

const (
	// OrderProbe asks an owner to probe its instance at once and to report the
	// result even if nothing changed.
	OrderProbe OrderKind = iota
	// OrderCheck asks a host to probe an instance that it does not own and to
	// report as a witness.
	OrderCheck
	// OrderTerm tells the owner of Instance that Term of Group has begun.
	OrderTerm
	// OrderQuiesce asks the owner of the primary to hold back new writes, wait
	// for running writes and report. The quiesce ends by itself after Bound.
	OrderQuiesce
	// OrderHold asks the owner of a replica to stop the replica from receiving
	// from the old primary, in Term.
	OrderHold
	// OrderReceive asks the owner of a replica to let the replica receive
	// again.
	OrderReceive
	// OrderResume ends a quiesce without a change of primary.
	OrderResume
)

// String returns the name of the order as it appears in logs.
func (k OrderKind) String() string {
	switch k {
	case OrderProbe:
		return "probe"
	case OrderCheck:
		return "check"
	case OrderTerm:
		return "term"
	case OrderQuiesce:
		return "quiesce"
	case OrderResume:
		return "resume"
	case OrderHold:
		return "hold"
	case OrderReceive:
		return "receive"
	default:
		return "unknown"
	}
}

// Order is an idempotent instruction to a host. It is part of the answer to
// each heartbeat of the host while it is in force, and may also be pushed. A
// host that received an order sends heartbeats at FastHeartbeatInterval for the
// next second, and one at once when it has carried out an OrderCheck.
type Order struct {
	Kind     OrderKind
	Group    table.GroupName
	Instance table.InstanceID
	Address  string // address of Instance
	Term     table.Term
	Bound    time.Duration // maximum duration of a quiesce
}
