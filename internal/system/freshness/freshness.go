// Package freshness proves an upper bound on the age of a replica's data
// without synchronized clocks. The owner of the replica keeps one Tracker and
// passes samples of the primary's log position and the reports of the replica
// to it. All times are readings of the owner's local monotonic clock.
package freshness

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// sampleCapacity is the number of samples of the primary that a Tracker stores.
const sampleCapacity = 64

// sample is a position of the primary in the term of the Tracker. Every write
// that was acknowledged before the time at is at or below position.
type sample struct {
	at       time.Duration
	position table.Position
}

// Tracker proves the age of one replica. The zero value is ready for use and
// proves nothing. It is not safe for concurrent use.
type Tracker struct {
	term    table.Term // term of the samples
	history History
	// samples are strictly increasing in both fields. The replica may have
	// reached the first sample but none of the others.
	samples [sampleCapacity]sample
	count   int

	replica   table.Mark
	replicaAt time.Duration
	hasReport bool // whether the replica has reported
	reached   bool // whether the replica has reached samples[0]
}

// SetTerm records that term began at position start and is the current term. It
// must be called once the primary of the term is known, not during a promotion.
// Terms below the current one are ignored.
func (t *Tracker) SetTerm(term table.Term, start table.Position) {
	t.history.Set(term, start)
	t.advanceTerm(term)
}

// ObservePrimary adds one sample of the primary: every write acknowledged
// before the local time t0 lies at or before m, in m.Term. t0 is the time at
// which the request for the sample was sent, less the age of the sample in the
// answer. Samples of lower terms, samples from the future and samples older
// than the latest one are ignored.
func (t *Tracker) ObservePrimary(t0, now time.Duration, m table.Mark) {
	if m.Term < t.term || t0 > now {
		return
	}
	t.advanceTerm(m.Term)
	if t.count > 0 && t0 < t.samples[t.count-1].at {
		return
	}
	// A later sample at the same or a lower position supersedes earlier ones:
	// it is reached sooner and proves a lower age.
	for t.count > 0 && t.samples[t.count-1].position >= m.Position {
		t.count--
	}
	t.push(sample{at: t0, position: m.Position})
	t.updateReached()
}

// ObserveReplica records a report that the replica durably holds everything up
// to m. sentAt is the local time at which the report was requested; reports
// requested before the latest one are ignored. If the position of a replica
// decreases, for example because the replica was rebuilt, its proven age is
// lost.
func (t *Tracker) ObserveReplica(sentAt time.Duration, m table.Mark) {
	if t.hasReport && sentAt < t.replicaAt {
		return
	}
	t.hasReport = true
	t.replica = m
	t.replicaAt = sentAt
	t.updateReached()
}

// Age returns an upper bound on the age of the replica's data at now: the
// replica holds every write that was acknowledged more than age ago. ok is
// false if no bound can be proven.
func (t *Tracker) Age(now time.Duration) (age time.Duration, ok bool) {
	if !t.reached {
		return 0, false
	}
	return max(0, now-t.samples[0].at), true
}

// Holds reports whether the replica provably holds everything up to floor. A
// floor of an older term must belong to the history of the current term. A
// replica that is still in an older term proves nothing, because it may hold
// writes that were lost.
func (t *Tracker) Holds(floor table.Mark) bool {
	if !t.hasReport || t.replica.Term != t.term || floor.Position > t.replica.Position {
		return false
	}
	if floor.Term == t.term {
		return true
	}
	return t.history.Term() == t.term && t.history.Check(floor) == Kept
}

// Mark returns the latest report of the replica and the time at which it was
// requested. ok is false if there is none.
func (t *Tracker) Mark() (m table.Mark, sentAt time.Duration, ok bool) {
	return t.replica, t.replicaAt, t.hasReport
}

// History returns the term starts that were recorded.
func (t *Tracker) History() *History { return &t.history }

// advanceTerm moves to a higher term. Samples of earlier terms prove nothing in
// it and are dropped.
func (t *Tracker) advanceTerm(term table.Term) {
	if term <= t.term {
		return
	}
	t.term = term
	t.count = 0
	t.updateReached()
}

// push appends s. If the buffer is full, push drops the inner sample whose
// neighbors are closest in time, so that a long lag stays covered at a coarser
// resolution.
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

// span is the time between the neighbors of sample i.
func (t *Tracker) span(i int) time.Duration {
	return t.samples[i+1].at - t.samples[i-1].at
}

// updateReached moves the latest sample that the replica has reached to the
// front and drops the older ones.
func (t *Tracker) updateReached() {
	t.reached = false
	if !t.hasReport || t.replica.Term != t.term {
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
