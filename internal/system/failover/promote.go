package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// promote decides on a group whose term has begun and whose candidate is not
// known to be promoted. Every step rests on the agreed state and on reports,
// so that a new leader continues where the old one stopped.
func (s *System) promote(now time.Duration, g *group) WaitReason {
	c := g.member(g.agreed.Candidate)
	fenced := s.ownerFenced(now, g)
	if begun, ok := s.promotedAt(g, c); ok {
		// With external terms the candidate may lead already while the owner of
		// the old primary may still read there.
		if s.cfg.ExternalTerms && !fenced {
			return WaitOwnerRelease
		}
		s.proposePrimary(now, g, begun)
		return WaitCommit
	}
	if !fenced && !s.logFenced(now, g) {
		return WaitOwnerRelease
	}
	s.readPositions(now, g)
	if !s.findFloor(now, g, c) {
		return WaitPositions
	}
	if !g.safe(c) || c.failedIn == g.agreed.Term {
		return s.replace(now, g, c)
	}
	if !g.promotion.sent && !g.plannedSafe(c) {
		if top := s.safest(now, g, nil); top != nil && better(top, c) {
			return s.replace(now, g, c)
		}
	}
	return s.orderPromotion(now, g, c)
}

// safest returns the most advanced safe instance other than c whose owner
// sends heartbeats, nil if there is none.
func (s *System) safest(now time.Duration, g *group, c *member) *member {
	return g.best(func(m *member) bool {
		return m != c && g.safe(m) && !s.leases.Late(now, m.owner)
	})
}

// promotedAt returns how the term of the log began if the candidate is
// already promoted in it.
func (s *System) promotedAt(g *group, c *member) (termBegin, bool) {
	if g.promotion.done && g.promotion.term == g.agreed.Term {
		return termBegin{start: g.promotion.start, logTerm: g.promotion.logTerm}, true
	}
	r := c.report
	if !c.reachable() || r.Role != table.RolePrimary {
		return termBegin{}, false
	}
	if s.cfg.ExternalTerms {
		return termBegin{start: r.Mark.Position, logTerm: r.Mark.Term}, r.Mark.Term > g.agreed.LogTerm
	}
	return termBegin{start: r.TermStart}, r.Mark.Term == g.agreed.Term
}

// termBegin is how the log of a promoted primary begins its term.
type termBegin struct {
	start table.Position
	// logTerm is the term that the platform gave it, zero without external
	// terms.
	logTerm table.Term
}

// ownerFenced reports whether the owner of the old primary can acknowledge no
// further write: it has seen the term, its lease ran out, or every lease that
// was granted before the term began has run out. A host applies the control
// state of an answer before it uses the lease that came with it.
func (s *System) ownerFenced(now time.Duration, g *group) bool {
	if g.fenced {
		return true
	}
	if g.termSeen != g.agreed.Term {
		g.termSeen, g.termSeenAt = g.agreed.Term, now
	}
	if g.agreed.Primary != "" && !s.primaryFenced(now, g, g.member(g.agreed.Primary)) {
		return false
	}
	g.fenced = true
	g.fencedAt = now
	return true
}

func (s *System) primaryFenced(now time.Duration, g *group, p *member) bool {
	released := p.reported && p.report.SeenTerm >= g.agreed.Term
	switch {
	case released:
		g.ackedKnown = p.report.AckedKnown
		g.acked = p.report.Acked
		return true
	case now >= g.termSeenAt+lease.GrantorTime(s.cfg.Lease.Duration):
		return true
	case p.owner == "":
		return false
	case s.leases.Expired(now, p.owner):
		return true
	}
	s.tell(now, p.owner, Order{
		Kind: OrderTerm, Group: g.name(), Instance: p.inst.ID, Address: p.inst.Address, Term: g.agreed.Term,
	})
	return false
}

