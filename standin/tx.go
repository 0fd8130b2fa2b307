package standin

import (
	"context"
	"maps"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// tx is a transaction at the isolation level READ COMMITTED. Its writes are
// buffered until the commit; the rows that it has written are locked until it
// ends.
type tx struct {
	explicit bool // started by BEGIN
	failed   bool
	readOnly bool
	term     table.Term // the term of the first write
	writes   []write
	modified map[rowKey]*string // the uncommitted rows; nil means deleted
	locks    []rowKey           // guarded by the lock table
	waitsFor *rowLock           // guarded by the lock table
}

// get returns the value of a row as t sees it, and whether the row exists.
func (t *tx) get(s *store, row rowKey) (string, bool) {
	if value, ok := t.modified[row]; ok {
		if value == nil {
			return "", false
		}
		return *value, true
	}
	return s.get(row)
}

// rows returns the rows of a table as t sees them.
func (t *tx) rows(s *store, name string) map[string]string {
	rows := s.rows(name)
	for row, value := range maps.All(t.modified) {
		switch {
		case row.Table != name:
		case value == nil:
			delete(rows, row.Key)
		default:
			rows[row.Key] = *value
		}
	}
	return rows
}

// lock locks row for a write of t. It returns errReadOnly if the instance or t is
// read-only.
func (t *tx) lock(ctx context.Context, in *Instance, row rowKey) error {
	term, err := in.store.writableTerm()
	if err != nil || t.readOnly {
		return errReadOnly
	}
	if t.term == 0 {
		t.term = term
	}
	return in.locks.acquire(ctx, t, row)
}

// put buffers a write until the commit. A nil value deletes the row.
func (t *tx) put(row rowKey, value *string) {
	if t.modified == nil {
		t.modified = map[rowKey]*string{}
	}
	t.modified[row] = value
	t.writes = append(t.writes, write{row, value})
}
