package sql

import (
	"slices"
	"strconv"
	"strings"
)

// MaxParams is the highest parameter number in a statement.
const MaxParams = 16

// Parse parses the statements of a query, which are separated by semicolons. A
// query that consists of comments and white space has no statements. Parse returns
// a *SyntaxError for a query outside the supported subset.
func Parse(query string) ([]*Statement, error) {
	list, err := tokenize(query)
	if err != nil {
		return nil, err
	}
	p := parser{tokens: list}
	var statements []*Statement
	for {
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		st, err := p.statement()
		if err != nil {
			return nil, err
		}
		if !p.acceptSymbol(";") && p.peek().kind != tokenEnd {
			return nil, p.syntaxError("the end of the statement")
		}
		statements = append(statements, st)
	}
}

type parser struct {
	tokens []token
	pos    int
	params []Type
}

func (p *parser) peek() token {
	if p.pos == len(p.tokens) {
		return token{}
	}
	return p.tokens[p.pos]
}

func (p *parser) next() token {
	t := p.peek()
	if t.kind != tokenEnd {
		p.pos++
	}
	return t
}

func (p *parser) syntaxError(want string) error {
	near := p.peek().text
	if p.peek().kind == tokenEnd {
		near = "end of input"
	}
	return &SyntaxError{Near: near, Want: want}
}

// accept consumes the next token if it has that kind and text, and reports whether it
// did.
func (p *parser) accept(kind tokenKind, text string) bool {
	if t := p.peek(); t.kind != kind || t.text != text {
		return false
	}
	p.pos++
	return true
}

func (p *parser) acceptSymbol(s string) bool { return p.accept(tokenSymbol, s) }
func (p *parser) acceptWord(w string) bool   { return p.accept(tokenWord, w) }

// expect consumes the words and symbols of phrase, which are separated by spaces,
// or returns a *SyntaxError.
func (p *parser) expect(phrase string) error {
	for want := range strings.FieldsSeq(phrase) {
		if !p.acceptWord(want) && !p.acceptSymbol(want) {
			return p.syntaxError(want)
		}
	}
	return nil
}

// name reads an identifier, which may be qualified.
func (p *parser) name() (string, error) {
	var parts []string
	for {
		if p.peek().kind != tokenWord {
			return "", p.syntaxError("a name")
		}
		parts = append(parts, p.next().text)
		if !p.acceptSymbol(".") {
			return strings.Join(parts, "."), nil
		}
	}
}

// operand reads a literal, or a parameter, which gets the type t.
func (p *parser) operand(t Type) (Operand, error) {
	tok := p.peek()
	switch tok.kind {
	case tokenString, tokenNumber:
		p.pos++
		return Operand{Text: tok.text}, nil
	case tokenParam:
		n, err := strconv.Atoi(tok.text)
		if err != nil || n < 1 || n > MaxParams {
			return Operand{}, p.syntaxError("a parameter from $1 to $" + strconv.Itoa(MaxParams))
		}
		p.pos++
		for len(p.params) < n {
			p.params = append(p.params, Text)
		}
		p.params[n-1] = t
		return Operand{Param: n}, nil
	}
	return Operand{}, p.syntaxError("a literal or a parameter")
}

// statementParsers maps the first word of a statement to the method that parses the
// rest.
var statementParsers = map[string]func(*parser) (*Statement, error){
	"insert":     (*parser).insert,
	"update":     (*parser).update,
	"delete":     (*parser).delete,
	"select":     (*parser).selectStatement,
	"begin":      (*parser).begin,
	"start":      (*parser).start,
	"commit":     func(p *parser) (*Statement, error) { return p.end(Commit) },
	"end":        func(p *parser) (*Statement, error) { return p.end(Commit) },
	"rollback":   func(p *parser) (*Statement, error) { return p.end(Rollback) },
	"abort":      func(p *parser) (*Statement, error) { return p.end(Rollback) },
	"set":        (*parser).set,
	"reset":      func(p *parser) (*Statement, error) { return p.nameOnly(Reset) },
	"show":       func(p *parser) (*Statement, error) { return p.nameOnly(Show) },
	"discard":    (*parser).discard,
	"deallocate": (*parser).deallocate,
}

