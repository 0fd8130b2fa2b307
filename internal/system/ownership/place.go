package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// decide places, moves or leaves an instance after its state changed.
func (s *System) decide(now time.Duration, i *instance) {
	if i.domain == nil || i.pending != nil {
		return
	}
	switch {
	case i.owner == nil || i.released:
		s.place(now, i)
	case i.owner.lease == lease.Expired:
		if s.keepsOwner(i) {
			return
		}
		s.place(now, i)
	case i.moving || i.owner.Draining:
		s.handOver(now, i)
	}
}

// keepsOwner reports whether an instance stays with an owner whose lease
// expired. This is the case if the whole failure domain of the owner is cut off
// and no recent announcement shows that the instance is still reachable. The
// caller skips instances that have not announced themselves to this leader.
func (s *System) keepsOwner(i *instance) bool {
	d := i.owner.domain
	return d != nil && d.cut && i.seenAt < d.cutAt-s.cfg.CutGrace
}

// handOver asks the owner to release an instance if another host can own it.
func (s *System) handOver(now time.Duration, i *instance) {
	next := s.chooseOwner(now, i)
	if next == nil || next == i.owner {
		i.moving = false
		s.dropHandOver(i)
		if next == nil || i.owner.Draining {
			s.deferPlacement(i)
		}
		return
	}
	i.moving = true
	s.dropHandOver(i)
	o := HandOver{Host: i.owner.ID, Instance: i.id, Epoch: i.epoch}
	s.handOvers[o.Host] = append(s.handOvers[o.Host], o)
	s.actions = append(s.actions, o)
}

func (s *System) dropHandOver(i *instance) {
	if i.owner == nil {
		return
	}
	id := i.owner.ID
	list := slices.DeleteFunc(s.handOvers[id], func(o HandOver) bool { return o.Instance == i.id })
	if len(list) == 0 {
		delete(s.handOvers, id)
		return
	}
	s.handOvers[id] = list
}

// place proposes an owner for an instance that has none or whose owner may no
// longer use it.
func (s *System) place(now time.Duration, i *instance) {
	next := s.chooseOwner(now, i)
	if next == nil {
		s.deferPlacement(i)
		return
	}
	i.pending, i.pendingAt = next, now
	next.incoming++
	if i.owner != nil && !i.released {
		i.blocksOwnerLease = true
		i.owner.outgoing++
	}
	s.pending = append(s.pending, i)
	s.batch = append(s.batch, table.Ownership{Instance: i.id, Host: next.ID, Epoch: i.epoch + 1})
	if len(s.batch) == s.cfg.BatchSize {
		s.flushBatch()
	}
}

// deferPlacement queues an instance until another host becomes usable.
func (s *System) deferPlacement(i *instance) {
	if i.unplaced {
		return
	}
	i.unplaced = true
	s.unplaced = append(s.unplaced, i)
}

// clearProposal withdraws the hand-over order and the pending proposal for an
// instance.
func (s *System) clearProposal(i *instance) {
	s.dropHandOver(i)
	if i.pending == nil {
		return
	}
	i.pending.incoming--
	if i.blocksOwnerLease {
		i.blocksOwnerLease = false
		i.owner.outgoing--
	}
	h := i.pending
	i.pending = nil
	s.forgetHost(h)
}

// retryPending proposes assignments again that did not take effect within
// ProposeRetry.
func (s *System) retryPending(now time.Duration) {
	n := 0
	for _, i := range s.pending {
		if i.pending != nil && now < i.pendingAt+s.cfg.ProposeRetry {
			break
		}
		n++
		if i.pending != nil {
			s.clearProposal(i)
			s.enqueue(i)
		}
	}
	s.pending = s.pending[n:]
}

func (s *System) flushBatch() {
	if len(s.batch) == 0 {
		return
	}
	c := control.AssignOwners{Ownerships: s.batch}
	s.actions = append(s.actions, Propose{control.Command{AssignOwners: &c}})
	s.batch = nil
}

