package failover

import (
	"maps"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Leases tells which hosts may still acknowledge. *lease.Grantor is one.
type Leases interface {
	// Expired reports whether the host certainly holds no lease at now.
	Expired(now time.Duration, host table.HostID) bool
	// Late reports whether heartbeats of the host are missing at now.
	Late(now time.Duration, host table.HostID) bool
}

// System decides on the primaries of all groups.
type System struct {
	cfg        Config
	leases     Leases
	leadership uint64
	leading    bool
	ledSince   time.Duration
	groups     map[table.GroupName]*group
	byInstance map[table.InstanceID]*group
	unplaced   map[table.InstanceID]table.Ownership // of unknown groups
	owned      map[table.HostID]map[table.InstanceID]bool
	hosts      []table.HostID // sorted
	active     []*group
	all        []*group
	reviewAt   int
	orders     map[table.HostID][]Order
	told       map[toldKey]time.Duration
	actions    []Action
}

type toldKey struct {
	host  table.HostID
	order Order
}

// New returns a system that does not lead.
func New(cfg Config, leases Leases) *System {
	return &System{
		cfg:        cfg,
		leases:     leases,
		groups:     map[table.GroupName]*group{},
		byInstance: map[table.InstanceID]*group{},
		unplaced:   map[table.InstanceID]table.Ownership{},
		owned:      map[table.HostID]map[table.InstanceID]bool{},
		orders:     map[table.HostID][]Order{},
		told:       map[toldKey]time.Duration{},
	}
}

// Lead starts a time in office at now. The caller has applied every committed
// command before, and it repeats Lead for each leadership. Reports and results
// of earlier ones are forgotten; agreed groups and owners are kept.
func (s *System) Lead(now time.Duration, leadership uint64) {
	s.leading = true
	s.leadership = leadership
	s.ledSince = now
	clear(s.orders)
	clear(s.told)
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		g.forget()
		s.activate(g)
	}
}

// StepDown ends the time in office: Step returns nothing until the next Lead.
func (s *System) StepDown() { s.leading = false }

// SetGroupSize states how many instances a group has when whole, as its service
// document says.
func (s *System) SetGroupSize(name table.GroupName, instances int) {
	g := s.group(name)
	g.expected = instances
	s.activate(g)
}

// SetGroup takes the agreed state of a group, at each change.
func (s *System) SetGroup(a table.Group) {
	g := s.group(a.Name)
	g.adopt(a)
	for _, id := range []table.InstanceID{a.Primary, a.Candidate} {
		if o, ok := s.unplaced[id]; ok {
			s.SetOwner(a.Name, o)
		}
	}
	s.activate(g)
}

// SetOwner takes the agreed owner of an instance, at each change. An empty name
// means that the group of the instance is not known yet: its announcement will
// tell.
func (s *System) SetOwner(name table.GroupName, o table.Ownership) {
	g := s.byInstance[o.Instance]
	if name != "" {
		g = s.group(name)
	}
	if g == nil {
		s.unplaced[o.Instance] = o
		return
	}
	delete(s.unplaced, o.Instance)
	m := g.member(o.Instance)
	s.byInstance[o.Instance] = g
	if m.epoch == o.Epoch && m.owner == o.Host {
		return
	}
	s.disown(m)
	m.owner, m.epoch = o.Host, o.Epoch
	m.reported = false
	if s.owned[o.Host] == nil {
		s.owned[o.Host] = map[table.InstanceID]bool{}
	}
	s.owned[o.Host][o.Instance] = true
	s.activate(g)
}

// HandleAnnouncement takes an announcement that reached the leader; SeenAt is its
// arrival on the clock of the leader.
func (s *System) HandleAnnouncement(i table.Instance) {
	g := s.group(i.Group)
	m := g.member(i.ID)
	s.byInstance[i.ID] = g
	old := m.inst
	m.inst = i
	m.left = false
	if o, ok := s.unplaced[i.ID]; ok {
		s.SetOwner(i.Group, o)
	}
	changed := !m.announced || old.Role != i.Role || old.Mark.Term != i.Mark.Term ||
		old.Leaving != i.Leaving || old.Address != i.Address
	m.announced = true
	g.roleSeen(m, old.Role)
	if changed || !g.known {
		s.activate(g)
	}
}

