package failover

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// bootstrap chooses the first primary of a group that has no committed state. Once
// a majority of the expected instances has announced itself, it adopts the
// primary of the highest term, unless several instances claim to be primary in
// that term. If all instances of the group have announced themselves and none
// is primary, it chooses the most advanced one.
func (s *System) bootstrap(now time.Duration, g *group) WaitReason {
	if g.expected == 0 {
		return WaitNothing
	}
	announced, primaries := 0, 0
	var highestTerm table.Term
	var primary *member
	for _, id := range g.order {
		m := g.members[id]
		if !m.announced || !g.plausible(m.inst.Mark) || now >= m.inst.SeenAt+2*s.cfg.AnnounceTimeout {
			continue
		}
		announced++
		term := m.inst.Mark.Term
		if term > highestTerm {
			highestTerm, primary, primaries = term, nil, 0
		}
		if term == highestTerm && m.inst.Role == table.RolePrimary {
			primary = m
			primaries++
		}
	}
	switch {
	case announced <= g.size()/2 || primaries > 1:
		return WaitBootstrap
	case primaries == 1:
		s.proposeTerm(now, g, control.BeginTerm{Term: max(1, highestTerm), Candidate: primary.inst.ID})
		return WaitCommit
	case announced < g.size():
		return WaitBootstrap
	}
	if s.cfg.ExternalTerms {
		return WaitBootstrap // announcements carry no comparable positions
	}
	best := g.mostAdvanced(func(m *member) bool { return !m.inst.Leaving })
	if best == nil {
		return WaitBootstrap
	}
	s.proposeTerm(now, g, control.BeginTerm{Term: highestTerm + 1, Candidate: best.inst.ID})
	return WaitCommit
}
