// Package sql reads the small subset of SQL that the stand-in upstream
// understands: single-row statements over tables with the text columns key
// and value, transactions, session settings and a few functions.
package sql

// Kind says what a statement does.
type Kind uint8

// The statements of the subset.
const (
	Insert Kind = iota
	Update
	Delete
	// Select reads columns of a table.
	Select
	// Count reads the number of rows of a table.
	Count
	// Literal is SELECT of one integer.
	Literal
	// Call is SELECT of one function.
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

// Function names a function of the subset.
type Function string

// The functions.
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

// Operand is a value: a literal or a parameter.
type Operand struct {
	// Param counts from 1; zero means that the operand is a literal.
	Param int
	Text  string
}

// Statement is one statement. Only the fields that its kind needs are set.
type Statement struct {
	Kind  Kind
	Table string
	// Columns are the columns that a Select returns: key, value or both.
	Columns []string
	// HasKey is set when the statement selects one key.
	HasKey bool
	Key    Operand
	Value  Operand
	// IgnoreConflict is ON CONFLICT DO NOTHING.
	IgnoreConflict bool
	// ReadOnly is BEGIN ... READ ONLY.
	ReadOnly bool
	// Name is the setting of Set, Reset and Show, or the prepared statement of
	// Deallocate. "all" means every one.
	Name     string
	Function Function
	Args     []Operand
	// Params are the types of the parameters $1, $2 and so on.
	Params []Type
}
