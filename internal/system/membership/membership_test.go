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
	// headerBytes is the size of the UDP and IP headers of a message.
	headerBytes = 28
)

// network delivers the messages between nodes in virtual time.
type network struct {
	t          testing.TB
	now        time.Duration
	rng        *rand.Rand
	nodes      []*Node
	byAddr     map[string]int
	down       map[int]bool
	cut        func(from, to int) bool // whether messages are dropped
	loss       float64
	deliveries map[time.Duration][]func()
	bytes      []int // sent and received by each node
	largest    int   // size of the largest message other than a Page
	events     map[table.HostState]int
}

func newNetwork(t testing.TB, seed uint64, n, domains int) *network {
	t.Logf("seed %d", seed)
	w := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 5)), byAddr: map[string]int{}, down: map[int]bool{},
		cut: func(int, int) bool { return false }, deliveries: map[time.Duration][]func(){},
		events: map[table.HostState]int{}, bytes: make([]int, n),
	}
	for i := range n {
		host := table.Host{
			ID: hostID(i), Domain: table.Domain(fmt.Sprint("d", i%domains)), PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
		}
		w.nodes = append(w.nodes, New(DefaultConfig(), host, seed+uint64(i)))
		w.byAddr[host.PeerAddress] = i
	}
	for _, node := range w.nodes {
		node.Join([]string{w.nodes[0].self.PeerAddress, w.nodes[1].self.PeerAddress})
	}
	took := w.runUntil(2*time.Minute, func() bool {
		return !slices.ContainsFunc(w.nodes, func(node *Node) bool { return len(node.members) != n-1 })
	})
	t.Logf("%d hosts that start together know each other after %v", n, took)
	w.run(5 * time.Second)
	clear(w.events)
	return w
}

func hostID(i int) table.HostID { return table.HostID(fmt.Sprintf("host-%04d", i)) }

// run simulates d of virtual time.
func (w *network) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		for _, f := range w.deliveries[w.now] {
			f()
		}
		delete(w.deliveries, w.now)
		for i, node := range w.nodes {
			if !w.down[i] {
				node.Tick(w.now)
				w.flush(i)
			}
		}
	}
}

// flush sends the messages of a node. They arrive in the next step.
func (w *network) flush(from int) {
	for _, e := range w.nodes[from].Events() {
		w.events[e.Host.State]++
	}
	for _, e := range w.nodes[from].Ready() {
		to, ok := w.byAddr[e.Address]
		size := e.Message.Size() + headerBytes
		w.bytes[from] += size
		if e.Message.Kind != Page {
			w.largest = max(w.largest, e.Message.Size())
		}
		if !ok || w.down[to] || w.cut(from, to) || w.rng.Float64() < w.loss {
			continue
		}
		w.deliveries[w.now+step] = append(w.deliveries[w.now+step], func() {
			if !w.down[to] {
				w.bytes[to] += size
				w.nodes[to].Step(w.now, e.Message)
				w.flush(to)
			}
		})
	}
}

// countSeeing returns the number of running nodes that see host i in the given
// state.
func (w *network) countSeeing(i int, state table.HostState) int {
	count := 0
	for j, node := range w.nodes {
		if h, ok := node.Host(hostID(i)); ok && j != i && !w.down[j] && h.State == state {
			count++
		}
	}
	return count
}

// runUntil runs until the condition is met and returns how long that took.
func (w *network) runUntil(limit time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	start := w.now
	for !ok() {
		if w.now-start >= limit {
			w.t.Fatalf("condition not met after %v", limit)
		}
		w.run(step)
	}
	return w.now - start
}

func TestDeadHostIsDetected(t *testing.T) {
	for _, n := range []int{3, 9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			w := newNetwork(t, 1, n, 3)
			w.down[2] = true
			took := w.runUntil(25*time.Second, func() bool { return w.countSeeing(2, table.HostDead) == n-1 })
			t.Logf("dead at all %d hosts after %v", n-1, took)
			assert.Equal(t, w.events[table.HostDead], n-1, "no other host is declared dead")
		})
	}
}

// A loss of 17 % of all messages for five minutes must not cause a host to be
// declared dead.
func TestMessageLossDeclaresNoHostDead(t *testing.T) {
	w := newNetwork(t, 2, 40, 4)
	w.loss = 0.17
	w.run(5 * time.Minute)
	assert.Assert(t, w.events[table.HostSuspect] > 0, "hosts are suspected")
	assert.Equal(t, w.events[table.HostDead], 0)
}

// Two hosts that cannot reach each other must not suspect each other, because
// the helpers reach both.
func TestOneLinkCut(t *testing.T) {
	w := newNetwork(t, 3, 9, 3)
	w.cut = func(a, b int) bool { return a+b == 1 }
	w.run(3 * time.Minute)
	assert.Equal(t, w.events[table.HostSuspect], 0, "the helpers reach both hosts")
}

// A host that was frozen until all others declared it dead must refute that
// when it runs again.
func TestFrozenHostRefutes(t *testing.T) {
	w := newNetwork(t, 4, 20, 4)
	w.down[5] = true
	w.runUntil(20*time.Second, func() bool { return w.countSeeing(5, table.HostDead) == 19 })
	w.down[5] = false
	took := w.runUntil(10*time.Second, func() bool { return w.countSeeing(5, table.HostAlive) == 19 })
	t.Logf("alive at all hosts after %v", took)
}

