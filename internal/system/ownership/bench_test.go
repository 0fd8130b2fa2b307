package ownership

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/system/figuretest"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	largeDomains   = 5
	largeHosts     = 4700
	largeInstances = 26400
)

// largeFixture returns a system at the size to come, in which all is placed.
func largeFixture() *fixture {
	f := newFixture(largeDomains, largeHosts/largeDomains)
	for n := range largeInstances {
		f.announce(n%largeDomains, n/largeDomains)
	}
	f.run(40 * ms)
	f.moves = 0
	return f
}

// spread returns the lowest and the highest number of instances of a host.
func (f *fixture) spread() (lowest, highest int) {
	lowest = largeInstances
	for _, h := range f.hosts {
		lowest = min(lowest, h.load())
		highest = max(highest, h.load())
	}
	return lowest, highest
}

func TestLargeIsBalanced(t *testing.T) {
	f := largeFixture()
	lowest, highest := f.spread()
	assert.Equal(t, len(f.owners), largeInstances)
	mean := largeInstances / largeHosts
	assert.Assert(t, highest <= mean+2, "from %d to %d with a mean of %d", lowest, highest, mean)
	f.run(30 * time.Second)
	assert.Equal(t, f.moves, 0, "a balanced deployment is left alone")
}

func TestLargeDomainLost(t *testing.T) {
	f := largeFixture()
	f.now = time.Minute
	for n := range largeHosts / largeDomains {
		f.expire(0, n)
	}
	f.run(time.Second)
	lost := f.moves
	for n := range largeInstances / largeDomains {
		f.announce(0, n)
	}
	f.run(100 * ms)
	assert.Assert(t, f.moves-lost == largeInstances/largeDomains-lost, "%d moves", f.moves)
	_, highest := f.spread()
	assert.Assert(t, highest <= largeInstances/largeHosts*largeDomains/(largeDomains-1)+3, "up to %d", highest)
}

func BenchmarkIdleStep(b *testing.B) {
	f := largeFixture()
	for b.Loop() {
		f.Step(f.now)
	}
	figuretest.PerLoop(b, "ownership_idle_step_4700_hosts", 5000)
}

func BenchmarkHeartbeat(b *testing.B) {
	f := largeFixture()
	t := table.Host{ID: hostID(1, 1), Domain: domainName(1)}
	for b.Loop() {
		f.HandleHeartbeat(f.now, t)
	}
	figuretest.PerLoop(b, "ownership_heartbeat_4700_hosts", 1000)
}

func BenchmarkAnnouncement(b *testing.B) {
	f := largeFixture()
	t := table.Instance{ID: instanceID(1, 1), Domain: domainName(1)}
	for b.Loop() {
		f.HandleAnnouncement(t)
	}
	figuretest.PerLoop(b, "ownership_announcement_4700_hosts", 1000)
}

// BenchmarkHostLost is the loss of one host until its instances have moved,
// and its return.
func BenchmarkHostLost(b *testing.B) {
	f := largeFixture()
	n := 0
	for b.Loop() {
		n = (n + 1) % (largeHosts / largeDomains)
		f.expire(2, n)
		f.run(20 * ms)
		f.beat(2, n)
	}
	b.ReportMetric(float64(f.moves)/float64(b.N), "moves/op")
	figuretest.PerLoop(b, "ownership_host_lost_and_back_4700_hosts", 200000)
}

func BenchmarkMemory(b *testing.B) {
	figuretest.Heap(b, "ownership_memory_4700_hosts", 32, func() *fixture {
		f := largeFixture()
		f.owners = nil
		return f
	})
}

// BenchmarkChoice compares the choice among a few hosts with rendezvous hashing
// under a bound on the load, which weighs every host of the failure domain.
func BenchmarkChoice(b *testing.B) {
	f := largeFixture()
	i := f.instances[instanceID(3, 3)]
	pool := &i.domain.usable
	b.Run("few", func(b *testing.B) {
		for b.Loop() {
			f.pick(f.now, pool, i)
		}
	})
	b.Run("rendezvous", func(b *testing.B) {
		bound := largeInstances/largeHosts + 2
		for b.Loop() {
			rendezvous(pool.hosts, i, bound)
		}
	})
}

func rendezvous(hosts []*host, i *instance, bound int) *host {
	var best *host
	var bestWeight uint64
	for _, h := range hosts {
		weight := remix(i.hash ^ xxhash.Sum64String(string(h.ID)))
		if h.lease == lease.Fresh && h.load() < bound && (best == nil || weight > bestWeight) {
			best, bestWeight = h, weight
		}
	}
	return best
}
