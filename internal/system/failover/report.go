package failover

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Stamp is a moment on the clock of one leader. Every answer to a heartbeat
// carries one, and a report returns the latest stamp that the host had
// received before it began the probe. The leader thereby knows that a probe
// began after a moment of its own clock, whatever the network delayed.
type Stamp struct {
	// Leadership identifies the leader's time in office, for instance by the
	// term of the replicated log.
	Leadership uint64
	At         time.Duration
}

// Report is what a host says in a heartbeat about one instance. An owner sends
// one for each instance it owns when Reachable, Role, Leaving, Mark.Term,
// SeenTerm or Quiesced changed, when an order asks for it, and for all its
// instances when the leadership changed. A report of reachability that changed
// is sent at once and does not wait for the next heartbeat.
type Report struct {
	Group    table.GroupName
	Instance table.InstanceID
	// Address is where the host probed it, ip:port.
	Address string
	// Witness is set by a host that probed an instance it does not own.
	Witness bool
	// Reachable is the result of the latest finished probe.
	Reachable bool
	// UnreachableFor is how long, when the heartbeat was sent, no probe had
	// succeeded since the first one that failed.
	UnreachableFor time.Duration
	// Role, Mark and TermStart are those of the latest probe that succeeded.
	Role      table.Role
	Mark      table.Mark
	TermStart table.Position
	// Held is the term in which the replica was told to receive no more, zero
	// while it receives.
	Held table.Term
	// Leaving is set once the instance said it is going away.
	Leaving bool
	// After is the latest stamp received before the probe began.
	After Stamp
	// SeenTerm is the highest term of the group that the host acts on. It
	// will acknowledge no write under a lower term any more.
	SeenTerm table.Term
	// Acked is at or beyond every position that was acknowledged in the term
	// of the instance, by this owner or an earlier one. An owner that took
	// over starts it at the position the primary then reports. Valid if
	// AckedKnown is set.
	Acked      table.Mark
	AckedKnown bool
	// Quiesced is set while new writes are held back, none runs, and Mark was
	// read after the last one ended.
	Quiesced bool
}

// OrderKind says what an order asks of a host.
type OrderKind uint8

// The kinds of orders.
const (
	// OrderProbe asks an owner to probe its instance at once and to report
	// also when nothing changed.
	OrderProbe OrderKind = iota
	// OrderCheck asks a host to probe an instance that it does not own and to
	// report as a witness.
	OrderCheck
	// OrderTerm tells the owner of Instance that Term of Group has begun.
	OrderTerm
	// OrderQuiesce asks the owner of the primary to hold new writes back, let
	// running ones end and report. It ends by itself after Bound.
	OrderQuiesce
	// OrderHold asks the owner of a replica to make it receive no more from the
	// old primary, in Term.
	OrderHold
	// OrderReceive asks the owner of a replica to let it receive again.
	OrderReceive
	// OrderResume ends a quiesce without a change of primary.
	OrderResume
)

// String returns the name of the kind for logs.
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

// Order is an idempotent instruction to a host. It stands in the answer to
// each heartbeat of the host while it is needed and may be pushed as well. A
// host that received an order sends heartbeats at the hurry interval for the
// next second, and at once when it has carried the order out.
type Order struct {
	Kind     OrderKind
	Group    table.GroupName
	Instance table.InstanceID
	Address  string // of the instance
	Term     table.Term
	Bound    time.Duration
}
