// Package typedproto defines the unit of work of protocols with typed statements: a
// statement that consists of a kind and an opaque text, its answer, and the codecs
// that such a protocol implements for callers and for instances. Hosts exchange
// units and answers in the encoding of this package.
package typedproto

import (
	"bufio"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Kind is the type of a statement.
type Kind uint8

// The kinds of statements.
const (
	// None means that there is no statement.
	None Kind = iota
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Execute runs a prepared statement.
	Execute
	// Begin opens a transaction, BeginRead a read-only one.
	Begin
	BeginRead
	// Commit and Rollback end a transaction.
	Commit
	Rollback
	// Set changes a setting of the session.
	Set
	// Prepare defines a prepared statement, Deallocate removes it.
	Prepare
	Deallocate

	// The following kinds are sent only by the proxy, to instances.

	// Discard clears the settings and prepared statements of a connection.
	Discard
	// Status asks an instance for its state.
	Status
	// StepDown makes the primary of an older term a replica.
	StepDown
	// Pause makes a replica stop receiving from its primary, Resume makes it
	// receive again.
	Pause
	Resume
	kindCount
)

// Statement is one statement. Which fields are set depends on the kind.
type Statement struct {
	Kind Kind
	// ID is the caller's identifier of the statement; empty for statements of
	// the proxy.
	ID string
	// Text is the statement as the caller sent it. It is passed to the instance
	// unchanged, except for an Execute, in which the caller's name of the
	// prepared statement is replaced by the name on the connection.
	Text string
	// Name is the name of the setting in a Set, or of the prepared statement in
	// a Prepare, Execute or Deallocate.
	Name string
	// Value is the value in a Set, the shape (the template) of the statement in
	// a Prepare, or the text after the name in an Execute.
	Value string
	// Writes is set in a Prepare of a statement that writes.
	Writes bool
	// Term is the term of a StepDown or a Pause.
	Term table.Term
}

// Unit is the work that an owner runs on a connection in one step: a statement,
// preceded by the start of its transaction if that has not been sent yet.
type Unit struct {
	// Opens is the statement that starts the transaction: Begin, BeginRead or
	// None.
	Opens     Kind
	Statement Statement
	// Writes is set when the statement may write.
	Writes bool
}

// Code is the reason why a statement failed, reported by an instance or the proxy.
type Code uint8

// The failure codes.
const (
	CodeNone Code = iota
	// CodeBusy, CodeReadOnly, CodeLagging, CodeAborted, CodeWrongInstance and
	// CodeConnLimit guarantee that the caller's attempt had no effect.
	CodeBusy
	CodeReadOnly
	CodeLagging
	CodeAborted
	CodeWrongInstance
	CodeConnLimit
	// CodeNoStatement means that the connection has no prepared statement with
	// the given name.
	CodeNoStatement
	// CodeMalformed means that the statement is invalid in the current state.
	CodeMalformed
	// CodeNoDatabase means that the database does not exist.
	CodeNoDatabase
	// CodeFailed and CodeTimeout mean that the statement ran.
	CodeFailed
	CodeTimeout
	// CodeInDoubt means that the outcome is unknown.
	CodeInDoubt
	// CodeUnauthenticated means that the key of the caller belongs to no
	// workspace. Nothing ran.
	CodeUnauthenticated
	codeCount
)

// Answer is the answer to one statement.
type Answer struct {
	Rows []string
	// Signature is set in a successful answer of an instance and proves that the
	// instance produced it. It is empty if the proxy answered.
	Signature string
	// Code is CodeNone after a success; Text explains a failure.
	Code Code
	Text string
	// TxStatus is the transaction status after the statement; see package
	// request.
	TxStatus byte
	// Mark is the position that the log of the instance had reached, if HasMark
	// is set.
	Mark    table.Mark
	HasMark bool
}

// State is an instance's answer to a Status.
type State struct {
	Role table.Role
	Mark table.Mark
	// Term is the term that the instance leads or follows. It is above that of Mark
	// until an entry of the term was received.
	Term table.Term
	// Held is the term of the Pause in effect, zero if there is none.
	Held        table.Term
	Connections int
}

// CallerStartup is the first message of a caller.
type CallerStartup struct {
	Database string
	// Key is the API key that identifies the workspace of the caller. It must
	// never be logged or passed on.
	Key string
}

// InstanceStartup is the first message on a connection to an instance.
type InstanceStartup struct {
	Group table.GroupName
	// Workspace is the workspace on whose behalf the statements of the connection
	// run. It is empty for the proxy itself and for callers without a workspace.
	Workspace string
	// Instance is the instance that is expected at the address.
	Instance table.InstanceID
}

// UpstreamCodec encodes and decodes the messages of a protocol spoken with
// instances.
type UpstreamCodec interface {
	// AppendStartup appends the first message on a connection. It fails if the
	// protocol cannot carry a name.
	AppendStartup(dst []byte, s InstanceStartup) ([]byte, error)
	// AppendStatement appends a statement. If floor is not nil, an instance
	// whose log has not reached it refuses the statement. It fails if the
	// protocol cannot carry a text: that text would form messages of its own.
	AppendStatement(dst []byte, s *Statement, floor *table.Mark) ([]byte, error)
	// AppendTerminate appends the last message on a connection.
	AppendTerminate(dst []byte) []byte
	// ReadAnswer reads one answer, including the answer to the first message.
	ReadAnswer(r *bufio.Reader) (Answer, error)
	// ParseState parses the row that answers a Status.
	ParseState(row string) (State, error)
}

// CallerCodec encodes and decodes the messages of a protocol spoken with callers.
type CallerCodec interface {
	// ReadStartup reads the first message.
	ReadStartup(r *bufio.Reader) (CallerStartup, error)
	// ReadStatement reads the next statement. It returns io.EOF when the caller
	// ends the connection. A *MalformedError is answered, other errors end the
	// connection.
	ReadStatement(r *bufio.Reader) (Statement, error)
	// AppendAnswer appends an answer and the transaction status after it.
	AppendAnswer(dst []byte, a *Answer) []byte
	// AppendRefusal appends the last message to a caller whose connection is
	// refused.
	AppendRefusal(dst []byte, code Code, text string) []byte
	// AppendStartupReply appends the answer to the first message.
	AppendStartupReply(dst []byte) []byte
}

// MalformedError is returned for a statement that is invalid but can be answered,
// since the connection remains usable.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed statement: " + e.Reason }