// chooseOwner returns the host that should own an instance: the requested host
// if it is usable, or else a host in the failure domain of the instance, or
// else any host. It returns nil if there is none.
func (s *System) chooseOwner(now time.Duration, i *instance) *host {
	if i.target != nil && i.target.usable {
		return i.target
	}
	if h := s.pickHost(now, &i.domain.usable, i); h != nil {
		return h
	}
	if !s.hostsKnown {
		return nil
	}
	if h := s.pickHost(now, &s.allUsable, i); h != nil {
		return h
	}
	if i.owner != nil && i.owner.usable {
		return i.owner
	}
	return nil
}

// pickHost returns the least loaded of a few hosts that are selected by the
// hash of the instance id. In a small pool it compares all hosts.
func (s *System) pickHost(now time.Duration, p *pool, i *instance) *host {
	n := len(p.hosts)
	if n <= s.cfg.Choices {
		return s.leastLoaded(now, p.hosts, i)
	}
	var best *host
	hash := i.hash
	for range s.cfg.Choices {
		h := p.hosts[hash%uint64(n)]
		hash = mixHash(hash)
		if s.isAvoided(now, i, h) {
			continue
		}
		if best == nil || h.load() < best.load() {
			best = h
		}
	}
	if best == nil {
		return s.leastLoaded(now, p.hosts, i)
	}
	return best
}

// leastLoaded returns the least loaded host. Ties are broken by rendezvous
// hashing of the instance id.
func (s *System) leastLoaded(now time.Duration, hosts []*host, i *instance) *host {
	var best *host
	var bestWeight uint64
	for _, h := range hosts {
		if s.isAvoided(now, i, h) {
			continue
		}
		weight := mixHash(i.hash ^ xxhash.Sum64String(string(h.ID)))
		if best == nil || h.load() < best.load() || h.load() == best.load() && weight > bestWeight {
			best, bestWeight = h, weight
		}
	}
	return best
}

func (s *System) isAvoided(now time.Duration, i *instance, h *host) bool {
	return h.ID == i.avoid && now < i.avoidUntil
}

// mixHash returns a hash of v that depends on every bit of v (the output
// function of splitmix64).
func mixHash(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ (v >> 30)) * 0xbf58476d1ce4e5b9
	v = (v ^ (v >> 27)) * 0x94d049bb133111eb
	return v ^ (v >> 31)
}

// reviewNext checks the next few instances, round robin, and moves those that
// should be rebalanced or returned to their failure domain.
func (s *System) reviewNext(now time.Duration) {
	for range min(s.cfg.ReviewsPerStep, len(s.allInstances)) {
		if s.reviewIndex >= len(s.allInstances) {
			s.reviewIndex = 0
		}
		i := s.allInstances[s.reviewIndex]
		s.reviewIndex++
		if s.shouldRebalance(now, i) {
			i.moving = true
			s.handOver(now, i)
		}
	}
}

// shouldRebalance reports whether a served instance should move to another
// host.
func (s *System) shouldRebalance(now time.Duration, i *instance) bool {
	if i.domain == nil || i.owner == nil || i.owner.lease != lease.Fresh || i.moving || i.pending != nil {
		return false
	}
	if now < i.ownedAt+s.cfg.HoldOff || now < i.avoidUntil {
		return false
	}
	home := &i.domain.usable
	if len(home.hosts) == 0 {
		return false
	}
	if i.isOutsideDomain() {
		return now >= i.domain.usableSince+s.cfg.HoldOff
	}
	next := s.pickHost(now, home, i)
	if next == nil || next == i.owner || now < next.freshSince+s.cfg.HoldOff {
		return false
	}
	mean := i.domain.instanceCount/len(home.hosts) + 1
	return i.owner.load()*100 > mean*s.cfg.LoadPercent && next.load()+1 < i.owner.load()
}
