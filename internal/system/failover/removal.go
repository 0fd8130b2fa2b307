package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// leavingTimeout is how long an instance that reported that it is leaving
	// must have been silent and unreachable to count as departed.
	leavingTimeout = 10 * time.Second
	// leftTimeout replaces leavingTimeout for an instance that reported that it
	// leaves at once. Such an instance may still receive writes for a moment.
	leftTimeout = time.Second
	// removalTimeout is how long the check before a removal may take. After
	// that the check restarts at the next review of the group.
	removalTimeout = 2 * time.Second
)

// removalCheck is a check whether an instance that has left can be removed from
// its group.
type removalCheck struct {
	id        table.InstanceID
	startedAt time.Duration
	hasMark   bool
	mark      table.Mark // mark of the primary, valid if hasMark is set
}

// reviewNextGroup activates the next group if it has more instances than
// expected. Each step reviews one group, so that instances that have left are
// also noticed in inactive groups.
func (s *System) reviewNextGroup() {
	if len(s.allGroups) == 0 {
		return
	}
	s.reviewIndex = (s.reviewIndex + 1) % len(s.allGroups)
	if g := s.allGroups[s.reviewIndex]; g.expected > 0 && len(g.members) > g.expected {
		s.activate(g)
	}
}

// removeDeparted removes an instance that reported that it is leaving and has
// departed, so that its position no longer has to be read. All other instances
// must first hold what the primary held after the departure: no acknowledged
// write is then held by the departed instance alone.
func (s *System) removeDeparted(now time.Duration, g *group, p *member) {
	var m *member
	if g.expected > 0 && len(g.members) > g.expected {
		m = s.departedMember(now, g, p)
	}
	if m == nil {
		g.removal = nil
		return
	}
	if g.removal == nil || g.removal.id != m.inst.ID {
		g.removal = &removalCheck{id: m.inst.ID, startedAt: now}
	}
	if now >= g.removal.startedAt+removalTimeout {
		g.removal = nil
		return
	}
	if s.othersCaughtUp(now, g, p, m) {
		s.removeMember(g, m)
		s.emit(InstanceRemoved{Instance: m.inst.ID})
		g.removal = nil
	}
}

// departedMember returns an instance that reported that it is leaving and has
// departed, nil if there is none.
func (s *System) departedMember(now time.Duration, g *group, p *member) *member {
	for _, id := range g.order {
		m := g.members[id]
		if m == p || m.reachable() || !m.leaving() {
			continue
		}
		if m.left && now >= max(m.leftAt, m.reachedAt)+leftTimeout {
			return m
		}
		if now >= max(m.inst.SeenAt, m.reachedAt, s.leaderSince)+leavingTimeout {
			return m
		}
	}
	return nil
}

// othersCaughtUp reports whether all instances except m hold what the primary
// held when the check started, and orders probes of the instances that have not
// yet reported such a position.
func (s *System) othersCaughtUp(now time.Duration, g *group, p, m *member) bool {
	check := g.removal
	if !p.readSince(check.startedAt) {
		s.orderProbe(now, p)
		return false
	}
	if !check.hasMark {
		check.hasMark, check.mark = true, g.entryMark(p.readMark)
	}
	caughtUp := true
	for _, id := range g.order {
		other := g.members[id]
		if other == m || other.readSince(check.startedAt) && !g.entryMark(other.readMark).Less(check.mark) {
			continue
		}
		s.orderProbe(now, other)
		caughtUp = false
	}
	return caughtUp
}

// HandleInstanceLeft records that an instance reported that it leaves at once.
// Its position still has to be read until the other instances hold what the
// primary held after the departure, because a write may have been acknowledged
// when this instance was the only replica that held it.
func (s *System) HandleInstanceLeft(now time.Duration, id table.InstanceID) {
	g := s.byInstance[id]
	if g == nil {
		return
	}
	m := g.member(id)
	m.left, m.leftAt = true, now
	m.inst.Leaving = true
	s.activate(g)
}

// removeMember removes an instance from its group. Its owner is kept in case
// the instance announces itself again.
func (s *System) removeMember(g *group, m *member) {
	id := m.inst.ID
	if m.owner != "" {
		s.clearOwner(m)
		s.ownersWithoutGroup[id] = table.Ownership{Instance: id, Host: m.owner, Epoch: m.epoch}
	}
	delete(s.byInstance, id)
	delete(g.members, id)
	g.order = slices.DeleteFunc(g.order, func(o table.InstanceID) bool { return o == id })
}
