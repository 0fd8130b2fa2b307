// Package dbedge is the narrow edge to the platform that runs the
// databases. The interfaces here are all that the system asks of it; each has
// a contract test (package edgetest) that any implementation can be put
// through.
package dbedge

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Announcement is what an instance says about itself.
type Announcement struct {
	Group       table.GroupName  `json:"group"`
	Instance    table.InstanceID `json:"instance"`
	Address     string           `json:"address"` // ip:port
	Domain      table.Domain     `json:"failure_domain"`
	Role        string           `json:"role"` // "primary" or "replica"
	Term        table.Term       `json:"term"`
	Position    table.Position   `json:"position"`
	Slots       int              `json:"slots"`
	Connections int              `json:"connections"`
	Leaving     bool             `json:"leaving"`
	// Born orders the starts of an instance and Sequence what it says after
	// one; both are zero for instances that do not number what they say.
	Born     uint64 `json:"born,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	// Gone is set in the last announcement of an instance.
	Gone bool `json:"gone,omitempty"`
}

// AnnounceReply tells an instance when to announce itself again.
type AnnounceReply struct {
	IntervalMillis int64 `json:"interval_ms"`
}

// Status is what an instance answers to a probe.
type Status struct {
	Role table.Role
	// Mark is the term and the last position it holds durably.
	Mark table.Mark
	// TermStart is the position at which its term began.
	TermStart table.Position
	// Held is the term in which the replica was told to receive no more, zero
	// while it receives.
	Held table.Term
}

// Announcer takes announcements.
type Announcer interface {
	Announce(ctx context.Context, a Announcement) (AnnounceReply, error)
}

// Target is the instance that a call is for. An address may pass to another
// instance, so an implementation whose protocol can checks the instance too.
type Target struct {
	Group    table.GroupName
	Instance table.InstanceID
	Address  string // ip:port
}

// Promotion is the order to make an instance the primary of its group.
type Promotion struct {
	Target
	// Term is the agreed term of the group.
	Term table.Term
	// Leadership numbers the time in office of the leader that orders it: a
	// later leader has a higher one.
	Leadership uint64
}

// Prober asks an instance for its state. It fails when no answer comes before
// the context ends.
type Prober interface {
	Probe(ctx context.Context, t Target) (Status, error)
}

// ErrBusy is what a Prober returns when the instance answered that it has no
// room for the question: it lives, and nothing else is known.
var ErrBusy = errors.New("the instance is busy")

// ErrTermOver is what a Promoter returns when the instance has seen a higher
// term, or the same term under another primary.
var ErrTermOver = errors.New("the term is over at the instance")

// Promoter makes a replica the primary of its group in the given term. It is
// idempotent: a second call with the same term succeeds. An instance that has
// seen a higher term refuses with ErrTermOver.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) (Status, error)
}

// Fencer tells an instance that terms below term are over: a primary of an
// older term accepts no further write, and connections of owners with an
// epoch below epoch are closed.
type Fencer interface {
	Fence(ctx context.Context, t Target, term table.Term, epoch table.Epoch) error
}

// Holder makes replicas receive no more from their primary, or receive again.
// It is for platforms where a write is acknowledged only once a replica has it:
// while all replicas are held, no write of the old primary is acknowledged.
type Holder interface {
	// Hold stops a replica for a term above that of its log.
	Hold(ctx context.Context, t Target, term table.Term) (Status, error)
	// Resume lets it receive again.
	Resume(ctx context.Context, t Target) error
}

// AnnounceInterval is how often instances are asked to announce themselves.
const AnnounceInterval = 500 * time.Millisecond
