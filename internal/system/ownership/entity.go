package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// host is one host that the leader heard of or that owns something.
type host struct {
	table.Host
	lease      lease.State
	domain     *domain // nil until the host was heard of
	usable     bool    // may be given instances
	freshSince time.Duration
	instances  map[table.InstanceID]*instance
	incoming   int // assignments proposed and not yet in force
	outgoing   int // of its instances, those proposed for another host unreleased
}

// load is how many instances the host has or is about to get.
func (h *host) load() int { return len(h.instances) + h.incoming }

// domain is one failure domain.
type domain struct {
	name     table.Domain
	hosts    map[table.HostID]*host
	live     int // hosts whose lease is not expired
	usable   pool
	lost     bool
	lostAt   time.Duration
	placed   int // instances of this domain that are known
	usableAt time.Duration
}

// pool is a set of hosts that may be given instances, in the order of their
// names, so that every leader makes the same choices.
type pool struct{ hosts []*host }

func byID(h *host, id table.HostID) int { return cmp.Compare(h.ID, id) }

func (p *pool) add(h *host) {
	at, found := slices.BinarySearchFunc(p.hosts, h.ID, byID)
	if !found {
		p.hosts = slices.Insert(p.hosts, at, h)
	}
}

func (p *pool) remove(h *host) {
	at, found := slices.BinarySearchFunc(p.hosts, h.ID, byID)
	if found {
		p.hosts = slices.Delete(p.hosts, at, at+1)
	}
}

// instance is one upstream instance.
type instance struct {
	id        table.InstanceID
	hash      uint64
	domain    *domain // nil until it was announced
	seenAt    time.Duration
	owner     *host // nil while it never had one
	epoch     table.Epoch
	ownedAt   time.Duration // when the leader learned of the owner
	queued    bool
	homeless  bool
	pending   *host // proposed as the next owner
	pendingAt time.Duration
	barring   bool // the owner counts it as outgoing
	moving    bool // the owner is asked to hand it over
	target    *host
	released  bool
	avoid     table.HostID
	avoidTill time.Duration
}

// away reports whether the owner lives in another failure domain.
func (i *instance) away() bool { return i.owner.domain != i.domain }
