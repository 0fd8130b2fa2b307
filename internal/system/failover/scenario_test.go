package failover_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// seedsPerScenario is the number of seeds that each scenario runs with.
var seedsPerScenario = flag.Int("runs", 10, "number of seeds for each scenario")

// scenario is a fault in a healthy group whose primary i0 is owned by h0.
type scenario struct {
	name           string
	domains        int
	leaderAt       int // index of the leading host
	fault          func(sim *simulation)
	recovery       func(sim *simulation) // called two seconds after the fault, may be nil
	primaryChanges bool                  // whether the primary must change
	bound          time.Duration         // maximum time without an acknowledged write
}

func (sim *simulation) owner(i *instance) *host {
	id := sim.committed.owners[i.id].Host
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *host) bool { return h.id == id })]
}

func (sim *simulation) primary() *instance { return sim.instanceByID(sim.committed.group.Primary) }

// onNextStep calls f once, at the given step of the next change of primary.
func (sim *simulation) onNextStep(step string, f func()) {
	sim.onStep = func(s string) {
		if s == step {
			sim.onStep = func(string) {}
			f()
		}
	}
}

func (sim *simulation) otherVoter() *host {
	return sim.hosts[(sim.currentLeader().host.domain+1)%voters]
}

var scenarios = []scenario{
	{"primary killed", 3, 1, func(sim *simulation) { sim.insts[0].up = false }, nil, true, 1500 * ms},
	{"primary killed, leader beside it", 3, 0, func(sim *simulation) { sim.insts[0].up = false }, nil, true, 1500 * ms},
	{"primary silent", 3, 1, func(sim *simulation) { sim.insts[0].frozen = true }, nil, true, 1500 * ms},
	{
		"primary killed and back", 3, 1, func(sim *simulation) { sim.insts[0].up = false },
		func(sim *simulation) { sim.insts[0].up = true }, true, 1500 * ms,
	},
	{"owner killed", 3, 1, func(sim *simulation) { sim.hosts[0].up = false }, nil, false, 2 * time.Second},
	{
		"owner frozen and thawed", 3, 1, func(sim *simulation) { sim.hosts[0].frozen = true },
		func(sim *simulation) { sim.unfreeze(sim.hosts[0]) }, false, 2 * time.Second,
	},
	{"owner cut from primary", 3, 1, func(sim *simulation) { sim.setLink("h0", "i0", false) }, nil, false, 1500 * ms},
	{
		"primary and owner cut off", 3, 1, func(sim *simulation) { sim.setPartition([]int{0}, []int{1, 2}, true) },
		func(sim *simulation) { sim.setPartition([]int{0}, []int{1, 2}, false) }, true, 3 * time.Second,
	},
	{
		"primary, owner and leader cut off", 3, 0, func(sim *simulation) { sim.setPartition([]int{0}, []int{1, 2}, true) },
		func(sim *simulation) { sim.setPartition([]int{0}, []int{1, 2}, false) }, true, 3 * time.Second,
	},
	{
		"primary killed, owner frozen", 3, 1, func(sim *simulation) { sim.insts[0].up, sim.hosts[0].frozen = false, true },
		func(sim *simulation) { sim.unfreeze(sim.hosts[0]) }, true, 3 * time.Second,
	},
	{
		"two and two, primary with the majority", 4, 1, func(sim *simulation) { sim.setPartition([]int{0, 1}, []int{2, 3}, true) },
		func(sim *simulation) { sim.setPartition([]int{0, 1}, []int{2, 3}, false) }, false, 100 * ms,
	},
	{
		"two and two, primary with the minority", 4, 0, func(sim *simulation) { sim.setPartition([]int{0, 3}, []int{1, 2}, true) },
		func(sim *simulation) { sim.setPartition([]int{0, 3}, []int{1, 2}, false) }, true, 3 * time.Second,
	},
	{"leader changes once the term began", 3, 1, func(sim *simulation) {
		sim.insts[0].up = false
		sim.onNextStep("begin", func() { sim.elect(sim.otherVoter()) })
	}, nil, true, 3 * time.Second},
	{"leader changes at the promotion", 3, 1, func(sim *simulation) {
		sim.insts[0].up = false
		sim.onNextStep("promote", func() { sim.elect(sim.otherVoter()) })
	}, nil, true, 3 * time.Second},
	{"leader changes once the primary is set", 3, 1, func(sim *simulation) {
		sim.insts[0].up = false
		sim.onNextStep("set", func() { sim.elect(sim.otherVoter()) })
	}, nil, true, 3 * time.Second},
	{"leader changes before anything is agreed", 3, 1, func(sim *simulation) {
		sim.insts[0].up = false
		sim.elect(sim.otherVoter())
	}, nil, true, 3 * time.Second},
	{"candidate dies once the term began", 3, 1, func(sim *simulation) {
		sim.insts[0].up = false
		sim.onNextStep("begin", func() { sim.instanceByID(sim.committed.group.Candidate).up = false })
	}, func(sim *simulation) { sim.instanceByID("i1").up, sim.instanceByID("i2").up = true, true }, true, 4 * time.Second},
	{"candidate dies at the promotion", 3, 1, func(sim *simulation) {
		sim.insts[0].up = false
		sim.onNextStep("promote", func() { sim.instanceByID(sim.committed.group.Candidate).up = false })
	}, func(sim *simulation) { sim.instanceByID("i1").up, sim.instanceByID("i2").up = true, true }, true, 4 * time.Second},
	{"host of the candidate dies at the promotion", 3, 0, func(sim *simulation) {
		sim.insts[0].up = false
		sim.onNextStep("promote", func() { sim.owner(sim.instanceByID(sim.committed.group.Candidate)).up = false })
	}, nil, true, 3 * time.Second},
	{"new primary dies as well, the first is back", 3, 1, func(sim *simulation) {
		sim.insts[0].up = false
		sim.onNextStep("set", func() { sim.primary().up, sim.insts[0].up = false, true })
	}, nil, true, 3 * time.Second},
}

