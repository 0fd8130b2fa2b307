package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// witnessMaxAge is how long the report of a witness is valid.
	witnessMaxAge = time.Second
	// minWitnesses is how many witnesses are asked if enough hosts are
	// available. If too few hosts own other instances of the group, hosts that
	// own none are asked as well.
	minWitnesses = 2
)

// watchPrimary checks the primary of a stable group.
func (s *System) watchPrimary(now time.Duration, g *group) WaitReason {
	p := g.member(g.agreed.Primary)
	if !g.stable {
		g.stable, g.stableAt = true, now
	}
	ownerLate := p.owner == "" || s.leases.Late(now, p.owner)
	if ownerLate {
		return s.suspect(now, g, p, ownerLate)
	}
	if !p.hasReport || !p.readSince(g.stableAt) && p.report.Reachable {
		g.clearSuspicion()
		s.orderProbe(now, p)
		return WaitReport
	}
	if !p.report.Reachable {
		return s.suspect(now, g, p, ownerLate)
	}
	g.clearSuspicion()
	if p.report.Role != table.RolePrimary {
		// The owner reaches the instance, but it no longer serves as primary.
		return s.proposeNextTerm(now, g, p)
	}
	s.checkRefills(now, g, p)
	s.removeDeparted(now, g, p)
	return s.stepSwitchOver(now, g, p)
}

// suspect collects evidence on a primary that its owner cannot reach or whose
// owner is late, and decides once there is enough.
func (s *System) suspect(now time.Duration, g *group, p *member, ownerLate bool) WaitReason {
	if !g.suspected {
		g.suspected, g.suspectedAt = true, now
	}
	g.planned = nil
	askedHosts := s.witnessHosts(now, g, p)
	s.orderChecks(now, g, p, askedHosts)
	for _, id := range g.order {
		if m := g.members[id]; !m.readSince(g.suspectedAt) {
			s.orderProbe(now, m) // also makes the owner of the primary send fast heartbeats
		}
	}
	summary := g.summarizeWitnesses(now, p, askedHosts)
	switch {
	case summary.reachedBy != "" && ownerLate:
		return WaitOwnerLease
	case summary.reachedBy != "":
		return s.moveOwner(now, g, p, summary.reachedBy)
	case summary.unreached > 0 && (summary.pending == 0 || now >= g.suspectedAt+s.cfg.CheckTimeout):
		return s.proposeNextTerm(now, g, p)
	case summary.unreached == 0 && s.isSilent(now, p):
		return s.proposeNextTerm(now, g, p)
	default:
		return WaitEvidence
	}
}

// witnessSummary summarizes the reports of the witnesses.
type witnessSummary struct {
	reachedBy table.HostID // a witness that reached the primary, empty if none did
	unreached int          // number of witnesses that could not reach the primary
	pending   int          // number of witnesses that were asked and have not answered
}

func (g *group) summarizeWitnesses(now time.Duration, p *member, askedHosts []table.HostID) witnessSummary {
	var summary witnessSummary
	for _, host := range slices.Sorted(maps.Keys(g.witnesses)) {
		w := g.witnesses[host]
		if host == p.owner || !w.isCurrent(now, g.suspectedAt) {
			continue
		}
		if !w.reachable {
			summary.unreached++
		} else if summary.reachedBy == "" {
			summary.reachedBy = host
		}
	}
	for _, host := range askedHosts {
		w, ok := g.witnesses[host]
		if !ok || !w.isCurrent(now, g.suspectedAt) {
			summary.pending++
		}
	}
	return summary
}

// isCurrent reports whether the result may be used for a suspicion raised at
// since.
func (w witness) isCurrent(now, since time.Duration) bool {
	return w.at >= since && now <= w.at+witnessMaxAge
}

