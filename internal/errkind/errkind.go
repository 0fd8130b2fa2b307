// Package errkind defines the closed set of error kinds and the table that maps
// each kind to the answer that a caller receives.
package errkind

import (
	"errors"
	"fmt"
)

// Kind is an error kind.
type Kind uint8

// The error kinds. A new kind needs a row in the table below and in
// docs/ops/errors.md.
const (
	Internal Kind = iota
	BadRequest
	UnknownClass
	NotSupported
	Unauthenticated
	TokenInvalid
	TokenLost
	DeadlineUnreachable
	CallerLimit
	NoPrimary
	NoOwner
	StalenessUnprovable
	LeaseLost
	OutcomeUnknown
	UpstreamLost
	Cancelled
	TooLarge
	ShuttingDown
	ConfigInvalid
	ConfigConflict
	NotLeader
	NoQuorum
	TxAborted
	IdleInTransaction
	UpstreamBusy
	QuotaExceeded
	ConfigurationOutdated
	kindCount
)

// Effect tells whether a failed statement took effect.
type Effect uint8

// The effects.
const (
	// NotRun means that the statement took no effect. Either it did not run, or its
	// effect was undone or lost.
	NotRun Effect = iota
	// Ran means that the statement took effect.
	Ran
	// Unknown means that the statement may or may not have taken effect.
	Unknown
)

// String returns the name of the effect that callers receive.
func (e Effect) String() string {
	switch e {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Answer is the answer to a caller for one kind of error.
type Answer struct {
	Name     string // stable name, used in logs and metrics
	SQLState string // five characters
	Message  string
	Effect   Effect
	Repeat   bool // whether a later retry of the request may succeed
}

var answers = [kindCount]Answer{
	Internal:            {"internal", "XX000", "internal error", Unknown, false},
	BadRequest:          {"bad_request", "42601", "the request cannot be read", NotRun, false},
	UnknownClass:        {"unknown_class", "42704", "the document declares no such class", NotRun, false},
	NotSupported:        {"not_supported", "0A000", "not supported", NotRun, false},
	Unauthenticated:     {"unauthenticated", "28P01", "authentication failed", NotRun, false},
	TokenInvalid:        {"token_invalid", "22023", "the session token is not valid", NotRun, false},
	TokenLost:           {"token_lost", "40004", "writes of this session were lost with an old term", NotRun, false},
	DeadlineUnreachable: {"deadline_unreachable", "53400", "the deadline cannot be met", NotRun, true},
	CallerLimit:         {"caller_limit", "53300", "too many connections or requests", NotRun, true},
	NoPrimary:           {"no_primary", "57P03", "the group has no primary now", NotRun, true},
	NoOwner:             {"no_owner", "57P04", "no host owns the instance now", NotRun, true},
	StalenessUnprovable: {"staleness_unprovable", "55P05", "no instance can prove the stated staleness", NotRun, true},
	LeaseLost:           {"lease_lost", "08007", "the primary changed before the answer was confirmed", Unknown, false},
	OutcomeUnknown:      {"outcome_unknown", "08007", "the outcome of the request is not known", Unknown, false},
	UpstreamLost:        {"upstream_lost", "08006", "the connection to the upstream was lost", Unknown, false},
	Cancelled:           {"cancelled", "57014", "cancelled on request", Unknown, true},
	TooLarge:            {"too_large", "54000", "the message exceeds the stated limit", NotRun, false},
	ShuttingDown:        {"shutting_down", "57P01", "the host is shutting down", NotRun, true},
	ConfigInvalid:       {"config_invalid", "F0000", "the document is not valid", NotRun, false},
	ConfigConflict:      {"config_conflict", "40001", "another document with this version is in force", NotRun, false},
	NotLeader:           {"not_leader", "57P05", "this host does not lead the control hosts", NotRun, true},
	NoQuorum:            {"no_quorum", "57P06", "no majority of the control hosts answers", Unknown, true},
	IdleInTransaction:   {"idle_in_transaction", "25P03", "the transaction was idle for too long", NotRun, false},
	UpstreamBusy:        {"upstream_busy", "53300", "the upstream has no room for the statement", NotRun, true},
	QuotaExceeded:       {"quota_exceeded", "53400", "the workspace is over its rate limit", NotRun, true},
	TxAborted:           {"transaction_aborted", "25P02", "the current transaction is aborted", NotRun, false},

	ConfigurationOutdated: {"configuration_outdated", "57P07", "this host may have missed a change of the configuration", NotRun, true},
}

// Answer returns the answer for k. An undefined kind has the answer of Internal.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string { return k.Answer().Name }

// All returns every kind, in the order of the constants.
func All() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := range kindCount {
		all = append(all, k)
	}
	return all
}

// Error is an error with a kind. Its effect may be more specific than that of the
// table, for example NotRun if no byte of the statement was sent.
type Error struct {
	Kind   Kind
	Effect Effect
	Detail string
	Cause  error
}

// New returns an error of kind k with the default effect of the kind and a
// formatted detail.
func New(k Kind, format string, args ...any) *Error {
	return &Error{Kind: k, Effect: k.Answer().Effect, Detail: fmt.Sprintf(format, args...)}
}

// Wrap is like New, and sets the cause of the error.
func Wrap(cause error, k Kind, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.Cause = cause
	return e
}

// WithEffect returns a copy of e with the given effect.
func (e *Error) WithEffect(effect Effect) *Error {
	c := *e
	c.Effect = effect
	return &c
}

// Error returns the message, the detail and the effect.
func (e *Error) Error() string {
	msg := e.Kind.Answer().Message
	if e.Detail != "" {
		msg += ": " + e.Detail
	}
	return msg + " (" + e.Effect.String() + ")"
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Of returns the first *Error in the chain of err, or an error of kind Internal
// that wraps err.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "%v", err)
}

// Is reports whether the first *Error in the chain of err has kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}
