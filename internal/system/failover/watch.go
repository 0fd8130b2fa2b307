package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// witnessAge is how long the finding of a witness counts.
	witnessAge = time.Second
	// extraWitnesses is how many hosts that own nothing of a group are asked
	// where no owner of another instance of the group can be.
	extraWitnesses = 2
)

// watch decides on a group whose primary is promoted.
func (s *System) watch(now time.Duration, g *group) WaitReason {
	p := g.member(g.agreed.Primary)
	if !g.stable {
		g.stable, g.stableAt = true, now
	}
	absent := p.owner == "" || s.leases.Late(now, p.owner)
	if absent {
		return s.suspect(now, g, p, absent)
	}
	if !p.reported || !p.readSince(g.stableAt) && p.report.Reachable {
		g.clearSuspicion()
		s.tellProbe(now, p)
		return WaitReport
	}
	if !p.report.Reachable {
		return s.suspect(now, g, p, absent)
	}
	g.clearSuspicion()
	if p.report.Role != table.RolePrimary {
		// The owner reaches the instance and it no longer serves as primary.
		return s.begin(now, g, p)
	}
	s.dismiss(now, g, p)
	return s.plan(now, g, p)
}

// suspect gathers evidence on a primary that its owner cannot reach, or whose
// owner is absent, and decides once there is enough.
func (s *System) suspect(now time.Duration, g *group, p *member, absent bool) WaitReason {
	if !g.suspected {
		g.suspected, g.suspectedAt = true, now
	}
	g.planned = nil
	asked := s.witnessHosts(now, g, p)
	s.askWitnesses(now, g, p, asked)
	for _, id := range g.order {
		if m := g.members[id]; !m.readSince(g.suspectedAt) {
			s.tellProbe(now, m) // the owner of the primary hurries as well
		}
	}
	v := g.verdict(now, p, asked)
	switch {
	case v.reachedBy != "" && absent:
		return WaitOwnerLease
	case v.reachedBy != "":
		return s.move(now, g, p, v.reachedBy)
	case v.misses > 0 && (v.open == 0 || now >= g.suspectedAt+s.cfg.CheckTimeout):
		return s.begin(now, g, p)
	case v.misses == 0 && s.silent(now, p):
		return s.begin(now, g, p)
	default:
		return WaitEvidence
	}
}

// verdict sums up what the witnesses found.
type verdict struct {
	reachedBy table.HostID // one that reached the primary, empty if none did
	misses    int          // how many could not reach it
	open      int          // how many were asked and have not answered
}

func (g *group) verdict(now time.Duration, p *member, asked []table.HostID) verdict {
	var v verdict
	for _, host := range slices.Sorted(maps.Keys(g.witnesses)) {
		w := g.witnesses[host]
		if host == p.owner || !w.counts(now, g.suspectedAt) {
			continue
		}
		if !w.reachable {
			v.misses++
		} else if v.reachedBy == "" {
			v.reachedBy = host
		}
	}
	for _, host := range asked {
		w, ok := g.witnesses[host]
		if !ok || !w.counts(now, g.suspectedAt) {
			v.open++
		}
	}
	return v
}

// counts reports whether the finding is of use for a suspicion raised at since.
func (w witness) counts(now, since time.Duration) bool {
	return w.at >= since && now <= w.at+witnessAge
}

// witnessHosts returns the hosts to ask: the owners of the other instances of
// the group, or else any hosts that are not late.
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
		if len(hosts) >= extraWitnesses {
			break
		}
		add(host)
	}
	return hosts
}

func (s *System) askWitnesses(now time.Duration, g *group, p *member, hosts []table.HostID) {
	for _, host := range hosts {
		w, ok := g.witnesses[host]
		if ok && w.counts(now, g.suspectedAt) && now < w.at+witnessAge/2 {
			continue
		}
		s.tell(now, host, Order{
			Kind: OrderCheck, Group: g.name(), Instance: p.inst.ID, Address: p.inst.Address,
		})
	}
}

// silent reports whether the primary has stopped announcing itself.
func (s *System) silent(now time.Duration, p *member) bool {
	since := s.ledSince
	if p.announced {
		since = max(since, p.inst.SeenAt)
	}
	return now >= since+s.cfg.AnnounceTimeout
}

// move asks for an owner that reaches the primary.
func (s *System) move(now time.Duration, g *group, p *member, to table.HostID) WaitReason {
	if now < p.downSince+s.cfg.MoveAfter {
		return WaitEvidence
	}
	if !g.moveAsked || now >= g.moveAt+s.cfg.ProposeRetry {
		g.moveAsked, g.moveAt = true, now
		s.act(MoveOwner{Instance: p.inst.ID, From: p.owner, To: to})
	}
	return WaitOwnerMove
}

// begin proposes the next term with the most advanced replica within reach.
func (s *System) begin(now time.Duration, g *group, p *member) WaitReason {
	c := g.best(func(m *member) bool {
		return m != p && m.reachable() && !s.leases.Late(now, m.owner) && g.plausible(m.mark())
	})
	if c == nil {
		return WaitSafeReplica
	}
	s.proposeTerm(now, g, g.nextTerm(), c.inst.ID)
	return WaitCommit
}

// tellProbe asks the owner of m for a fresh report.
func (s *System) tellProbe(now time.Duration, m *member) {
	if m.owner == "" || s.leases.Late(now, m.owner) {
		return
	}
	s.tell(now, m.owner, Order{
		Kind: OrderProbe, Group: m.inst.Group, Instance: m.inst.ID, Address: m.inst.Address,
	})
}
