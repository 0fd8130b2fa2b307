package failover

import (
	"fmt"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// switchOver is the state of a planned change of primary. Writes continue until
// the candidate has nearly caught up. They are then held back until the
// candidate holds all of them.
type switchOver struct {
	requested        table.InstanceID // candidate that an operator requested, may be empty
	started          bool
	startedAt        time.Duration
	candidate        table.InstanceID
	catchUpMark      table.Mark // mark that the candidate must reach before the quiesce
	quiesceOrdered   bool       // whether a quiesce was ordered, at quiesceOrderedAt
	quiesceOrderedAt time.Duration
	hasMark          bool       // whether mark is valid
	mark             table.Mark // mark of the primary once no write was running
	paused           bool       // stopped until retryAt
	retryAt          time.Duration
}

// carryOver returns the switchover if it is still valid once a is committed, nil
// if not.
func (w *switchOver) carryOver(a table.Group) *switchOver {
	if w == nil || a.Phase != table.PhasePromoting || a.Candidate != w.candidate || !w.hasMark {
		return nil
	}
	return w
}

// SwitchOver requests a planned change of primary. If to is empty, the system
// chooses the candidate. SwitchOver returns an error if the group is not stable
// or if to is not one of its replicas.
func (s *System) SwitchOver(name table.GroupName, to table.InstanceID) error {
	g := s.groups[name]
	if g == nil || !g.hasAgreed {
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
	g.planned = &switchOver{requested: to}
	s.activate(g)
	return nil
}

// stepSwitchOver starts or advances a planned switchover, if there is one.
func (s *System) stepSwitchOver(now time.Duration, g *group, p *member) WaitReason {
	if g.planned == nil && p.leaving() {
		g.planned = &switchOver{}
	}
	w := g.planned
	if w == nil {
		return WaitNothing
	}
	if w.paused && now < w.retryAt {
		s.orderPrimary(now, g, p, OrderResume)
		return WaitSwitchReplica
	}
	if !w.started && s.promotionOpen(now, g) {
		return WaitPromotionLapse
	}
	if !w.started || w.paused {
		*w = switchOver{requested: w.requested, started: true, startedAt: now}
	}
	if w.candidate == "" {
		return s.chooseSwitchCandidate(now, g, p)
	}
	c := g.member(w.candidate)
	if !c.reachable() {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	if !w.quiesceOrdered {
		return s.awaitCatchUp(now, g, p, c)
	}
	return s.quiescePrimary(now, g, p, c)
}

// chooseSwitchCandidate reads all positions and chooses the candidate.
func (s *System) chooseSwitchCandidate(now time.Duration, g *group, p *member) WaitReason {
	w := g.planned
	pending := false
	for _, id := range g.order {
		m := g.members[id]
		if !m.readSince(w.startedAt) {
			s.orderProbe(now, m)
			pending = true
		}
	}
	readTimeout := s.cfg.Lease.Heartbeat + s.cfg.ProbeTimeout
	if pending && now < w.startedAt+readTimeout || !p.readSince(w.startedAt) {
		return WaitSwitchReplica
	}
	c := g.mostAdvanced(func(m *member) bool {
		matchesRequest := w.requested == "" || m.inst.ID == w.requested
		return matchesRequest && m != p && !m.leaving() && m.reachable() && m.readSince(w.startedAt)
	})
	if c == nil {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	w.candidate = c.inst.ID
	w.catchUpMark = p.report.Mark
	return WaitCatchUp
}

// awaitCatchUp waits, while writes continue, until the candidate reaches the
// mark that the primary had when the candidate was chosen. A candidate that is
// slow to reach it is not used, because writes would be held back for as long.
func (s *System) awaitCatchUp(now time.Duration, g *group, p, c *member) WaitReason {
	w := g.planned
	if now >= w.startedAt+s.cfg.Lease.Heartbeat+s.cfg.ProbeTimeout+s.cfg.QuiesceTimeout {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	s.orderProbe(now, c)
	if c.report.Mark.Less(w.catchUpMark) {
		return WaitCatchUp
	}
	w.quiesceOrdered, w.quiesceOrderedAt = true, now
	s.orderPrimary(now, g, p, OrderQuiesce)
	return WaitQuiesce
}

// quiescePrimary holds back writes, waits until the candidate has caught up and
// proposes the next term.
func (s *System) quiescePrimary(now time.Duration, g *group, p, c *member) WaitReason {
	w := g.planned
	if now >= w.quiesceOrderedAt+s.cfg.Lease.Heartbeat+s.cfg.QuiesceTimeout {
		w.pause(now + s.cfg.SwitchRetry)
		return WaitSwitchReplica
	}
	s.orderPrimary(now, g, p, OrderQuiesce)
	s.orderProbe(now, c)
	if !p.report.Quiesced || !p.readSince(w.quiesceOrderedAt) {
		return WaitQuiesce
	}
	w.hasMark, w.mark = true, p.report.Mark
	if c.report.Mark.Less(w.mark) {
		return WaitCatchUp
	}
	s.proposeTerm(now, g, control.BeginTerm{Term: g.nextTerm(), Candidate: w.candidate})
	return WaitCommit
}

func (s *System) orderPrimary(now time.Duration, g *group, p *member, kind OrderKind) {
	s.sendOrder(now, p.owner, Order{
		Kind: kind, Group: g.name(), Instance: p.inst.ID, Address: p.inst.Address,
		Term: g.agreed.Term, Bound: s.cfg.QuiesceTimeout,
	})
}

func (w *switchOver) pause(until time.Duration) {
	w.paused, w.retryAt = true, until
	w.hasMark = false
}

// holdsQuiescedMark reports whether m holds all writes that the old primary
// held when it was quiesced, and the owner of the old primary acknowledged no
// write beyond that mark.
func (g *group) holdsQuiescedMark(m *member) bool {
	w := g.planned
	if w == nil || !w.hasMark || !g.ackedKnown || w.mark.Less(g.acked) {
		return false
	}
	return m.reachable() && m.inst.ID == w.candidate && !m.report.Mark.Less(w.mark)
}
