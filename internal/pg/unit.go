package pg

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
)

const (
	// maxPreparedPerCaller bounds the prepared statements of one caller.
	maxPreparedPerCaller = 1000
	// maxUnitBytes bounds the messages up to one Sync.
	maxUnitBytes = 32 << 20
)

// prepared is a named statement that a caller prepared.
type prepared struct {
	request.Prepare
	text statement.Text
}

// unit gathers the messages of a caller up to a Query or a Sync.
type unit struct {
	messages []byte
	texts    []statement.Text
	prepares map[string]request.Prepare // by the caller's name
	// unnamed is the caller's name of the statement that was parsed last in
	// this unit and stands under the empty name upstream.
	unnamed  string
	parsed   bool
	executes bool
	// onlyCloses is set while the unit has nothing but Close messages.
	onlyCloses bool
	closed     []string // names to forget once the unit ran
	defined    map[string]prepared
	failure    *errkind.Error
}

func newUnit() *unit {
	return &unit{prepares: map[string]request.Prepare{}, defined: map[string]prepared{}}
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
func (u *unit) add(msg pgproto3.FrontendMessage, known map[string]prepared) {
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
		m.PreparedStatement = u.refer(m.PreparedStatement, known)
		u.append(m)
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			m.Name = u.refer(m.Name, known)
		}
		u.append(m)
	case *pgproto3.Close:
		u.close(m)
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
	if len(u.defined) >= maxPreparedPerCaller {
		u.fail(errkind.New(errkind.CallerLimit, "more than %d prepared statements", maxPreparedPerCaller))
		return
	}
	u.defined[m.Name] = prepared{text: text, Prepare: contentPrepare(m)}
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
	h := xxhash.New()
	_, _ = h.Write(encoded)
	first := h.Sum(nil)
	_, _ = h.Write([]byte{1})
	name := "aw_" + hex.EncodeToString(first) + hex.EncodeToString(h.Sum(nil))
	plain.Name = name
	encoded, err = plain.Encode(nil)
	if err != nil {
		return request.Prepare{}
	}
	return request.Prepare{Name: name, Parse: encoded}
}

// refer returns the upstream name of a caller's statement and notes what the
// connection must hold for it.
func (u *unit) refer(name string, known map[string]prepared) string {
	p, ok := u.defined[name]
	if !ok {
		p, ok = known[name]
	}
	if !ok {
		u.fail(errkind.New(errkind.BadRequest, "prepared statement %q does not exist", name))
		return ""
	}
	u.texts = append(u.texts, p.text)
	if u.parsed && u.unnamed == name {
		return ""
	}
	u.prepares[name] = p.Prepare
	return p.Name
}

// close forgets a statement. It stays on the connections, where its name means
// the same to everybody; upstream only a name that no statement has is closed,
// for its answer.
func (u *unit) close(m *pgproto3.Close) {
	if m.ObjectType == 'S' && m.Name != "" {
		u.closed = append(u.closed, m.Name)
		delete(u.defined, m.Name)
		m.Name = "aw_none"
	}
	u.append(m)
}

// commit brings what the unit defined and closed into known.
func (u *unit) commit(known map[string]prepared) {
	for _, name := range u.closed {
		delete(known, name)
	}
	for name, p := range u.defined {
		known[name] = p
	}
}
