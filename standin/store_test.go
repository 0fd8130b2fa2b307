package standin

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// mustCommit commits a row with that key.
func mustCommit(t *testing.T, s *store, key string) {
	t.Helper()
	text := "of " + key
	assert.NilError(t, s.commit(s.lastTerm(), []write{{rowKey{"k", key}, &text}}))
}

// replicate applies to a replica one batch that the primary sends at now.
func replicate(t *testing.T, from, to *store, lag time.Duration, now time.Time) {
	t.Helper()
	st := to.state()
	b, _, _, _, err := from.pull(st.Mark, st.LastTerm, lag, now)
	assert.NilError(t, err)
	to.applyBatch(b, now)
}

// startStores returns the primary of term 1 and an empty replica.
func startStores(t *testing.T) (primary, replica *store) {
	t.Helper()
	primary, replica = newStore(), newStore()
	assert.NilError(t, primary.promote(1))
	return primary, replica
}

func TestReplicaReportsTermOfItsLastEntry(t *testing.T) {
	now := time.Now()
	first, second := startStores(t)
	lagging := newStore()
	mustCommit(t, first, "a")
	replicate(t, first, lagging, 0, now.Add(time.Second))
	mustCommit(t, first, "b")
	replicate(t, first, second, 0, now.Add(time.Second))
	assert.NilError(t, second.promote(2))
	replicate(t, second, lagging, time.Hour, now)
	st := lagging.state()
	assert.Equal(t, st.LastTerm, table.Term(2), "the replica follows term 2")
	assert.Equal(t, st.Mark, table.Mark{Term: 1, Position: 1}, "its entries are of term 1 and do not reach the start of term 2")
	replicate(t, second, lagging, 0, now.Add(time.Second))
	assert.Equal(t, lagging.state().Mark, table.Mark{Term: 2, Position: 2})
	assert.Equal(t, lagging.state().TermStart, table.Position(2))
}

func TestLagDelaysRecentEntries(t *testing.T) {
	now := time.Now()
	primary, replica := startStores(t)
	mustCommit(t, primary, "a")
	primary.log[0].at = now
	replicate(t, primary, replica, time.Second, now.Add(999*time.Millisecond))
	assert.Equal(t, replica.state().Mark.Position, table.Position(0))
	_, ready, wait, _, err := primary.pull(replica.state().Mark, 1, time.Second, now.Add(900*time.Millisecond))
	assert.NilError(t, err)
	assert.Assert(t, !ready)
	assert.Equal(t, wait, 100*time.Millisecond)
	replicate(t, primary, replica, time.Second, now.Add(time.Second))
	assert.Equal(t, replica.state().Mark.Position, table.Position(1))
}

func TestDivergedOrLaggingReplicaReceivesFullCopy(t *testing.T) {
	cases := map[string]func(t *testing.T, old, primary *store){
		"beyond the start of the new term": func(t *testing.T, old, primary *store) {
			mustCommit(t, old, "lost")
			assert.NilError(t, primary.promote(2))
			old.fence(2)
		},
		"of a term unknown to the primary": func(t *testing.T, old, primary *store) {
			assert.NilError(t, primary.promote(2))
			old.fence(2)
			old.history = []termStart{{Term: 7}}
		},
		"before the start of the log": func(t *testing.T, old, primary *store) {
			assert.NilError(t, primary.promote(2))
			old.fence(2)
			mustCommit(t, primary, "b")
			primary.log = nil
		},
	}
	for name, diverge := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			old, primary := startStores(t)
			mustCommit(t, old, "a")
			replicate(t, old, primary, 0, now.Add(time.Second))
			diverge(t, old, primary)
			mustCommit(t, primary, "new")
			if old.lastTerm() == 7 {
				old.history[0].Term = 1 // below term 2, so that the replica accepts the batch
				old.position = 9
			}
			replicate(t, primary, old, 0, now.Add(time.Second))
			assert.DeepEqual(t, old.rows("k"), primary.rows("k"))
			assert.Equal(t, old.state().Mark, primary.state().Mark)
			assert.Assert(t, !old.primary)
		})
	}
}

func TestApplyBatchIgnoresStaleTerms(t *testing.T) {
	now := time.Now()
	first, replica := startStores(t)
	replicate(t, first, replica, 0, now)
	mustCommit(t, first, "a")
	b, _, _, _, err := first.pull(replica.state().Mark, 1, 0, now.Add(time.Second))
	assert.NilError(t, err)
	replica.fence(2)
	replica.applyBatch(b, now)
	assert.Equal(t, replica.state().Mark.Position, table.Position(0), "a fenced replica ignores a batch of a lower term")
	assert.NilError(t, replica.promote(2))
	replica.applyBatch(b, now)
	assert.Equal(t, replica.state().Mark, table.Mark{Term: 2}, "a primary ignores batches")
	_, _, _, _, err = newStore().pull(table.Mark{}, 0, 0, now)
	assert.Assert(t, errors.Is(err, errNotPrimary))
}

func TestCommitOfEarlierTermIsRefused(t *testing.T) {
	s, _ := startStores(t)
	term, err := s.writableTerm()
	assert.NilError(t, err)
	s.fence(2)
	assert.NilError(t, s.promote(3))
	assert.Assert(t, errors.Is(s.commit(term, nil), errReadOnly))
}
