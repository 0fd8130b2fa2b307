package pg

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// errorResponse returns the protocol message for e, according to the table of
// kinds in package errkind. In a fixed format, Detail states the kind and the
// known effect, and Hint whether the request may be repeated.
func errorResponse(e *errkind.Error, severity string) *pgproto3.ErrorResponse {
	a := e.Kind.Answer()
	msg := a.Message
	if e.Detail != "" {
		msg += ": " + e.Detail
	}
	repeat := "no"
	if a.Repeat {
		repeat = "yes"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                a.SQLState,
		Message:             msg,
		Detail:              "kind: " + a.Name + "; effect: " + e.Effect.String(),
		Hint:                "repeat: " + repeat,
	}
}
