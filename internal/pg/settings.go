package pg

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/statement"
)

// own answers what the proxy itself answers: its own settings.
func (s *session) own(text statement.Text) (done bool, err error) {
	if len(text.Statements) != 1 || s.txStatus == request.TxFailed {
		return false, nil
	}
	st := text.Statements[0]
	switch st.Kind {
	case statement.Set:
		name, value, ok := assignment(st.Text)
		if !ok || !strings.HasPrefix(name, "amaranthweir.") {
			return false, nil
		}
		if err := s.set(name, value); err != nil {
			return true, s.failOwn(errkind.Of(err))
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte("SET")})
		return true, s.ready()
	case statement.Reset:
		if s.txStatus != request.TxIdle {
			return true, s.failOwn(errkind.New(errkind.NotSupported, "%s inside a transaction", st.Verb))
		}
		s.gate.ResetSettings(st.Text)
		if st.Verb == "DISCARD" {
			clear(s.known)
		}
		s.send(&pgproto3.CommandComplete{CommandTag: []byte(tagOfReset(st))})
		return true, s.ready()
	}
	return false, nil
}

// set takes one of the proxy's own settings.
func (s *session) set(name, value string) error {
	switch name {
	case paramToken:
		return s.gate.UseToken(value)
	case paramClass:
		return s.gate.SetClass(value)
	case paramKey:
		s.gate.Key = value
	case paramRequestID:
		s.gate.RequestID = value
	default:
		return errkind.New(errkind.BadRequest, "unknown setting %s", name)
	}
	return nil
}

func tagOfReset(st statement.Statement) string {
	if st.Verb == "DISCARD" {
		return "DISCARD ALL"
	}
	return "RESET"
}

// assignment reads SET [SESSION] name = 'value' and SET name TO value.
func assignment(sql string) (name, value string, ok bool) {
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
