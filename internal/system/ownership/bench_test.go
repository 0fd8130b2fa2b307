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

// largeFixture returns a system at the planned deployment size in which all
// instances are placed.
func largeFixture() *fixture {
	f := newFixture(largeDomains, largeHosts/largeDomains)
	for n := range largeInstances {
		f.announce(n%largeDomains, n/largeDomains)
	}
	f.run(40 * ms)
	f.moves = 0
	return f
}

// loadRange returns the lowest and the highest number of instances per host.
func (f *fixture) loadRange() (lowest, highest int) {
	lowest = largeInstances
	for _, h := range f.hosts {
		lowest = min(lowest, h.load())
		highest = max(highest, h.load())
	}
	return lowest, highest
}

func TestLargeDeploymentIsBalanced(t *testing.T) {
	f := largeFixture()
	lowest, highest := f.loadRange()
	assert.Equal(t, len(f.owners), largeInstances)
	mean := largeInstances / largeHosts
	assert.Assert(t, highest <= mean+2, "from %d to %d with a mean of %d", lowest, highest, mean)
	f.run(30 * time.Second)
	assert.Equal(t, f.moves, 0, "a balanced deployment must cause no moves")
}

func TestLargeDomainLost(t *testing.T) {
	f := largeFixture()
	f.now = time.Minute
	for n := range largeHosts / largeDomains {
		f.expire(0, n)
	}
	f.run(time.Second)
	movesAfterLoss := f.moves
	for n := range largeInstances / largeDomains {
		f.announce(0, n)
	}
	f.run(100 * ms)
	assert.Assert(t, f.moves-movesAfterLoss == largeInstances/largeDomains-movesAfterLoss, "%d moves", f.moves)
	_, highest := f.loadRange()
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
	seen := table.Host{ID: hostID(1, 1), Domain: domainName(1)}
	for b.Loop() {
		f.HandleHeartbeat(f.now, seen)
	}
	figuretest.PerLoop(b, "ownership_heartbeat_4700_hosts", 1000)
}

func BenchmarkAnnouncement(b *testing.B) {
	f := largeFixture()
	announced := table.Instance{ID: instanceID(1, 1), Domain: domainName(1)}
	for b.Loop() {
		f.HandleAnnouncement(announced)
	}
	figuretest.PerLoop(b, "ownership_announcement_4700_hosts", 1000)
}

// BenchmarkHostLost measures the loss of one host, the reassignment of its
// instances and its return.
func BenchmarkHostLost(b *testing.B) {
	f := largeFixture()
	n := 0
	for b.Loop() {
		n = (n + 1) % (largeHosts / largeDomains)
		f.expire(2, n)
		f.run(20 * ms)
		f.heartbeat(2, n)
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

// BenchmarkChoice compares the choice among a few hosts with bounded-load
// rendezvous hashing, which computes a weight for every host of the failure
// domain.
func BenchmarkChoice(b *testing.B) {
	f := largeFixture()
	i := f.instances[instanceID(3, 3)]
	pool := &i.domain.usable
	b.Run("few", func(b *testing.B) {
		for b.Loop() {
			f.pickHost(f.now, pool, i)
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
		weight := mixHash(i.hash ^ xxhash.Sum64String(string(h.ID)))
		if h.lease == lease.Fresh && h.load() < bound && (best == nil || weight > bestWeight) {
			best, bestWeight = h, weight
		}
	}
	return best
}
