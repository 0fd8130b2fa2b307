package table

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTermHistory(t *testing.T) {
	var h TermHistory
	h.Add(2, 100)
	h.Add(5, 80) // lost 80 to 100 of term 2 and all that term 2 wrote later
	h.Add(4, 1)  // not newer: ignored
	h.Add(6, 200)
	for _, c := range []struct {
		mark Mark
		want Survived
	}{
		{Mark{1, 80}, SurvivedYes},
		{Mark{1, 81}, SurvivedNo},
		{Mark{2, 80}, SurvivedYes},
		{Mark{2, 81}, SurvivedNo},
		{Mark{4, 81}, SurvivedNo},
		{Mark{5, 200}, SurvivedYes},
		{Mark{5, 201}, SurvivedNo},
		{Mark{6, 900}, SurvivedYes},
		{Mark{7, 900}, SurvivedYes},
	} {
		assert.Equal(t, h.Survives(c.mark), c.want, "%v", c.mark)
	}
	src, err := json.Marshal(h)
	assert.NilError(t, err)
	assert.Equal(t, string(src), `[{"term":6,"start":200},{"term":5,"start":80},{"term":2,"start":100}]`)
	var again TermHistory
	assert.NilError(t, json.Unmarshal(src, &again))
	assert.Equal(t, again, h)
	assert.Assert(t, json.Unmarshal([]byte("{}"), &again) != nil)
}

func TestTermHistoryIsBounded(t *testing.T) {
	var h TermHistory
	for term := range Term(MaxTermBegins + 4) {
		h.Add(term+1, Position(term))
	}
	assert.Equal(t, h[0].Term, Term(MaxTermBegins+4))
	assert.Equal(t, h.Survives(Mark{5, 0}), SurvivedYes)
	assert.Equal(t, h.Survives(Mark{4, 0}), SurvivedUnknown)
}

func TestHoldsNeedsTermAndPosition(t *testing.T) {
	assert.Assert(t, Mark{2, 10}.Holds(Mark{2, 10}))
	assert.Assert(t, Mark{3, 10}.Holds(Mark{2, 10}))
	assert.Assert(t, !Mark{3, 9}.Holds(Mark{2, 10}))
	assert.Assert(t, !Mark{1, 11}.Holds(Mark{2, 10}))
}
