package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Node is the failure detection of one host.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	self     Update
	byID     map[table.HostID]*member
	members  []*member
	suspects map[table.HostID]*member
	domains  map[table.Domain]*domainCount
	queue    queue

	order    []*member // whom to probe, in this round
	orderAt  int
	probe    probe
	periodAt time.Duration // end of the period
	started  bool
	sequence uint64
	relays   map[uint64]relay
	lostAt   int // of members, when dead hosts are probed
	repeatAt int // of members, when old news is repeated
	fetches  int // of all hosts, done after the join
	fetchAt  time.Duration
	sweepAt  int // of members, when dead hosts are forgotten

	out    []Envelope
	events []Event
}

const (
	// repeated is how many hosts an Ack tells of although nothing changed, so
	// that what was missed is learned in the end.
	repeated = 2
	// refetches is how many times all hosts are asked for again after a join,
	// since many may join at once.
	refetches = 3
	// refetchPause is the time before the first one; it doubles.
	refetchPause = 7 * time.Second
	// scanned is how many hosts each period looks at for dead ones.
	scanned = 64
)

// probe is the probe of this period.
type probe struct {
	target   *member
	sequence uint64
	helpAt   time.Duration
	helped   bool
	acked    bool
}

// relay is a probe on behalf of another host.
type relay struct {
	address  string
	sequence uint64
	until    time.Duration
}

// New returns the node of the host self. The incarnation of self grows with
// each start of the host. Nodes with the same seed and inputs act the same.
func New(cfg Config, self table.Host, seed uint64) *Node {
	n := &Node{
		cfg: cfg,
		rng: rand.New(rand.NewPCG(seed, seed)),
		self: Update{
			Host: self.ID, Domain: self.Domain, PeerAddress: self.PeerAddress,
			Incarnation: max(1, self.Incarnation), State: table.HostAlive,
		},
		byID:     map[table.HostID]*member{},
		suspects: map[table.HostID]*member{},
		domains:  map[table.Domain]*domainCount{},
		queue:    newQueue(),
		relays:   map[uint64]relay{},
	}
	n.queue.add(n.self)
	return n
}

// Join asks the hosts at these peer addresses for all hosts they know.
func (n *Node) Join(addresses []string) {
	for _, a := range addresses {
		if a != n.self.PeerAddress {
			n.send(a, Message{Kind: Fetch})
		}
	}
}

// Leave tells others that this host goes away. The caller sends what Ready
// returns before it stops.
func (n *Node) Leave() {
	n.self.State = table.HostLeft
	n.queue.add(n.self)
	for range n.cfg.Helpers {
		if m := n.random(); m != nil {
			n.send(m.PeerAddress, Message{Kind: Ping})
		}
	}
}

// Step takes a message that arrived at now.
func (n *Node) Step(now time.Duration, m Message) {
	if m.Sender.Host == n.self.Host {
		return
	}
	if n.learn(now, m.Sender) {
		n.queue.add(m.Sender)
	}
	for _, u := range m.Updates {
		if n.learn(now, u) && m.Kind != Page {
			n.queue.add(u)
		}
	}
	switch m.Kind {
	case Ping:
		n.answer(m.Sender, Message{Kind: Ack, Sequence: m.Sequence, Updates: n.repeat()})
	case Ack:
		n.acked(m.Sequence)
	case Help:
		n.help(now, m)
	case Fetch:
		n.page(m)
	case Page:
		if m.Offset > 0 {
			n.send(m.Sender.PeerAddress, Message{Kind: Fetch, Offset: m.Offset})
		}
	}
}

// Tick lets time pass. It is called several times a probe timeout.
func (n *Node) Tick(now time.Duration) {
	if !n.started {
		n.started = true
		n.fetchAt = now + refetchPause
		n.periodAt = now + time.Duration(n.rng.Int64N(int64(n.cfg.Period)))
	}
	n.askHelpers(now)
	if now < n.periodAt {
		return
	}
	n.periodAt = max(n.periodAt+n.cfg.Period, now)
	n.endProbe(now)
	n.declareDead(now)
	n.dropRelays(now)
	n.sweep(now)
	if n.self.State == table.HostLeft {
		return
	}
	n.beginProbe(now)
	n.probeDoubtful()
	n.refetch(now)
}

