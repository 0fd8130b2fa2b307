package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// stepPromotion advances a group whose term has begun but whose candidate is
// not known to be promoted. Each decision depends only on the committed state and
// on reports, so that a new leader can continue where the previous one stopped.
func (s *System) stepPromotion(now time.Duration, g *group) WaitReason {
	c := g.member(g.agreed.Candidate)
	fenced := s.ownerFenced(now, g)
	if begin, ok := s.candidateTermBegin(g, c); ok && s.leadsLatestTerm(now, g, c, begin.logTerm) {
		// With external terms the candidate may already be primary while the
		// owner of the old primary may still serve reads from it.
		if s.cfg.ExternalTerms && !fenced {
			return WaitOwnerRelease
		}
		s.proposePrimary(now, g, begin)
		return WaitCommit
	}
	if !fenced && !s.logFenced(now, g) {
		return WaitOwnerRelease
	}
	s.readPositions(now, g)
	if !s.findFloor(now, g, c) {
		return WaitPositions
	}
	if !g.isSafe(c) || c.failedTerm == g.agreed.Term {
		return s.replaceCandidate(now, g, c)
	}
	if !g.promotion.ordered && !g.holdsQuiescedMark(c) {
		if r := s.replacement(now, g, c); r != nil && g.isMoreAdvanced(r, c) {
			return s.replaceCandidate(now, g, c)
		}
	}
	return s.orderPromotion(now, g, c)
}

// safestMember returns the most advanced safe instance whose owner sends heartbeats,
// nil if there is none. The excluded ones do not count.
func (s *System) safestMember(now time.Duration, g *group, excluded ...*member) *member {
	return g.mostAdvanced(func(m *member) bool {
		return !slices.Contains(excluded, m) && g.isSafe(m) && !s.leases.Late(now, m.owner)
	})
}

// replacement returns the instance to promote in place of c, nil if there is none.
// Once the log term is in doubt, the old primary comes last: an order to promote it
// shows only after PromotionLapse whether it still is the primary.
func (s *System) replacement(now time.Duration, g *group, c *member) *member {
	if s.cfg.ExternalTerms && g.leavesLogTermInDoubt() {
		if m := s.safestMember(now, g, c, g.returnedPrimary()); m != nil {
			return m
		}
	}
	return s.safestMember(now, g, c)
}

// returnedPrimary returns the reachable primary of the committed log term, nil if there
// is none.
func (g *group) returnedPrimary() *member {
	for _, m := range g.members {
		if m.reachable() && m.report.Role == table.RolePrimary && m.report.Mark.Term == g.agreed.EffectiveLogTerm() {
			return m
		}
	}
	return nil
}

// candidateTermBegin returns how the log of the candidate begins the term, and
// whether the candidate is already promoted.
func (s *System) candidateTermBegin(g *group, c *member) (termBegin, bool) {
	if g.promotion.done && g.promotion.term == g.agreed.Term {
		return termBegin{start: g.promotion.termStart, logTerm: g.promotion.logTerm}, true
	}
	r := c.report
	if !c.reachable() || r.Role != table.RolePrimary {
		return termBegin{}, false
	}
	if s.cfg.ExternalTerms {
		mayServe := r.Mark.Term > g.agreed.LogTerm || g.agreed.LogTermInDoubt && r.Mark.Term == g.agreed.LogTerm
		return termBegin{start: r.Mark.Position, logTerm: r.Mark.Term}, mayServe
	}
	return termBegin{start: r.TermStart}, r.Mark.Term == g.agreed.Term
}

// termBegin describes where the log of a promoted primary begins its term.
type termBegin struct {
	start table.Position
	// logTerm is the term that the platform assigned to the log, zero without
	// external terms.
	logTerm table.Term
}

// orderPromotion orders the promotion of the candidate and replaces the
// candidate after PromoteTimeout.
func (s *System) orderPromotion(now time.Duration, g *group, c *member) WaitReason {
	if c.inst.Address == "" {
		return WaitPositions
	}
	pr := &g.promotion
	if pr.term != g.agreed.Term {
		*pr = promotion{term: g.agreed.Term, firstOrderedAt: now}
	}
	if now >= pr.firstOrderedAt+s.cfg.PromoteTimeout {
		c.failedTerm = g.agreed.Term
		return s.replaceCandidate(now, g, c)
	}
	if pr.ordered && now < pr.lastOrderedAt+s.cfg.PromoteRetry {
		return WaitPromotion
	}
	if reason := s.awaitOrder(now, g, c); reason != WaitNothing {
		return reason
	}
	if !pr.ordered {
		pr.ordered, pr.termAtCall = true, max(c.report.LogTerm, c.report.Mark.Term)
	}
	pr.lastOrderedAt = now
	g.lastOrder.add(now, c.inst.ID)
	s.emit(Promote{
		Group: g.name(), Instance: c.inst.ID, Address: c.inst.Address, Term: g.agreed.Term, Owner: c.owner,
		Leadership: s.leadership, MinLogTerm: s.minLogTerm(g), OrderedAt: now,
	})
	return WaitPromotion
}

// replaceCandidate proposes a further term with another candidate, because c is
// unreachable, lacks acknowledged writes or could not be promoted.
func (s *System) replaceCandidate(now time.Duration, g *group, c *member) WaitReason {
	pending := !c.hasReport || c.reachable() && !c.readSince(g.fenceTime())
	if pending && c.failedTerm != g.agreed.Term && now < g.fenceTime()+s.cfg.ReadTimeout {
		return WaitPositions
	}
	if g.agreed.Primary == "" && !c.reachable() && !s.isSilent(now, c) {
		// The group is new, and the candidate is its first primary, which may
		// already hold data. While the candidate announces itself, wait until it
		// is reachable.
		return WaitPositions
	}
	replacement := s.replacement(now, g, c)
	if replacement == nil && g.isSafe(c) {
		return s.retryCandidate(now, g, c)
	}
	if replacement == nil {
		g.lowerFloor()
		return WaitSafeReplica
	}
	if s.promotionOpen(now, g) {
		return WaitPromotionLapse
	}
	s.proposeTerm(now, g, control.BeginTerm{
		Term: g.nextTerm(), Candidate: replacement.inst.ID, LogTermInDoubt: s.cfg.ExternalTerms && g.leavesLogTermInDoubt(),
	})
	return WaitCommit
}

// retryCandidate promotes the only safe candidate again: in a further term if
// the candidate knows a higher term, otherwise in the same term.
func (s *System) retryCandidate(now time.Duration, g *group, c *member) WaitReason {
	if g.minTerm > g.agreed.Term {
		s.proposeTerm(now, g, control.BeginTerm{Term: g.nextTerm(), Candidate: c.inst.ID})
		return WaitCommit
	}
	c.failedTerm = 0
	g.promotion = promotion{}
	return WaitPromotion
}
