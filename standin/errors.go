package standin

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
)

// sqlError is an error as reported to callers.
type sqlError struct {
	state    string // SQLSTATE
	message  string
	severity string
}

// Error returns the message.
func (e *sqlError) Error() string { return e.message }

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

func newError(state, message string) *sqlError {
	return &sqlError{state, message, severityError}
}

var (
	errReadOnly           = newError("25006", "cannot execute a write in a read-only transaction")
	errStaleTerm          = newError("55000", "the term is over")
	errDuplicateKey       = newError("23505", "duplicate key value violates unique constraint")
	errNullValue          = newError("23502", "null value violates not-null constraint")
	errDeadlock           = newError("40P01", "deadlock detected")
	errCanceled           = newError("57014", "canceling statement due to user request")
	errTxFailed           = newError("25P02", "current transaction is aborted, commands ignored until end of transaction block")
	errActiveTx           = newError("25001", "cannot run inside a transaction block")
	errUnknownName        = newError("42704", "unrecognized configuration parameter")
	errNoStatement        = newError("26000", "prepared statement does not exist")
	errNoPortal           = newError("34000", "portal does not exist")
	errDuplicateStatement = newError("42P05", "prepared statement already exists")
	errBadParameter       = newError("22P02", "invalid input syntax for a parameter")
	errProtocol           = newError("08P01", "message not expected here")
	errTooManyConnections = &sqlError{"53300", "too many connections", severityFatal}
	errEpochFenced        = &sqlError{"57P01", "terminating connection: the epoch of its owner is over", severityFatal}
)

// errNotPrimary is the answer to a replica that pulls from another replica.
var errNotPrimary = errors.New("not the primary")

// errCloseSession ends a session without sending an error to the caller.
var errCloseSession = errors.New("close the session")

// response returns the protocol message that reports err to a caller. An error
// that is not a sqlError gets SQLSTATE XX000 (internal error).
func response(err error) *pgproto3.ErrorResponse {
	var e *sqlError
	if !errors.As(err, &e) {
		e = newError("XX000", err.Error())
	}
	return &pgproto3.ErrorResponse{
		Severity:            e.severity,
		SeverityUnlocalized: e.severity,
		Code:                e.state,
		Message:             e.message,
	}
}
