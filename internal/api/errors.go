package api

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// ConflictError is an errkind.ConfigConflict error with the version of the
// document in force.
type ConflictError struct {
	InForce DocumentVersion
	cause   *errkind.Error
}

// NewConflict returns the error for a document that is rejected because another
// document of the service is in force.
func NewConflict(service string, inForce DocumentVersion) *ConflictError {
	return &ConflictError{
		InForce: inForce,
		cause: errkind.New(errkind.ConfigConflict, "service %s has version %d with digest %s in force",
			service, inForce.Version, inForce.Digest),
	}
}

// Error returns the message of the errkind error.
func (e *ConflictError) Error() string { return e.cause.Error() }

// Unwrap returns the errkind error.
func (e *ConflictError) Unwrap() error { return e.cause }

// RemoteError is an error reply of a host.
type RemoteError struct {
	Status int // HTTP status
	Body   ErrorBody
}

// Error returns the message, detail, kind and HTTP status in one line.
func (e *RemoteError) Error() string {
	msg := e.Body.Message
	if e.Body.Detail != "" {
		msg += ": " + e.Body.Detail
	}
	return fmt.Sprintf("%s (%s, HTTP %d)", msg, e.Body.Kind, e.Status)
}

// UnreachableError means that no valid reply was received from a host. The host
// may or may not have handled the request. Every request of this interface is
// safe to retry.
type UnreachableError struct {
	Host  string // ip:port
	Cause error
}

// Error returns a message with the host and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("host %s gave no answer: %v", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// statusOf maps error kinds to HTTP status codes.
var statusOf = map[errkind.Kind]int{
	errkind.Internal:            http.StatusInternalServerError,
	errkind.BadRequest:          http.StatusBadRequest,
	errkind.UnknownClass:        http.StatusNotFound,
	errkind.NotSupported:        http.StatusNotImplemented,
	errkind.Unauthenticated:     http.StatusUnauthorized,
	errkind.QuotaExceeded:       http.StatusTooManyRequests,
	errkind.TokenInvalid:        http.StatusBadRequest,
	errkind.TokenLost:           http.StatusGone,
	errkind.DeadlineUnreachable: http.StatusServiceUnavailable,
	errkind.CallerLimit:         http.StatusTooManyRequests,
	errkind.NoPrimary:           http.StatusServiceUnavailable,
	errkind.NoOwner:             http.StatusServiceUnavailable,
	errkind.StalenessUnprovable: http.StatusServiceUnavailable,
	errkind.LeaseLost:           http.StatusServiceUnavailable,
	errkind.OutcomeUnknown:      http.StatusInternalServerError,
	errkind.UpstreamLost:        http.StatusBadGateway,
	errkind.Cancelled:           http.StatusServiceUnavailable,
	errkind.TooLarge:            http.StatusRequestEntityTooLarge,
	errkind.ShuttingDown:        http.StatusServiceUnavailable,
	errkind.ConfigInvalid:       http.StatusUnprocessableEntity,
	errkind.ConfigConflict:      http.StatusConflict,
	errkind.NotLeader:           http.StatusServiceUnavailable,
	errkind.NoQuorum:            http.StatusServiceUnavailable,
	errkind.TxAborted:           http.StatusConflict,
	errkind.IdleInTransaction:   http.StatusConflict,
	errkind.UpstreamBusy:        http.StatusServiceUnavailable,

	errkind.ConfigurationOutdated: http.StatusServiceUnavailable,
}

// describe returns the HTTP status code and the response body for err.
func describe(err error) (int, ErrorBody) {
	e := errkind.Of(err)
	answer := e.Kind.Answer()
	body := ErrorBody{
		Kind:    answer.Name,
		Message: answer.Message,
		Detail:  e.Detail,
		Effect:  e.Effect.String(),
		Repeat:  answer.Repeat,
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		body.InForce = &conflict.InForce
	}
	var problems *config.Problems
	if errors.As(err, &problems) {
		body.Problems = problems.Items
	}
	status, ok := statusOf[e.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	return status, body
}
