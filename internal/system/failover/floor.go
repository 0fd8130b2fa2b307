package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// readPositions orders probes of the instances whose positions were not read
// after the fence.
func (s *System) readPositions(now time.Duration, g *group) {
	for _, id := range g.order {
		if m := g.members[id]; !m.readSince(g.fenceTime()) {
			s.orderProbe(now, m)
		}
	}
}

// findFloor determines a position at or above every acknowledged write, and
// reports whether one is known. A write is acknowledged once the primary and
// one replica hold it. If the group has n instances, any n-1 instances that were
// read after the fence therefore include one that holds the write, and the
// highest position of the n-1 least advanced instances is a valid floor. Fewer
// reads suffice if the owner of the old primary reported its highest
// acknowledged position, or if the primary of the latest log term itself was read,
// which holds every write. Further reads can only lower the floor.
//
// A write is acknowledged only once the owner has seen it at an instance of the
// group that the control hosts know, so those that they do not know do not count.
func (s *System) findFloor(now time.Duration, g *group, c *member) bool {
	if g.holdsQuiescedMark(c) {
		g.setFloor(g.entryMark(g.planned.mark))
		return true
	}
	var marks []table.Mark
	pending := false
	for _, id := range g.order {
		m := g.members[id]
		switch {
		case m.readSince(g.fenceTime()) && s.answers(m):
			marks = append(marks, g.entryMark(g.agreed.History.Surviving(m.readMark)))
		case m.reachable() && !s.leases.Late(now, m.owner):
			pending = true
		}
	}
	if m := s.readLeader(g); m != nil {
		g.setFloor(g.entryMark(m.readMark))
	}
	timedOut := now >= g.fenceTime()+s.cfg.ReadTimeout
	need := max(1, g.size()-1)
	switch {
	case pending && !timedOut && !g.floorKnown:
	case len(marks) >= need:
		slices.SortFunc(marks, compareMarks)
		g.setFloor(marks[need-1])
	case g.ackedKnown && timedOut:
		g.setFloor(g.entryMark(g.acked))
	}
	return g.floorKnown
}

func compareMarks(a, b table.Mark) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	default:
		return 0
	}
}

func (g *group) setFloor(m table.Mark) {
	if !g.floorKnown || m.Less(g.floor) {
		g.floorKnown = true
		g.floor = m
	}
}

// lowerFloor lowers the floor to the acknowledged position that the owner of
// the old primary reported. It is used when no reachable instance holds the
// most advanced position that was read.
func (g *group) lowerFloor() {
	if g.ackedKnown {
		g.setFloor(g.entryMark(g.acked))
	}
}

// isSafe reports whether the instance holds every acknowledged write and none that
// was lost. An old primary that has not followed a later term yet still holds writes
// beyond the start of that term, which callers were told have not run.
func (g *group) isSafe(m *member) bool {
	if !m.reachable() || g.entryMark(m.report.Mark).Less(g.floor) {
		return false
	}
	if g.holdsLostWrites(m) {
		return false
	}
	return m.readSince(g.fenceTime()) || g.holdsQuiescedMark(m)
}

// holdsLostWrites reports whether the log of the instance continues beyond the start
// of a later term.
func (g *group) holdsLostWrites(m *member) bool {
	return g.agreed.History.Survives(m.report.Mark) == table.SurvivedNo
}
