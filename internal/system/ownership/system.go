package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Action is an instruction that Step returns to its caller: Propose, HandOver
// or DomainChange.
type Action interface{ action() }

// Propose asks the caller to append a command to the replicated log. Once the
// command is applied, its result arrives through SetOwner.
type Propose struct{ Command control.Command }

// HandOver asks a host to stop using an instance. The host must start no new
// work on the instance, wait for running work to finish, close its connections
// and report the release. HandOvers also returns the order for the answers to
// heartbeats of the host.
type HandOver struct {
	Host     table.HostID
	Instance table.InstanceID
	Epoch    table.Epoch
}

// DomainChange reports that every host of a failure domain lost its lease (Cut
// is set), or that one of them sent a heartbeat again.
type DomainChange struct {
	Domain table.Domain
	Cut    bool
}

func (Propose) action()      {}
func (HandOver) action()     {}
func (DomainChange) action() {}

// System assigns owners to all instances.
type System struct {
	cfg          Config
	leading      bool
	leaderSince  time.Duration
	hostsKnown   bool // whether SettleTime has passed since the leadership began
	hosts        map[table.HostID]*host
	domains      map[table.Domain]*domain
	allUsable    pool
	instances    map[table.InstanceID]*instance
	allInstances []*instance // in the order of their creation, for reviewNext
	reviewIndex  int
	queue        []*instance
	unplaced     []*instance // waiting for a usable host
	pending      []*instance // with a pending proposal, oldest first
	handOvers    map[table.HostID][]HandOver
	actions      []Action
	batch        []table.Ownership
}

// New returns a System that does not lead.
func New(cfg Config) *System {
	return &System{
		cfg:       cfg,
		hosts:     map[table.HostID]*host{},
		domains:   map[table.Domain]*domain{},
		instances: map[table.InstanceID]*instance{},
		handOvers: map[table.HostID][]HandOver{},
	}
}

// Lead starts a leadership at now. The caller must have applied every committed
// command before. The state of hosts and the announcements that earlier leaders
// collected are discarded; committed ownerships are kept.
func (s *System) Lead(now time.Duration) {
	s.leading = true
	s.hostsKnown = false
	s.leaderSince = now
	s.hosts = map[table.HostID]*host{}
	s.domains = map[table.Domain]*domain{}
	s.allUsable = pool{}
	s.queue, s.unplaced, s.pending = nil, nil, nil
	clear(s.handOvers)
	for _, i := range s.allInstances {
		*i = instance{id: i.id, hash: i.hash, owner: i.owner, epoch: i.epoch, ownedAt: now}
		if i.owner == nil {
			continue
		}
		i.owner = s.host(i.owner.ID)
		i.owner.instances[i.id] = i
	}
}

// StepDown ends the leadership: Step returns nothing until the next call of
// Lead.
func (s *System) StepDown() { s.leading = false }

// HandleHeartbeat applies a heartbeat whose lease was granted at now. It is
// cheap if nothing changed.
func (s *System) HandleHeartbeat(now time.Duration, seen table.Host) {
	h := s.host(seen.ID)
	if h.domain != nil && h.lease == lease.Fresh && h.Domain == seen.Domain &&
		h.Draining == seen.Draining && h.State == seen.State {
		h.Host = seen
		return
	}
	s.updateHost(h, seen)
	if h.lease == lease.Expired {
		h.domain.liveHosts++
	}
	if h.lease != lease.Fresh {
		h.lease = lease.Fresh
		h.freshSince = now
	}
	s.markDomainReachable(h.domain)
	s.setUsable(now, h)
	if seen.Draining {
		s.enqueueAll(h)
	}
}

// HandleLeaseChange applies a change of lease state that lease.Grantor
// reported.
func (s *System) HandleLeaseChange(now time.Duration, id table.HostID, state lease.State) {
	h := s.host(id)
	if h.lease == state {
		return
	}
	before := h.lease
	h.lease = state
	s.setUsable(now, h)
	if state != lease.Expired || before == lease.Expired {
		return
	}
	if d := h.domain; d != nil {
		d.liveHosts--
		s.checkDomainCut(now, d)
	}
	s.enqueueAll(h)
	s.forgetHost(h)
}

// HandleAnnouncement applies an announcement that reached the leader. SeenAt is
// its arrival time on the leader's clock.
func (s *System) HandleAnnouncement(announced table.Instance) {
	i := s.instance(announced.ID)
	i.seenAt = announced.SeenAt
	if d := s.domain(announced.Domain); i.domain != d {
		if i.domain != nil {
			i.domain.instanceCount--
		}
		i.domain = d
		d.instanceCount++
		s.enqueue(i) // earlier requests were deferred while its failure domain was unknown
	}
	if i.owner == nil || i.owner.lease == lease.Expired {
		s.enqueue(i)
	}
}

// SetOwner applies a committed ownership. The caller must call it for each
// change.
func (s *System) SetOwner(now time.Duration, o table.Ownership) {
	i := s.instance(o.Instance)
	s.clearProposal(i)
	if i.owner != nil {
		delete(i.owner.instances, i.id)
		s.forgetHost(i.owner)
	}
	i.owner = s.host(o.Host)
	i.owner.instances[i.id] = i
	i.epoch = o.Epoch
	i.ownedAt = now
	i.moving, i.target, i.released = false, nil, false
	s.enqueue(i)
}

// HandleRelease applies the report of a host that it no longer uses the
// instance. A release of an older epoch is ignored.
func (s *System) HandleRelease(from table.HostID, id table.InstanceID, epoch table.Epoch) {
	i := s.instances[id]
	if i == nil || i.owner == nil || i.owner.ID != from || i.epoch != epoch {
		return
	}
	i.released = true
	s.enqueue(i)
}

