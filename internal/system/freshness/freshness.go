// Package freshness proves how old the data of a replica can be at most,
// without synchronised clocks. The owner of the replica keeps one Tracker and
// feeds it with samples of the primary's log position and with the replica's
// own reports. All moments are on the owner's local monotonic clock.
package freshness

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// sampleCapacity is how many samples of the primary a Tracker remembers.
const sampleCapacity = 64

// sample states that every write acknowledged before At lies at or before
// Position, in the term of the Tracker.
type sample struct {
	at       time.Duration
	position table.Position
}

// Tracker proves the age of one replica. The zero value is ready for use and
// proves nothing. It is not safe for concurrent use.
type Tracker struct {
	term    table.Term // term of the samples
	history History
	// samples grow strictly in both fields. The first one may be reached by
	// the replica, the others are not.
	samples [sampleCapacity]sample
	count   int

	replica   table.Mark
	replicaAt time.Duration
	known     bool // whether the replica has reported
	reached   bool // whether the replica has reached samples[0]
}

// SetTerm tells that term is in force and began at position start. It is
// called once the primary of the term is known, not while a promotion runs.
// Terms below the one in force are ignored.
func (t *Tracker) SetTerm(term table.Term, start table.Position) {
	t.history.Set(term, start)
	t.advance(term)
}

// ObservePrimary takes one sample of the primary: every write acknowledged
// before the local moment t0 lies at or before m, in m.Term. t0 is the moment
// at which the question was sent, less the age of the sample that the answer
// held. Samples of lower terms, of the future and older than the latest one
// are ignored.
func (t *Tracker) ObservePrimary(t0, now time.Duration, m table.Mark) {
	if m.Term < t.term || t0 > now {
		return
	}
	t.advance(m.Term)
	if t.count > 0 && t0 < t.samples[t.count-1].at {
		return
	}
	// A later sample at the same or a lower position proves more with less.
	for t.count > 0 && t.samples[t.count-1].position >= m.Position {
		t.count--
	}
	t.push(sample{at: t0, position: m.Position})
	t.settle()
}

// ObserveReplica takes one report of the replica: it durably holds everything
// up to m. sentAt is the local moment at which the report was asked for;
// reports asked for before the latest one are ignored. A replica that falls
// back, for example after it was rebuilt, loses the age it had proven.
func (t *Tracker) ObserveReplica(sentAt time.Duration, m table.Mark) {
	if t.known && sentAt < t.replicaAt {
		return
	}
	t.known = true
	t.replica = m
	t.replicaAt = sentAt
	t.settle()
}

// Age returns a bound on the age of the replica's data at now: it holds every
// write that was acknowledged more than age ago. ok is false when no bound
// can be proven.
func (t *Tracker) Age(now time.Duration) (age time.Duration, ok bool) {
	if !t.reached {
		return 0, false
	}
	return max(0, now-t.samples[0].at), true
}

// Holds reports whether the replica provably holds everything up to floor. A
// floor of an older term must belong to the history of the term in force. A
// replica that is still in an older term proves nothing, because it may hold
// writes that were lost.
func (t *Tracker) Holds(floor table.Mark) bool {
	if !t.known || t.replica.Term != t.term || floor.Position > t.replica.Position {
		return false
	}
	if floor.Term == t.term {
		return true
	}
	return t.history.Term() == t.term && t.history.Check(floor) == Kept
}

// Mark returns the latest report of the replica and when it was asked for.
func (t *Tracker) Mark() (m table.Mark, sentAt time.Duration, ok bool) {
	return t.replica, t.replicaAt, t.known
}

// History returns the term starts that the Tracker knows.
func (t *Tracker) History() *History { return &t.history }

// advance moves to a higher term, in which the samples prove nothing.
func (t *Tracker) advance(term table.Term) {
	if term <= t.term {
		return
	}
	t.term = term
	t.count = 0
	t.settle()
}

// push appends s. When the ring is full, the inner sample with the closest
// neighbours goes, so that a long lag is still covered, with coarser steps.
func (t *Tracker) push(s sample) {
	if t.count == sampleCapacity {
		drop := 1
		for i := 2; i < t.count-1; i++ {
			if t.span(i) < t.span(drop) {
				drop = i
			}
		}
		copy(t.samples[drop:], t.samples[drop+1:])
		t.count--
	}
	t.samples[t.count] = s
	t.count++
}

// span is the time between the neighbours of sample i.
func (t *Tracker) span(i int) time.Duration {
	return t.samples[i+1].at - t.samples[i-1].at
}

// settle moves the latest sample that the replica has reached to the front
// and forgets the older ones.
func (t *Tracker) settle() {
	t.reached = false
	if !t.known || t.replica.Term != t.term {
		return
	}
	latest := -1
	for i := 0; i < t.count && t.samples[i].position <= t.replica.Position; i++ {
		latest = i
	}
	if latest < 0 {
		return
	}
	t.reached = true
	if latest > 0 {
		t.count = copy(t.samples[:], t.samples[latest:t.count])
	}
}
