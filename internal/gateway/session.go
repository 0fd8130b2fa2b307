package gateway

import (
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/session"
	"github.com/amaranthweir/amaranthweir/internal/statement"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxSettings is the maximum number of SET statements kept for a session.
const maxSettings = 50

// Session is the session of one caller connection. It is not safe for
// concurrent use.
type Session struct {
	gateway *Gateway
	id      request.SessionID
	service string
	caller  string
	class   string
	token   *session.Token
	// key is the digest of the key that the caller presented, or zero, and
	// workspace the workspace that held it when no transaction was open.
	key       config.KeyDigest
	workspace string

	sampledFloors map[table.GroupName]table.Mark // floors that were sampled at the primary, not seen by the session
	tokenGiven    bool                           // the token came from the caller
	// Key selects the group of requests that do not name a key themselves.
	Key string
	// RequestID is the idempotency key of the next request that has none of its
	// own.
	RequestID string

	settings        []string // in force, in order: SET statements, or what UseSettings set
	pendingSettings []string // SET statements of the open transaction
	tx              *transaction
	aborted         bool // the transaction failed and has not been ended yet
}

// transaction describes the open transaction of a session and the instance it
// runs on.
type transaction struct {
	class    *config.Class
	group    table.GroupName
	instance table.InstanceID
	owner    table.HostID
	executor request.Executor
	replica  bool
	// requestID is the idempotency key of the whole transaction, or empty.
	requestID string
}

// Work is one unit of work: the messages of a caller up to and including a
// Query or a Sync.
type Work struct {
	Messages []byte
	Prepares []request.Prepare
	// Texts are the SQL texts that the messages run.
	Texts []statement.Text
	// OnlyPrepares is set when the messages prepare statements but run none.
	OnlyPrepares bool
	// CallerID is the caller's own name for the unit, used in logs. It is empty
	// where the protocol has no such name.
	CallerID string
}

// UseToken replaces the token of the session with the encoded token of an
// earlier session.
func (s *Session) UseToken(text string) error {
	if s.tx != nil {
		return errkind.New(errkind.NotSupported, "a session token inside a transaction")
	}
	t, err := s.gateway.cfg.Keys.Decode(s.service, text)
	if err != nil {
		return err
	}
	s.token, s.tokenGiven = t, true
	return nil
}

// SetClass sets the class of requests that carry no class tag.
func (s *Session) SetClass(name string) error {
	doc := s.gateway.cfg.Directory.Document(s.service)
	if doc == nil {
		return s.gateway.notFound(errkind.UnknownClass, "service %s", s.service)
	}
	if _, err := s.gateway.findClass(doc, name); err != nil {
		return err
	}
	s.class = name
	return nil
}

// Token returns the current session token in encoded form.
func (s *Session) Token() string { return s.gateway.cfg.Keys.Encode(s.token) }

// ResetSettings removes the settings that a RESET or DISCARD statement names.
func (s *Session) ResetSettings(sql string) {
	fields := strings.Fields(sql)
	if len(fields) < 2 || strings.EqualFold(fields[1], "ALL") {
		s.settings = nil
		return
	}
	var kept []string
	for _, set := range s.settings {
		if !strings.EqualFold(settingName(set), fields[1]) {
			kept = append(kept, set)
		}
	}
	s.settings = kept
}

// settingName returns the name of the setting in a SET statement, or the empty
// string.
func settingName(set string) string {
	fields := strings.FieldsFunc(set, func(r rune) bool { return r == ' ' || r == '=' || r == '\t' || r == '\n' })
	if len(fields) > 2 && strings.EqualFold(fields[1], "SESSION") {
		return fields[2]
	}
	if len(fields) > 1 {
		return fields[1]
	}
	return ""
}

// recordSettings records the SET statements of a unit that ran. They take
// effect on the session's settings once no transaction is open.
func (s *Session) recordSettings(w *Work, status byte) {
	for _, t := range w.Texts {
		for _, st := range t.Statements {
			if st.Kind == statement.Set {
				s.pendingSettings = append(s.pendingSettings, st.Text)
			}
		}
	}
	if status != request.TxIdle {
		return
	}
	for _, set := range s.pendingSettings {
		s.ResetSettings("RESET " + settingName(set))
		if len(s.settings) < maxSettings {
			s.settings = append(s.settings, set)
		}
	}
	s.pendingSettings = nil
}

// UseSettings replaces the settings of the session. It is meant for protocols in
// which the caller does not change settings by statements that run on an
// instance.
func (s *Session) UseSettings(settings []string) { s.settings = settings }

// DiscardTransaction rolls back the open transaction and discards its settings.
func (s *Session) DiscardTransaction() {
	s.Close()
	s.pendingSettings = nil
	s.aborted = false
}

// Close rolls back the open transaction, if any, and releases its connection.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.executor.EndSession(s.id)
		s.tx = nil
	}
}
