package failover

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
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
		if safest := s.safestMember(now, g); safest != nil && g.isMoreAdvanced(safest, c) {
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

// ownerFenced reports whether the owner of the old primary can acknowledge no
// further write. This is the case if the owner has seen the term, if its lease
// expired, or if every lease that was granted before the term began has
// expired. It relies on hosts applying the control state of a heartbeat answer
// before they use the lease that came with it.
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
	released := p.hasReport && p.report.SeenTerm >= g.agreed.Term
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
	s.sendOrder(now, p.owner, Order{
		Kind: OrderTerm, Group: g.name(), Instance: p.inst.ID, Address: p.inst.Address, Term: g.agreed.Term,
	})
	return false
}

// logFenced reports whether the old primary can acknowledge no further write
// because every replica reports that it is held and so receives nothing from the
// old primary. This is sufficient only on platforms whose primary itself waits
// for a replica before it acknowledges a write.
func (s *System) logFenced(now time.Duration, g *group) bool {
	if !s.cfg.ExternalTerms || g.expected < 2 || g.agreed.Primary == "" {
		return false
	}
	if g.held {
		return true
	}
	term := g.heldTerm()
	allHeld, replicas := true, 0
	for _, id := range g.order {
		m := g.members[id]
		if id == g.agreed.Primary {
			continue
		}
		replicas++
		if m.reachable() && m.readSince(g.termSeenAt) && m.report.Held >= term {
			continue
		}
		allHeld = false
		if m.owner != "" && !s.leases.Late(now, m.owner) {
			s.sendOrder(now, m.owner, Order{
				Kind: OrderHold, Group: g.name(), Instance: id, Address: m.inst.Address, Term: term,
			})
		}
	}
	if allHeld && replicas > 0 {
		g.held, g.heldAt = true, now
	}
	return g.held
}

// heldTerm returns a term above those of all logs of the group.
func (g *group) heldTerm() table.Term {
	term := g.agreed.EffectiveLogTerm()
	for _, id := range g.order {
		if mark := g.members[id].mark(); g.plausible(mark) {
			term = max(term, mark.Term)
		}
	}
	return term + 1
}

// orderReceive orders the held replicas of a stable group to receive again. It
// reports whether a reachable replica is still held.
func (s *System) orderReceive(now time.Duration, g *group) bool {
	if !g.hasAgreed || g.agreed.Phase != table.PhaseStable {
		return false
	}
	anyHeld := false
	for _, id := range g.order {
		m := g.members[id]
		if id == g.agreed.Primary || m.report.Held == 0 || !m.reachable() || s.leases.Late(now, m.owner) {
			continue
		}
		anyHeld = true
		s.sendOrder(now, m.owner, Order{Kind: OrderReceive, Group: g.name(), Instance: id, Address: m.inst.Address})
	}
	return anyHeld
}

// fenceTime returns the time from which read positions are valid: every write
// that the old primary acknowledges, even later, had reached a replica by then.
func (g *group) fenceTime() time.Duration {
	if g.held && (!g.fenced || g.heldAt < g.fencedAt) {
		return g.heldAt
	}
	return g.fencedAt
}

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
	s.proposeTerm(now, g, g.nextTerm(), replacement.inst.ID, s.cfg.ExternalTerms && g.leavesLogTermInDoubt())
	return WaitCommit
}

// retryCandidate promotes the only safe candidate again: in a further term if
// the candidate knows a higher term, otherwise in the same term.
func (s *System) retryCandidate(now time.Duration, g *group, c *member) WaitReason {
	if g.minTerm > g.agreed.Term {
		s.proposeTerm(now, g, g.nextTerm(), c.inst.ID, false)
		return WaitCommit
	}
	c.failedTerm = 0
	g.promotion = promotion{}
	return WaitPromotion
}

// lowerFloor lowers the floor to the acknowledged position that the owner of
// the old primary reported. It is used when no reachable instance holds the
// most advanced position that was read.
func (g *group) lowerFloor() {
	if g.ackedKnown {
		g.setFloor(g.entryMark(g.acked))
	}
}

// fenceStalePrimaries fences instances that still serve as primary of an older
// term, and reports whether one of them has not answered yet.
func (s *System) fenceStalePrimaries(now time.Duration, g *group) bool {
	pending := false
	for _, id := range g.order {
		m := g.members[id]
		if !s.needsFence(now, g, m) {
			continue
		}
		pending = true
		if m.fenceSent && now < m.fenceSentAt+s.cfg.FenceRetry {
			continue
		}
		m.fenceSent, m.fenceSentAt = true, now
		s.emit(Fence{
			Group: g.name(), Instance: id, Address: m.inst.Address,
			Term: g.agreed.EffectiveLogTerm(), Epoch: m.epoch, Owner: m.owner,
		})
	}
	return pending
}

func (s *System) needsFence(now time.Duration, g *group, m *member) bool {
	id := m.inst.ID
	isCurrent := id == g.agreed.Candidate || g.agreed.Phase == table.PhaseStable && id == g.agreed.Primary
	if !g.hasAgreed || isCurrent || m.inst.Address == "" || m.role() != table.RolePrimary || m.mark().Term >= g.agreed.EffectiveLogTerm() {
		return false
	}
	if s.cfg.ExternalTerms && g.agreed.Phase != table.PhaseStable {
		return false // the log term of the candidate may not be committed yet
	}
	alive := m.reachable() || m.announced && now < m.inst.SeenAt+s.cfg.AnnounceTimeout
	return alive && m.fencedTerm < g.agreed.EffectiveLogTerm()
}
