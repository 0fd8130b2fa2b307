package failover

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// bootstrap decides on a group that is not agreed yet. It adopts the primary
// of the highest term once a majority of the expected instances announced
// themselves and none contradicts. Where the whole group announced itself and
// no instance is primary, the most advanced one becomes it.
func (s *System) bootstrap(now time.Duration, g *group) WaitReason {
	if g.expected == 0 {
		return WaitNothing
	}
	seen, primaries := 0, 0
	var top table.Term
	var primary *member
	for _, id := range g.order {
		m := g.members[id]
		if !m.announced || !g.plausible(m.inst.Mark) || now >= m.inst.SeenAt+2*s.cfg.AnnounceTimeout {
			continue
		}
		seen++
		term := m.inst.Mark.Term
		if term > top {
			top, primary, primaries = term, nil, 0
		}
		if term == top && m.inst.Role == table.RolePrimary {
			primary = m
			primaries++
		}
	}
	switch {
	case seen <= g.size()/2 || primaries > 1:
		return WaitBootstrap
	case primaries == 1:
		s.proposeTerm(now, g, max(1, top), primary.inst.ID)
		return WaitCommit
	case seen < g.size():
		return WaitBootstrap
	}
	if s.cfg.ExternalTerms {
		return WaitBootstrap // announcements name no positions to choose by
	}
	best := g.best(func(m *member) bool { return !m.inst.Leaving })
	if best == nil {
		return WaitBootstrap
	}
	s.proposeTerm(now, g, top+1, best.inst.ID)
	return WaitCommit
}
