package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Leases reports the lease states of hosts. It is implemented by
// *lease.Grantor.
type Leases interface {
	// Expired reports whether the host certainly holds no lease at now.
	Expired(now time.Duration, host table.HostID) bool
	// Late reports whether heartbeats of the host are missing at now.
	Late(now time.Duration, host table.HostID) bool
}

// System decides which instance is the primary of each group.
type System struct {
	cfg                Config
	leases             Leases
	leadership         uint64
	leading            bool
	leaderSince        time.Duration
	groups             map[table.GroupName]*group
	byInstance         map[table.InstanceID]*group
	ownersWithoutGroup map[table.InstanceID]table.Ownership // owners of instances whose group is unknown
	instancesByOwner   map[table.HostID]map[table.InstanceID]bool
	hosts              []table.HostID // sorted
	activeGroups       []*group
	allGroups          []*group
	reviewIndex        int
	orders             map[table.HostID][]Order
	sentOrders         map[sentOrderKey]time.Duration
	actions            []Action
}

type sentOrderKey struct {
	host  table.HostID
	order Order
}

// New returns a System that does not lead.
func New(cfg Config, leases Leases) *System {
	return &System{
		cfg:                cfg,
		leases:             leases,
		groups:             map[table.GroupName]*group{},
		byInstance:         map[table.InstanceID]*group{},
		ownersWithoutGroup: map[table.InstanceID]table.Ownership{},
		instancesByOwner:   map[table.HostID]map[table.InstanceID]bool{},
		orders:             map[table.HostID][]Order{},
		sentOrders:         map[sentOrderKey]time.Duration{},
	}
}

// Lead starts a leadership at now. The caller must have applied every committed
// command before, and must call Lead again for each leadership. Reports and
// results that arrived during earlier leaderships are discarded; committed groups
// and owners are kept.
func (s *System) Lead(now time.Duration, leadership uint64) {
	s.leading = true
	s.leadership = leadership
	s.leaderSince = now
	clear(s.orders)
	clear(s.sentOrders)
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		g.reset()
		s.assumeOrders(now, g)
		s.activate(g)
	}
}

// StepDown ends the leadership: Step returns nothing until the next call of
// Lead.
func (s *System) StepDown() { s.leading = false }

// SetGroupSize sets how many instances the group has according to its service
// document.
func (s *System) SetGroupSize(name table.GroupName, instances int) {
	g := s.group(name)
	g.expected = instances
	s.activate(g)
}

// SetGroup applies the committed state of a group. The caller must call it for
// each change.
func (s *System) SetGroup(a table.Group) {
	g := s.group(a.Name)
	g.setAgreed(a)
	for _, id := range []table.InstanceID{a.Primary, a.Candidate} {
		if o, ok := s.ownersWithoutGroup[id]; ok {
			s.SetOwner(a.Name, o)
		}
	}
	s.activate(g)
}

// SetOwner applies the committed owner of an instance. The caller must call it for
// each change. An empty group name means that the group of the instance is
// unknown until the instance announces itself.
func (s *System) SetOwner(name table.GroupName, ownership table.Ownership) {
	g := s.byInstance[ownership.Instance]
	if name != "" {
		g = s.group(name)
	}
	if g == nil {
		s.ownersWithoutGroup[ownership.Instance] = ownership
		return
	}
	delete(s.ownersWithoutGroup, ownership.Instance)
	m := g.member(ownership.Instance)
	s.byInstance[ownership.Instance] = g
	if m.epoch == ownership.Epoch && m.owner == ownership.Host {
		return
	}
	s.clearOwner(m)
	m.owner, m.epoch = ownership.Host, ownership.Epoch
	m.hasReport = false
	if s.instancesByOwner[ownership.Host] == nil {
		s.instancesByOwner[ownership.Host] = map[table.InstanceID]bool{}
	}
	s.instancesByOwner[ownership.Host][ownership.Instance] = true
	s.activate(g)
}

// HandleAnnouncement applies an announcement that reached the leader. SeenAt is
// its arrival time on the leader's clock.
func (s *System) HandleAnnouncement(i table.Instance) {
	g := s.group(i.Group)
	m := g.member(i.ID)
	s.byInstance[i.ID] = g
	old := m.inst
	m.inst = i
	m.left = false
	if o, ok := s.ownersWithoutGroup[i.ID]; ok {
		s.SetOwner(i.Group, o)
	}
	changed := !m.announced || old.Role != i.Role || old.Mark.Term != i.Mark.Term ||
		old.Leaving != i.Leaving || old.Address != i.Address
	m.announced = true
	g.resetFenceOnPromotion(m, old.Role)
	if changed || !g.hasAgreed {
		s.activate(g)
	}
}

