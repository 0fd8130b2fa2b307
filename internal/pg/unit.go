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
	// maxPreparedPerCaller bounds the prepared statements of one caller.
	maxPreparedPerCaller = 1000
	// nameBytes is how much of the digest of a statement its name holds.
	nameBytes = 20
	// maxUnitBytes bounds the messages up to one Sync.
	maxUnitBytes = 32 << 20
)

// prepared is a named statement that a caller prepared.
type prepared struct {
	request.Prepare
	text statement.Text
}

// unit gathers the messages of a caller up to a Sync.
type unit struct {
	known    map[string]prepared // the session's statements, before this unit
	messages []byte
	texts    []statement.Text
	prepares map[string]request.Prepare // by their name upstream
	// unnamed is the caller's name of the statement that was parsed last in
	// this unit and stands under the empty name upstream.
	unnamed  string
	parsed   bool
	executes bool
	// onlyCloses is set while the unit has nothing but Close messages.
	onlyCloses bool
	changes    []change
	failure    *errkind.Error
}

// change is what a Parse or a Close of the unit does to the known statements,
// once the upstream has confirmed it.
type change struct {
	name    string
	parse   bool
	portal  bool // closes a portal, which changes nothing
	defined prepared
}

func newUnit(known map[string]prepared) *unit {
	return &unit{known: known, prepares: map[string]request.Prepare{}}
}

// find returns the statement that has the name at this point of the unit.
func (u *unit) find(name string) (prepared, bool) {
	for i := len(u.changes) - 1; i >= 0; i-- {
		if c := &u.changes[i]; !c.portal && c.name == name {
			return c.defined, c.parse
		}
	}
	p, ok := u.known[name]
	return p, ok
}

func (u *unit) empty() bool { return len(u.messages) == 0 && u.failure == nil }

// fail notes the first error of a unit; the rest up to Sync is skipped, as in
// the protocol.
func (u *unit) fail(e *errkind.Error) {
	if u.failure == nil {
		u.failure = e
	}
}

// add takes one message of the extended protocol.
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
		m.PreparedStatement = u.refer(m.PreparedStatement)
		u.append(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			m.Name = u.refer(m.Name)
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

// parse checks a statement upstream under the empty name. A named one is
// remembered and installed later, under a name made from its content, on each
// connection that runs it.
func (u *unit) parse(m *pgproto3.Parse) {
	text := statement.Read(m.Query)
	if _, exists := u.find(m.Name); exists && m.Name != "" {
		u.fail(errkind.New(errkind.BadRequest, "prepared statement %q exists already", m.Name))
		return
	}
	if len(u.known)+len(u.changes) >= maxPreparedPerCaller {
		u.fail(errkind.New(errkind.CallerLimit, "more than %d prepared statements", maxPreparedPerCaller))
		return
	}
	u.changes = append(u.changes, change{name: m.Name, parse: true, defined: prepared{text: text, Prepare: contentPrepare(m)}})
	u.unnamed, u.parsed = m.Name, true
	u.append(&pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

// contentPrepare names a statement by its content.
func contentPrepare(m *pgproto3.Parse) request.Prepare {
	plain := pgproto3.Parse{Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	encoded, err := plain.Encode(nil)
	if err != nil {
		return request.Prepare{}
	}
	// Callers share connections, so nobody must be able to make two statements
	// of one name.
	sum := sha256.Sum256(encoded)
	name := "aw_" + hex.EncodeToString(sum[:nameBytes])
	plain.Name = name
	encoded, err = plain.Encode(nil)
	if err != nil {
		return request.Prepare{}
	}
	return request.Prepare{Name: name, Parse: encoded}
}

// refer returns the upstream name of a caller's statement and notes what the
// connection must hold for it.
func (u *unit) refer(name string) string {
	p, ok := u.find(name)
	if !ok {
		u.fail(errkind.New(errkind.BadRequest, "prepared statement %q does not exist", name))
		return ""
	}
	u.texts = append(u.texts, p.text)
	if u.parsed && u.unnamed == name {
		return ""
	}
	u.prepares[p.Name] = p.Prepare
	return p.Name
}

// close forgets a statement. It stays on the connections, where its name means
// the same to everybody; upstream only a name that no statement has is closed,
// for its answer.
func (u *unit) close(m *pgproto3.Close) {
	u.changes = append(u.changes, change{name: m.Name, portal: m.ObjectType != 'S'})
	if m.ObjectType == 'S' {
		if u.unnamed == m.Name {
			u.parsed = false
		}
		m.Name = "aw_none"
	}
	u.append(m)
}

// commit brings the changes that the upstream confirmed into known, also where
// the unit failed later on.
func (u *unit) commit(confirmed int) {
	for _, c := range u.changes[:min(confirmed, len(u.changes))] {
		switch {
		case c.portal:
		case c.parse:
			u.known[c.name] = c.defined
		default:
			delete(u.known, c.name)
		}
	}
}

// allTexts returns the texts of a unit that executes nothing.
func (u *unit) allTexts() []statement.Text {
	texts := u.texts
	for _, c := range u.changes {
		if c.parse {
			texts = append(texts, c.defined.text)
		}
	}
	return texts
}
