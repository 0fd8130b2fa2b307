package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

func at(ms int, term table.Term, p table.Position) positionSample {
	return positionSample{mark: table.Mark{Term: term, Position: p}, requestedAt: time.Duration(ms) * time.Millisecond}
}

// Replicas that lag by most of the staleness must still be able to serve reads.
// The floor is therefore the oldest sample that the staleness allows, not the
// latest one.
func TestFloorIsOldestAllowedSample(t *testing.T) {
	var p groupSamples
	for i := range 10 {
		p.add(at(200*i, 1, table.Position(100+i)))
	}
	now := 1900 * time.Millisecond
	mark, ok := p.oldest(now, 1500*time.Millisecond, 1)
	assert.Assert(t, ok)
	assert.Equal(t, mark.Position, table.Position(103)) // sampled 1300 ms ago
	_, ok = p.oldest(now+2*time.Second, 1500*time.Millisecond, 1)
	assert.Assert(t, !ok, "every sample is too old")
}

// A sample from an older term must not become a floor, because the writes that
// it covers may have been lost.
func TestFloorUsesAgreedTermOnly(t *testing.T) {
	var p groupSamples
	p.add(at(0, 1, 100))
	_, ok := p.oldest(time.Millisecond, time.Second, 2)
	assert.Assert(t, !ok)
	p.add(at(10, 2, 90))
	mark, ok := p.oldest(11*time.Millisecond, time.Second, 2)
	assert.Assert(t, ok)
	assert.Equal(t, mark, table.Mark{Term: 2, Position: 90})
	p.add(at(20, 1, 300)) // late answer from the old term
	assert.Equal(t, len(p.samples), 1)
}

// The number of samples is bounded, and the kept samples still span at least
// two seconds.
func TestSampleCountIsBounded(t *testing.T) {
	var p groupSamples
	for i := range 1000 {
		p.add(at(10*i, 1, table.Position(i)))
	}
	assert.Assert(t, len(p.samples) <= maxSamples)
	span := p.samples[len(p.samples)-1].requestedAt - p.samples[0].requestedAt
	assert.Assert(t, span >= 2*time.Second, "the samples span only %v", span)
	assert.Equal(t, p.samples[len(p.samples)-1].mark.Position, table.Position(999))
}