// logFenced reports whether the old primary can have no further write
// acknowledged, because no replica receives any. It holds only where a write is
// acknowledged by an instance once a replica has it, and needs every replica.
func (s *System) logFenced(now time.Duration, g *group) bool {
	if !s.cfg.ExternalTerms || g.expected < 2 || g.agreed.Primary == "" {
		return false
	}
	if g.held {
		return true
	}
	term := g.heldTerm()
	all, replicas := true, 0
	for _, id := range g.order {
		m := g.members[id]
		if id == g.agreed.Primary {
			continue
		}
		replicas++
		if m.reachable() && m.readSince(g.termSeenAt) && m.report.Held >= term {
			continue
		}
		all = false
		if m.owner != "" && !s.leases.Late(now, m.owner) {
			s.tell(now, m.owner, Order{
				Kind: OrderHold, Group: g.name(), Instance: id, Address: m.inst.Address, Term: term,
			})
		}
	}
	if all && replicas > 0 {
		g.held, g.heldAt = true, now
	}
	return g.held
}

// heldTerm is a term above that of every log of the group.
func (g *group) heldTerm() table.Term {
	term := g.agreed.EffectiveLogTerm()
	for _, id := range g.order {
		if mark := g.members[id].mark(); g.plausible(mark) {
			term = max(term, mark.Term)
		}
	}
	return term + 1
}

// letReceive lets the replicas of a stable group receive again that were held.
// It reports whether one of them is held still.
func (s *System) letReceive(now time.Duration, g *group) bool {
	if !g.known || g.agreed.Phase != table.PhaseStable {
		return false
	}
	held := false
	for _, id := range g.order {
		m := g.members[id]
		if id == g.agreed.Primary || m.report.Held == 0 || !m.reachable() || s.leases.Late(now, m.owner) {
			continue
		}
		held = true
		s.tell(now, m.owner, Order{Kind: OrderReceive, Group: g.name(), Instance: id, Address: m.inst.Address})
	}
	return held
}

// quietAt is the moment after which positions count: no write is acknowledged
// that was not held by then.
func (g *group) quietAt() time.Duration {
	if g.held && (!g.fenced || g.heldAt < g.fencedAt) {
		return g.heldAt
	}
	return g.fencedAt
}

// readPositions asks for the positions that were not read after the fence.
func (s *System) readPositions(now time.Duration, g *group) {
	for _, id := range g.order {
		if m := g.members[id]; !m.readSince(g.quietAt()) {
			s.tellProbe(now, m)
		}
	}
}

