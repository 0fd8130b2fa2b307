package pg

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
)

const (
	// maxPreparedPerCaller bounds the number of prepared statements of one caller.
	maxPreparedPerCaller = 1000
	// nameDigestBytes is how many bytes of a statement's SHA-256 digest its
	// upstream name includes.
	nameDigestBytes = 20
	// maxUnitBytes bounds the total size of the messages up to one Sync.
	maxUnitBytes = 32 << 20
)

// prepared is a statement that a caller has prepared.
type prepared struct {
	request.Prepare
	text statement.Text
}

// unit collects the messages of the extended protocol up to a Sync.
type unit struct {
	statements map[string]prepared // the session's statements, before this unit
	messages   []byte
	texts      []statement.Text
	prepares   map[string]request.Prepare // by upstream name
	// lastParsed is the caller's name of the last statement parsed in this unit.
	// Upstream, it is the unnamed statement. lastParsed is valid only if
	// hasLastParsed is set.
	lastParsed    string
	hasLastParsed bool
	executes      bool
	// onlyCloses is set while the unit contains only Close messages.
	onlyCloses bool
	changes    []change
	failure    *errkind.Error
}

// change is the effect of a Parse or Close message on the session's statements.
// It applies once the upstream has confirmed the message.
type change struct {
	name      string
	isParse   bool
	isPortal  bool // a Close of a portal, which changes no statement
	statement prepared
}

func newUnit(statements map[string]prepared) *unit {
	return &unit{statements: statements, prepares: map[string]request.Prepare{}}
}

// lookup returns the statement with the given name, taking the changes of the
// unit so far into account.
func (u *unit) lookup(name string) (prepared, bool) {
	for i := len(u.changes) - 1; i >= 0; i-- {
		if c := &u.changes[i]; !c.isPortal && c.name == name {
			return c.statement, c.isParse
		}
	}
	p, ok := u.statements[name]
	return p, ok
}

func (u *unit) isEmpty() bool { return len(u.messages) == 0 && u.failure == nil }

// fail records the first error of the unit. As the protocol requires, the
// remaining messages up to Sync are skipped.
func (u *unit) fail(e *errkind.Error) {
	if u.failure == nil {
		u.failure = e
	}
}

// add adds one message of the extended protocol to the unit.
func (u *unit) add(msg pgproto3.FrontendMessage) {
	if u.failure != nil {
		return
	}
	_, closes := msg.(*pgproto3.Close)
	u.onlyCloses = closes && (u.onlyCloses || len(u.messages) == 0)
	switch m := msg.(type) {
	case *pgproto3.Parse:
		u.parse(m)
	case *pgproto3.Bind:
		u.executes = true
		m.PreparedStatement = u.resolve(m.PreparedStatement)
		u.append(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			m.Name = u.resolve(m.Name)
		}
		u.append(m)
	case *pgproto3.Close:
		u.close(m)
	case *pgproto3.Execute:
		u.executes = true
		u.append(m)
	default:
		u.append(msg)
	}
}

func (u *unit) append(m pgproto3.FrontendMessage) {
	buf, err := m.Encode(u.messages)
	if err != nil {
		u.fail(errkind.Wrap(err, errkind.BadRequest, "%v", err))
		return
	}
	if len(buf) > maxUnitBytes {
		u.fail(errkind.New(errkind.TooLarge, "more than %d bytes before Sync", maxUnitBytes))
		return
	}
	u.messages = buf
}

// parse sends a statement upstream as the unnamed statement, which validates it.
// parse also records the statement, so that later units can prepare it on their
// connection under a name derived from its content.
func (u *unit) parse(m *pgproto3.Parse) {
	text := statement.Parse(m.Query)
	if _, exists := u.lookup(m.Name); exists && m.Name != "" {
		u.fail(errkind.New(errkind.BadRequest, "prepared statement %q exists already", m.Name))
		return
	}
	if len(u.statements)+len(u.changes) >= maxPreparedPerCaller {
		u.fail(errkind.New(errkind.CallerLimit, "more than %d prepared statements", maxPreparedPerCaller))
		return
	}
	u.changes = append(u.changes, change{name: m.Name, isParse: true, statement: prepared{text: text, Prepare: prepareByContent(m)}})
	u.lastParsed, u.hasLastParsed = m.Name, true
	u.append(&pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

// prepareByContent returns the upstream statement for m, named after a digest of
// its content.
func prepareByContent(m *pgproto3.Parse) request.Prepare {
	plain := pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	encoded, err := plain.Encode(nil)
	if err != nil {
		return request.Prepare{}
	}
	// Callers share connections, so the digest must be collision-resistant: no
	// caller may create two statements with the same name.
	sum := sha256.Sum256(encoded)
	name := "aw_" + hex.EncodeToString(sum[:nameDigestBytes])
	plain.Name = name
	encoded, err = plain.Encode(nil)
	if err != nil {
		return request.Prepare{}
	}
	return request.Prepare{Name: name, Parse: encoded}
}

// resolve returns the upstream name of a caller's statement. It records that the
// statement must be prepared on the connection, unless it is the unnamed
// statement of this unit.
func (u *unit) resolve(name string) string {
	p, ok := u.lookup(name)
	if !ok {
		u.fail(errkind.New(errkind.BadRequest, "prepared statement %q does not exist", name))
		return ""
	}
	u.texts = append(u.texts, p.text)
	if u.hasLastParsed && u.lastParsed == name {
		return ""
	}
	u.prepares[p.Name] = p.Prepare
	return p.Name
}

// close removes a statement of the caller. The statement stays prepared on
// upstream connections, where its content-derived name is shared by all callers.
// Upstream receives a Close for an unused name, so that it answers with
// CloseComplete.
func (u *unit) close(m *pgproto3.Close) {
	u.changes = append(u.changes, change{name: m.Name, isPortal: m.ObjectType != 'S'})
	if m.ObjectType == 'S' {
		if u.lastParsed == m.Name {
			u.hasLastParsed = false
		}
		m.Name = "aw_none"
	}
	u.append(m)
}

// applyConfirmed applies the first confirmed changes to the session's
// statements, even if the unit failed later.
func (u *unit) applyConfirmed(confirmed int) {
	for _, c := range u.changes[:min(confirmed, len(u.changes))] {
		switch {
		case c.isPortal:
		case c.isParse:
			u.statements[c.name] = c.statement
		default:
			delete(u.statements, c.name)
		}
	}
}

// allTexts returns the texts of all statements that the unit parses or refers
// to. It is used for units that execute nothing.
func (u *unit) allTexts() []statement.Text {
	texts := u.texts
	for _, c := range u.changes {
		if c.isParse {
			texts = append(texts, c.statement.text)
		}
	}
	return texts
}
