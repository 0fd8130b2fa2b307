// Package request holds the unit of work that travels from the listener over
// the routing decision to the owner of an instance, and the narrow interface
// that owners offer, locally and through another host alike.
package request

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// SessionID names one caller connection in the whole deployment.
type SessionID struct {
	Host table.HostID
	// Incarnation of the host, so that a restart never reuses a number.
	Incarnation uint64
	Number      uint64
}

// Prepare is a prepared statement that a request needs on its connection.
// Name is derived from the content, so that it means the same to all callers.
type Prepare struct {
	Name  string
	Parse []byte // an encoded Parse message
}

// Request is one unit of work: PostgreSQL messages up to and including a
// Query or a Sync, and what the owner has to know to run them.
type Request struct {
	// ID is for logs: the same in each log line about the request.
	ID       string
	Session  SessionID
	Service  string
	Class    string
	Caller   string
	Rank     config.Rank
	Access   config.Access
	Instance table.InstanceID
	Group    table.GroupName
	// Continues is set when the session's transaction on Instance goes on.
	Continues bool
	// Deadline is a moment on the clock of this process.
	Deadline time.Time
	// Staleness bounds the age of the data of a read; zero means current.
	Staleness time.Duration
	// Floor is the mark that a read must not be older than.
	Floor    table.Mark
	HasFloor bool
	// RequestID is the caller's idempotency key, or empty.
	RequestID string
	// Digest identifies the content of the request for RequestID.
	Digest string
	// Settle asks for the outcome of an earlier attempt at RequestID. Where it
	// has not run, it is shut out for good, and the error says so.
	Settle bool
	// AckReplicas is how many replicas must hold a write before it is
	// acknowledged.
	AckReplicas int
	// Settings are the SET statements of the session, in order.
	Settings []string
	// Prepares are installed where the connection lacks them.
	Prepares []Prepare
	// Messages are the encoded messages.
	Messages []byte
	// Wait is how long a read may wait for the replica to become fresh enough.
	Wait time.Duration
	// MayCommit is set when writes may be committed by the time of the answer:
	// a statement outside of a transaction, or one that ends it.
	MayCommit bool
	// ChangesSettings is set when the messages change session settings.
	ChangesSettings bool
}

// Transaction states as in ReadyForQuery.
const (
	TxIdle   byte = 'I'
	TxOpen   byte = 'T'
	TxFailed byte = 'E'
)

// Result is what is known after the whole answer was passed on.
type Result struct {
	// TxStatus is the transaction state after the request.
	TxStatus byte
	// Mark is a point in the history that covers the writes of the request.
	Mark    table.Mark
	HasMark bool
	// Hint is what the owner knew of the instance, also with an error.
	Hint    Hint
	HasHint bool
}

// Hint helps the next routing decision. Nothing depends on its being right.
type Hint struct {
	// Age is the age of the data that could be proven, if AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
	Mark     table.Mark
	// QueueWait estimates how long work of each rank waits for a slot.
	QueueWait [config.RankCount]time.Duration
}

// Sink takes the encoded answer messages, in order, without the final
// ReadyForQuery. The bytes are only valid during the call.
type Sink interface {
	Answer(p []byte) error
}

// PositionSample says that every write acknowledged before the moment Age
// ago lies at or before Mark.
type PositionSample struct {
	Mark      table.Mark
	TermStart table.Position
	Age       time.Duration
}

// Executor runs requests on the instances of one host.
type Executor interface {
	// Execute runs r and passes the answer on. An error is an *errkind.Error;
	// when it comes, the sink may have taken a part of an answer only if the
	// error's effect is not NotRun.
	Execute(ctx context.Context, r *Request, s Sink) (Result, error)
	// Position samples the mark of an owned primary under a valid lease.
	Position(ctx context.Context, instance table.InstanceID) (PositionSample, error)
	// AwaitReplica returns once the owned replica holds m durably.
	AwaitReplica(ctx context.Context, instance table.InstanceID, m table.Mark) error
	// EndSession rolls back and closes what the session holds.
	EndSession(s SessionID)
}