// HandleReports takes the reports of a heartbeat that arrived from host at now. The
// caller drops a heartbeat that was sent before one it has already taken.
func (s *System) HandleReports(now time.Duration, host table.HostID, reports []Report) {
	for _, r := range reports {
		g := s.reportedGroup(r)
		if g == nil {
			continue
		}
		s.activate(g)
		if r.Witness {
			s.witnessed(g, host, r)
			continue
		}
		m := g.member(r.Instance)
		if m.owner == host {
			before := m.role()
			s.take(now, m, r)
			g.roleSeen(m, before)
		}
	}
}

// reportedGroup returns the group of the instance that is reported on. An owner
// knows the group also where the leader has no announcement.
func (s *System) reportedGroup(r Report) *group {
	g := s.byInstance[r.Instance]
	if o, ok := s.unplaced[r.Instance]; g == nil && ok && s.groups[r.Group] != nil {
		s.SetOwner(r.Group, o)
		g = s.byInstance[r.Instance]
	}
	return g
}

// AddHost names a host that may be asked to probe a primary. A host whose
// heartbeats are missing is not asked.
func (s *System) AddHost(host table.HostID) {
	at, found := slices.BinarySearch(s.hosts, host)
	if !found {
		s.hosts = slices.Insert(s.hosts, at, host)
	}
}

// RemoveHost takes back AddHost.
func (s *System) RemoveHost(host table.HostID) {
	at, found := slices.BinarySearch(s.hosts, host)
	if found {
		s.hosts = slices.Delete(s.hosts, at, at+1)
	}
}

// HandleLeaseChange is called when the lease of a host became late or expired.
func (s *System) HandleLeaseChange(host table.HostID) {
	for _, id := range slices.Sorted(maps.Keys(s.owned[host])) {
		s.activate(s.byInstance[id])
	}
}

// HandlePromoteResult takes the result of a Promote action.
func (s *System) HandlePromoteResult(now time.Duration, r PromoteResult) {
	g := s.groups[r.Group]
	if g == nil || g.agreed.Term != r.Term || g.agreed.Candidate != r.Instance {
		return
	}
	s.activate(g)
	if r.HigherTerm > r.Term && g.plausible(table.Mark{Term: r.HigherTerm}) {
		g.minTerm = max(g.minTerm, r.HigherTerm+1)
		g.promotion.firstAt = now - s.cfg.PromoteTimeout
	}
	if r.OK {
		g.promotion.done = true
		g.promotion.start = r.Status.TermStart
		if s.cfg.ExternalTerms {
			g.promotion.start, g.promotion.logTerm = r.Status.Mark.Position, r.Status.Mark.Term
		}
	}
}

// HandleFenceResult takes the answer of an instance to a Fence action of that term.
func (s *System) HandleFenceResult(instance table.InstanceID, term table.Term) {
	g := s.byInstance[instance]
	if g == nil {
		return
	}
	m := g.member(instance)
	m.fencedTerm = max(m.fencedTerm, term)
	s.activate(g)
}

// Step decides at now and returns what to do. It is called after inputs
// arrived, and at least every HurryInterval while Active is above zero.
func (s *System) Step(now time.Duration) []Action {
	if !s.leading {
		return nil
	}
	s.actions = nil
	clear(s.orders)
	s.reviewOne()
	kept := s.active[:0]
	for _, g := range s.active {
		if s.visit(now, g) {
			kept = append(kept, g)
			continue
		}
		g.active = false
	}
	clear(s.active[len(kept):])
	s.active = kept
	s.dropTold()
	return s.actions
}

