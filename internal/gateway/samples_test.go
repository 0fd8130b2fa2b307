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

// Right after a change of primary nothing has been written in the new term, and
// the primary reports the last entry of the old term under the new one. No
// instance holds such an entry. A floor of that mark was refused by all of them
// until the sample was too old, and each read waited for its deadline.
func TestFloorAtStartOfTerm(t *testing.T) {
	s, d := newSession(t)
	s.gateway.cfg.UpstreamFloors = true
	d.agreed = table.Group{Name: "g1", Term: 2}
	d.agreed.History.Add(1, 0)
	d.agreed.History.Add(2, 521)
	for _, c := range []struct {
		name    string
		sample  table.Mark
		session table.Mark
		want    table.Mark
	}{
		{"no entry of the new term", table.Mark{Term: 2, Position: 521}, table.Mark{}, table.Mark{Term: 1, Position: 521}},
		{"an entry of the new term", table.Mark{Term: 2, Position: 522}, table.Mark{}, table.Mark{Term: 2, Position: 522}},
		{"the session saw more of the old term", table.Mark{Term: 2, Position: 521}, table.Mark{Term: 1, Position: 530}, table.Mark{Term: 1, Position: 521}},
		{"the session saw more of the new term", table.Mark{Term: 2, Position: 521}, table.Mark{Term: 2, Position: 530}, table.Mark{Term: 2, Position: 530}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s.gateway.samples = sampleStore{}
			s.token.DropFloor("g1")
			if c.session.Term > 0 {
				s.token.Raise("g1", c.session)
			}
			d.upstream.mark = c.sample
			d.upstream.received = nil
			_, err := execSQL(t, s, "/* class=report */ select")
			assert.NilError(t, err)
			assert.Equal(t, d.upstream.received[0].Floor, c.want)
		})
	}
}
