package failover

import (
	"fmt"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// switchOver is a planned change of primary. Writes flow until the candidate
// has shown that it follows closely; then they are held back until it has all.
type switchOver struct {
	to        table.InstanceID // asked for by an operator, may be empty
	begun     bool
	startedAt time.Duration
	candidate table.InstanceID
	target    table.Mark // what the candidate must reach before the quiesce
	quiesced  bool       // whether the quiesce was ordered
	orderedAt time.Duration
	marked    bool       // whether mark is set
	mark      table.Mark // position of the primary once no write ran
	paused    bool       // given up until retryAt
	retryAt   time.Duration
}

// after returns what remains of the switch-over once a is agreed.
func (w *switchOver) after(a table.Group) *switchOver {
	if w == nil || a.Phase != table.PhasePromoting || a.Candidate != w.candidate || !w.marked {
		return nil
	}
	return w
}

// SwitchOver asks for a planned change of primary. An empty to leaves the
// choice to the system. It fails if the group is not stable or to is not one
// of its replicas.
func (s *System) SwitchOver(name table.GroupName, to table.InstanceID) error {
	g := s.groups[name]
	if g == nil || !g.known {
		return fmt.Errorf("failover: group %q is not known", name)
	}
	if g.agreed.Phase != table.PhaseStable || g.suspected {
		return fmt.Errorf("failover: group %q is changing its primary", name)
	}
	if to == g.agreed.Primary {
		return fmt.Errorf("failover: %q is the primary of group %q", to, name)
	}
	if to != "" && g.members[to] == nil {
		return fmt.Errorf("failover: %q is not an instance of group %q", to, name)
	}
	g.planned = &switchOver{to: to}
	s.activate(g)
	return nil
}

// plan carries a planned switch-over on, if there is one.
func (s *System) plan(now time.Duration, g *group, p *member) WaitReason {
	if g.planned == nil && p.leaving() {
		g.planned = &switchOver{}
	}
	w := g.planned
	if w == nil {
		return WaitNothing
	}
	if w.paused && now < w.retryAt {
		s.tellPrimary(now, g, p, OrderResume)
		return WaitSwitchReplica
	}
	if !w.begun || w.paused {
		*w = switchOver{to: w.to, begun: true, startedAt: now}
	}
	if w.candidate == "" {
		return s.planCandidate(now, g, p)
	}
	c := g.member(w.candidate)
	if !c.reachable() {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	if !w.quiesced {
		return s.planFollow(now, g, p, c)
	}
	return s.planQuiesce(now, g, p, c)
}

// planCandidate reads all positions and chooses the candidate.
func (s *System) planCandidate(now time.Duration, g *group, p *member) WaitReason {
	w := g.planned
	open := false
	for _, id := range g.order {
		m := g.members[id]
		if !m.readSince(w.startedAt) {
			s.tellProbe(now, m)
			open = true
		}
	}
	bound := s.cfg.Lease.Heartbeat + s.cfg.ProbeTimeout
	if open && now < w.startedAt+bound || !p.readSince(w.startedAt) {
		return WaitSwitchReplica
	}
	c := g.best(func(m *member) bool {
		wanted := w.to == "" || m.inst.ID == w.to
		return wanted && m != p && !m.leaving() && m.reachable() && m.readSince(w.startedAt)
	})
	if c == nil {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	w.candidate = c.inst.ID
	w.target = p.report.Mark
	return WaitCatchUp
}

// planFollow waits until the candidate reaches what the primary held at the
// start, while writes flow. One that takes long would hold writes back long.
func (s *System) planFollow(now time.Duration, g *group, p, c *member) WaitReason {
	w := g.planned
	if now >= w.startedAt+s.cfg.Lease.Heartbeat+s.cfg.ProbeTimeout+s.cfg.QuiesceTimeout {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	s.tellProbe(now, c)
	if c.report.Mark.Less(w.target) {
		return WaitCatchUp
	}
	w.quiesced, w.orderedAt = true, now
	s.tellPrimary(now, g, p, OrderQuiesce)
	return WaitQuiesce
}

// planQuiesce holds writes back, waits for the candidate and begins the term.
func (s *System) planQuiesce(now time.Duration, g *group, p, c *member) WaitReason {
	w := g.planned
	if now >= w.orderedAt+s.cfg.Lease.Heartbeat+s.cfg.QuiesceTimeout {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	s.tellPrimary(now, g, p, OrderQuiesce)
	s.tellProbe(now, c)
	if !p.report.Quiesced || !p.readSince(w.orderedAt) {
		return WaitQuiesce
	}
	w.marked, w.mark = true, p.report.Mark
	if c.report.Mark.Less(w.mark) {
		return WaitCatchUp
	}
	s.proposeTerm(now, g, g.nextTerm(), w.candidate)
	return WaitCommit
}

func (s *System) tellPrimary(now time.Duration, g *group, p *member, kind OrderKind) {
	s.tell(now, p.owner, Order{
		Kind: kind, Group: g.name(), Instance: p.inst.ID, Address: p.inst.Address,
		Term: g.agreed.Term, Bound: s.cfg.QuiesceTimeout,
	})
}

func (w *switchOver) pause(until time.Duration) {
	w.paused, w.retryAt = true, until
	w.marked = false
}

// plannedSafe reports whether m holds all that the old primary held when it
// was quiesced, and its owner acknowledged nothing beyond.
func (g *group) plannedSafe(m *member) bool {
	w := g.planned
	if w == nil || !w.marked || !g.ackedKnown || w.mark.Less(g.acked) {
		return false
	}
	return m.reachable() && m.inst.ID == w.candidate && !m.report.Mark.Less(w.mark)
}
