package failover_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// runsPerRow is how many seeds each row runs with.
var runsPerRow = flag.Int("runs", 10, "seeds for each row")

// scenario is one fault that strikes a group in good order, with the primary
// i0 owned by h0.
type scenario struct {
	name     string
	domains  int
	leaderAt int // host that leads
	fault    func(w *world)
	later    func(w *world) // two seconds after the fault, may be nil
	promoted bool           // whether the primary changes
	bound    time.Duration  // longest time without an acknowledged write
}

func (w *world) owner(i *instance) *host {
	id := w.log.owners[i.id].Host
	return w.hosts[slices.IndexFunc(w.hosts, func(h *host) bool { return h.id == id })]
}

func (w *world) primary() *instance { return w.inst(w.log.group.Primary) }

// atStep does f once at a step of the next change of primary.
func (w *world) atStep(step string, f func()) {
	w.onPhase = func(s string) {
		if s == step {
			w.onPhase = func(string) {}
			f()
		}
	}
}

func (w *world) elsewhere() *host {
	return w.hosts[(w.current().host.domain+1)%voters]
}

var scenarios = []scenario{
	{"primary killed", 3, 1, func(w *world) { w.insts[0].up = false }, nil, true, 1500 * ms},
	{"primary killed, leader beside it", 3, 0, func(w *world) { w.insts[0].up = false }, nil, true, 1500 * ms},
	{"primary silent", 3, 1, func(w *world) { w.insts[0].frozen = true }, nil, true, 1500 * ms},
	{
		"primary killed and back", 3, 1, func(w *world) { w.insts[0].up = false },
		func(w *world) { w.insts[0].up = true }, true, 1500 * ms,
	},
	{"owner killed", 3, 1, func(w *world) { w.hosts[0].up = false }, nil, false, 2 * time.Second},
	{
		"owner frozen and thawed", 3, 1, func(w *world) { w.hosts[0].frozen = true },
		func(w *world) { w.thaw(w.hosts[0]) }, false, 2 * time.Second,
	},
	{"owner cut from primary", 3, 1, func(w *world) { w.link("h0", "i0", false) }, nil, false, 1500 * ms},
	{
		"primary and owner cut off", 3, 1, func(w *world) { w.split([]int{0}, []int{1, 2}, true) },
		func(w *world) { w.split([]int{0}, []int{1, 2}, false) }, true, 3 * time.Second,
	},
	{
		"primary, owner and leader cut off", 3, 0, func(w *world) { w.split([]int{0}, []int{1, 2}, true) },
		func(w *world) { w.split([]int{0}, []int{1, 2}, false) }, true, 3 * time.Second,
	},
	{
		"primary killed, owner frozen", 3, 1, func(w *world) { w.insts[0].up, w.hosts[0].frozen = false, true },
		func(w *world) { w.thaw(w.hosts[0]) }, true, 3 * time.Second,
	},
	{
		"two and two, primary with the majority", 4, 1, func(w *world) { w.split([]int{0, 1}, []int{2, 3}, true) },
		func(w *world) { w.split([]int{0, 1}, []int{2, 3}, false) }, false, 100 * ms,
	},
	{
		"two and two, primary with the minority", 4, 0, func(w *world) { w.split([]int{0, 3}, []int{1, 2}, true) },
		func(w *world) { w.split([]int{0, 3}, []int{1, 2}, false) }, true, 3 * time.Second,
	},
	{"leader changes once the term began", 3, 1, func(w *world) {
		w.insts[0].up = false
		w.atStep("begin", func() { w.elect(w.elsewhere()) })
	}, nil, true, 3 * time.Second},
	{"leader changes at the promotion", 3, 1, func(w *world) {
		w.insts[0].up = false
		w.atStep("promote", func() { w.elect(w.elsewhere()) })
	}, nil, true, 3 * time.Second},
	{"leader changes once the primary is set", 3, 1, func(w *world) {
		w.insts[0].up = false
		w.atStep("set", func() { w.elect(w.elsewhere()) })
	}, nil, true, 3 * time.Second},
	{"leader changes before anything is agreed", 3, 1, func(w *world) {
		w.insts[0].up = false
		w.elect(w.elsewhere())
	}, nil, true, 3 * time.Second},
	{"candidate dies once the term began", 3, 1, func(w *world) {
		w.insts[0].up = false
		w.atStep("begin", func() { w.inst(w.log.group.Candidate).up = false })
	}, func(w *world) { w.inst("i1").up, w.inst("i2").up = true, true }, true, 4 * time.Second},
	{"candidate dies at the promotion", 3, 1, func(w *world) {
		w.insts[0].up = false
		w.atStep("promote", func() { w.inst(w.log.group.Candidate).up = false })
	}, func(w *world) { w.inst("i1").up, w.inst("i2").up = true, true }, true, 4 * time.Second},
	{"host of the candidate dies at the promotion", 3, 0, func(w *world) {
		w.insts[0].up = false
		w.atStep("promote", func() { w.owner(w.inst(w.log.group.Candidate)).up = false })
	}, nil, true, 3 * time.Second},
	{"new primary dies as well, the first is back", 3, 1, func(w *world) {
		w.insts[0].up = false
		w.atStep("set", func() { w.primary().up, w.insts[0].up = false, true })
	}, nil, true, 3 * time.Second},
}

