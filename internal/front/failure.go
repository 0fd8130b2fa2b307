package front

import (
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
)

// errorAnswer returns the answer to a statement that the gateway could not
// complete. commitsWrite is set for a statement that commits a write: the commit
// of a transaction that may have written, or a write outside a transaction. If
// such a statement may have run, its outcome is in doubt. Any other statement
// that fails leaves no effect.
func errorAnswer(err error, commitsWrite, inTransaction bool) stmt.Answer {
	e := errkind.Of(err)
	if e.Effect != errkind.NotRun && commitsWrite {
		return failure(stmt.CodeInDoubt, e.Kind.Answer().Message)
	}
	code, text := failureCode(e, inTransaction)
	return failure(code, text)
}

// failureCode returns the code and the text for an error of an attempt that
// leaves no effect.
func failureCode(e *errkind.Error, inTransaction bool) (stmt.Code, string) {
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
