package standin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// maxLogEntries is the number of entries that remain when the log is truncated, which
// happens once the log is longer than twice this number. A replica that lacks earlier
// entries receives a full copy of the tables.
const maxLogEntries = 1 << 16

// rowKey identifies a row.
type rowKey struct{ Table, Key string }

// write is one change of a row. A nil Value deletes the row.
type write struct {
	Row   rowKey
	Value *string
}

// entry is one committed transaction in the log. Positions count entries from 1.
type entry struct {
	Writes []write
	// at is the time when this instance committed or applied the entry.
	at time.Time
}

// termStart records that Term began at position Start: the entries after Start
// belong to Term, up to the start of the next term.
type termStart struct {
	Term  table.Term
	Start table.Position
}

// store holds the tables and the log of one instance.
type store struct {
	mu      sync.Mutex
	primary bool
	// minTerm is the lowest term that is not fenced. The latest fence or
	// promotion set it.
	minTerm  table.Term
	history  []termStart // ascending
	position table.Position
	log      []entry // the latest entries; the last one is at position
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
	// LastTerm is the highest term in the history of the instance. It is above
	// the term of Mark while entries before the start of LastTerm are missing.
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

// lastTerm returns the highest term in the history, or 0 if the history is empty. The
// caller must hold s.mu.
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

// writableTerm returns the term in which the instance accepts writes, or
// errReadOnly if it is a replica.
func (s *store) writableTerm() (table.Term, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary {
		return 0, errReadOnly
	}
	return s.lastTerm(), nil
}

// commit appends the writes to the log and applies them. It returns errReadOnly
// unless the instance is still the primary of term, the term of the transaction's
// first write.
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

// promote makes the instance the primary of term. It is idempotent. It returns
// errStaleTerm if term is fenced or not above the last term.
func (s *store) promote(term table.Term) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary && s.lastTerm() == term {
		return nil
	}
	if term <= s.lastTerm() || term < s.minTerm {
		return errStaleTerm
	}
	s.primary = true
	s.minTerm = term
	s.history = append(s.history, termStart{Term: term, Start: s.position})
	s.notify()
	return nil
}

// fence refuses the terms below term from now on. A primary of such a term
// becomes a replica.
func (s *store) fence(term table.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minTerm = max(s.minTerm, term)
	s.demoteBelow(s.minTerm)
}

// demoteBelow makes the instance a replica if it is the primary of a term below
// term. The caller must hold s.mu.
func (s *store) demoteBelow(term table.Term) {
	if s.primary && s.lastTerm() < term {
		s.primary = false
		s.notify()
	}
}

// batch is the reply of a primary to the pull of a replica.
type batch struct {
	History []termStart
	// From is the position before that of the first entry.
	From    table.Position
	Entries []entry
	// Copy, if not nil, replaces all tables of the replica. Entries are empty
	// then.
	Copy     map[string]map[string]string
	Position table.Position // the position of Copy
}

// maxBatchEntries is the maximum number of entries of a batch.
const maxBatchEntries = 1024

// pull returns the entries that a replica at mark, whose last term is lastTerm,
// is missing, except for those younger than lag. If there is nothing to send,
// ready is false, wait is the time until the next entry reaches the age lag (zero
// if there is no such entry), and changed is closed at the next change of the
// store. pull returns errNotPrimary if the instance is a replica.
func (s *store) pull(mark table.Mark, lastTerm table.Term, lag time.Duration, now time.Time) (b batch, ready bool, wait time.Duration, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.primary {
		return batch{}, false, 0, nil, errNotPrimary
	}
	b.History = slices.Clone(s.history)
	logStart := s.position - table.Position(len(s.log))
	if !s.containsMark(mark) || mark.Position < logStart {
		b.Copy = map[string]map[string]string{}
		for name, rows := range s.tables {
			b.Copy[name] = maps.Clone(rows)
		}
		b.Position = s.position
		return b, true, 0, s.changed, nil
	}
	b.From = mark.Position
	missing := s.log[mark.Position-logStart:]
	due := 0
	for due < min(len(missing), maxBatchEntries) && now.Sub(missing[due].at) >= lag {
		due++
	}
	b.Entries = slices.Clone(missing[:due])
	if due < len(missing) {
		wait = max(lag-now.Sub(missing[due].at), time.Nanosecond)
	}
	return b, due > 0 || lastTerm != s.lastTerm(), wait, s.changed, nil
}

// containsMark reports whether the history of this instance contains mark. A
// replica whose mark it does not contain has diverged.
func (s *store) containsMark(mark table.Mark) bool {
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

// applyBatch applies a batch of a primary. It ignores the batch if the instance
// has become a primary, if the term of the batch is stale, or if the batch does
// not start at the position of the store.
func (s *store) applyBatch(b batch, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(b.History) == 0 || s.primary {
		return
	}
	term := b.History[len(b.History)-1].Term
	if term < s.minTerm || term < s.lastTerm() {
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