// settled returns a world in good order some time after its start.
func settled(tb testing.TB, seed uint64, domains, leaderAt int, lag time.Duration) *world {
	w := newWorld(tb, seed, domains, lag)
	w.run(2 * time.Second)
	w.elect(w.hosts[leaderAt])
	w.run(2*time.Second + time.Duration(seed*37%500)*ms)
	assert.Equal(tb, w.log.group.Primary, table.InstanceID("i0"))
	assert.Equal(tb, w.owner(w.insts[0]), w.hosts[0])
	return w
}

// gap returns the longest time without an acknowledged write since from.
func (w *world) gap(from time.Duration) time.Duration {
	last, longest := from, time.Duration(0)
	for _, at := range append(w.acks, w.now) {
		if at > from {
			longest = max(longest, at-last)
			last = at
		}
	}
	return longest
}

// run plays the scenario and returns the time without an acknowledged write.
func (s scenario) run(tb testing.TB, seed uint64) time.Duration {
	w := settled(tb, seed, s.domains, s.leaderAt, 10*ms)
	from := w.now
	s.fault(w)
	w.run(2 * time.Second)
	if s.later != nil {
		s.later(w)
	}
	w.run(4 * time.Second)
	gap := w.gap(from)
	if changed := w.log.group.Term > 1; gap > s.bound || changed != s.promoted {
		tb.Fatalf("seed %d: gap %v above %v or primary changed %t, waited for %v, %+v",
			seed, gap, s.bound, changed, w.waits, w.log.group)
	}
	w.checkEnd()
	return gap
}

func TestScenarios(t *testing.T) {
	runs := *runsPerRow
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
	runs := *runsPerRow
	operator := func(w *world) { assert.NilError(w.t, w.current().sys.SwitchOver(groupName, "i2")) }
	leaving := func(w *world) { w.insts[0].leaves = true }
	for _, row := range []struct {
		name  string
		start func(w *world)
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
				w := settled(t, seed, 3, 1, row.lag)
				from, refused := w.now, w.refused
				row.start(w)
				w.run(3 * time.Second)
				gap := w.gap(from)
				gaps = append(gaps, gap)
				if gap > bound || w.log.group.Primary == "i0" || w.refused != refused {
					t.Fatalf("seed %d: gap %v above %v, refused %d, waited for %v, %+v",
						seed, gap, bound, w.refused-refused, w.waits, w.log.group)
				}
			}
			slices.Sort(gaps)
			t.Logf("gap median %v, longest %v, bound %v", gaps[runs/2], gaps[runs-1], bound)
		})
	}
}

// TestRandomFaults has faults strike at random, heals all, and checks that
// writes are acknowledged again. What must never happen is checked throughout.
func TestRandomFaults(t *testing.T) {
	const first = 90100
	runs := 10 * *runsPerRow
	t.Logf("seeds %d to %d", first, first+runs-1)
	for seed := range uint64(runs) {
		seed += first
		rng := rand.New(rand.NewPCG(seed, 3))
		w := newWorld(t, seed, 3+rng.IntN(2), time.Duration(5+rng.IntN(100))*ms)
		w.run(2 * time.Second)
		w.straggle = rng.IntN(2) == 0
		for range 3 + rng.IntN(8) {
			w.strike(rng)
			w.run(time.Duration(rng.IntN(900)) * ms)
		}
		w.heal()
		w.run(4 * time.Second)
		if at := w.acks[len(w.acks)-1]; at < w.now-100*ms {
			t.Fatalf("seed %d: last acknowledged write %v before the end, waited for %v, %+v",
				seed, w.now-at, w.waits, w.log.group)
		}
		w.checkEnd()
	}
}

// checkEnd checks that one instance serves as primary and holds all writes.
func (w *world) checkEnd() {
	w.checkHeld(w.primary())
	for _, i := range w.insts {
		if i.up && !i.frozen && i.role == table.RolePrimary && i != w.primary() {
			w.t.Fatalf("%v was not fenced", i.id)
		}
	}
}

func (w *world) strike(rng *rand.Rand) {
	h, i := w.hosts[rng.IntN(len(w.hosts))], w.insts[rng.IntN(len(w.insts))]
	switch rng.IntN(10) {
	case 0:
		i.up = !i.up
	case 1:
		i.frozen = !i.frozen
	case 2:
		if h.frozen {
			w.thaw(h)
		} else {
			h.frozen = true
		}
	case 3:
		a := rng.IntN(len(w.hosts))
		var rest []int
		for d := range w.hosts {
			if d != a {
				rest = append(rest, d)
			}
		}
		w.split([]int{a}, rest, rng.IntN(2) == 0)
	case 4:
		w.split([]int{0, 3}, []int{1, 2}, rng.IntN(2) == 0)
	case 5:
		w.link(string(h.id), string(i.id), rng.IntN(2) == 0)
	case 6:
		w.atStep([]string{"begin", "promote", "set"}[rng.IntN(3)], func() { w.elect(w.elsewhere()) })
	case 7:
		w.atStep([]string{"begin", "promote", "set"}[rng.IntN(3)], func() { w.inst(w.log.group.Candidate).up = false })
	case 8:
		_ = w.current().sys.SwitchOver(groupName, "")
	case 9:
		on := rng.IntN(3) == 0
		for _, other := range w.hosts {
			w.link(string(h.id), string(other.id), on || other == h)
			w.link(string(other.id), string(h.id), on || other == h)
		}
	}
}

func (w *world) heal() {
	w.onPhase = func(string) {}
	w.straggle = false
	clear(w.cut)
	for _, i := range w.insts {
		i.up, i.frozen = true, false
	}
	for _, h := range w.hosts {
		if h.frozen {
			w.thaw(h)
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
