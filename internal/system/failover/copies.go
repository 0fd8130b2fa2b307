package failover

import (
	"fmt"
	"strings"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// missingDelay is how long a change of primary must have waited before the instances
// that it waits for are named.
const missingDelay = time.Second

// announceDelay is the longest time from when an instance sends an announcement
// until it reaches the leader.
const announceDelay = 700 * time.Millisecond

// answers reports whether what was read at the instance counts as its answer in a
// change of primary: it is known to be of the start that the control hosts know, and
// that start holds what the instance held before.
func (s *System) answers(m *member) bool {
	return !m.inst.Emptied && s.isOfKnownStart(m)
}

// isOfKnownStart reports whether the latest read was of the start that announced
// itself last. An instance that started again since the connection of the read was
// opened closed it, and one that started before has announced that by now.
func (s *System) isOfKnownStart(m *member) bool {
	if !s.cfg.ExternalTerms || m.inst.Born == 0 || !m.knowsConnection {
		return true // the instance does not number its starts
	}
	return m.inst.SeenAt > s.leaderSince && m.inst.SeenAt >= m.connectedAt+announceDelay
}

// readLeader returns the primary of the latest log term that was read after the
// fence, nil if there is none. Every acknowledged write is in its log: it was in the
// log of the instance that was promoted, and that instance wrote the later ones. A
// term above the committed one is that of a promotion whose result was lost.
func (s *System) readLeader(g *group) *member {
	if !s.cfg.ExternalTerms {
		return nil
	}
	var leader *member
	term := g.agreed.EffectiveLogTerm()
	for _, id := range g.order {
		m := g.members[id]
		isPrimary := m.reachable() && m.report.Role == table.RolePrimary && m.readSince(g.fenceTime())
		if !isPrimary || m.report.Mark.Term != m.readMark.Term || m.readMark.Term < term || !g.plausible(m.readMark) {
			continue
		}
		leader, term = m, m.readMark.Term
	}
	return leader
}

// entryMark returns the mark of the last entry of a log up to m. An instance without
// an entry of the term that it follows reports that term all the same. A term above
// the committed log term is that of a promotion whose result was lost: nothing was
// acknowledged in it, and it began at or after all that was, so the position alone
// tells which acknowledged writes such a log holds.
func (g *group) entryMark(m table.Mark) table.Mark {
	if g.hasAgreed {
		m.Term = min(m.Term, g.agreed.EffectiveLogTerm())
	}
	return g.agreed.History.EntryMark(m)
}

// refilling reports whether an instance of the group is marked as emptied.
func (g *group) refilling() bool {
	for _, m := range g.members {
		if m.inst.Emptied && m.reachable() {
			return true
		}
	}
	return false
}

// checkRefills checks whether instances that are marked as emptied hold what the
// primary held after their start. Every write that was acknowledged before is then
// held by the instance, and every later one by the primary and an instance that
// confirmed it since.
func (s *System) checkRefills(now time.Duration, g *group, p *member) {
	for _, id := range g.order {
		if m := g.members[id]; m.inst.Emptied && m.reachable() && s.isRefilled(now, g, p, m) {
			m.inst.Emptied, m.refill = false, nil
			s.emit(InstanceRefilled{Instance: id, Born: m.inst.Born})
		}
	}
}

func (s *System) isRefilled(now time.Duration, g *group, p, m *member) bool {
	if m == p {
		return p.readMark.Term == g.agreed.EffectiveLogTerm() && s.isOfKnownStart(p)
	}
	if m.refill == nil {
		m.refill = &removalCheck{id: m.inst.ID, startedAt: now}
	}
	check := m.refill
	if !check.hasMark {
		if !p.readSince(check.startedAt) {
			s.orderProbe(now, p)
			return false
		}
		check.hasMark, check.mark = true, g.entryMark(p.readMark)
	}
	s.orderProbe(now, m)
	return m.readSince(check.startedAt) && !g.entryMark(m.readMark).Less(check.mark) && s.isOfKnownStart(m)
}

// missing names the instances whose answers a change of primary lacks, or the one whose
// promotion is open.
func (s *System) missing(now time.Duration, g *group, reason WaitReason) string {
	if reason == WaitPromotionLapse {
		return g.missingPromotion()
	}
	lacksAnswers := reason == WaitPositions || reason == WaitSafeReplica
	if !lacksAnswers || g.agreed.Phase != table.PhasePromoting || now < g.waitSince+missingDelay {
		return ""
	}
	var lines []string
	for _, id := range g.order {
		if why := s.whyMissing(g, g.members[id]); why != "" {
			lines = append(lines, fmt.Sprintf("%s %s", id, why))
		}
	}
	return strings.Join(lines, ", ")
}

// whyMissing returns why an instance does not count as an answer, and nothing if it
// does.
func (s *System) whyMissing(g *group, m *member) string {
	switch {
	case m.left:
		return "has left"
	case !m.reachable() || !m.readSince(g.fenceTime()):
		return "is not reachable"
	case m.inst.Emptied:
		return "started again and may lack what it held"
	case !s.isOfKnownStart(m):
		return "has not announced itself since it was reached"
	default:
		return ""
	}
}
