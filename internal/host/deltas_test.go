package host

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// TestDeltasAreEncodedOnce checks that the cache returns the bytes of
// EncodeDelta, returns the same slice again, and stays within its limit.
func TestDeltasAreEncodedOnce(t *testing.T) {
	s := control.NewState()
	var d deltaCache
	for term := range 3 {
		s.Apply(control.Command{BeginTerm: &control.BeginTerm{Group: "g", Term: table.Term(term) + 1, Candidate: "i"}})
		v := s.View()
		for since := range v.Revision {
			want, err := v.EncodeDelta(since)
			assert.NilError(t, err)
			first, err := d.encode(v, since)
			assert.NilError(t, err)
			assert.Equal(t, string(first), string(want))
			again, err := d.encode(v, since)
			assert.NilError(t, err)
			assert.Assert(t, &first[0] == &again[0], "encoded twice")
		}
	}
	v := s.View()
	for since := range uint64(100) {
		_, err := d.encode(v, since)
		assert.NilError(t, err)
		assert.Assert(t, len(d.encoded) <= maxCachedDeltas)
	}
}
