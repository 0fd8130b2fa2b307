package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// goneAfter is how long an instance that said it is leaving must have been
	// silent and out of reach to be gone.
	goneAfter = 10 * time.Second
	// leftAfter is the same for one that said that it goes at once: it may still
	// receive for a moment.
	leftAfter = time.Second
	// forgetBound is how long the check that precedes forgetting may take; it
	// is made again at the next review.
	forgetBound = 2 * time.Second
)

// departure is the check whether the group can do without an instance that has
// left.
type departure struct {
	id        table.InstanceID
	startedAt time.Duration
	marked    bool
	mark      table.Mark // of the primary, once marked
}

// reviewOne looks at one group each step, so that a group in which nothing
// happens notices that an instance has left for good.
func (s *System) reviewOne() {
	if len(s.all) == 0 {
		return
	}
	s.reviewAt = (s.reviewAt + 1) % len(s.all)
	if g := s.all[s.reviewAt]; g.expected > 0 && len(g.members) > g.expected {
		s.activate(g)
	}
}

// dismiss forgets an instance that said it is leaving and has gone, so that it
// no longer counts among those whose positions must be read. Before, every
// other instance must hold what the primary held after it had gone: nothing
// that was acknowledged is then held by it alone.
func (s *System) dismiss(now time.Duration, g *group, p *member) {
	var m *member
	if g.expected > 0 && len(g.members) > g.expected {
		m = s.gone(now, g, p)
	}
	if m == nil {
		g.departure = nil
		return
	}
	if g.departure == nil || g.departure.id != m.inst.ID {
		g.departure = &departure{id: m.inst.ID, startedAt: now}
	}
	if now >= g.departure.startedAt+forgetBound {
		g.departure = nil
		return
	}
	if s.othersHold(now, g, p, m) {
		s.remove(g, m)
		s.act(InstanceRemoved{Instance: m.inst.ID})
		g.departure = nil
	}
}

// gone returns an instance that said it is leaving and went, nil if none did.
func (s *System) gone(now time.Duration, g *group, p *member) *member {
	for _, id := range g.order {
		m := g.members[id]
		if m == p || m.reachable() || !m.leaving() {
			continue
		}
		if m.left && now >= max(m.leftAt, m.reachedAt)+leftAfter {
			return m
		}
		if now >= max(m.inst.SeenAt, m.reachedAt, s.ledSince)+goneAfter {
			return m
		}
	}
	return nil
}

// othersHold reports whether all instances but m hold what the primary held
// when the check began, and asks for their positions.
func (s *System) othersHold(now time.Duration, g *group, p, m *member) bool {
	d := g.departure
	if !p.readSince(d.startedAt) {
		s.tellProbe(now, p)
		return false
	}
	if !d.marked {
		d.marked, d.mark = true, p.readMark
	}
	all := true
	for _, id := range g.order {
		o := g.members[id]
		if o == m || o.readSince(d.startedAt) && !o.readMark.Less(d.mark) {
			continue
		}
		s.tellProbe(now, o)
		all = false
	}
	return all
}

// HandleInstanceLeft takes the last word of an instance: it goes now. It counts on among
// those whose positions must be read until the others hold what the primary held
// after it had gone: a write may be acknowledged because it alone has it.
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

// remove drops an instance from its group. Its owner is kept for the case that
// it announces itself again.
func (s *System) remove(g *group, m *member) {
	id := m.inst.ID
	if m.owner != "" {
		s.disown(m)
		s.unplaced[id] = table.Ownership{Instance: id, Host: m.owner, Epoch: m.epoch}
	}
	delete(s.byInstance, id)
	delete(g.members, id)
	g.order = slices.DeleteFunc(g.order, func(o table.InstanceID) bool { return o == id })
}
