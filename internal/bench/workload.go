package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// The placeholders in a statement. Each becomes a query parameter.
const (
	keyPlaceholder   = "{key}"
	valuePlaceholder = "{value}"
)

// Workload holds the SQL that the classes and the heartbeats send.
type Workload struct {
	Classes   map[string]ClassSQL `json:"classes"`
	Heartbeat HeartbeatSQL        `json:"heartbeat"`
}

// ClassSQL holds the SQL of one class.
type ClassSQL struct {
	// Statements are sent in turn. The statements of a write class insert the
	// row {key}; the statements of a read class select it.
	Statements []string `json:"statements"`
	// Check returns one row for each copy of the row {key}. Write classes
	// require it.
	Check string `json:"check"`
}

// HeartbeatSQL holds the SQL of the heartbeats, which staleness is checked
// against.
type HeartbeatSQL struct {
	// Class is the class that writes the heartbeats. If empty, none are written.
	Class  string `json:"class"`
	Insert string `json:"insert"`
	Update string `json:"update"`
	// Read returns the counter of the row {key} in its first column.
	Read string `json:"read"`
}

// DefaultWorkload returns a workload on the tables bench_rows and
// bench_heartbeats, both with the text columns key and value.
func DefaultWorkload(doc *config.Document) *Workload {
	const check = "SELECT value FROM bench_rows WHERE key = {key}"
	w := &Workload{Classes: map[string]ClassSQL{}, Heartbeat: HeartbeatSQL{
		Class:  heartbeatClass(doc),
		Insert: "INSERT INTO bench_heartbeats (key, value) VALUES ({key}, {value})",
		Update: "UPDATE bench_heartbeats SET value = {value} WHERE key = {key}",
		Read:   "SELECT value FROM bench_heartbeats WHERE key = {key}",
	}}
	for i := range doc.Classes {
		c := &doc.Classes[i]
		insert := "INSERT INTO bench_rows (key, value) VALUES ({key}, {value})"
		switch {
		case c.Access == config.AccessRead:
			w.Classes[c.Name] = ClassSQL{Statements: []string{check}}
		case c.Repeatable: // the service may run the statement again after a failure
			w.Classes[c.Name] = ClassSQL{Statements: []string{insert + " ON CONFLICT DO NOTHING"}, Check: check}
		default:
			w.Classes[c.Name] = ClassSQL{Statements: []string{insert}, Check: check}
		}
	}
	return w
}

// heartbeatClass returns the name of the class that writes the heartbeats, or ""
// if the document has no write class. It prefers a class that is not repeatable,
// because a late repeat of an update could set the counter back.
func heartbeatClass(doc *config.Document) string {
	name := ""
	for _, c := range doc.Classes {
		if c.Access != config.AccessWrite {
			continue
		}
		if !c.Repeatable {
			return c.Name
		}
		name = c.Name
	}
	return name
}

// ParseWorkload parses src, a workload in JSON with comments, and validates it
// against the document. Classes and the heartbeat that src omits keep the values
// of DefaultWorkload. The name of the file appears in errors only.
func ParseWorkload(file string, src []byte, doc *config.Document) (*Workload, error) {
	clean, err := hujson.Standardize(src)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	w := DefaultWorkload(doc)
	dec := json.NewDecoder(bytes.NewReader(clean))
	dec.DisallowUnknownFields()
	if err := dec.Decode(w); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if err := w.validate(doc); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return w, nil
}

// validate returns an error if the workload does not fit the document.
func (w *Workload) validate(doc *config.Document) error {
	for name, sql := range w.Classes {
		class, ok := doc.Class(name)
		if !ok {
			return fmt.Errorf("classes: the document has no class %q", name)
		}
		if len(sql.Statements) == 0 {
			return fmt.Errorf("class %s: expected at least one statement", name)
		}
		if class.Access == config.AccessRead {
			continue
		}
		for _, s := range append(sql.Statements[:len(sql.Statements):len(sql.Statements)], sql.Check) {
			if !strings.Contains(s, keyPlaceholder) {
				return fmt.Errorf("class %s: found %q, expected %s in each statement and in a check", name, s, keyPlaceholder)
			}
		}
	}
	if w.Heartbeat.Class == "" {
		return nil
	}
	if class, ok := doc.Class(w.Heartbeat.Class); !ok || class.Access != config.AccessWrite {
		return fmt.Errorf("heartbeat: %q is not a write class of the document", w.Heartbeat.Class)
	}
	return nil
}

// tags are the values that a request sends in its leading comment.
type tags struct{ class, routingKey, requestID string }

// bind replaces the placeholders in the statement with numbered parameters and
// prepends the comment with the tags. It returns the query and its arguments.
func bind(t tags, statement, key, value string) (query string, args []any) {
	query = "/* class=" + t.class + " key=" + t.routingKey
	if t.requestID != "" {
		query += " request_id=" + t.requestID
	}
	query += " */ "
	for {
		k, v := strings.Index(statement, keyPlaceholder), strings.Index(statement, valuePlaceholder)
		switch {
		case k < 0 && v < 0:
			return query + statement, args
		case v < 0 || k >= 0 && k < v:
			args = append(args, key)
			query += statement[:k] + fmt.Sprintf("$%d", len(args))
			statement = statement[k+len(keyPlaceholder):]
		default:
			args = append(args, value)
			query += statement[:v] + fmt.Sprintf("$%d", len(args))
			statement = statement[v+len(valuePlaceholder):]
		}
	}
}
