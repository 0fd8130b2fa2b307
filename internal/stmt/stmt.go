// Package stmt holds the unit of work of protocols whose statements say what
// they are: a typed statement with an opaque text, its answer, and the codec
// that a protocol implements towards callers and towards instances. Between
// hosts, units and answers travel in the encoding of this package.
package stmt

import (
	"bufio"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Kind says what a statement does.
type Kind uint8

// The kinds of statements.
const (
	// None is the kind of no statement.
	None Kind = iota
	// Read reads one item.
	Read
	// Write writes one item.
	Write
	// Execute runs a prepared statement.
	Execute
	// Begin opens a transaction, BeginRead one that only reads.
	Begin
	BeginRead
	// Commit and Rollback end a transaction.
	Commit
	Rollback
	// Set changes a setting of the session.
	Set
	// Prepare names a statement, Deallocate forgets the name.
	Prepare
	Deallocate

	// Only the proxy sends the kinds below, to instances.

	// Discard forgets the settings and names of a connection.
	Discard
	// Status asks an instance for its state.
	Status
	// StepDown makes a primary of an older term a replica.
	StepDown
	// Pause makes a replica receive no more, Resume lets it receive again.
	Pause
	Resume
	kindCount
)

// Statement is one statement. Which fields are set depends on the kind.
type Statement struct {
	Kind Kind
	// ID is how the caller named the statement; empty for one of the proxy.
	ID string
	// Text is the statement as the caller wrote it. It goes to the instance
	// unchanged; an Execute is written anew, under the name on the connection.
	Text string
	// Name is the setting of a Set, or the prepared name.
	Name string
	// Value is the value of a Set, the shape of a Prepare, or what follows the
	// name in an Execute.
	Value string
	// Writes is set when a Prepare names a statement that writes.
	Writes bool
	// Term is what a StepDown or a Pause refers to.
	Term table.Term
}

// Unit is what an owner runs at once on a connection: a statement, behind the
// opening of its transaction where that has not been sent yet.
type Unit struct {
	// Opens is Begin, BeginRead or None.
	Opens     Kind
	Statement Statement
	// Writes is set when the statement may write.
	Writes bool
}

// Code is why a statement failed, as an instance or the proxy says it.
type Code uint8

// The codes.
const (
	CodeNone Code = iota
	// CodeBusy, CodeReadOnly, CodeLagging, CodeAborted, CodeWrongInstance and
	// CodeConnLimit promise that nothing of the caller's attempt is kept.
	CodeBusy
	CodeReadOnly
	CodeLagging
	CodeAborted
	CodeWrongInstance
	CodeConnLimit
	// CodeNoStatement means that the connection lacks the prepared name.
	CodeNoStatement
	// CodeMalformed means that the statement does not fit the state.
	CodeMalformed
	// CodeNoDatabase means that no database has that name.
	CodeNoDatabase
	// CodeFailed and CodeTimeout mean that the statement ran.
	CodeFailed
	CodeTimeout
	// CodeInDoubt means that the outcome is not known.
	CodeInDoubt
	codeCount
)

// Answer is the answer to one statement.
type Answer struct {
	Rows []string
	// Signature ends a success: the proof of the instance, or empty where the
	// proxy answered.
	Signature string
	// Code is CodeNone after a success; Text explains a failure.
	Code Code
	Text string
	// TxStatus is the state after the statement; see package request.
	TxStatus byte
	// Mark is how far the log of the instance reached, if HasMark is set.
	Mark    table.Mark
	HasMark bool
}

// State is what an instance says about itself in answer to a Status.
type State struct {
	Role table.Role
	Mark table.Mark
	// Held is the term of a Pause in force, zero if there is none.
	Held        table.Term
	Connections int
}

// UpstreamCodec is a protocol towards instances.
type UpstreamCodec interface {
	// AppendStartup appends the first message on a connection.
	AppendStartup(dst []byte, group table.GroupName, instance table.InstanceID) []byte
	// AppendStatement appends a statement. With a floor, the instance refuses
	// it where its log does not reach that far.
	AppendStatement(dst []byte, s *Statement, floor *table.Mark) []byte
	// AppendTerminate appends the last message on a connection.
	AppendTerminate(dst []byte) []byte
	// ReadAnswer reads one answer, the one to the first message included.
	ReadAnswer(r *bufio.Reader) (Answer, error)
	// ParseState reads the row that answers a Status.
	ParseState(row string) (State, error)
}

// CallerCodec is a protocol towards callers.
type CallerCodec interface {
	// ReadStartup reads the first message: the database that is asked for.
	ReadStartup(r *bufio.Reader) (database string, err error)
	// ReadStatement reads the next statement; io.EOF when the caller leaves. A
	// *MalformedError is answered, other errors end the connection.
	ReadStatement(r *bufio.Reader) (Statement, error)
	// AppendAnswer appends an answer and the state after it.
	AppendAnswer(dst []byte, a *Answer) []byte
	// AppendRefusal appends the last message to a caller that is turned away.
	AppendRefusal(dst []byte, code Code, text string) []byte
	// AppendStartupReply appends the answer to the first message.
	AppendStartupReply(dst []byte) []byte
}

// MalformedError is a statement that can be answered but not understood.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed statement: " + e.Reason }
