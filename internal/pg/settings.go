package pg

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
)

// answerLocally answers statements that the proxy handles itself: SET of its own
// settings, and the statements that reset settings. It reports whether it has
// answered the statement.
func (s *session) answerLocally(text statement.Text) (done bool, err error) {
	if len(text.Statements) != 1 || s.txStatus == request.TxFailed {
		return false, nil
	}
	st := text.Statements[0]
	switch st.Kind {
	case statement.Set:
		name, value, ok := parseAssignment(st.Text)
		if !ok || !strings.HasPrefix(name, "amaranthweir.") {
			return false, nil
		}
		if err := s.applySetting(name, value); err != nil {
			return true, s.abortAndFail(errkind.Of(err))
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return true, s.sendReady()
	case statement.Reset:
		if s.txStatus != request.TxIdle {
			return true, s.abortAndFail(errkind.New(errkind.NotSupported, "%s inside a transaction", st.Verb))
		}
		s.gatewaySession.ResetSettings(st.Text)
		if st.Verb == "DISCARD" {
			clear(s.statements)
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte(resetTag(st))})
		return true, s.sendReady()
	}
	return false, nil
}

// applySetting applies one of the proxy's own settings to the session.
func (s *session) applySetting(name, value string) error {
	switch name {
	case paramToken:
		return s.gatewaySession.UseToken(value)
	case paramClass:
		return s.gatewaySession.SetClass(value)
	case paramKey:
		s.gatewaySession.Key = value
	case paramRequestID:
		s.gatewaySession.RequestID = value
	default:
		return errkind.New(errkind.BadRequest, "unknown setting %s", name)
	}
	return nil
}

func resetTag(st statement.Statement) string {
	if st.Verb == "DISCARD" {
		return "DISCARD ALL"
	}
	return "RESET"
}

// parseAssignment parses SET [SESSION] name = 'value' and SET [SESSION] name TO
// value. It reports false for any other form.
func parseAssignment(sql string) (name, value string, ok bool) {
	rest := strings.TrimSpace(sql[len("SET"):])
	if fields := strings.Fields(rest); len(fields) > 0 && strings.EqualFold(fields[0], "SESSION") {
		rest = strings.TrimSpace(rest[len("SESSION"):])
	}
	end := strings.IndexAny(rest, " =\t\n")
	if end < 0 {
		return "", "", false
	}
	name = strings.ToLower(rest[:end])
	rest = strings.TrimSpace(rest[end:])
	if after, found := strings.CutPrefix(rest, "="); found {
		rest = after
	} else if len(rest) > 2 && strings.EqualFold(rest[:2], "TO") {
		rest = rest[2:]
	} else {
		return "", "", false
	}
	value = strings.Trim(strings.TrimSpace(rest), "'")
	return name, value, true
}
