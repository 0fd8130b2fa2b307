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

// Action is what the caller of Step does next: Propose, HandOver or DomainCut.
type Action interface{ action() }

// Propose appends a command to the replicated log. Its effect comes back by
// Assigned.
type Propose struct{ Command control.Command }

// HandOver asks a host to stop using an instance: it starts no new work, lets
// running work end, closes its connections and reports the release. HandOvers
// also returns it for the answers to the heartbeats of the host.
type HandOver struct {
	Host     table.HostID
	Instance table.InstanceID
	Epoch    table.Epoch
}

// DomainCut says that every host of a failure domain lost its lease, or that
// one of them is back.
type DomainCut struct {
	Domain table.Domain
	Lost   bool
}

func (Propose) action()   {}
func (HandOver) action()  {}
func (DomainCut) action() {}

// System decides on the owners of all instances.
type System struct {
	cfg       Config
	leading   bool
	ledSince  time.Duration
	settled   bool
	hosts     map[table.HostID]*host
	domains   map[table.Domain]*domain
	all       pool
	instances map[table.InstanceID]*instance
	review    []*instance // all instances, for the review of balance
	reviewAt  int
	queue     []*instance
	homeless  []*instance // wait for a usable host
	pending   []*instance // proposed, oldest first
	handOvers map[table.HostID][]HandOver
	actions   []Action
	batch     []table.Ownership
}

// New returns a system that does not lead.
func New(cfg Config) *System {
	return &System{
		cfg:       cfg,
		hosts:     map[table.HostID]*host{},
		domains:   map[table.Domain]*domain{},
		instances: map[table.InstanceID]*instance{},
		handOvers: map[table.HostID][]HandOver{},
	}
}

// Lead starts a time in office at now, after every committed command was
// applied. What earlier leaders knew of hosts and announcements is forgotten;
// agreed ownerships are kept.
func (s *System) Lead(now time.Duration) {
	s.leading = true
	s.settled = false
	s.ledSince = now
	s.hosts = map[table.HostID]*host{}
	s.domains = map[table.Domain]*domain{}
	s.all = pool{}
	s.queue, s.homeless, s.pending = nil, nil, nil
	clear(s.handOvers)
	for _, i := range s.review {
		*i = instance{id: i.id, hash: i.hash, owner: i.owner, epoch: i.epoch, ownedAt: now}
		if i.owner == nil {
			continue
		}
		i.owner = s.host(i.owner.ID)
		i.owner.instances[i.id] = i
	}
}

// StepDown ends the time in office: Step returns nothing until the next Lead.
func (s *System) StepDown() { s.leading = false }

// HostSeen takes a heartbeat that was granted at now. It costs little when
// nothing changed.
func (s *System) HostSeen(now time.Duration, t table.Host) {
	h := s.host(t.ID)
	if h.domain != nil && h.lease == lease.Fresh && h.Domain == t.Domain &&
		h.Draining == t.Draining && h.State == t.State {
		h.Host = t
		return
	}
	s.join(h, t)
	if h.lease == lease.Expired {
		h.domain.live++
	}
	if h.lease != lease.Fresh {
		h.lease = lease.Fresh
		h.freshSince = now
	}
	s.found(h.domain)
	s.setUsable(now, h)
	if t.Draining {
		s.enqueueAll(h)
	}
}

// LeaseChanged takes a change of state that the grantor of leases reported.
func (s *System) LeaseChanged(now time.Duration, id table.HostID, state lease.State) {
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
		d.live--
		s.lose(now, d)
	}
	s.enqueueAll(h)
	s.drop(h)
}

// Announced takes an announcement that reached the leader; SeenAt is its
// arrival on the clock of the leader.
func (s *System) Announced(t table.Instance) {
	i := s.instance(t.ID)
	i.seenAt = t.SeenAt
	if d := s.domain(t.Domain); i.domain != d {
		if i.domain != nil {
			i.domain.placed--
		}
		i.domain = d
		d.placed++
		s.enqueue(i) // what was asked of it before its failure domain was known
	}
	if i.owner == nil || i.owner.lease == lease.Expired {
		s.enqueue(i)
	}
}

// Assigned takes an agreed ownership, at each change.
func (s *System) Assigned(now time.Duration, o table.Ownership) {
	i := s.instance(o.Instance)
	s.settle(i)
	if i.owner != nil {
		delete(i.owner.instances, i.id)
		s.drop(i.owner)
	}
	i.owner = s.host(o.Host)
	i.owner.instances[i.id] = i
	i.epoch = o.Epoch
	i.ownedAt = now
	i.moving, i.target, i.released = false, nil, false
	s.enqueue(i)
}

