package standin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxLogEntries is how many entries the log keeps for replicas. A replica that
// is further behind copies the tables in full.
const maxLogEntries = 1 << 16

// rowKey names one row.
type rowKey struct{ Table, Key string }

// write is one change of a row. A nil Value deletes the row.
type write struct {
	Row   rowKey
	Value *string
}

// entry is one committed transaction. Its position is that of the entry
// before plus one.
type entry struct {
	Writes []write
	// at is when this instance committed or applied the entry.
	at time.Time
}

// termStart says that Term began at position Start: entries after Start
// belong to Term, until the next term starts.
type termStart struct {
	Term  table.Term
	Start table.Position
}

// store holds the tables and the log of one instance.
type store struct {
	mu      sync.Mutex
	primary bool
	// ended is the lowest term that is not over, as the last fence said.
	ended    table.Term
	history  []termStart // ascending
	position table.Position
	log      []entry // the last entries, the latest one at position
	tables   map[string]map[string]string
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{tables: map[string]map[string]string{}, changed: make(chan struct{})}
}

// state is what an instance reports about itself.
type state struct {
	Primary   bool
	Mark      table.Mark
	TermStart table.Position
	// LastTerm is the highest term that the instance follows. It is above the
	// term of Mark while the entries before its start are still missing.
	LastTerm table.Term
}

func (s *store) state() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateLocked()
}

func (s *store) stateLocked() state {
	st := state{Primary: s.primary, Mark: table.Mark{Position: s.position}, LastTerm: s.lastTerm()}
	for _, h := range s.history {
		if h.Start <= s.position {
			st.Mark.Term, st.TermStart = h.Term, h.Start
		}
	}
	return st
}

// lastTerm returns the highest term that the instance follows.
func (s *store) lastTerm() table.Term {
	if len(s.history) == 0 {
		return 0
	}
	return s.history[len(s.history)-1].Term
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// writableTerm returns the term in which the instance accepts writes.
func (s *store) writableTerm() (table.Term, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary {
		return 0, errReadOnly
	}
	return s.lastTerm(), nil
}

// commit appends the writes to the log and applies them, if the instance is
// still the primary of the term in which the transaction first wrote.
func (s *store) commit(term table.Term, writes []write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary || s.lastTerm() != term {
		return errReadOnly
	}
	s.apply(entry{Writes: writes, at: time.Now()})
	s.notify()
	return nil
}

func (s *store) apply(e entry) {
	for _, w := range e.Writes {
		rows := s.tables[w.Row.Table]
		if w.Value == nil {
			delete(rows, w.Row.Key)
			continue
		}
		if rows == nil {
			rows = map[string]string{}
			s.tables[w.Row.Table] = rows
		}
		rows[w.Row.Key] = *w.Value
	}
	s.position++
	s.log = append(s.log, e)
	if len(s.log) > 2*maxLogEntries {
		s.log = slices.Clone(s.log[len(s.log)-maxLogEntries:])
	}
}

// get returns a committed row.
func (s *store) get(row rowKey) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.tables[row.Table][row.Key]
	return value, ok
}

// rows returns a copy of the committed rows of a table.
func (s *store) rows(name string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := maps.Clone(s.tables[name])
	if rows == nil {
		rows = map[string]string{}
	}
	return rows
}

// promote makes the instance the primary of term. It is idempotent.
func (s *store) promote(term table.Term) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary && s.lastTerm() == term {
		return nil
	}
	if term <= s.lastTerm() || term < s.ended {
		return errTermOver
	}
	s.primary = true
	s.ended = term
	s.history = append(s.history, termStart{Term: term, Start: s.position})
	s.notify()
	return nil
}

// fence ends the terms below term. A primary of such a term becomes read-only.
func (s *store) fence(term table.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = max(s.ended, term)
	s.demoteBelow(s.ended)
}

// demoteBelow makes a primary of a term below term a replica.
func (s *store) demoteBelow(term table.Term) {
	if s.primary && s.lastTerm() < term {
		s.primary = false
		s.notify()
	}
}

// batch is what a primary sends to a replica.
type batch struct {
	History []termStart
	// From is the position before the first entry.
	From    table.Position
	Entries []entry
	// Copy replaces everything that the replica holds. Entries are empty.
	Copy     map[string]map[string]string
	Position table.Position // of Copy
}

// batchLimit is how many entries one batch holds at most.
const batchLimit = 1024

// pull returns what a replica at mark, which follows lastTerm, is missing.
// Entries younger than lag are held back. If there is nothing to send, ready
// is false, wait says when an entry becomes old enough (zero: no entry is
// held back) and changed ends at the next change of the store.
func (s *store) pull(mark table.Mark, lastTerm table.Term, lag time.Duration, now time.Time) (b batch, ready bool, wait time.Duration, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary {
		return batch{}, false, 0, nil, errNotPrimary
	}
	b.History = slices.Clone(s.history)
	first := s.position - table.Position(len(s.log))
	if !s.holds(mark) || mark.Position < first {
		b.Copy = map[string]map[string]string{}
		for name, rows := range s.tables {
			b.Copy[name] = maps.Clone(rows)
		}
		b.Position = s.position
		return b, true, 0, s.changed, nil
	}
	b.From = mark.Position
	missing := s.log[mark.Position-first:]
	due := 0
	for due < min(len(missing), batchLimit) && now.Sub(missing[due].at) >= lag {
		due++
	}
	b.Entries = slices.Clone(missing[:due])
	if due < len(missing) {
		wait = max(lag-now.Sub(missing[due].at), time.Nanosecond)
	}
	return b, due > 0 || lastTerm != s.lastTerm(), wait, s.changed, nil
}

// holds reports whether mark lies in the history of this instance.
func (s *store) holds(mark table.Mark) bool {
	if mark.Position == 0 {
		return true
	}
	for i, h := range s.history {
		if h.Term != mark.Term {
			continue
		}
		end := s.position
		if i+1 < len(s.history) {
			end = s.history[i+1].Start
		}
		return mark.Position <= end
	}
	return false
}

// follow applies what the primary sent. It does nothing if the instance is a
// primary by now, if the batch is of a term that is over, or if the batch does
// not start at its position.
func (s *store) follow(b batch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(b.History) == 0 || s.primary {
		return
	}
	term := b.History[len(b.History)-1].Term
	if term < s.ended || term < s.lastTerm() {
		return
	}
	switch {
	case b.Copy != nil:
		s.tables, s.log, s.position = b.Copy, nil, b.Position
	case b.From != s.position:
		return
	}
	s.history = b.History
	for _, e := range b.Entries {
		e.at = now
		s.apply(e)
	}
	s.notify()
}
