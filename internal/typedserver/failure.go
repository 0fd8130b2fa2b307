package typedserver

import (
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

// errorAnswer returns the answer to a statement that the gateway could not
// complete. commitsWrite is set for a statement that commits a write: the commit
// of a transaction that may have written, or a write outside a transaction. If
// such a statement may have run, its outcome is in doubt. Any other statement
// that fails leaves no effect.
func errorAnswer(err error, commitsWrite, inTransaction bool) typedproto.Answer {
	e := errkind.Of(err)
	if e.Effect != errkind.NotRun && commitsWrite {
		return failure(typedproto.CodeInDoubt, e.Kind.Answer().Message)
	}
	code, text := failureCode(e, inTransaction)
	return failure(code, text)
}

// failureCode returns the code and the text for an error of an attempt that
// leaves no effect.
func failureCode(e *errkind.Error, inTransaction bool) (typedproto.Code, string) {
	text := e.Kind.Answer().Message
	switch {
	case e.Kind == errkind.Unauthenticated:
		return typedproto.CodeUnauthenticated, text
	case e.Kind == errkind.UnknownClass:
		return typedproto.CodeNoDatabase, text
	case inTransaction:
		return typedproto.CodeAborted, text
	case e.Effect == errkind.NotRun:
		return typedproto.CodeBusy, text
	default:
		return typedproto.CodeFailed, text // a read that may have run
	}
}
