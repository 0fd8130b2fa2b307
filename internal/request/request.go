// Package request defines the unit of work that passes from the listener
// through routing to the owner of an instance, and the Executor interface that
// owners implement, both locally and for remote hosts.
package request

import (
	"context"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// SessionID identifies one caller connection in the whole deployment.
type SessionID struct {
	Host table.HostID
	// Incarnation is the incarnation of Host. It keeps ids unique across
	// restarts.
	Incarnation uint64
	Number      uint64
}

// Prepare is a prepared statement that a request needs on its connection. Its
// name is derived from the content, so callers can share it.
type Prepare struct {
	Name  string
	Parse []byte // an encoded Parse message
}

// Request is one unit of work: PostgreSQL messages up to and including a Query
// or a Sync, and what the owner needs to run them.
type Request struct {
	// ID identifies the request in the logs of all hosts.
	ID      string
	Session SessionID
	Service string
	Class   string
	Caller  string
	// Workspace is the workspace of the caller, or empty for a caller without
	// one.
	Workspace string
	Rank      config.Rank
	Access    config.Access
	Instance  table.InstanceID
	Group     table.GroupName
	// Continues is set when the request belongs to the session's open
	// transaction on Instance.
	Continues bool
	// Deadline is a time on the clock of this process.
	Deadline time.Time
	// Staleness bounds the age of the data that a read may return; zero
	// requires current data.
	Staleness time.Duration
	// Floor is the mark that an instance must hold to serve a read.
	Floor    table.Mark
	HasFloor bool
	// RequestID is the caller's idempotency key, or empty.
	RequestID string
	// Digest identifies the content of the request. It detects a RequestID that
	// is reused for another request.
	Digest string
	// Settle asks for the outcome of an earlier attempt under RequestID. If
	// that attempt has not run, it is voided so that it can never run, and the
	// error says so.
	Settle bool
	// AckReplicas is the number of replicas that must hold a write before it is
	// acknowledged.
	AckReplicas int
	// Settings are the settings of the session, in order: SET statements, or
	// lines of a name and a value where settings are not statements.
	Settings []string
	// Prepares are the prepared statements that the connection must have before
	// Messages run.
	Prepares []Prepare
	// Messages are the encoded messages of the unit of work.
	Messages []byte
	// Wait is how long a read may wait for the replica to become fresh enough.
	Wait time.Duration
	// MayCommit is set when writes may have been committed by the time of the
	// answer: for a statement outside a transaction, or one that ends a
	// transaction.
	MayCommit bool
	// ChangesSettings is set when the messages change session settings.
	ChangesSettings bool
	// Reroutable is set for a read that another instance can answer as well. It
	// then fails once the owner does not respond, instead of waiting for it. It is
	// not sent to the owner.
	Reroutable bool
}

// Transaction states as in ReadyForQuery.
const (
	TxIdle   byte = 'I'
	TxOpen   byte = 'T'
	TxFailed byte = 'E'
)

// Result is the result of a request, returned after its whole answer was sent.
type Result struct {
	// TxStatus is the transaction state after the request.
	TxStatus byte
	// Mark is a position at or after all writes of the request.
	Mark    table.Mark
	HasMark bool
	// Hint is what the owner knows about the instance. It is also set with an
	// error.
	Hint    Hint
	HasHint bool
}

// Hint informs later routing decisions. It may be out of date without affecting
// correctness.
type Hint struct {
	// Age is the proven age of the data, valid if AgeKnown is set.
	Age      time.Duration
	AgeKnown bool
	Mark     table.Mark
	// QueueWait estimates how long a request of each rank waits for a slot.
	QueueWait [config.RankCount]time.Duration
}

// Sink receives the encoded answer messages in order, without the final
// ReadyForQuery. The bytes are valid only during the call.
type Sink interface {
	Answer(p []byte) error
}

// PositionSample is a sampled position of a primary. Every write that was
// acknowledged up to Age before the sample was requested lies at or before Mark.
// TermStart is the position at which the term of Mark began, or zero where
// instances check floors themselves.
type PositionSample struct {
	Mark      table.Mark
	TermStart table.Position
	Age       time.Duration
}

// Executor runs requests on the instances owned by one host.
type Executor interface {
	// Execute runs r and sends its answer to s. Every error is an
	// *errkind.Error. If the effect of the error is errkind.NotRun, no part of
	// an answer was sent.
	Execute(ctx context.Context, r *Request, s Sink) (Result, error)
	// Position samples the mark of an owned primary under a valid lease.
	Position(ctx context.Context, instance table.InstanceID) (PositionSample, error)
	// AwaitReplica returns once the owned replica holds m durably.
	AwaitReplica(ctx context.Context, instance table.InstanceID, m table.Mark) error
	// EndSession rolls back the open transaction of a session and releases its
	// connection.
	EndSession(s SessionID)
}