// Released takes the statement of a host that it uses the instance no longer.
// One of an older epoch changes nothing.
func (s *System) Released(from table.HostID, id table.InstanceID, epoch table.Epoch) {
	i := s.instances[id]
	if i == nil || i.owner == nil || i.owner.ID != from || i.epoch != epoch {
		return
	}
	i.released = true
	s.enqueue(i)
}

// Move asks for another owner of an instance that from cannot reach. The host
// named by to is taken if it can be.
func (s *System) Move(now time.Duration, id table.InstanceID, from, to table.HostID) {
	i := s.instances[id]
	if i == nil || i.owner == nil || i.owner.ID != from || i.moving {
		return
	}
	i.avoid, i.avoidTill = from, now+s.cfg.AvoidFor
	i.moving = true
	i.target = s.hosts[to]
	s.enqueue(i)
}

// Step decides at now and returns what to do.
func (s *System) Step(now time.Duration) []Action {
	if !s.leading {
		return nil
	}
	if !s.settled && now >= s.ledSince+s.cfg.Settle {
		s.settled = true
		s.enqueueHomeless()
	}
	s.retryPending(now)
	queue := s.queue
	s.queue = nil
	for _, i := range queue {
		i.queued = false
		s.decide(now, i)
	}
	s.reviewSome(now)
	s.flush()
	actions := s.actions
	s.actions = nil
	return actions
}

// HandOvers returns what a host is asked to hand over, for the answer to its
// heartbeat.
func (s *System) HandOvers(id table.HostID) []HandOver { return s.handOvers[id] }

// Barred reports whether the host must not be granted a lease now: an instance
// that it may still believe to own is about to go to another host, because the
// lease had expired. The host is granted one again once that took effect and
// it can be told with the answer.
func (s *System) Barred(id table.HostID) bool {
	h := s.hosts[id]
	return h != nil && h.outgoing > 0
}

// CutDomains returns the failure domains of which every host lost its lease.
func (s *System) CutDomains() []table.Domain {
	var cut []table.Domain
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		if s.domains[name].lost {
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
		s.review = append(s.review, i)
	}
	return i
}

// join records what a host said of itself.
func (s *System) join(h *host, t table.Host) {
	d := s.domain(t.Domain)
	if h.domain == d {
		h.Host = t
		return
	}
	if h.domain != nil {
		s.part(h)
	}
	h.Host = t
	h.domain = d
	d.hosts[h.ID] = h
	if h.lease != lease.Expired {
		d.live++
	}
}

// part takes a host out of its failure domain.
func (s *System) part(h *host) {
	if h.usable {
		h.domain.usable.remove(h)
		s.all.remove(h)
		h.usable = false
	}
	if h.lease != lease.Expired {
		h.domain.live--
	}
	delete(h.domain.hosts, h.ID)
	h.domain = nil
}

// drop forgets a host whose lease expired and that owns nothing.
func (s *System) drop(h *host) {
	if h.lease != lease.Expired || h.load() > 0 {
		return
	}
	if h.domain != nil {
		delete(h.domain.hosts, h.ID)
	}
	delete(s.hosts, h.ID)
}

// setUsable brings the host into the pools or out of them.
func (s *System) setUsable(now time.Duration, h *host) {
	usable := h.domain != nil && h.lease == lease.Fresh && !h.Draining && h.State == table.HostAlive
	if usable == h.usable {
		return
	}
	h.usable = usable
	if !usable {
		h.domain.usable.remove(h)
		s.all.remove(h)
		return
	}
	if len(h.domain.usable.hosts) == 0 {
		h.domain.usableAt = now
	}
	h.domain.usable.add(h)
	s.all.add(h)
	s.enqueueHomeless()
}

func (s *System) enqueueHomeless() {
	for _, i := range s.homeless {
		i.homeless = false
		s.enqueue(i)
	}
	s.homeless = nil
}

// lose notes that no host of the failure domain holds a lease any more.
func (s *System) lose(now time.Duration, d *domain) {
	if d.live > 0 || d.lost {
		return
	}
	d.lost, d.lostAt = true, now
	s.actions = append(s.actions, DomainCut{Domain: d.name, Lost: true})
}

// found notes that a host of the failure domain is back.
func (s *System) found(d *domain) {
	if !d.lost {
		return
	}
	d.lost = false
	s.actions = append(s.actions, DomainCut{Domain: d.name})
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
