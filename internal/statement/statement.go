// Package statement extracts from an SQL text what routing needs: the tags in its
// leading comment and the kind of each statement. It is not a full SQL parser.
package statement

import "strings"

// Kind classifies a statement as far as the proxy needs to know.
type Kind uint8

// The kinds of statements.
const (
	Other Kind = iota // reads or writes data
	Empty
	Begin
	Commit
	Rollback
	SetLocal
	Set         // changes a setting of the session
	Reset       // RESET, DISCARD
	Show        // reads a setting
	Select      // reads, unless it calls a function with effects
	Unsupported // leaves state on the connection, or needs a part of the protocol that the proxy lacks
)

// Statement is one statement of an SQL text.
type Statement struct {
	Kind Kind
	// Verb is the first word in upper case.
	Verb string
	// Text is the statement without leading comments and the final semicolon.
	Text string
}

// Text is the result of reading an SQL text.
type Text struct {
	// Tags are the name=value pairs of the leading comment.
	Tags       Tags
	Statements []Statement
}

// Tags are attributes of a request that a caller puts into a leading comment such as
// /* class=settlement request_id=7f3a key=42 */.
type Tags struct {
	Class     string
	RequestID string
	Key       string
}

// Parse reads an SQL text and omits empty statements. It never fails: statements
// that it does not recognize are of kind Other.
func Parse(sql string) Text {
	var t Text
	t.Tags, sql = leadingTags(sql)
	for _, part := range split(sql) {
		s := classify(part)
		if s.Kind != Empty {
			t.Statements = append(t.Statements, s)
		}
	}
	return t
}

// leadingTags reads the tags in a block comment at the start of sql. It returns them
// and the text after the comment.
func leadingTags(sql string) (Tags, string) {
	var tags Tags
	trimmed := strings.TrimLeft(sql, " \t\r\n")
	if !strings.HasPrefix(trimmed, "/*") {
		return tags, sql
	}
	end := commentLength(trimmed)
	body := strings.TrimSuffix(trimmed[2:end], "*/")
	for _, field := range strings.Fields(body) {
		name, value, found := strings.Cut(field, "=")
		if !found {
			continue
		}
		switch name {
		case "class":
			tags.Class = value
		case "request_id":
			tags.RequestID = value
		case "key":
			tags.Key = value
		}
	}
	return tags, trimmed[end:]
}

// kindOfVerb maps the verbs that determine the kind on their own. Other verbs map to
// the zero value, Other.
var kindOfVerb = map[string]Kind{
	"BEGIN":      Begin,
	"RESET":      Reset,
	"DISCARD":    Reset,
	"SHOW":       Show,
	"SELECT":     Select,
	"VALUES":     Select,
	"TABLE":      Select,
	"COPY":       Unsupported,
	"LISTEN":     Unsupported,
	"UNLISTEN":   Unsupported,
	"NOTIFY":     Unsupported,
	"PREPARE":    Unsupported,
	"EXECUTE":    Unsupported,
	"DEALLOCATE": Unsupported,
	"LOAD":       Unsupported,
	"DECLARE":    Unsupported,
	"FETCH":      Unsupported,
	"MOVE":       Unsupported,
	"CLOSE":      Unsupported,
}

// classify determines the kind of one statement.
func classify(sql string) Statement {
	text := strings.TrimSpace(skipComments(sql))
	if text == "" {
		return Statement{Kind: Empty}
	}
	verb, rest := nextWord(text)
	s := Statement{Verb: verb, Text: text}
	second, afterSecond := nextWord(rest)
	switch verb {
	case "START":
		if second == "TRANSACTION" {
			s.Kind = Begin
		}
	case "COMMIT", "END":
		s.Kind = Commit
		if second == "PREPARED" {
			s.Kind = Unsupported
		}
	case "ROLLBACK", "ABORT":
		s.Kind = rollbackKind(second, afterSecond)
	case "SET":
		s.Kind = setKind(second, afterSecond)
	default:
		s.Kind = kindOfVerb[verb]
	}
	if word := sessionStateWord(verb, text); word != "" {
		s.Kind, s.Verb = Unsupported, word
	}
	return s
}

// rollbackKind returns the kind of a ROLLBACK or ABORT, given its second word and
// the text after that.
func rollbackKind(second, rest string) Kind {
	if second == "PREPARED" {
		return Unsupported
	}
	third, _ := nextWord(rest)
	if second == "TO" || ((second == "WORK" || second == "TRANSACTION") && third == "TO") {
		return Other // rolls back to a savepoint, which does not end the transaction
	}
	return Rollback
}

// setKind returns the kind of a SET, given its second word and the text after that.
func setKind(second, rest string) Kind {
	switch second {
	case "LOCAL", "TRANSACTION", "CONSTRAINTS":
		return SetLocal
	case "SESSION":
		third, _ := nextWord(rest)
		return setKind(third, "")
	case "ROLE", "AUTHORIZATION", "SESSION_AUTHORIZATION":
		return Unsupported // RESET ALL does not reset them
	default:
		return Set
	}
}

// nextWord returns the first word of s in upper case and the text after it. It skips
// comments and opening parentheses.
func nextWord(s string) (word, rest string) {
	s = strings.TrimLeft(skipComments(s), " \t\r\n(")
	i := 0
	for i < len(s) && isWordByte(s[i]) {
		i++
	}
	return strings.ToUpper(s[:i]), s[i:]
}

func isWordByte(c byte) bool {
	return c == '_' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

// skipComments removes white space and comments from the start of s.
func skipComments(s string) string {
	for {
		s = strings.TrimLeft(s, " \t\r\n")
		n := commentLength(s)
		if n == 0 {
			return s
		}
		s = s[n:]
	}
}

// commentLength returns the length of the comment at the start of s, or 0 if there is
// none. Block comments nest, as in PostgreSQL. A comment that is not closed extends
// to the end of s.
func commentLength(s string) int {
	if strings.HasPrefix(s, "--") {
		if i := strings.IndexByte(s, '\n'); i >= 0 {
			return i + 1
		}
		return len(s)
	}
	if !strings.HasPrefix(s, "/*") {
		return 0
	}
	depth := 0
	for i := 0; i < len(s)-1; {
		switch s[i : i+2] {
		case "/*":
			depth++
			i += 2
		case "*/":
			depth--
			i += 2
			if depth == 0 {
				return i
			}
		default:
			i++
		}
	}
	return len(s)
}
