package host

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// An entry whose numbers are ahead of its instance makes the announcements of the
// instance count as late. An instance that runs goes on announcing itself and the sender
// of the entry does not, so that the entry is dropped after this many announcements with
// rising numbers, each at least this long after the one before. Announcements that a
// cut link held back arrive together.
const (
	continuationCount   = 4
	continuationSpacing = 500 * time.Millisecond
)

// maxLateNumbers is how far the number of an announcement that is only late may be
// behind the newest one of the same start. An instance that is really behind by less
// catches up by itself.
const maxLateNumbers = 100

// continuation counts the announcements of one start of an instance that count as late.
type continuation struct {
	born, sequence uint64
	count          int
	firstAt        time.Duration
	lastAt         time.Duration // of the last one that was counted
}

// continuesDespite records an announcement that counts as late because of the entry
// newer. It reports whether the instance has gone on announcing itself while nothing
// else came from the sender of newer, which therefore was not the instance.
func (l *leader) continuesDespite(in, newer *table.Instance) bool {
	if in.Sequence == 0 || newer.Left {
		return false // it is not known in which order they were sent, or the end of newer is
	}
	if in.Born == newer.Born && newer.Sequence-in.Sequence <= maxLateNumbers {
		return false
	}
	c, known := l.continuations[in.ID]
	if !known || c.born != in.Born || c.firstAt <= newer.SeenAt {
		c = continuation{born: in.Born, firstAt: in.SeenAt}
	}
	if c.count == 0 || in.Sequence > c.sequence && in.SeenAt >= c.lastAt+continuationSpacing {
		c.count++
		c.sequence, c.lastAt = in.Sequence, in.SeenAt
	}
	if c.count >= continuationCount {
		delete(l.continuations, in.ID)
		return true
	}
	if l.continuations == nil {
		l.continuations = map[table.InstanceID]continuation{}
	}
	l.continuations[in.ID] = c
	return false
}

// runsElsewhere records an announcement of a start that counts as left, and reports
// whether the instance has gone on announcing itself at another address than the one
// that it is said to have left: it never was at that address.
func (l *leader) runsElsewhere(in *table.Instance) bool {
	old, known := l.instances[in.ID]
	if !known {
		old, known = l.departures[in.ID] // removed meanwhile
	}
	if !known || !old.Left || old.Born != in.Born || in.Address == "" || in.Address == old.Address {
		return false
	}
	departure := table.Instance{Born: in.Born + 1, SeenAt: old.SeenAt}
	return l.continuesDespite(in, &departure)
}
