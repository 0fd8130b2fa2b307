// Package dbedge defines the interfaces to the platform that runs the databases.
// The proxy uses the platform only through them. Package edgetest holds contract
// tests for Announcer and for implementations that use the PostgreSQL protocol.
package dbedge

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Announcement is an instance's periodic report about itself.
type Announcement struct {
	Group    table.GroupName  `json:"group"`
	Instance table.InstanceID `json:"instance"`
	Address  string           `json:"address"` // ip:port
	Domain   table.Domain     `json:"failure_domain"`
	Role     string           `json:"role"` // "primary" or "replica"
	Term     table.Term       `json:"term"`
	Position table.Position   `json:"position"`
	// Slots is the number of statements that the instance runs concurrently,
	// Connections the maximum number of open connections to it.
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// Leaving is set while the instance is draining before it leaves its group.
	Leaving bool `json:"leaving"`
	// Born orders the starts of an instance, Sequence its announcements since
	// the start. Both are zero for instances that do not number their
	// announcements.
	Born     uint64 `json:"born,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	// Gone is set in the last announcement, when the instance shuts down.
	Gone bool `json:"gone,omitempty"`
}

// AnnounceReply is the answer to an announcement: the instance should announce
// itself again after IntervalMillis.
type AnnounceReply struct {
	IntervalMillis int64 `json:"interval_ms"`
}

// Status is the state of an instance as it answers a probe.
type Status struct {
	Role table.Role
	// Mark is the term and the last position that the instance has stored
	// durably.
	Mark table.Mark
	// TermStart is the position at which the term in Mark began.
	TermStart table.Position
	// Term is the term that the instance leads or follows, zero if the prober does
	// not tell. It is above that of Mark until an entry of the term was received.
	Term table.Term
	// Held is the term given to the Hold that is in effect on a replica; zero
	// while the replica receives from its primary.
	Held table.Term
	// ConnectedAt is when the connection that returned this was opened, zero if the
	// prober does not tell. All answers over one connection are of one start of the
	// instance.
	ConnectedAt time.Time
}

// Announcer accepts announcements.
type Announcer interface {
	Announce(ctx context.Context, a Announcement) (AnnounceReply, error)
}

// Target identifies the instance that a call addresses. An address may be
// reassigned to another instance, so implementations verify the instance where
// their protocol allows it.
type Target struct {
	Group    table.GroupName
	Instance table.InstanceID
	Address  string // ip:port
}

// Promotion is an order to make an instance the primary of its group.
type Promotion struct {
	Target
	// Term is the committed term of the group.
	Term table.Term
	// Leadership identifies the leadership of the control leader that orders the
	// promotion. A later leadership has a higher number.
	Leadership uint64
	// MinLogTerm is the lowest log term in which the instance counts as promoted,
	// on platforms that assign log terms themselves. A primary of a lower one is an
	// old primary.
	MinLogTerm table.Term
}

// Prober asks an instance for its state. It returns an error if no answer arrives
// before ctx is done.
type Prober interface {
	Probe(ctx context.Context, t Target) (Status, error)
}

// ErrBusy is returned by a Prober when the instance answered that it is too busy
// to handle the probe. The instance is thus alive, but its state is unknown.
var ErrBusy = errors.New("the instance is busy")

// ErrStaleTerm is returned by a Promoter when the instance has seen a higher
// term, or the same term under another primary.
var ErrStaleTerm = errors.New("the term is stale at the instance")

// ErrPromotionRefused is returned by a Promoter or its platform if the order had no
// effect and will have none.
var ErrPromotionRefused = errors.New("the promotion was refused")

// ErrPromotionPending is returned by a Promoter whose platform accepted the order,
// if the instance was not seen to lead in time. The order may still take effect.
var ErrPromotionPending = errors.New("the promotion was accepted and has not been seen")

// Promoter makes a replica the primary of its group in the given term. Promote is
// idempotent: a second call with the same term succeeds. It returns ErrStaleTerm
// if the instance has seen a higher term. After any error but ErrPromotionRefused
// and ErrStaleTerm the order may still take effect.
type Promoter interface {
	Promote(ctx context.Context, p Promotion) (Status, error)
}

// Fencer fences an instance against older terms and owners: a primary of a term
// below term accepts no further writes, and connections of owners with an epoch
// below epoch are closed.
type Fencer interface {
	Fence(ctx context.Context, t Target, term table.Term, epoch table.Epoch) error
}

// ReplicationHolder stops and resumes replication from the primary on a replica.
// It serves platforms on which a write is acknowledged only once a replica has
// it: while all replicas are held, no write of the old primary is acknowledged.
type ReplicationHolder interface {
	// Hold makes a replica stop receiving from its primary. The term must be
	// above that of the replica's log.
	Hold(ctx context.Context, t Target, term table.Term) (Status, error)
	// Resume makes a held replica receive again.
	Resume(ctx context.Context, t Target) error
}

// AnnounceInterval is the interval at which instances are asked to announce
// themselves.
const AnnounceInterval = 500 * time.Millisecond
