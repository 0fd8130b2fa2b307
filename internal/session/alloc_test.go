//go:build !race

package session

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// The race detector drops pooled values at random, so this test is built only
// without it.
func TestAllocationsAreBounded(t *testing.T) {
	k, token, agreed := keyring(t, 1), sampleToken(), &table.Group{Term: 3}
	agreed.History.Add(3, 5)
	encoded := k.Encode(token)
	for _, c := range []struct {
		name  string
		bound float64
		run   func()
	}{
		{"encode", 3, func() { k.Encode(token) }},
		{"decode", 5, func() { _, _ = k.Decode("ledger", encoded) }},
		{"floor, raise and check lost", 0, func() {
			mark, _ := token.Floor("ledger-2")
			token.Raise("ledger-2", mark)
			_ = token.CheckLost("ledger-2", agreed)
		}},
	} {
		got := testing.AllocsPerRun(200, c.run)
		assert.Assert(t, got <= c.bound, "%s: %v allocations, bound %v", c.name, got, c.bound)
	}
}