func (p *parser) statement() (*Statement, error) {
	p.params = nil
	tok := p.peek()
	parse, ok := statementParsers[tok.text]
	if tok.kind != tokenWord || !ok {
		return nil, p.syntaxError("a statement of the subset")
	}
	p.pos++
	st, err := parse(p)
	if err != nil {
		return nil, err
	}
	st.Params = p.params
	return st, nil
}

func (p *parser) insert() (st *Statement, err error) {
	st = &Statement{Kind: Insert, HasKey: true}
	if err = p.expect("into"); err != nil {
		return nil, err
	}
	if st.Table, err = p.name(); err != nil {
		return nil, err
	}
	if err = p.expect("( key , value ) values ("); err != nil {
		return nil, err
	}
	if st.Key, err = p.operand(Text); err != nil {
		return nil, err
	}
	if err = p.expect(","); err != nil {
		return nil, err
	}
	if st.Value, err = p.operand(Text); err != nil {
		return nil, err
	}
	if err = p.expect(")"); err != nil {
		return nil, err
	}
	return st, p.onConflict(st)
}

func (p *parser) onConflict(st *Statement) error {
	if !p.acceptWord("on") {
		return nil
	}
	if err := p.expect("conflict"); err != nil {
		return err
	}
	if p.acceptSymbol("(") {
		if err := p.expect("key )"); err != nil {
			return err
		}
	}
	st.IgnoreConflict = true
	return p.expect("do nothing")
}

func (p *parser) update() (st *Statement, err error) {
	st = &Statement{Kind: Update}
	if st.Table, err = p.name(); err != nil {
		return nil, err
	}
	if err = p.expect("set value ="); err != nil {
		return nil, err
	}
	if st.Value, err = p.operand(Text); err != nil {
		return nil, err
	}
	return st, p.whereKey(st)
}

func (p *parser) delete() (st *Statement, err error) {
	st = &Statement{Kind: Delete}
	if err = p.expect("from"); err != nil {
		return nil, err
	}
	if st.Table, err = p.name(); err != nil {
		return nil, err
	}
	return st, p.whereKey(st)
}

func (p *parser) whereKey(st *Statement) (err error) {
	if err = p.expect("where key ="); err != nil {
		return err
	}
	st.HasKey = true
	st.Key, err = p.operand(Text)
	return err
}

func (p *parser) selectStatement() (*Statement, error) {
	tok := p.peek()
	switch {
	case tok.kind == tokenNumber:
		p.pos++
		return &Statement{Kind: Literal, Value: Operand{Text: tok.text}}, nil
	case p.acceptSymbol("*"):
		if err := p.expect("from"); err != nil {
			return nil, err
		}
		return p.statusCall()
	case p.acceptWord("count"):
		if err := p.expect("( * )"); err != nil {
			return nil, err
		}
		return p.from(&Statement{Kind: Count})
	}
	return p.columnsOrCall()
}

func (p *parser) columnsOrCall() (*Statement, error) {
	first, err := p.name()
	if err != nil {
		return nil, err
	}
	if p.acceptSymbol("(") {
		return p.call(Function(first))
	}
	st := &Statement{Kind: Select, Columns: []string{first}}
	for p.acceptSymbol(",") {
		next, err := p.name()
		if err != nil {
			return nil, err
		}
		st.Columns = append(st.Columns, next)
	}
	for _, column := range st.Columns {
		if !slices.Contains([]string{"key", "value"}, column) {
			return nil, &SyntaxError{Near: column, Want: "the column key or value"}
		}
	}
	return p.from(st)
}

