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

// maxSettings bounds the SET statements that are kept for one session.
const maxSettings = 50

// Session is one caller connection. It is used by one goroutine at a time.
type Session struct {
	gateway *Gateway
	id      request.SessionID
	service string
	caller  string
	class   string
	token   *session.Token
	assumed map[table.GroupName]table.Mark // floors that were asked for, not seen
	given   bool                           // the token came from the caller, or the floor of a group was asked for
	// Key selects the group of requests that name none.
	Key string
	// RequestID is the idempotency key of the next request that names none.
	RequestID string

	settings []string
	pending  []string // SET statements of the open transaction
	tx       *transaction
	aborted  bool // the transaction failed and waits for its end
}

// transaction is where the open transaction of a session runs.
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

// Work is one unit of a caller's messages.
type Work struct {
	Messages []byte
	Prepares []request.Prepare
	// Texts are the SQL texts that the messages run.
	Texts []statement.Text
	// OnlyPrepares is set when the messages run nothing.
	OnlyPrepares bool
	// CallerID is how the caller names the unit, for the logs; empty where the
	// protocol has no such name.
	CallerID string
}

// UseToken takes the token of an earlier session.
func (s *Session) UseToken(text string) error {
	if s.tx != nil {
		return errkind.New(errkind.NotSupported, "a session token inside a transaction")
	}
	t, err := s.gateway.cfg.Keys.Decode(s.service, text)
	if err != nil {
		return err
	}
	s.token, s.given = t, true
	return nil
}

// SetClass makes name the class of requests that carry no tag.
func (s *Session) SetClass(name string) error {
	doc := s.gateway.cfg.Directory.Document(s.service)
	if doc == nil {
		return errkind.New(errkind.UnknownClass, "service %s", s.service)
	}
	if _, err := findClass(doc, name); err != nil {
		return err
	}
	s.class = name
	return nil
}

// Token returns the session's token in its present state.
func (s *Session) Token() string { return s.gateway.cfg.Keys.Encode(s.token) }

// ResetSettings forgets the settings that a RESET or DISCARD statement names.
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

// settingName returns the name that a SET statement sets.
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

// keepSettings notes the SET statements of a unit that ran.
func (s *Session) keepSettings(w *Work, status byte) {
	for _, t := range w.Texts {
		for _, st := range t.Statements {
			if st.Kind == statement.Set {
				s.pending = append(s.pending, st.Text)
			}
		}
	}
	if status != request.TxIdle {
		return
	}
	for _, set := range s.pending {
		s.ResetSettings("RESET " + settingName(set))
		if len(s.settings) < maxSettings {
			s.settings = append(s.settings, set)
		}
	}
	s.pending = nil
}

// UseSettings replaces the settings of the session. It is for protocols whose
// settings are not statements that an instance runs.
func (s *Session) UseSettings(settings []string) { s.settings = settings }

// DiscardTransaction ends the open transaction without keeping anything of it.
func (s *Session) DiscardTransaction() {
	s.Close()
	s.pending = nil
	s.aborted = false
}

// Close ends the session and what it holds.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.executor.EndSession(s.id)
		s.tx = nil
	}
}