// ActiveGroups returns how many groups have something going on.
func (s *System) ActiveGroups() int { return len(s.active) }

// Orders returns the orders in force for a host, for the answer to its
// heartbeat.
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

// visit decides on one group and reports whether it has something going on.
func (s *System) visit(now time.Duration, g *group) bool {
	reason := s.decide(now, g)
	fencing := s.fenceOld(now, g)
	receiving := s.letReceive(now, g)
	if reason != g.wait {
		g.wait, g.waitSince = reason, now
		s.act(Wait{Group: g.name(), Reason: reason})
	}
	return reason != WaitNothing || fencing || receiving || g.suspected || g.planned != nil || g.departure != nil
}

func (s *System) decide(now time.Duration, g *group) WaitReason {
	switch {
	case !g.known:
		return s.bootstrap(now, g)
	case g.agreed.Phase == table.PhasePromoting:
		return s.promote(now, g)
	default:
		return s.watch(now, g)
	}
}

func (s *System) take(now time.Duration, m *member, r Report) {
	m.reported = true
	m.report = r
	if m.inst.Address == "" {
		m.inst.Address = r.Address
	}
	if !r.Reachable {
		m.downSince = now - r.UnreachableFor
		return
	}
	m.reachedAt = now
	if r.After.Leadership == s.leadership && (!m.read || r.After.At >= m.readAt) {
		m.read = true
		m.readAt = r.After.At
		m.readMark = r.Mark
	}
}

func (s *System) witnessed(g *group, host table.HostID, r Report) {
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
		s.all = append(s.all, g)
	}
	return g
}

func (s *System) activate(g *group) {
	if g.active {
		return
	}
	g.active = true
	s.active = append(s.active, g)
}

func (s *System) disown(m *member) {
	if m.owner == "" {
		return
	}
	delete(s.owned[m.owner], m.inst.ID)
	if len(s.owned[m.owner]) == 0 {
		delete(s.owned, m.owner)
	}
}

func (s *System) act(a Action) { s.actions = append(s.actions, a) }

// tell gives an order to a host. The action is returned when the order is new;
// the order itself stands in Orders until the next Step.
func (s *System) tell(now time.Duration, host table.HostID, o Order) {
	if host == "" {
		return
	}
	s.orders[host] = append(s.orders[host], o)
	key := toldKey{host, o}
	if _, ok := s.told[key]; !ok {
		s.act(SendOrder{Host: host, Order: o})
	}
	s.told[key] = now
}

// dropTold forgets orders that are no longer in force.
func (s *System) dropTold() {
	for key := range s.told {
		if !slices.Contains(s.orders[key.host], key.order) {
			delete(s.told, key)
		}
	}
}

// propose proposes a command for a group unless the same one is under way.
func (s *System) propose(now time.Duration, g *group, p proposal, c control.Command) {
	p.at = now
	last := g.proposal
	same := last.kind == p.kind && last.term == p.term && last.candidate == p.candidate
	if same && now < last.at+s.cfg.ProposeRetry {
		return
	}
	g.proposal = p
	s.act(Propose{Command: c})
}

func (s *System) proposeTerm(now time.Duration, g *group, term table.Term, candidate table.InstanceID) {
	p := proposal{kind: proposedTerm, term: term, candidate: candidate}
	c := control.BeginTerm{Group: g.name(), Term: term, Candidate: candidate}
	s.propose(now, g, p, control.Command{BeginTerm: &c})
}

func (s *System) proposePrimary(now time.Duration, g *group, begun termBegin) {
	a := g.agreed
	g.primaryProposed = a.Term
	p := proposal{kind: proposedPrimary, term: a.Term, candidate: a.Candidate}
	c := control.SetPrimary{Group: a.Name, Term: a.Term, Primary: a.Candidate, TermStart: begun.start, LogTerm: begun.logTerm}
	s.propose(now, g, p, control.Command{SetPrimary: &c})
}