// findFloor looks for a position at or above every acknowledged write. A write
// is acknowledged once the primary and one replica hold it, so any size-1
// instances read after the fence include one that holds it: the floor is the
// highest position of the size-1 least advanced ones. Fewer reads are enough
// where the released owner stated its highest acknowledged position. Further
// reads can only lower the floor.
func (s *System) findFloor(now time.Duration, g *group, c *member) bool {
	if g.plannedSafe(c) {
		g.setFloor(g.planned.mark)
		return true
	}
	var marks []table.Mark
	open := false
	for _, id := range g.order {
		m := g.members[id]
		switch {
		case m.readSince(g.quietAt()):
			marks = append(marks, m.readMark)
		case m.reachable() && !s.leases.Late(now, m.owner):
			open = true
		}
	}
	late := now >= g.quietAt()+s.cfg.ReadBound
	need := max(1, g.size()-1)
	switch {
	case open && !late && !g.floorKnown:
	case len(marks) >= need:
		slices.SortFunc(marks, compareMarks)
		g.setFloor(marks[need-1])
	case g.ackedKnown && late:
		g.setFloor(g.acked)
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

// safe reports whether the instance holds every acknowledged write.
func (g *group) safe(m *member) bool {
	if !m.reachable() || m.report.Mark.Less(g.floor) {
		return false
	}
	return m.readSince(g.quietAt()) || g.plannedSafe(m)
}

// orderPromotion has the candidate promoted and gives it up when that takes
// too long.
func (s *System) orderPromotion(now time.Duration, g *group, c *member) WaitReason {
	if c.inst.Address == "" {
		return WaitPositions
	}
	pr := &g.promotion
	if pr.term != g.agreed.Term {
		*pr = promotion{term: g.agreed.Term, firstAt: now}
	}
	if now >= pr.firstAt+s.cfg.PromoteBound {
		c.failedIn = g.agreed.Term
		return s.replace(now, g, c)
	}
	if pr.sent && now < pr.lastAt+s.cfg.PromoteRetry {
		return WaitPromotion
	}
	pr.sent, pr.lastAt = true, now
	s.act(Promote{
		Group: g.name(), Instance: c.inst.ID, Address: c.inst.Address, Term: g.agreed.Term, Owner: c.owner,
		Leadership: s.leadership,
	})
	return WaitPromotion
}

// replace agrees on a further term with another candidate, because c is out of
// reach, lacks acknowledged writes or could not be promoted.
func (s *System) replace(now time.Duration, g *group, c *member) WaitReason {
	open := !c.reported || c.reachable() && !c.readSince(g.quietAt())
	if open && c.failedIn != g.agreed.Term && now < g.quietAt()+s.cfg.ReadBound {
		return WaitPositions
	}
	if g.agreed.Primary == "" && !c.reachable() && !s.silent(now, c) {
		// The group is new and its primary, which announces itself, has data
		// of before: it is waited for.
		return WaitPositions
	}
	other := s.safest(now, g, c)
	if other == nil && g.safe(c) {
		return s.retry(now, g, c)
	}
	if other == nil {
		g.lowerFloor()
		return WaitSafeReplica
	}
	s.proposeTerm(now, g, g.nextTerm(), other.inst.ID)
	return WaitCommit
}

// retry goes on with the only safe candidate: in a further term if it knows a
// higher one, or else in the same.
func (s *System) retry(now time.Duration, g *group, c *member) WaitReason {
	if g.minTerm > g.agreed.Term {
		s.proposeTerm(now, g, g.nextTerm(), c.inst.ID)
		return WaitCommit
	}
	c.failedIn = 0
	g.promotion = promotion{}
	return WaitPromotion
}

// lowerFloor accepts what the released owner stated where no instance within
// reach holds the most advanced position that was read.
func (g *group) lowerFloor() {
	if g.ackedKnown {
		g.setFloor(g.acked)
	}
}

// fenceOld fences instances that still serve as primary of an older term, and
// reports whether one of them has not answered.
func (s *System) fenceOld(now time.Duration, g *group) bool {
	pending := false
	for _, id := range g.order {
		m := g.members[id]
		if !s.needsFence(now, g, m) {
			continue
		}
		pending = true
		if m.fenceSent && now < m.fenceAt+s.cfg.FenceRetry {
			continue
		}
		m.fenceSent, m.fenceAt = true, now
		s.act(Fence{
			Group: g.name(), Instance: id, Address: m.inst.Address,
			Term: g.agreed.EffectiveLogTerm(), Epoch: m.epoch, Owner: m.owner,
		})
	}
	return pending
}

func (s *System) needsFence(now time.Duration, g *group, m *member) bool {
	id := m.inst.ID
	current := id == g.agreed.Candidate || g.agreed.Phase == table.PhaseStable && id == g.agreed.Primary
	if !g.known || current || m.inst.Address == "" || m.role() != table.RolePrimary || m.mark().Term >= g.agreed.EffectiveLogTerm() {
		return false
	}
	if s.cfg.ExternalTerms && g.agreed.Phase != table.PhaseStable {
		return false // the candidate may have begun a term that is not agreed yet
	}
	alive := m.reachable() || m.announced && now < m.inst.SeenAt+s.cfg.AnnounceSilence
	return alive && m.fencedTerm < g.agreed.EffectiveLogTerm()
}