// Ready returns the messages to send and forgets them.
func (n *Node) Ready() []Envelope {
	out := n.out
	n.out = nil
	return out
}

// Events returns the changes since the last call.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}

// Host returns what is known of a host.
func (n *Node) Host(id table.HostID) (table.Host, bool) {
	m := n.byID[id]
	if m == nil {
		return table.Host{}, false
	}
	return m.table(), true
}

// Hosts returns all other hosts that are known, in the order of their names.
func (n *Node) Hosts() []table.Host {
	out := make([]table.Host, 0, len(n.members))
	for _, id := range slices.Sorted(maps.Keys(n.byID)) {
		out = append(out, n.byID[id].table())
	}
	return out
}

// Cut returns the failure domains of which no host is within reach.
func (n *Node) Cut() []table.Domain {
	var cut []table.Domain
	for _, d := range slices.Sorted(maps.Keys(n.domains)) {
		if n.domainLost(d) {
			cut = append(cut, d)
		}
	}
	return cut
}

// beginProbe probes the next host of the round.
func (n *Node) beginProbe(now time.Duration) {
	n.probe = probe{}
	m := n.nextTarget()
	if m == nil {
		return
	}
	n.sequence++
	n.probe = probe{target: m, sequence: n.sequence, helpAt: now + n.cfg.ProbeTimeout}
	n.answer(m.Update, Message{Kind: Ping, Sequence: n.sequence})
}

