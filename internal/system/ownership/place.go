package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// decide looks at one instance after something about it changed.
func (s *System) decide(now time.Duration, i *instance) {
	if i.domain == nil || i.pending != nil {
		return
	}
	switch {
	case i.owner == nil || i.released:
		s.place(now, i)
	case i.owner.lease == lease.Expired:
		if s.stays(i) {
			return
		}
		s.place(now, i)
	case i.moving || i.owner.Draining:
		s.handOver(now, i)
	}
}

// stays reports whether an instance whose owner lost its lease remains with
// it: the failure domain of the owner is lost as a whole, and no announcement
// shows that the instance is still within reach. An instance that did not
// announce itself since the leader took office is not looked at before it does.
func (s *System) stays(i *instance) bool {
	d := i.owner.domain
	return d != nil && d.lost && i.seenAt < d.lostAt-s.cfg.CutGrace
}

// handOver asks the owner to release an instance if another host can take it.
func (s *System) handOver(now time.Duration, i *instance) {
	next := s.choose(now, i)
	if next == nil || next == i.owner {
		i.moving = false
		s.dropHandOver(i)
		if next == nil || i.owner.Draining {
			s.shelve(i)
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

// place proposes the next owner of an instance that none may use.
func (s *System) place(now time.Duration, i *instance) {
	next := s.choose(now, i)
	if next == nil {
		s.shelve(i)
		return
	}
	i.pending, i.pendingAt = next, now
	next.incoming++
	if i.owner != nil && !i.released {
		i.barring = true
		i.owner.outgoing++
	}
	s.pending = append(s.pending, i)
	s.batch = append(s.batch, table.Ownership{Instance: i.id, Host: next.ID, Epoch: i.epoch + 1})
	if len(s.batch) == s.cfg.BatchSize {
		s.flush()
	}
}

// shelve keeps an instance until another host can be used.
func (s *System) shelve(i *instance) {
	if i.homeless {
		return
	}
	i.homeless = true
	s.homeless = append(s.homeless, i)
}

// settle ends the proposal for an instance.
func (s *System) settle(i *instance) {
	s.dropHandOver(i)
	if i.pending == nil {
		return
	}
	i.pending.incoming--
	if i.barring {
		i.barring = false
		i.owner.outgoing--
	}
	h := i.pending
	i.pending = nil
	s.drop(h)
}

// retryPending proposes anew what did not take effect.
func (s *System) retryPending(now time.Duration) {
	n := 0
	for _, i := range s.pending {
		if i.pending != nil && now < i.pendingAt+s.cfg.ProposeRetry {
			break
		}
		n++
		if i.pending != nil {
			s.settle(i)
			s.enqueue(i)
		}
	}
	s.pending = s.pending[n:]
}

func (s *System) flush() {
	if len(s.batch) == 0 {
		return
	}
	c := control.AssignOwners{Ownerships: s.batch}
	s.actions = append(s.actions, Propose{control.Command{AssignOwners: &c}})
	s.batch = nil
}

// choose returns the host to own an instance: the one asked for, or else one
// in the failure domain of the instance, or else any. It returns nil if there
// is none.
func (s *System) choose(now time.Duration, i *instance) *host {
	if i.target != nil && i.target.usable {
		return i.target
	}
	if h := s.pick(now, &i.domain.usable, i); h != nil {
		return h
	}
	if !s.settled {
		return nil
	}
	if h := s.pick(now, &s.all, i); h != nil {
		return h
	}
	if i.owner != nil && i.owner.usable {
		return i.owner
	}
	return nil
}

// pick returns the least loaded of a few hosts, which the name of the instance
// selects. In a small pool it compares all of them.
func (s *System) pick(now time.Duration, p *pool, i *instance) *host {
	n := len(p.hosts)
	if n <= s.cfg.Choices {
		return s.least(now, p.hosts, i)
	}
	var best *host
	hash := i.hash
	for range s.cfg.Choices {
		h := p.hosts[hash%uint64(n)]
		hash = remix(hash)
		if s.avoided(now, i, h) {
			continue
		}
		if best == nil || h.load() < best.load() {
			best = h
		}
	}
	if best == nil {
		return s.least(now, p.hosts, i)
	}
	return best
}

// least returns the least loaded host, the name of the instance breaking ties.
func (s *System) least(now time.Duration, hosts []*host, i *instance) *host {
	var best *host
	var bestWeight uint64
	for _, h := range hosts {
		if s.avoided(now, i, h) {
			continue
		}
		weight := remix(i.hash ^ xxhash.Sum64String(string(h.ID)))
		if best == nil || h.load() < best.load() || h.load() == best.load() && weight > bestWeight {
			best, bestWeight = h, weight
		}
	}
	return best
}

func (s *System) avoided(now time.Duration, i *instance, h *host) bool {
	return h.ID == i.avoid && now < i.avoidTill
}

// remix returns another value that depends on every bit of v.
func remix(v uint64) uint64 {
	v += 0x9e3779b97f4a7c15
	v = (v ^ (v >> 30)) * 0xbf58476d1ce4e5b9
	v = (v ^ (v >> 27)) * 0x94d049bb133111eb
	return v ^ (v >> 31)
}

// reviewSome looks at a few instances, each in turn, for balance and for a
// return to their failure domain.
func (s *System) reviewSome(now time.Duration) {
	for range min(s.cfg.ReviewsPerStep, len(s.review)) {
		if s.reviewAt >= len(s.review) {
			s.reviewAt = 0
		}
		i := s.review[s.reviewAt]
		s.reviewAt++
		if s.betterElsewhere(now, i) {
			i.moving = true
			s.handOver(now, i)
		}
	}
}

// betterElsewhere reports whether an instance that is served should move.
func (s *System) betterElsewhere(now time.Duration, i *instance) bool {
	if i.domain == nil || i.owner == nil || i.owner.lease != lease.Fresh || i.moving || i.pending != nil {
		return false
	}
	if now < i.ownedAt+s.cfg.HoldOff || now < i.avoidTill {
		return false
	}
	home := &i.domain.usable
	if len(home.hosts) == 0 {
		return false
	}
	if i.away() {
		return now >= i.domain.usableAt+s.cfg.HoldOff
	}
	next := s.pick(now, home, i)
	if next == nil || next == i.owner || now < next.freshSince+s.cfg.HoldOff {
		return false
	}
	mean := i.domain.placed/len(home.hosts) + 1
	return i.owner.load()*100 > mean*s.cfg.LoadPercent && next.load()+1 < i.owner.load()
}
