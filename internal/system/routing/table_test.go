package routing

import (
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// No update may be lost when several goroutines add and change the same groups
// concurrently.
func TestConcurrentUpdates(t *testing.T) {
	const writers, rounds = 4, 200
	var tab Table
	names := []table.GroupName{"a", "b", "c"}
	var g errgroup.Group
	for range writers {
		g.Go(func() error {
			for i := range rounds * len(names) {
				tab.Update(names[i%len(names)], func(v *GroupView) *GroupView {
					next := GroupView{Term: 1}
					if v != nil {
						next.Term = v.Term + 1
					}
					return &next
				})
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
	for _, n := range names {
		assert.Equal(t, tab.Lookup(n).Term, table.Term(writers*rounds))
	}
}
