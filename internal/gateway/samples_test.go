package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

func at(ms int, term table.Term, p table.Position) position {
	return position{mark: table.Mark{Term: term, Position: p}, askedAt: time.Duration(ms) * time.Millisecond}
}

// Replicas that lag by most of the staleness serve reads: the floor is the
// oldest position that the staleness allows, not the latest one.
func TestFloorIsTheOldestAllowed(t *testing.T) {
	var p positions
	for i := range 10 {
		p.take(at(200*i, 1, table.Position(100+i)))
	}
	now := 1900 * time.Millisecond
	mark, ok := p.oldest(now, 1500*time.Millisecond, 1)
	assert.Assert(t, ok)
	assert.Equal(t, mark.Position, table.Position(103)) // asked 1300 ms ago
	_, ok = p.oldest(now+2*time.Second, 1500*time.Millisecond, 1)
	assert.Assert(t, !ok, "all of them are too old")
}

// A position of an older term says nothing: what it covers may have been lost.
func TestFloorOfTheAgreedTermOnly(t *testing.T) {
	var p positions
	p.take(at(0, 1, 100))
	_, ok := p.oldest(time.Millisecond, time.Second, 2)
	assert.Assert(t, !ok)
	p.take(at(10, 2, 90))
	mark, ok := p.oldest(11*time.Millisecond, time.Second, 2)
	assert.Assert(t, ok)
	assert.Equal(t, mark, table.Mark{Term: 2, Position: 90})
	p.take(at(20, 1, 300)) // late, from the old term
	assert.Equal(t, len(p.known), 1)
}

func TestPositionsAreBounded(t *testing.T) {
	var p positions
	for i := range 1000 {
		p.take(at(10*i, 1, table.Position(i)))
	}
	assert.Assert(t, len(p.known) <= samplesKept)
	span := p.known[len(p.known)-1].askedAt - p.known[0].askedAt
	assert.Assert(t, span >= 2*time.Second, "they reach back %v", span)
	assert.Equal(t, p.known[len(p.known)-1].mark.Position, table.Position(999))
}
