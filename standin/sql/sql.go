// Package sql parses the subset of SQL that the stand-in upstream supports:
// single-row statements on tables with the text columns key and value,
// transactions, session settings and a few functions.
package sql

// Kind is the kind of a statement.
type Kind uint8

// The statements of the subset.
const (
	Insert Kind = iota
	Update
	Delete
	// Select returns columns of a table.
	Select
	// Count returns the number of rows of a table.
	Count
	// Literal is SELECT of an integer literal.
	Literal
	// Call is SELECT of a function call.
	Call
	Begin
	Commit
	Rollback
	Set
	Reset
	Show
	Discard
	Deallocate
)

// Function is the name of a function of the subset.
type Function string

// The functions of the subset.
const (
	Sleep   Function = "pg_sleep"
	Status  Function = "amaranthweir.status"
	Promote Function = "amaranthweir.promote"
	Fence   Function = "amaranthweir.fence"
)

// Type is the type of a parameter.
type Type uint8

// The types of parameters.
const (
	Text Type = iota
	Integer
	Float
)

// Operand is a literal or a parameter.
type Operand struct {
	// Param is the number of the parameter, from 1, or 0 for a literal.
	Param int
	// Text is the value of the literal.
	Text string
}

// Statement is a parsed statement. Only the fields that apply to its kind are set.
type Statement struct {
	Kind  Kind
	Table string
	// Columns are the columns that a Select returns: key, value or both.
	Columns []string
	// HasKey is true if the statement applies to the row with the key Key only.
	HasKey bool
	Key    Operand
	Value  Operand
	// IgnoreConflict is true for INSERT ... ON CONFLICT DO NOTHING.
	IgnoreConflict bool
	// ReadOnly is true for BEGIN ... READ ONLY.
	ReadOnly bool
	// Name is the setting of Set, Reset and Show, or the prepared statement of
	// Deallocate. The name "all" stands for all of them.
	Name     string
	Function Function
	Args     []Operand
	// Params are the types of the parameters $1, $2 and so on.
	Params []Type
}