func (p *parser) from(st *Statement) (_ *Statement, err error) {
	if err = p.expect("from"); err != nil {
		return nil, err
	}
	if st.Table, err = p.name(); err != nil {
		return nil, err
	}
	if w := p.peek(); w.kind == tokenWord && w.text == "where" {
		return st, p.whereKey(st)
	}
	if p.acceptWord("order") {
		return st, p.expect("by key")
	}
	return st, nil
}

// statusCall reads the rest of SELECT * FROM amaranthweir.status().
func (p *parser) statusCall() (*Statement, error) {
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	if Function(name) != Status {
		return nil, &SyntaxError{Near: name, Want: string(Status)}
	}
	return &Statement{Kind: Call, Function: Status}, p.expect("( )")
}

// functionArgs maps each function of the subset that takes arguments to the types of
// its arguments.
var functionArgs = map[Function][]Type{
	Sleep:   {Float},
	Promote: {Integer},
	Fence:   {Integer, Integer},
}

func (p *parser) call(f Function) (*Statement, error) {
	types, ok := functionArgs[f]
	if !ok {
		return nil, &SyntaxError{Near: string(f), Want: "a function of the subset"}
	}
	st := &Statement{Kind: Call, Function: f}
	for i, t := range types {
		if i > 0 && !p.acceptSymbol(",") {
			return nil, p.syntaxError(",")
		}
		arg, err := p.operand(t)
		if err != nil {
			return nil, err
		}
		st.Args = append(st.Args, arg)
	}
	return st, p.expect(")")
}

func (p *parser) begin() (*Statement, error) {
	if !p.acceptWord("transaction") {
		p.acceptWord("work")
	}
	st := &Statement{Kind: Begin}
	return st, p.transactionModes(st)
}

func (p *parser) start() (*Statement, error) {
	st := &Statement{Kind: Begin}
	if err := p.expect("transaction"); err != nil {
		return nil, err
	}
	return st, p.transactionModes(st)
}

// transactionModes reads transaction modes. All isolation levels are accepted and
// treated as READ COMMITTED.
func (p *parser) transactionModes(st *Statement) error {
	known := []string{
		"isolation", "level", "read", "write", "only", "committed",
		"uncommitted", "repeatable", "serializable", "not", "deferrable",
	}
	for p.peek().kind == tokenWord {
		word := p.peek().text
		if !slices.Contains(known, word) {
			return p.syntaxError("a transaction mode")
		}
		p.pos++
		st.ReadOnly = st.ReadOnly || word == "only"
		p.acceptSymbol(",")
	}
	return nil
}

func (p *parser) end(kind Kind) (*Statement, error) {
	if !p.acceptWord("transaction") {
		p.acceptWord("work")
	}
	return &Statement{Kind: kind}, nil
}

func (p *parser) set() (st *Statement, err error) {
	if !p.acceptWord("session") {
		p.acceptWord("local")
	}
	st = &Statement{Kind: Set}
	if st.Name, err = p.name(); err != nil {
		return nil, err
	}
	if !p.acceptWord("to") && !p.acceptSymbol("=") {
		return nil, p.syntaxError("TO")
	}
	if tok := p.peek(); tok.kind == tokenWord {
		p.pos++
		st.Value.Text = tok.text
		return st, nil
	}
	st.Value, err = p.operand(Text)
	if err == nil && st.Value.Param != 0 {
		return nil, p.syntaxError("a literal")
	}
	return st, err
}

// nameOnly reads a statement that consists of a keyword and a name.
func (p *parser) nameOnly(kind Kind) (st *Statement, err error) {
	st = &Statement{Kind: kind}
	st.Name, err = p.name()
	return st, err
}

func (p *parser) discard() (*Statement, error) {
	return &Statement{Kind: Discard}, p.expect("all")
}

func (p *parser) deallocate() (*Statement, error) {
	p.acceptWord("prepare")
	return p.nameOnly(Deallocate)
}