// newSettledSimulation returns a simulation of a healthy group some time after
// its start.
func newSettledSimulation(tb testing.TB, seed uint64, domains, leaderAt int, lag time.Duration) *simulation {
	sim := newSimulation(tb, seed, domains, lag)
	sim.run(2 * time.Second)
	sim.elect(sim.hosts[leaderAt])
	sim.run(2*time.Second + time.Duration(seed*37%500)*ms)
	assert.Equal(tb, sim.committed.group.Primary, table.InstanceID("i0"))
	assert.Equal(tb, sim.owner(sim.insts[0]), sim.hosts[0])
	return sim
}

// longestWriteGap returns the longest time without an acknowledged write since
// from.
func (sim *simulation) longestWriteGap(from time.Duration) time.Duration {
	last, longest := from, time.Duration(0)
	for _, at := range append(sim.ackTimes, sim.now) {
		if at > from {
			longest = max(longest, at-last)
			last = at
		}
	}
	return longest
}

// run runs the scenario and returns the longest time without an acknowledged
// write.
func (s scenario) run(tb testing.TB, seed uint64) time.Duration {
	sim := newSettledSimulation(tb, seed, s.domains, s.leaderAt, 10*ms)
	from := sim.now
	s.fault(sim)
	sim.run(2 * time.Second)
	if s.recovery != nil {
		s.recovery(sim)
	}
	sim.run(4 * time.Second)
	gap := sim.longestWriteGap(from)
	if changed := sim.committed.group.Term > 1; gap > s.bound || changed != s.primaryChanges {
		tb.Fatalf("seed %d: gap %v above %v or primary changed %t, waited for %v, %+v",
			seed, gap, s.bound, changed, sim.waitReasons, sim.committed.group)
	}
	sim.checkFinalState()
	return gap
}

func TestScenarios(t *testing.T) {
	runs := *seedsPerScenario
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range uint64(runs) {
				gaps = append(gaps, s.run(t, seed))
			}
			slices.Sort(gaps)
			t.Logf("gap median %v, longest %v, bound %v", gaps[runs/2], gaps[runs-1], s.bound)
		})
	}
}

func TestSwitchOver(t *testing.T) {
	const bound = 300 * ms
	runs := *seedsPerScenario
	operator := func(sim *simulation) {
		assert.NilError(sim.t, sim.currentLeader().failover.SwitchOver(groupName, "i2"))
	}
	leaving := func(sim *simulation) { sim.insts[0].leaving = true }
	for _, row := range []struct {
		name  string
		start func(sim *simulation)
		lag   time.Duration
	}{
		{"operator", operator, 10 * ms},
		{"leaving", leaving, 10 * ms},
		{"operator, replicas lag", operator, 100 * ms},
		{"leaving, replicas lag", leaving, 100 * ms},
	} {
		t.Run(row.name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range uint64(runs) {
				sim := newSettledSimulation(t, seed, 3, 1, row.lag)
				from, refused := sim.now, sim.refusedWrites
				row.start(sim)
				sim.run(3 * time.Second)
				gap := sim.longestWriteGap(from)
				gaps = append(gaps, gap)
				if gap > bound || sim.committed.group.Primary == "i0" || sim.refusedWrites != refused {
					t.Fatalf("seed %d: gap %v above %v, refused %d, waited for %v, %+v",
						seed, gap, bound, sim.refusedWrites-refused, sim.waitReasons, sim.committed.group)
				}
			}
			slices.Sort(gaps)
			t.Logf("gap median %v, longest %v, bound %v", gaps[runs/2], gaps[runs-1], bound)
		})
	}
}

