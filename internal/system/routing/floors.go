package routing

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// heldTTL is how long the mark in the latest answer of a replica is taken as
	// its present mark. Replicas are usually some ten milliseconds behind.
	heldTTL = 100 * time.Millisecond
	// idleTTL is the age of the latest answer after which the replica is
	// expected to have moved on far enough to hold most floors.
	idleTTL = time.Second
	// trialInterval is the least time between two reads that are sent to a
	// replica that is behind, to find out whether it still lacks their floors.
	// It bounds the load on the replica and how late its return is noticed.
	trialInterval = 200 * time.Millisecond
)

// Floors decides, at the owner of a replica that checks floors itself, whether a
// read is sent to the replica. It learns the mark of the replica from the
// answers of the replica. The zero value knows nothing and admits every read. It
// is not safe for concurrent use.
type Floors struct {
	held       table.Mark // latest mark in an answer
	observedAt time.Duration
	observed   bool
	trialAt    time.Duration // latest read that was sent although its floor was not known to be held
	behind     bool          // the replica refused the floor missing and has not reached it since
	missing    table.Mark
	since      time.Duration // when the replica refused missing
}

// FloorVerdict is the decision about a read.
type FloorVerdict uint8

// The verdicts.
const (
	// FloorHeld sends the read: the replica holds its floor or may hold it.
	FloorHeld FloorVerdict = iota
	// FloorAwaited delays the read: the replica may soon hold its floor.
	FloorAwaited
	// FloorMissing rejects the read.
	FloorMissing
)

// Check decides about a read with the given floor, which may still wait for the
// time wait. A verdict FloorHeld for a floor that the replica is not known to
// hold is a trial.
func (f *Floors) Check(now time.Duration, floor table.Mark, wait time.Duration) FloorVerdict {
	if !f.observed || !f.held.Less(floor) {
		return FloorHeld
	}
	hopeless := wait <= 0 || f.behind && now-f.since > wait
	if f.isTrialDue(now, hopeless) {
		f.trialAt = now
		return FloorHeld
	}
	if hopeless {
		return FloorMissing
	}
	return FloorAwaited
}

// isTrialDue reports whether a read may find out whether the replica has moved
// on since its latest answer. A read that can still wait leaves that to others
// unless the replica has been idle for long.
func (f *Floors) isTrialDue(now time.Duration, hopeless bool) bool {
	age := now - f.observedAt
	switch {
	case age >= idleTTL:
		return now-f.trialAt >= heldTTL
	case f.behind:
		return age >= heldTTL && now-f.trialAt >= trialInterval
	default:
		return hopeless && age >= heldTTL && now-f.trialAt >= heldTTL
	}
}

// Served records the mark in the answer to a read with the given floor.
func (f *Floors) Served(now time.Duration, m, floor table.Mark) {
	if m.Less(floor) {
		m = floor
	}
	if f.held.Less(m) {
		f.held = m
	}
	f.observedAt, f.observed = now, true
	if f.behind && !m.Less(f.missing) {
		f.behind = false
	}
}

// Refused records the mark in the answer of a replica that refused a read
// because it lacks the floor. The mark may be lower than an earlier one, because
// the instance may have lost its log.
func (f *Floors) Refused(now time.Duration, m, floor table.Mark) {
	if !m.Less(floor) {
		m = table.Mark{}
	}
	f.held, f.observedAt, f.observed = m, now, true
	if !f.behind || !m.Less(f.missing) {
		f.behind, f.since, f.missing = true, now, floor
	}
}

// Held returns the latest known mark of the replica, the zero mark if there is
// none.
func (f *Floors) Held() table.Mark { return f.held }