func TestLeave(t *testing.T) {
	w := newNetwork(t, 5, 30, 3)
	w.nodes[7].Leave()
	w.flush(7)
	w.down[7] = true
	took := w.runUntil(10*time.Second, func() bool { return w.countSeeing(7, table.HostLeft) == 29 })
	t.Logf("left at all hosts after %v", took)
	assert.Equal(t, w.events[table.HostDead], 0)
	w.run(11 * time.Minute)
	assert.Equal(t, len(w.nodes[0].members), 28, "the host is forgotten after ForgetAfter")
	assert.Equal(t, len(w.nodes[0].queue.broadcasts), 0, "old updates are dropped")
}

// One of four failure domains is partitioned from the others for longer than
// ForgetAfter. When the partition heals, all hosts must find each other again.
func TestDomainCut(t *testing.T) {
	for _, row := range []struct {
		hosts  int
		healed time.Duration // time limit until every host is alive at every other
	}{{12, 5 * time.Second}, {100, 15 * time.Second}} {
		t.Run(fmt.Sprint(row.hosts), func(t *testing.T) {
			w := newNetwork(t, 6, row.hosts, 4)
			w.cut = func(a, b int) bool { return (a%4 == 0) != (b%4 == 0) }
			w.runUntil(time.Minute, func() bool { return slices.Equal(w.nodes[1].UnreachableDomains(), []table.Domain{"d0"}) })
			w.run(30 * time.Second)
			assert.DeepEqual(t, w.nodes[0].UnreachableDomains(), []table.Domain{"d1", "d2", "d3"})
			assert.Equal(t, len(w.nodes[3].UnreachableDomains()), 1)
			w.run(15 * time.Minute)
			assert.Equal(t, len(w.nodes[1].members), row.hosts-1, "hosts of an unreachable failure domain are not forgotten")
			w.cut = func(int, int) bool { return false }
			start := w.now
			reachableAfter := w.runUntil(5*time.Second, func() bool {
				return !slices.ContainsFunc(w.nodes, func(n *Node) bool { return len(n.UnreachableDomains()) > 0 })
			})
			aliveAfter := w.runUntil(row.healed, w.allAlive)
			t.Logf("no failure domain unreachable after %v, all alive at all after %v", reachableAfter, w.now-start)
			assert.Assert(t, reachableAfter+aliveAfter <= row.healed)
		})
	}
}

// allAlive reports whether every host sees every other host as alive.
func (w *network) allAlive() bool {
	for i := range w.nodes {
		if w.countSeeing(i, table.HostAlive) != len(w.nodes)-1 {
			return false
		}
	}
	return true
}

// idleBytes returns the bytes per host and second while no state changes.
func idleBytes(tb testing.TB, n int) int {
	w := newNetwork(tb, 7, n, 5)
	w.run(2 * time.Minute) // until the updates about the started hosts have been sent
	clear(w.bytes)
	w.run(30 * time.Second)
	total := 0
	for _, b := range w.bytes {
		total += b
	}
	return total / n / 30
}

// The bytes per host and second must not grow by more than 10 % from 50 to 400
// hosts.
func TestCostDoesNotGrow(t *testing.T) {
	per := map[int]int{}
	for _, n := range []int{50, 100, 200, 400} {
		per[n] = idleBytes(t, n)
		t.Logf("%d hosts, idle: %d bytes per host and second", n, per[n])
	}
	assert.Assert(t, 100*per[400] <= 110*per[50], "%d at 400 hosts, %d at 50", per[400], per[50])
}

// When a fifth of 400 hosts fail or are partitioned at once, message sizes and
// the traffic of the busiest host must stay bounded.
func TestMassFailureTrafficIsBounded(t *testing.T) {
	const bound = 9000
	for _, row := range []struct {
		name string
		fail func(w *network)
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
			row.fail(w)
			highest, window := 0, 10
			for range 6 {
				clear(w.bytes)
				w.run(time.Duration(window) * time.Second)
				highest = max(highest, slices.Max(w.bytes)/window)
			}
			t.Logf("the busiest host %d bytes a second over %d s, messages up to %d bytes", highest, window, w.largest)
			assert.Assert(t, w.largest <= DefaultConfig().MaxBytes, "%d bytes", w.largest)
			assert.Assert(t, highest <= bound, "%d bytes", highest)
			assert.Equal(t, w.countSeeing(0, table.HostDead)+w.countSeeing(0, table.HostSuspect), 320)
		})
	}
}

// largeNode returns a node that knows 4,700 other hosts.
func largeNode() *Node {
	n := New(DefaultConfig(), table.Host{ID: "self", Domain: "d0", PeerAddress: "10.9.9.9:7000"}, 1)
	for i := range 4700 {
		n.applyUpdate(0, Update{
			Host: hostID(i), Domain: table.Domain(fmt.Sprint("d", i%5)),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), Incarnation: 1,
		})
	}
	n.Events()
	return n
}

// BenchmarkPeriod measures one second of a host among 4,700: its ticks, one
// probe that it sends and one that it answers.
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

// BenchmarkBytes reports the bytes that a host sends and receives per second
// while no state changes, for several numbers of hosts.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				bytes = idleBytes(b, n)
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