// TestRandomFaults injects random faults, clears them, and checks that writes
// are acknowledged again. The simulation checks the safety properties
// throughout.
func TestRandomFaults(t *testing.T) {
	runRandomFaults(t, 90100, func(*simulation) {})
}

// TestRandomFaultsBesideStrayPromotions guards against an instance that serves because an
// order to promote it arrives late, in a term that is over, and against a group that
// stays without a primary because an order or its answer is lost.
func TestRandomFaultsBesideStrayPromotions(t *testing.T) {
	runRandomFaults(t, 49100, func(sim *simulation) { sim.strayPromotions = true })
}

// runRandomFaults runs simulations of random faults with the seeds from first on.
// The function prepare is called before the first fault of each.
func runRandomFaults(t *testing.T, first uint64, prepare func(*simulation)) {
	t.Helper()
	runs := uint64(10 * *seedsPerScenario)
	t.Logf("seeds %d to %d", first, first+runs-1)
	for seed := range runs {
		seed += first
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			sim := newSimulation(t, seed, 3+rng.IntN(2), time.Duration(5+rng.IntN(100))*ms)
			sim.run(2 * time.Second)
			prepare(sim)
			sim.slowMessages = rng.IntN(2) == 0
			for range 3 + rng.IntN(8) {
				sim.injectRandomFault(rng)
				sim.run(time.Duration(rng.IntN(900)) * ms)
			}
			sim.clearFaults()
			sim.run(4 * time.Second)
			if at := sim.ackTimes[len(sim.ackTimes)-1]; at < sim.now-100*ms {
				t.Fatalf("last acknowledged write %v before the end, waited for %v, %+v",
					sim.now-at, sim.waitReasons, sim.committed.group)
			}
			sim.checkFinalState()
		})
	}
}

// checkFinalState checks that the primary holds all acknowledged writes and
// that no other reachable instance serves as primary.
func (sim *simulation) checkFinalState() {
	sim.checkHoldsAckedWrites(sim.primary())
	for _, i := range sim.insts {
		if i.up && !i.frozen && i.role == table.RolePrimary && i != sim.primary() {
			sim.t.Fatalf("%v was not fenced", i.id)
		}
	}
}

func (sim *simulation) injectRandomFault(rng *rand.Rand) {
	h, i := sim.hosts[rng.IntN(len(sim.hosts))], sim.insts[rng.IntN(len(sim.insts))]
	switch rng.IntN(10) {
	case 0:
		i.up = !i.up
	case 1:
		i.frozen = !i.frozen
	case 2:
		if h.frozen {
			sim.unfreeze(h)
		} else {
			h.frozen = true
		}
	case 3:
		a := rng.IntN(len(sim.hosts))
		var rest []int
		for d := range sim.hosts {
			if d != a {
				rest = append(rest, d)
			}
		}
		sim.setPartition([]int{a}, rest, rng.IntN(2) == 0)
	case 4:
		sim.setPartition([]int{0, 3}, []int{1, 2}, rng.IntN(2) == 0)
	case 5:
		sim.setLink(string(h.id), string(i.id), rng.IntN(2) == 0)
	case 6:
		sim.onNextStep([]string{"begin", "promote", "set"}[rng.IntN(3)], func() { sim.elect(sim.otherVoter()) })
	case 7:
		sim.onNextStep([]string{"begin", "promote", "set"}[rng.IntN(3)], func() { sim.instanceByID(sim.committed.group.Candidate).up = false })
	case 8:
		_ = sim.currentLeader().failover.SwitchOver(groupName, "")
	case 9:
		linked := rng.IntN(3) == 0
		for _, other := range sim.hosts {
			sim.setLink(string(h.id), string(other.id), linked || other == h)
			sim.setLink(string(other.id), string(h.id), linked || other == h)
		}
	}
}

func (sim *simulation) clearFaults() {
	sim.onStep = func(string) {}
	sim.slowMessages, sim.strayPromotions = false, false
	clear(sim.cutLinks)
	for _, i := range sim.insts {
		i.up, i.frozen = true, false
	}
	for _, h := range sim.hosts {
		if h.frozen {
			sim.unfreeze(h)
		}
	}
}

func TestConfigValidate(t *testing.T) {
	assert.NilError(t, failover.DefaultConfig().Validate())
	assert.Assert(t, failover.Config{}.Validate() != nil)
	c := failover.DefaultConfig()
	c.CheckTimeout = c.ProbeTimeout
	assert.Assert(t, c.Validate() != nil)
}
