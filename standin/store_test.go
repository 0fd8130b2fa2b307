package standin

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// put commits one row.
func put(t *testing.T, s *store, key string) {
	t.Helper()
	text := "of " + key
	assert.NilError(t, s.commit(s.lastTerm(), []write{{rowKey{"k", key}, &text}}))
}

// sync brings a replica up to what the primary hands out at now.
func syncStores(t *testing.T, from, to *store, lag time.Duration, now time.Time) {
	t.Helper()
	st := to.state()
	b, _, _, _, err := from.pull(st.Mark, st.LastTerm, lag, now)
	assert.NilError(t, err)
	to.follow(b, now)
}

// founded returns the primary of term 1 and a replica that follows it.
func founded(t *testing.T) (primary, replica *store) {
	t.Helper()
	primary, replica = newStore(), newStore()
	assert.NilError(t, primary.promote(1))
	return primary, replica
}

func TestReplicaReportsTheTermOfWhatItHolds(t *testing.T) {
	now := time.Now()
	first, second := founded(t)
	behind := newStore()
	put(t, first, "a")
	syncStores(t, first, behind, 0, now.Add(time.Second))
	put(t, first, "b")
	syncStores(t, first, second, 0, now.Add(time.Second))
	assert.NilError(t, second.promote(2))
	syncStores(t, second, behind, time.Hour, now)
	st := behind.state()
	assert.Equal(t, st.LastTerm, table.Term(2), "it follows term 2")
	assert.Equal(t, st.Mark, table.Mark{Term: 1, Position: 1}, "but holds term 1 only, not up to its end")
	syncStores(t, second, behind, 0, now.Add(time.Second))
	assert.Equal(t, behind.state().Mark, table.Mark{Term: 2, Position: 2})
	assert.Equal(t, behind.state().TermStart, table.Position(2))
}

func TestLagHoldsYoungEntriesBack(t *testing.T) {
	now := time.Now()
	primary, replica := founded(t)
	put(t, primary, "a")
	primary.log[0].at = now
	syncStores(t, primary, replica, time.Second, now.Add(999*time.Millisecond))
	assert.Equal(t, replica.state().Mark.Position, table.Position(0))
	_, ready, wait, _, err := primary.pull(replica.state().Mark, 1, time.Second, now.Add(900*time.Millisecond))
	assert.NilError(t, err)
	assert.Assert(t, !ready)
	assert.Equal(t, wait, 100*time.Millisecond)
	syncStores(t, primary, replica, time.Second, now.Add(time.Second))
	assert.Equal(t, replica.state().Mark.Position, table.Position(1))
}

func TestDivergedAndDistantReplicasCopyInFull(t *testing.T) {
	cases := map[string]func(t *testing.T, old, primary *store){
		"beyond the start of the new term": func(t *testing.T, old, primary *store) {
			put(t, old, "lost")
			assert.NilError(t, primary.promote(2))
			old.fence(2)
		},
		"of a term that the primary never saw": func(t *testing.T, old, primary *store) {
			assert.NilError(t, primary.promote(2))
			old.fence(2)
			old.history = []termStart{{Term: 7}}
		},
		"before the start of the log": func(t *testing.T, old, primary *store) {
			assert.NilError(t, primary.promote(2))
			old.fence(2)
			put(t, primary, "b")
			primary.log = nil
		},
	}
	for name, diverge := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			old, primary := founded(t)
			put(t, old, "a")
			syncStores(t, old, primary, 0, now.Add(time.Second))
			diverge(t, old, primary)
			put(t, primary, "new")
			if old.lastTerm() == 7 {
				old.history[0].Term = 1 // it must follow term 2 in the end
				old.position = 9
			}
			syncStores(t, primary, old, 0, now.Add(time.Second))
			assert.DeepEqual(t, old.rows("k"), primary.rows("k"))
			assert.Equal(t, old.state().Mark, primary.state().Mark)
			assert.Assert(t, !old.primary)
		})
	}
}

func TestFollowRefusesWhatIsOver(t *testing.T) {
	now := time.Now()
	first, replica := founded(t)
	syncStores(t, first, replica, 0, now)
	put(t, first, "a")
	b, _, _, _, err := first.pull(replica.state().Mark, 1, 0, now.Add(time.Second))
	assert.NilError(t, err)
	replica.fence(2)
	replica.follow(b, now)
	assert.Equal(t, replica.state().Mark.Position, table.Position(0), "a fenced replica takes nothing from a lower term")
	assert.NilError(t, replica.promote(2))
	replica.follow(b, now)
	assert.Equal(t, replica.state().Mark, table.Mark{Term: 2}, "a primary takes nothing")
	_, _, _, _, err = newStore().pull(table.Mark{}, 0, 0, now)
	assert.Assert(t, errors.Is(err, errNotPrimary))
}

func TestCommitOfAnEarlierTermIsRefused(t *testing.T) {
	s, _ := founded(t)
	term, err := s.writableTerm()
	assert.NilError(t, err)
	s.fence(2)
	assert.NilError(t, s.promote(3))
	assert.Assert(t, errors.Is(s.commit(term, nil), errReadOnly))
}
