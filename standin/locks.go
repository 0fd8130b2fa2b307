package standin

import (
	"context"
	"slices"
	"sync"
)

// lockTable holds the row locks of transactions. Waiters get a lock in the order
// in which they requested it.
type lockTable struct {
	mu   sync.Mutex
	rows map[rowKey]*rowLock
}

type rowLock struct {
	holder  *tx
	waiters []*lockWaiter
}

type lockWaiter struct {
	tx      *tx
	granted chan struct{}
}

func newLockTable() *lockTable {
	return &lockTable{rows: map[rowKey]*rowLock{}}
}

// acquire locks row for t until release. It returns errDeadlock if waiting would
// close a cycle of transactions that wait for each other, and the error of ctx if
// ctx ends first.
func (l *lockTable) acquire(ctx context.Context, t *tx, row rowKey) error {
	w, err := l.request(t, row)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		l.abandon(w, row)
		return ctx.Err()
	}
}

// request locks row for t, or enqueues and returns a waiter. The waiter is nil if
// t has the lock.
func (l *lockTable) request(t *tx, row rowKey) (*lockWaiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lock := l.rows[row]
	if lock == nil {
		l.rows[row] = &rowLock{holder: t}
		t.locks = append(t.locks, row)
		return nil, nil
	}
	if lock.holder == t {
		return nil, nil
	}
	for next := lock; next != nil; next = next.holder.waitsFor {
		if next.holder == t {
			return nil, errDeadlock
		}
	}
	w := &lockWaiter{tx: t, granted: make(chan struct{})}
	lock.waiters = append(lock.waiters, w)
	t.waitsFor = lock
	return w, nil
}

// abandon removes w from the queue of row. If w was granted the lock meanwhile,
// its transaction keeps the lock until release.
func (l *lockTable) abandon(w *lockWaiter, row rowKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.tx.waitsFor = nil
	if lock := l.rows[row]; lock != nil {
		lock.waiters = slices.DeleteFunc(lock.waiters, func(other *lockWaiter) bool { return other == w })
	}
}

// release passes each lock of t to its first waiter.
func (l *lockTable) release(t *tx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range t.locks {
		lock := l.rows[row]
		if len(lock.waiters) == 0 {
			delete(l.rows, row)
			continue
		}
		w := lock.waiters[0]
		lock.waiters = lock.waiters[1:]
		lock.holder = w.tx
		w.tx.waitsFor = nil
		w.tx.locks = append(w.tx.locks, row)
		close(w.granted)
	}
	t.locks = nil
}
