package failover

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

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