// nextTarget walks through all hosts in a random order, anew each round, so
// that every host is probed within two rounds.
func (n *Node) nextTarget() *member {
	for range 2 {
		for n.orderAt < len(n.order) {
			m := n.order[n.orderAt]
			n.orderAt++
			if n.byID[m.Host] == m && !m.lost() {
				return m
			}
		}
		n.order = append(n.order[:0], n.members...)
		n.orderAt = 0
		n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
	return nil
}

// insertProbe puts a new host at a random place of the round under way.
func (n *Node) insertProbe(m *member) {
	at := n.orderAt + n.rng.IntN(len(n.order)-n.orderAt+1)
	n.order = slices.Insert(n.order, at, m)
}

// askHelpers asks other hosts to probe a target that has not answered.
func (n *Node) askHelpers(now time.Duration) {
	p := &n.probe
	if p.target == nil || p.acked || p.helped || now < p.helpAt {
		return
	}
	p.helped = true
	for range n.cfg.Helpers {
		if m := n.random(); m != nil && m != p.target {
			n.answer(m.Update, Message{Kind: Help, Sequence: p.sequence, Target: p.target.Update})
		}
	}
}

// endProbe suspects the target if neither it nor a helper answered.
func (n *Node) endProbe(now time.Duration) {
	p := n.probe
	if p.target == nil || p.acked || p.target.State != table.HostAlive {
		return
	}
	u := p.target.Update
	u.State = table.HostSuspect
	n.learn(now, u)
	n.queue.add(u)
	n.answer(u, Message{Kind: Ping})
}

// declareDead ends suspicions that nobody refuted.
func (n *Node) declareDead(now time.Duration) {
	if len(n.suspects) == 0 {
		return
	}
	limit := n.cfg.suspicion(len(n.members) + 1)
	for _, id := range slices.Sorted(maps.Keys(n.suspects)) {
		m := n.suspects[id]
		if now >= m.since+limit {
			u := m.Update
			u.State = table.HostDead
			n.learn(now, u)
			n.queue.add(u)
		}
	}
}

// probeDoubtful pings one suspected host, or else one dead one: if it lives, it
// refutes.
func (n *Node) probeDoubtful() {
	if len(n.suspects) > 0 {
		ids := slices.Sorted(maps.Keys(n.suspects))
		n.answer(n.suspects[ids[n.rng.IntN(len(ids))]].Update, Message{Kind: Ping})
		return
	}
	for range min(len(n.members), scanned) {
		n.lostAt = (n.lostAt + 1) % len(n.members)
		m := n.members[n.lostAt]
		if m.State == table.HostDead {
			n.answer(m.Update, Message{Kind: Ping})
			return
		}
	}
}

// refetch asks a random host for all hosts, a few times after the start.
func (n *Node) refetch(now time.Duration) {
	if n.fetches >= refetches || now < n.fetchAt {
		return
	}
	if m := n.random(); m != nil {
		n.fetches++
		n.fetchAt = now + refetchPause<<n.fetches
		n.send(m.PeerAddress, Message{Kind: Fetch})
	}
}

// repeat returns a few hosts in turn.
func (n *Node) repeat() []Update {
	var out []Update
	for range min(len(n.members), repeated) {
		n.repeatAt = (n.repeatAt + 1) % len(n.members)
		out = append(out, n.members[n.repeatAt].Update)
	}
	return out
}

// sweep looks at a few hosts and forgets those that are dead for long.
func (n *Node) sweep(now time.Duration) {
	for range min(len(n.members), scanned) {
		n.sweepAt = (n.sweepAt + 1) % len(n.members)
		m := n.members[n.sweepAt]
		if !n.forgettable(now, m) {
			continue
		}
		n.forget(m)
		if len(n.members) == 0 {
			return
		}
	}
}

func (n *Node) acked(sequence uint64) {
	if n.probe.target != nil && sequence == n.probe.sequence {
		n.probe.acked = true
	}
	if r, ok := n.relays[sequence]; ok {
		delete(n.relays, sequence)
		n.send(r.address, Message{Kind: Ack, Sequence: r.sequence})
	}
}

// help probes a host on behalf of another one.
func (n *Node) help(now time.Duration, m Message) {
	n.sequence++
	n.relays[n.sequence] = relay{m.Sender.PeerAddress, m.Sequence, now + n.cfg.Period}
	n.answer(m.Target, Message{Kind: Ping, Sequence: n.sequence})
}

func (n *Node) dropRelays(now time.Duration) {
	maps.DeleteFunc(n.relays, func(_ uint64, r relay) bool { return now >= r.until })
}

// page answers a Fetch with hosts that take part.
func (n *Node) page(m Message) {
	reply := Message{Kind: Page}
	end := min(m.Offset+pageUpdates, len(n.members))
	for at := max(0, m.Offset); at < end; at++ {
		if !n.members[at].lost() {
			reply.Updates = append(reply.Updates, n.members[at].Update)
		}
	}
	if end < len(n.members) {
		reply.Offset = end
	}
	reply.Sender = n.self
	n.out = append(n.out, Envelope{m.Sender.PeerAddress, reply})
}

// answer sends a message to a known host and tells it what is believed of it,
// so that it can refute.
func (n *Node) answer(to Update, m Message) {
	if known := n.byID[to.Host]; known != nil && known.State != table.HostAlive {
		m.Updates = append(m.Updates, known.Update)
	}
	n.send(to.PeerAddress, m)
}

// send adds news to a message, as far as there is room, and sends it.
func (n *Node) send(address string, m Message) {
	m.Sender = n.self
	room := n.cfg.MaxBytes - m.Size()
	m.Updates = append(m.Updates, n.queue.take(room, n.cfg.spread(len(n.members)+1))...)
	n.out = append(n.out, Envelope{address, m})
}

// random returns a random host that takes part, nil if none was found.
func (n *Node) random() *member {
	for range 8 {
		if len(n.members) == 0 {
			return nil
		}
		m := n.members[n.rng.IntN(len(n.members))]
		if m.State == table.HostAlive {
			return m
		}
	}
	return nil
}