// witnessHosts returns the hosts to ask: the owners of the other instances of
// the group and, if these are fewer than minWitnesses, any other hosts that are
// not late.
func (s *System) witnessHosts(now time.Duration, g *group, p *member) []table.HostID {
	var hosts []table.HostID
	if p.inst.Address == "" {
		return hosts
	}
	add := func(host table.HostID) {
		if host == "" || host == p.owner || slices.Contains(hosts, host) || s.leases.Late(now, host) {
			return
		}
		hosts = append(hosts, host)
	}
	for _, id := range g.order {
		add(g.members[id].owner)
	}
	for _, host := range s.hosts {
		if len(hosts) >= minWitnesses {
			break
		}
		add(host)
	}
	return hosts
}

func (s *System) orderChecks(now time.Duration, g *group, p *member, hosts []table.HostID) {
	for _, host := range hosts {
		w, ok := g.witnesses[host]
		if ok && w.isCurrent(now, g.suspectedAt) && now < w.at+witnessMaxAge/2 {
			continue
		}
		s.sendOrder(now, host, Order{
			Kind: OrderCheck, Group: g.name(), Instance: p.inst.ID, Address: p.inst.Address,
		})
	}
}

// isSilent reports whether the primary has stopped announcing itself.
func (s *System) isSilent(now time.Duration, p *member) bool {
	since := s.leaderSince
	if p.announced {
		since = max(since, p.inst.SeenAt)
	}
	return now >= since+s.cfg.AnnounceTimeout
}

// moveOwner requests that the host to becomes the owner of the primary, which
// it can reach.
func (s *System) moveOwner(now time.Duration, g *group, p *member, to table.HostID) WaitReason {
	if now < p.unreachableSince+s.cfg.MoveAfter {
		return WaitEvidence
	}
	if !g.moveRequested || now >= g.moveRequestedAt+s.cfg.ProposeRetry {
		g.moveRequested, g.moveRequestedAt = true, now
		s.emit(MoveOwner{Instance: p.inst.ID, From: p.owner, To: to})
	}
	return WaitOwnerMove
}

// proposeNextTerm proposes the next term with the most advanced reachable
// replica as its candidate.
func (s *System) proposeNextTerm(now time.Duration, g *group, p *member) WaitReason {
	c := g.mostAdvanced(func(m *member) bool {
		return m != p && m.reachable() && !s.leases.Late(now, m.owner) && g.plausible(m.mark()) && !g.holdsLostWrites(m)
	})
	if c == nil || c.leaving() && s.awaitStayingReplica(now, g, p) {
		return WaitSafeReplica
	}
	if s.promotionOpen(now, g) {
		return WaitPromotionLapse
	}
	s.proposeTerm(now, g, control.BeginTerm{Term: g.nextTerm(), Candidate: c.inst.ID})
	return WaitCommit
}

// stayingReplicaGrace is how long a replica must have been unreachable before a
// replica that is leaving becomes primary in its place. A leaving one serves only
// for seconds, while a single probe may have been lost.
const stayingReplicaGrace = 500 * time.Millisecond

// awaitStayingReplica orders probes of the replicas that are not leaving and have
// been unreachable for less than stayingReplicaGrace. It reports whether there are
// any.
func (s *System) awaitStayingReplica(now time.Duration, g *group, p *member) bool {
	found := false
	for _, id := range g.order {
		m := g.members[id]
		if m == p || m.leaving() || !m.hasReport || m.reachable() || s.leases.Late(now, m.owner) {
			continue
		}
		if now < m.unreachableSince+stayingReplicaGrace {
			found = true
			s.orderProbe(now, m)
		}
	}
	return found
}

// orderProbe asks the owner of m for a new report.
func (s *System) orderProbe(now time.Duration, m *member) {
	if m.owner == "" || s.leases.Late(now, m.owner) {
		return
	}
	s.sendOrder(now, m.owner, Order{
		Kind: OrderProbe, Group: m.inst.Group, Instance: m.inst.ID, Address: m.inst.Address,
	})
}