// RequestMove asks for another owner of an instance that host from cannot
// reach. The host to becomes the owner if it is usable.
func (s *System) RequestMove(now time.Duration, id table.InstanceID, from, to table.HostID) {
	i := s.instances[id]
	if i == nil || i.owner == nil || i.owner.ID != from || i.moving {
		return
	}
	i.avoid, i.avoidUntil = from, now+s.cfg.AvoidFor
	i.moving = true
	i.target = s.hosts[to]
	s.enqueue(i)
}

// Step makes all pending decisions at now and returns the resulting actions.
func (s *System) Step(now time.Duration) []Action {
	if !s.leading {
		return nil
	}
	if !s.hostsKnown && now >= s.leaderSince+s.cfg.SettleTime {
		s.hostsKnown = true
		s.enqueueUnplaced()
	}
	s.retryPending(now)
	queue := s.queue
	s.queue = nil
	for _, i := range queue {
		i.queued = false
		s.decide(now, i)
	}
	s.reviewNext(now)
	s.flushBatch()
	actions := s.actions
	s.actions = nil
	return actions
}

// HandOvers returns the hand-over orders for a host, to be sent with the answer
// to its heartbeat.
func (s *System) HandOvers(id table.HostID) []HandOver { return s.handOvers[id] }

// LeaseBlocked reports whether the host must not be granted a lease: its lease
// expired, and the assignment of one of its instances to another host is
// pending. With a new lease, the host could use that instance until it learns
// of the new owner. Leases are granted again once the assignment has taken
// effect, so that the answer with the lease also carries the new owner.
func (s *System) LeaseBlocked(id table.HostID) bool {
	h := s.hosts[id]
	return h != nil && h.outgoing > 0
}

// CutDomains returns the failure domains in which every host lost its lease.
func (s *System) CutDomains() []table.Domain {
	var cut []table.Domain
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if s.domains[name].cut {
			cut = append(cut, name)
		}
	}
	return cut
}

func (s *System) host(id table.HostID) *host {
	h := s.hosts[id]
	if h == nil {
		h = &host{Host: table.Host{ID: id}, lease: lease.Late, instances: map[table.InstanceID]*instance{}}
		s.hosts[id] = h
	}
	return h
}

func (s *System) domain(name table.Domain) *domain {
	d := s.domains[name]
	if d == nil {
		d = &domain{name: name, hosts: map[table.HostID]*host{}}
		s.domains[name] = d
	}
	return d
}

func (s *System) instance(id table.InstanceID) *instance {
	i := s.instances[id]
	if i == nil {
		i = &instance{id: id, hash: xxhash.Sum64String(string(id))}
		s.instances[id] = i
		s.allInstances = append(s.allInstances, i)
	}
	return i
}

// updateHost records the state that a host sent with its heartbeat.
func (s *System) updateHost(h *host, seen table.Host) {
	d := s.domain(seen.Domain)
	if h.domain == d {
		h.Host = seen
		return
	}
	if h.domain != nil {
		s.leaveDomain(h)
	}
	h.Host = seen
	h.domain = d
	d.hosts[h.ID] = h
	if h.lease != lease.Expired {
		d.liveHosts++
	}
}

// leaveDomain removes a host from its failure domain.
func (s *System) leaveDomain(h *host) {
	if h.usable {
		h.domain.usable.remove(h)
		s.allUsable.remove(h)
		h.usable = false
	}
	if h.lease != lease.Expired {
		h.domain.liveHosts--
	}
	delete(h.domain.hosts, h.ID)
	h.domain = nil
}

// forgetHost removes a host whose lease expired and that owns no instance.
func (s *System) forgetHost(h *host) {
	if h.lease != lease.Expired || h.load() > 0 {
		return
	}
	if h.domain != nil {
		delete(h.domain.hosts, h.ID)
	}
	delete(s.hosts, h.ID)
}

// setUsable adds the host to the pools or removes it, according to its state.
func (s *System) setUsable(now time.Duration, h *host) {
	usable := h.domain != nil && h.lease == lease.Fresh && !h.Draining && h.State == table.HostAlive
	if usable == h.usable {
		return
	}
	h.usable = usable
	if !usable {
		h.domain.usable.remove(h)
		s.allUsable.remove(h)
		return
	}
	if len(h.domain.usable.hosts) == 0 {
		h.domain.usableSince = now
	}
	h.domain.usable.add(h)
	s.allUsable.add(h)
	s.enqueueUnplaced()
}

func (s *System) enqueueUnplaced() {
	for _, i := range s.unplaced {
		i.unplaced = false
		s.enqueue(i)
	}
	s.unplaced = nil
}

// checkDomainCut marks the failure domain as cut off if none of its hosts holds
// a lease any more.
func (s *System) checkDomainCut(now time.Duration, d *domain) {
	if d.liveHosts > 0 || d.cut {
		return
	}
	d.cut, d.cutAt = true, now
	s.actions = append(s.actions, DomainChange{Domain: d.name, Cut: true})
}

// markDomainReachable records that a host of the failure domain sends
// heartbeats again.
func (s *System) markDomainReachable(d *domain) {
	if !d.cut {
		return
	}
	d.cut = false
	s.actions = append(s.actions, DomainChange{Domain: d.name})
	for _, id := range slices.Sorted(maps.Keys(d.hosts)) {
		if h := d.hosts[id]; h.lease == lease.Expired {
			s.enqueueAll(h)
		}
	}
}

func (s *System) enqueue(i *instance) {
	if i.queued {
		return
	}
	i.queued = true
	s.queue = append(s.queue, i)
}

func (s *System) enqueueAll(h *host) {
	for _, id := range slices.Sorted(maps.Keys(h.instances)) {
		s.enqueue(h.instances[id])
	}
}