// HandleReports applies the reports of a heartbeat that arrived from host at
// now. The caller must drop a heartbeat that was sent before one that was
// already applied.
func (s *System) HandleReports(now time.Duration, host table.HostID, reports []Report) {
	for _, r := range reports {
		g := s.groupOfReport(r)
		if g == nil {
			continue
		}
		s.activate(g)
		if r.Witness {
			s.applyWitnessReport(g, host, r)
			continue
		}
		m := g.member(r.Instance)
		if m.owner == host {
			before := m.role()
			s.applyReport(now, m, r)
			g.resetFenceOnPromotion(m, before)
		}
	}
}

// groupOfReport returns the group of the reported instance, nil if it is
// unknown. The report of an owner identifies the group even if the leader has
// no announcement of the instance.
func (s *System) groupOfReport(r Report) *group {
	g := s.byInstance[r.Instance]
	if o, ok := s.ownersWithoutGroup[r.Instance]; g == nil && ok && s.groups[r.Group] != nil {
		s.SetOwner(r.Group, o)
		g = s.byInstance[r.Instance]
	}
	return g
}

// AddHost adds a host that may be asked to probe a primary. A host whose
// heartbeats are missing is not asked.
func (s *System) AddHost(host table.HostID) {
	at, found := slices.BinarySearch(s.hosts, host)
	if !found {
		s.hosts = slices.Insert(s.hosts, at, host)
	}
}

// RemoveHost removes a host that was added by AddHost.
func (s *System) RemoveHost(host table.HostID) {
	at, found := slices.BinarySearch(s.hosts, host)
	if found {
		s.hosts = slices.Delete(s.hosts, at, at+1)
	}
}

// HandleLeaseChange activates the groups whose instances the host owns. The
// caller must call it when the lease of the host became late or expired.
func (s *System) HandleLeaseChange(host table.HostID) {
	for _, id := range slices.Sorted(maps.Keys(s.instancesByOwner[host])) {
		s.activate(s.byInstance[id])
	}
}

// HandlePromoteResult applies the result of a Promote action.
func (s *System) HandlePromoteResult(now time.Duration, r PromoteResult) {
	g := s.groups[r.Group]
	if g == nil {
		return
	}
	if r.OrderedAt >= s.leaderSince {
		g.lastOrder.handleResult(r)
		s.activate(g)
	}
	if g.agreed.Term != r.Term || g.agreed.Candidate != r.Instance {
		return
	}
	s.activate(g)
	if r.HigherTerm > r.Term && g.plausible(table.Mark{Term: r.HigherTerm}) {
		g.minTerm = max(g.minTerm, r.HigherTerm+1)
		g.promotion.firstOrderedAt = now - s.cfg.PromoteTimeout
	}
	if r.OK && r.Status.Mark.Term >= s.minLogTerm(g) {
		g.promotion.done = true
		g.promotion.termStart = r.Status.TermStart
		if s.cfg.ExternalTerms {
			g.promotion.termStart, g.promotion.logTerm = r.Status.Mark.Position, r.Status.Mark.Term
		}
	}
}

// HandleFenceResult records that an instance answered a Fence action of the
// given term.
func (s *System) HandleFenceResult(instance table.InstanceID, term table.Term) {
	g := s.byInstance[instance]
	if g == nil {
		return
	}
	m := g.member(instance)
	m.fencedTerm = max(m.fencedTerm, term)
	s.activate(g)
}

// Step makes all pending decisions at now and returns the resulting actions.
// The caller must call it after inputs arrived, and at least every
// FastHeartbeatInterval while ActiveGroups is above zero.
func (s *System) Step(now time.Duration) []Action {
	if !s.leading {
		return nil
	}
	s.actions = nil
	clear(s.orders)
	s.reviewNextGroup()
	kept := s.activeGroups[:0]
	for _, g := range s.activeGroups {
		if s.stepGroup(now, g) {
			kept = append(kept, g)
			continue
		}
		g.active = false
	}
	clear(s.activeGroups[len(kept):])
	s.activeGroups = kept
	s.dropStaleOrders()
	return s.actions
}

// ActiveGroups returns the number of groups that need decisions in the next
// step.
func (s *System) ActiveGroups() int { return len(s.activeGroups) }

// Orders returns the current orders for a host, to be sent with the answer to
// its heartbeat.
func (s *System) Orders(host table.HostID) []Order { return s.orders[host] }

// Waiting returns what a group waits for and since when.
func (s *System) Waiting(name table.GroupName) (WaitReason, time.Duration) {
	g := s.groups[name]
	if g == nil {
		return WaitNothing, 0
	}
	return g.wait, g.waitSince
}

// Stamp returns the stamp for an answer to a heartbeat at now.
func (s *System) Stamp(now time.Duration) Stamp {
	return Stamp{Leadership: s.leadership, At: now}
}

