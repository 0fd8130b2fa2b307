package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/system/figuretest"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	ms   = time.Millisecond
	step = 50 * ms
	// payloadHeader is what UDP and IP add to a message.
	payloadHeader = 28
)

// network carries the messages of a number of nodes in virtual time.
type network struct {
	t       testing.TB
	now     time.Duration
	rng     *rand.Rand
	nodes   []*Node
	byAddr  map[string]int
	down    map[int]bool
	cut     func(a, b int) bool
	loss    float64
	arrive  map[time.Duration][]func()
	bytes   []int // sent and received by each node
	largest int
	events  map[table.HostState]int
}

func newNetwork(t testing.TB, seed uint64, n, domains int) *network {
	t.Logf("seed %d", seed)
	w := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), byAddr: map[string]int{}, down: map[int]bool{},
		cut: func(int, int) bool { return false }, arrive: map[time.Duration][]func(){},
		events: map[table.HostState]int{}, bytes: make([]int, n),
	}
	for i := range n {
		host := table.Host{
			ID: name(i), Domain: table.Domain(fmt.Sprint("d", i%domains)), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		}
		w.nodes = append(w.nodes, New(DefaultConfig(), host, seed+uint64(i)))
		w.byAddr[host.PeerAddress] = i
	}
	for _, node := range w.nodes {
		node.Join([]string{w.nodes[0].self.PeerAddress, w.nodes[1].self.PeerAddress})
	}
	took := w.until(2*time.Minute, func() bool {
		return !slices.ContainsFunc(w.nodes, func(node *Node) bool { return len(node.members) != n-1 })
	})
	t.Logf("%d hosts that start at once know each other after %v", n, took)
	w.run(5 * time.Second)
	clear(w.events)
	return w
}

func name(i int) table.HostID { return table.HostID(fmt.Sprintf("host-%04d", i)) }

func (w *network) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, f := range w.arrive[w.now] {
			f()
		}
		delete(w.arrive, w.now)
		for i, node := range w.nodes {
			if !w.down[i] {
				node.Tick(w.now)
				w.flush(i)
			}
		}
	}
}

// flush sends what a node has ready; it arrives with the next step.
func (w *network) flush(from int) {
	for _, e := range w.nodes[from].Events() {
		w.events[e.Host.State]++
	}
	for _, e := range w.nodes[from].Ready() {
		to, ok := w.byAddr[e.Address]
		size := e.Message.Size() + payloadHeader
		w.bytes[from] += size
		if e.Message.Kind != Page {
			w.largest = max(w.largest, e.Message.Size())
		}
		if !ok || w.down[to] || w.cut(from, to) || w.rng.Float64() < w.loss {
			continue
		}
		w.arrive[w.now+step] = append(w.arrive[w.now+step], func() {
			if !w.down[to] {
				w.bytes[to] += size
				w.nodes[to].Step(w.now, e.Message)
				w.flush(to)
			}
		})
	}
}

// believe returns how many running nodes see host i in that state.
func (w *network) believe(i int, state table.HostState) int {
	count := 0
	for j, node := range w.nodes {
		if h, ok := node.Host(name(i)); ok && j != i && !w.down[j] && h.State == state {
			count++
		}
	}
	return count
}

// until runs until the condition holds and returns how long that took.
func (w *network) until(limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !ok() {
		if w.now-start >= limit {
			w.t.Fatalf("not after %v", limit)
		}
		w.run(step)
	}
	return w.now - start
}

func TestDeadHostIsFound(t *testing.T) {
	for _, n := range []int{3, 9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newNetwork(t, 1, n, 3)
			w.down[2] = true
			took := w.until(25*time.Second, func() bool { return w.believe(2, table.HostDead) == n-1 })
			t.Logf("dead at all %d hosts after %v", n-1, took)
			assert.Equal(t, w.events[table.HostDead], n-1, "no other host is taken as dead")
		})
	}
}

// TestLossKillsNobody loses a sixth of all messages for five minutes.
func TestLossKillsNobody(t *testing.T) {
	w := newNetwork(t, 2, 40, 4)
	w.loss = 0.17
	w.run(5 * time.Minute)
	assert.Assert(t, w.events[table.HostSuspect] > 0, "hosts are suspected")
	assert.Equal(t, w.events[table.HostDead], 0)
}

// TestOneLinkCut has two hosts unable to reach each other.
func TestOneLinkCut(t *testing.T) {
	w := newNetwork(t, 3, 9, 3)
	w.cut = func(a, b int) bool { return a+b == 1 }
	w.run(3 * time.Minute)
	assert.Equal(t, w.events[table.HostSuspect], 0, "the helpers reach the other")
}

// TestFrozenHostRefutes has a host stand still until it is dead to all.
func TestFrozenHostRefutes(t *testing.T) {
	w := newNetwork(t, 4, 20, 4)
	w.down[5] = true
	w.until(20*time.Second, func() bool { return w.believe(5, table.HostDead) == 19 })
	w.down[5] = false
	took := w.until(10*time.Second, func() bool { return w.believe(5, table.HostAlive) == 19 })
	t.Logf("alive at all hosts after %v", took)
}

func TestLeave(t *testing.T) {
	w := newNetwork(t, 5, 30, 3)
	w.nodes[7].Leave()
	w.flush(7)
	w.down[7] = true
	took := w.until(10*time.Second, func() bool { return w.believe(7, table.HostLeft) == 29 })
	t.Logf("left at all hosts after %v", took)
	assert.Equal(t, w.events[table.HostDead], 0)
	w.run(11 * time.Minute)
	assert.Equal(t, len(w.nodes[0].members), 28, "forgotten after a while")
	assert.Equal(t, len(w.nodes[0].queue.news), 0, "old news is dropped")
}

