package standin

import (
	"context"
	"maps"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// tx is one transaction at the level READ COMMITTED. Its writes are kept back
// until the commit; the rows it has written are locked until its end.
type tx struct {
	explicit bool // begun by BEGIN
	failed   bool
	readOnly bool
	term     table.Term // of the first write
	writes   []write
	own      map[rowKey]*string // the rows as this transaction left them
	locks    []rowKey           // guarded by the lock table
	waitsFor *rowLock           // guarded by the lock table
}

// get returns a row as t sees it.
func (t *tx) get(s *store, row rowKey) (string, bool) {
	if value, ok := t.own[row]; ok {
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
	for row, value := range maps.All(t.own) {
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

// lock prepares t for a write to row.
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

// put keeps a write back until the commit.
func (t *tx) put(row rowKey, value *string) {
	if t.own == nil {
		t.own = map[rowKey]*string{}
	}
	t.own[row] = value
	t.writes = append(t.writes, write{row, value})
}
