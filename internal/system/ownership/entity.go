package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// host is a host that sent a heartbeat to this leader or that owns an instance.
type host struct {
	table.Host
	lease      lease.State
	domain     *domain // nil until the first heartbeat of the host
	usable     bool    // whether instances may be assigned to it
	freshSince time.Duration
	instances  map[table.InstanceID]*instance
	incoming   int // proposed assignments to it that have not taken effect
	outgoing   int // instances that it has not released and that are proposed for another host
}

// load returns the number of instances that the host owns, including proposed
// assignments.
func (h *host) load() int { return len(h.instances) + h.incoming }

// domain is a failure domain.
type domain struct {
	name          table.Domain
	hosts         map[table.HostID]*host
	liveHosts     int // hosts whose lease has not expired
	usable        pool
	cut           bool
	cutAt         time.Duration
	instanceCount int // instances that announced themselves in this domain
	usableSince   time.Duration
}

// pool is a set of hosts to which instances may be assigned, sorted by id so
// that every leader makes the same choices.
type pool struct{ hosts []*host }

func compareID(h *host, id table.HostID) int { return cmp.Compare(h.ID, id) }

func (p *pool) add(h *host) {
	at, found := slices.BinarySearchFunc(p.hosts, h.ID, compareID)
	if !found {
		p.hosts = slices.Insert(p.hosts, at, h)
	}
}

func (p *pool) remove(h *host) {
	at, found := slices.BinarySearchFunc(p.hosts, h.ID, compareID)
	if found {
		p.hosts = slices.Delete(p.hosts, at, at+1)
	}
}

// instance is an upstream instance.
type instance struct {
	id               table.InstanceID
	hash             uint64
	domain           *domain // nil until its first announcement
	seenAt           time.Duration
	owner            *host // nil if it has never had one
	epoch            table.Epoch
	ownedAt          time.Duration // when the leader applied the ownership
	queued           bool
	unplaced         bool
	pending          *host // proposed next owner, nil if there is no proposal
	pendingAt        time.Duration
	blocksOwnerLease bool          // counted in owner.outgoing
	moving           bool          // the owner is asked to release it
	target           *host         // next owner that RequestMove asked for, nil if none
	released         bool          // the owner no longer uses it
	avoid            table.HostID  // host that could not reach it
	avoidUntil       time.Duration // when avoid may own it again
}

// isOutsideDomain reports whether the owner is in another failure domain than
// the instance.
func (i *instance) isOutsideDomain() bool { return i.owner.domain != i.domain }