// TestDomainCut cuts one of four failure domains off and heals the cut.
func TestDomainCut(t *testing.T) {
	for _, row := range []struct {
		hosts int
		whole time.Duration // until every host is alive at every other
	}{{12, 5 * time.Second}, {100, 15 * time.Second}} {
		t.Run(fmt.Sprint(row.hosts), func(t *testing.T) {
			w := newNetwork(t, 6, row.hosts, 4)
			w.cut = func(a, b int) bool { return (a%4 == 0) != (b%4 == 0) }
			w.until(time.Minute, func() bool { return slices.Equal(w.nodes[1].Cut(), []table.Domain{"d0"}) })
			w.run(30 * time.Second)
			assert.DeepEqual(t, w.nodes[0].Cut(), []table.Domain{"d1", "d2", "d3"})
			assert.Equal(t, len(w.nodes[3].Cut()), 1)
			w.run(15 * time.Minute)
			assert.Equal(t, len(w.nodes[1].members), row.hosts-1, "hosts of a cut failure domain are not forgotten")
			w.cut = func(int, int) bool { return false }
			start := w.now
			back := w.until(5*time.Second, func() bool {
				return !slices.ContainsFunc(w.nodes, func(n *Node) bool { return len(n.Cut()) > 0 })
			})
			whole := w.until(row.whole, w.allAlive)
			t.Logf("no failure domain cut after %v, all alive at all after %v", back, w.now-start)
			assert.Assert(t, back+whole <= row.whole)
		})
	}
}

// allAlive reports whether every host is alive at every other.
func (w *network) allAlive() bool {
	for i := range w.nodes {
		if w.believe(i, table.HostAlive) != len(w.nodes)-1 {
			return false
		}
	}
	return true
}

// calmBytes returns the bytes per host and second while nothing happens.
func calmBytes(tb testing.TB, n int) int {
	w := newNetwork(tb, 7, n, 5)
	w.run(2 * time.Minute) // the news of the start dies down
	clear(w.bytes)
	w.run(30 * time.Second)
	total := 0
	for _, b := range w.bytes {
		total += b
	}
	return total / n / 30
}

// TestCostDoesNotGrow compares bytes per host and second.
func TestCostDoesNotGrow(t *testing.T) {
	per := map[int]int{}
	for _, n := range []int{50, 100, 200, 400} {
		per[n] = calmBytes(t, n)
		t.Logf("%d hosts, calm: %d bytes per host and second", n, per[n])
	}
	assert.Assert(t, 100*per[400] <= 110*per[50], "%d at 400 hosts, %d at 50", per[400], per[50])
}

// TestMassLossIsBounded has a fifth of 400 hosts die, or cut off, at once.
func TestMassLossIsBounded(t *testing.T) {
	const bound = 9000
	for _, row := range []struct {
		name   string
		strike func(w *network)
	}{
		{"dead", func(w *network) {
			for i := range w.nodes {
				w.down[i] = i%5 == 0
			}
		}},
		{"cut", func(w *network) { w.cut = func(a, b int) bool { return (a%5 == 0) != (b%5 == 0) } }},
	} {
		t.Run(row.name, func(t *testing.T) {
			w := newNetwork(t, 8, 400, 5)
			w.run(time.Minute)
			w.largest = 0
			row.strike(w)
			highest, window := 0, 10
			for range 6 {
				clear(w.bytes)
				w.run(time.Duration(window) * time.Second)
				highest = max(highest, slices.Max(w.bytes)/window)
			}
			t.Logf("the busiest host %d bytes a second over %d s, messages up to %d bytes", highest, window, w.largest)
			assert.Assert(t, w.largest <= DefaultConfig().MaxBytes, "%d bytes", w.largest)
			assert.Assert(t, highest <= bound, "%d bytes", highest)
			assert.Equal(t, w.believe(0, table.HostDead)+w.believe(0, table.HostSuspect), 320)
		})
	}
}

// largeNode returns a node that knows 4,700 others.
func largeNode() *Node {
	n := New(DefaultConfig(), table.Host{ID: "self", Domain: "d0", PeerAddress: "10.9.9.9:7000"}, 1)
	for i := range 4700 {
		n.learn(0, Update{
			Host: name(i), Domain: table.Domain(fmt.Sprint("d", i%5)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: 1,
		})
	}
	n.Events()
	return n
}

// BenchmarkPeriod is one second of a host among 4,700: its ticks, one probe of
// its own and one of another host.
func BenchmarkPeriod(b *testing.B) {
	n := largeNode()
	now := time.Duration(0)
	for b.Loop() {
		for range 10 {
			now += 100 * ms
			n.Tick(now)
			for _, e := range n.Ready() {
				if e.Message.Kind == Ping {
					n.Step(now, Message{Kind: Ack, Sender: n.probe.target.Update, Sequence: e.Message.Sequence})
				}
			}
		}
		n.Step(now, Message{Kind: Ping, Sender: n.members[7].Update})
		n.Events()
	}
	figuretest.PerLoop(b, "membership_second_4700_hosts", 50000)
}

func BenchmarkMemory(b *testing.B) {
	figuretest.Heap(b, "membership_memory_4700_hosts", 8, largeNode)
}

// BenchmarkBytes is what a host sends and receives a second in calm, against
// the number of hosts.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				bytes = calmBytes(b, n)
			}
			figuretest.Report(b, fmt.Sprintf("membership_bytes_%d_hosts", n), float64(bytes), "B/s", 9000)
		})
	}
}

func TestConfigValidate(t *testing.T) {
	assert.NilError(t, DefaultConfig().Validate())
	assert.Assert(t, Config{}.Validate() != nil)
	c := DefaultConfig()
	c.MaxBytes = 100
	assert.Assert(t, c.Validate() != nil)
}