// stepGroup makes the decisions on one group and reports whether the group must
// stay active.
func (s *System) stepGroup(now time.Duration, g *group) bool {
	reason := s.decide(now, g)
	fencing := s.fenceStalePrimaries(now, g)
	receiving := s.orderReceive(now, g)
	if reason != g.wait {
		g.waitSince = now
	}
	missing := s.missing(now, g, reason)
	if reason != g.wait || missing != g.missing {
		g.wait, g.missing = reason, missing
		s.emit(Wait{Group: g.name(), Reason: reason, Missing: missing})
	}
	return reason != WaitNothing || fencing || receiving || g.suspected || g.planned != nil || g.removal != nil || g.refilling()
}

func (s *System) decide(now time.Duration, g *group) WaitReason {
	switch {
	case !g.hasAgreed:
		return s.bootstrap(now, g)
	case g.agreed.Phase == table.PhasePromoting:
		return s.stepPromotion(now, g)
	default:
		return s.watchPrimary(now, g)
	}
}

func (s *System) applyReport(now time.Duration, m *member, r Report) {
	m.hasReport = true
	m.report = r
	if m.inst.Address == "" {
		m.inst.Address = r.Address
	}
	if !r.Reachable {
		m.unreachableSince = now - r.UnreachableFor
		return
	}
	m.reachedAt = now
	if r.After.Leadership == s.leadership && (!m.hasRead || r.After.At >= m.readAt) {
		m.hasRead = true
		m.readAt = r.After.At
		m.readMark = r.Mark
		m.knowsConnection, m.connectedAt = r.ConnectedFor > 0, now-r.ConnectedFor
	}
}

func (s *System) applyWitnessReport(g *group, host table.HostID, r Report) {
	if r.After.Leadership != s.leadership || r.Instance != g.agreed.Primary {
		return
	}
	g.witnesses[host] = witness{at: r.After.At, reachable: r.Reachable}
}

func (s *System) group(name table.GroupName) *group {
	g := s.groups[name]
	if g == nil {
		g = newGroup(name)
		s.groups[name] = g
		s.allGroups = append(s.allGroups, g)
	}
	return g
}

func (s *System) activate(g *group) {
	if g.active {
		return
	}
	g.active = true
	s.activeGroups = append(s.activeGroups, g)
}

func (s *System) clearOwner(m *member) {
	if m.owner == "" {
		return
	}
	delete(s.instancesByOwner[m.owner], m.inst.ID)
	if len(s.instancesByOwner[m.owner]) == 0 {
		delete(s.instancesByOwner, m.owner)
	}
}

func (s *System) emit(a Action) { s.actions = append(s.actions, a) }

// sendOrder adds an order for a host to those that Orders returns until the
// next Step. A SendOrder action is emitted only if the order is new.
func (s *System) sendOrder(now time.Duration, host table.HostID, o Order) {
	if host == "" {
		return
	}
	s.orders[host] = append(s.orders[host], o)
	key := sentOrderKey{host, o}
	if _, ok := s.sentOrders[key]; !ok {
		s.emit(SendOrder{Host: host, Order: o})
	}
	s.sentOrders[key] = now
}

// dropStaleOrders forgets sent orders that are no longer in force.
func (s *System) dropStaleOrders() {
	for key := range s.sentOrders {
		if !slices.Contains(s.orders[key.host], key.order) {
			delete(s.sentOrders, key)
		}
	}
}

// propose proposes a command for a group unless the same command was proposed
// within ProposeRetry.
func (s *System) propose(now time.Duration, g *group, p proposal, c control.Command) {
	p.at = now
	last := g.proposal
	unchanged := last.kind == p.kind && last.term == p.term && last.candidate == p.candidate
	if unchanged && now < last.at+s.cfg.ProposeRetry {
		return
	}
	g.proposal = p
	s.emit(Propose{Command: c})
}

// proposeTerm proposes the term b of the group.
func (s *System) proposeTerm(now time.Duration, g *group, b control.BeginTerm) {
	b.Group = g.name()
	p := proposal{kind: proposedTerm, term: b.Term, candidate: b.Candidate, logTermInDoubt: b.LogTermInDoubt}
	s.propose(now, g, p, control.Command{BeginTerm: &b})
}

func (s *System) proposePrimary(now time.Duration, g *group, begin termBegin) {
	a := g.agreed
	g.primaryProposedTerm = a.Term
	p := proposal{kind: proposedPrimary, term: a.Term, candidate: a.Candidate}
	c := control.SetPrimary{
		Group: a.Name, Term: a.Term, Primary: a.Candidate, TermStart: begin.start, LogTerm: begin.logTerm,
		PromotionOpen: s.cfg.ExternalTerms && g.leavesPromotionOpen(begin.logTerm),
	}
	s.propose(now, g, p, control.Command{SetPrimary: &c})
}
