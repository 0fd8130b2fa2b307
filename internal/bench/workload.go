package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/amaranthweir/amaranthweir/internal/config"
)

// The placeholders of a statement. Each becomes a parameter.
const (
	keyPlaceholder   = "{key}"
	valuePlaceholder = "{value}"
)

// Workload says which SQL the classes send.
type Workload struct {
	Classes   map[string]ClassWork `json:"classes"`
	Heartbeat HeartbeatWork        `json:"heartbeat"`
}

// ClassWork is the SQL of one class.
type ClassWork struct {
	// Statements are sent in turn. Those of a class that writes insert the
	// row {key}, those of a class that reads select it.
	Statements []string `json:"statements"`
	// Check returns one row for each time that the row {key} is there; it is
	// needed for classes that write.
	Check string `json:"check"`
}

// HeartbeatWork is the SQL that staleness is judged by.
type HeartbeatWork struct {
	// Class is the class that writes the heartbeats; empty for none.
	Class  string `json:"class"`
	Insert string `json:"insert"`
	Update string `json:"update"`
	// Read returns the counter of the row {key} in its first column.
	Read string `json:"read"`
}

// DefaultWorkload returns statements over the tables bench_rows and
// bench_heartbeats, which have the text columns key and value.
func DefaultWorkload(doc *config.Document) *Workload {
	const check = "SELECT value FROM bench_rows WHERE key = {key}"
	w := &Workload{Classes: map[string]ClassWork{}, Heartbeat: HeartbeatWork{
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
			w.Classes[c.Name] = ClassWork{Statements: []string{check}}
		case c.Repeatable: // the system may send it again
			w.Classes[c.Name] = ClassWork{Statements: []string{insert + " ON CONFLICT DO NOTHING"}, Check: check}
		default:
			w.Classes[c.Name] = ClassWork{Statements: []string{insert}, Check: check}
		}
	}
	return w
}

// heartbeatClass prefers a class that is not repeatable: an update that is
// repeated late could set the counter back.
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

// ParseWorkload reads a workload file, JSON with comments, for a document.
// Classes and the heartbeat that it leaves out have their default.
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

func (w *Workload) validate(doc *config.Document) error {
	for name, work := range w.Classes {
		class, ok := doc.Class(name)
		if !ok {
			return fmt.Errorf("classes: the document has no class %q", name)
		}
		if len(work.Statements) == 0 {
			return fmt.Errorf("class %s: expected at least one statement", name)
		}
		if class.Access == config.AccessRead {
			continue
		}
		for _, s := range append(work.Statements[:len(work.Statements):len(work.Statements)], work.Check) {
			if !strings.Contains(s, keyPlaceholder) {
				return fmt.Errorf("class %s: found %q, expected a statement with %s, and a check", name, s, keyPlaceholder)
			}
		}
	}
	if w.Heartbeat.Class == "" {
		return nil
	}
	if class, ok := doc.Class(w.Heartbeat.Class); !ok || class.Access != config.AccessWrite {
		return fmt.Errorf("heartbeat: %q is no class of the document that writes", w.Heartbeat.Class)
	}
	return nil
}

// tags are what a request says about itself in its leading comment.
type tags struct{ class, shard, requestID string }

// bind returns the statement with its leading comment and with parameters in
// place of the placeholders, and the parameters.
func bind(t tags, statement, key, value string) (query string, args []any) {
	query = "/* class=" + t.class + " key=" + t.shard
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
