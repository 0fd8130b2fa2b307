package front

import (
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
)

// refusal is the answer to a statement that the gateway could not have run to
// its end. With decides set, the statement is what makes a write count, so an
// unknown outcome is said so; otherwise nothing of it can be kept.
func refusal(err error, decides, inTransaction bool) stmt.Answer {
	e := errkind.Of(err)
	if e.Effect != errkind.NotRun && decides {
		return failed(stmt.CodeInDoubt, e.Kind.Answer().Message)
	}
	code, text := failure(e, inTransaction)
	return failed(code, text)
}

// failure returns the code and the text for an error after which nothing of
// the attempt is kept.
func failure(e *errkind.Error, inTransaction bool) (stmt.Code, string) {
	text := e.Kind.Answer().Message
	switch {
	case e.Kind == errkind.UnknownClass:
		return stmt.CodeNoDatabase, text
	case inTransaction:
		return stmt.CodeAborted, text
	case e.Effect == errkind.NotRun:
		return stmt.CodeBusy, text
	default:
		return stmt.CodeFailed, text // a read that may have run
	}
}
