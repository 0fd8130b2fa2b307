package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Node detects failures for one host.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	self     Update
	byID     map[table.HostID]*member
	members  []*member
	suspects map[table.HostID]*member
	domains  map[table.Domain]*domainCount
	queue    queue

	probeOrder    []*member // hosts to probe in this round
	probeIndex    int
	probe         probe
	periodAt      time.Duration // end of the current period
	started       bool
	sequence      uint64
	relays        map[uint64]relay
	deadScanIndex int // index in members of the latest host considered by probeSuspectOrDead
	repeatIndex   int // index in members of the latest host repeated in an Ack
	refetchCount  int // number of refetches after the join
	refetchAt     time.Duration
	sweepIndex    int // index in members of the latest host considered by sweep

	out    []Envelope
	events []Event
}

const (
	// repeatsPerAck is the number of unchanged hosts that an Ack reports, so
	// that a lost update is received eventually.
	repeatsPerAck = 2
	// maxRefetches is the number of times the full list of hosts is fetched
	// again after a join, because many hosts may join at the same time.
	maxRefetches = 3
	// refetchDelay is the delay before the first refetch. It doubles with each
	// refetch.
	refetchDelay = 7 * time.Second
	// scanLimit is the maximum number of hosts that each scan for dead or
	// inactive hosts examines per period.
	scanLimit = 64
)

// probe is the probe of the current period.
type probe struct {
	target       *member
	sequence     uint64
	indirectAt   time.Duration // when indirect probes are requested
	indirectSent bool
	acked        bool
}

// relay is a probe on behalf of another host.
type relay struct {
	address  string // of the requesting host
	sequence uint64
	until    time.Duration
}

// New returns the node of the host self. The incarnation of self must grow with
// each start of the host. Nodes with the same seed and the same inputs behave
// identically.
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

// Join requests the hosts that are known at the given peer addresses.
func (n *Node) Join(addresses []string) {
	for _, a := range addresses {
		if a != n.self.PeerAddress {
			n.send(a, Message{Kind: Fetch})
		}
	}
}

// Leave announces that this host is leaving. The caller must send the messages
// that Ready returns before it stops.
func (n *Node) Leave() {
	n.self.State = table.HostLeft
	n.queue.add(n.self)
	for range n.cfg.Helpers {
		if m := n.randomMember(); m != nil {
			n.send(m.PeerAddress, Message{Kind: Ping})
		}
	}
}

// Step processes a message that arrived at now.
func (n *Node) Step(now time.Duration, m Message) {
	if m.Sender.Host == n.self.Host {
		return
	}
	if n.applyUpdate(now, m.Sender) {
		n.queue.add(m.Sender)
	}
	for _, u := range m.Updates {
		if n.applyUpdate(now, u) && m.Kind != Page {
			n.queue.add(u)
		}
	}
	switch m.Kind {
	case Ping:
		n.sendTo(m.Sender, Message{Kind: Ack, Sequence: m.Sequence, Updates: n.nextRepeats()})
	case Ack:
		n.handleAck(m.Sequence)
	case PingRequest:
		n.relayPing(now, m)
	case Fetch:
		n.sendPage(m)
	case Page:
		if m.Offset > 0 {
			n.send(m.Sender.PeerAddress, Message{Kind: Fetch, Offset: m.Offset})
		}
	}
}

// Tick processes the passage of time. It must be called several times per
// ProbeTimeout.
func (n *Node) Tick(now time.Duration) {
	if !n.started {
		n.started = true
		n.refetchAt = now + refetchDelay
		n.periodAt = now + time.Duration(n.rng.Int64N(int64(n.cfg.Period)))
	}
	n.requestIndirectProbes(now)
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
	n.probeSuspectOrDead()
	n.refetch(now)
}

// Ready returns the messages to send and clears them.
func (n *Node) Ready() []Envelope {
	out := n.out
	n.out = nil
	return out
}

// Events returns the state changes since the last call.
func (n *Node) Events() []Event {
	events := n.events
	n.events = nil
	return events
}

// Host returns the known state of another host. The second result is false if
// the host is unknown.
func (n *Node) Host(id table.HostID) (table.Host, bool) {
	m := n.byID[id]
	if m == nil {
		return table.Host{}, false
	}
	return m.host(), true
}

// Hosts returns all other known hosts, sorted by id.
func (n *Node) Hosts() []table.Host {
	out := make([]table.Host, 0, len(n.members))
	for _, id := range slices.Sorted(maps.Keys(n.byID)) {
		out = append(out, n.byID[id].host())
	}
	return out
}

// UnreachableDomains returns the failure domains without a reachable host,
// sorted by name.
func (n *Node) UnreachableDomains() []table.Domain {
	var unreachable []table.Domain
	for _, d := range slices.Sorted(maps.Keys(n.domains)) {
		if n.isDomainUnreachable(d) {
			unreachable = append(unreachable, d)
		}
	}
	return unreachable
}

// beginProbe probes the next host of the round.
func (n *Node) beginProbe(now time.Duration) {
	n.probe = probe{}
	m := n.nextTarget()
	if m == nil {
		return
	}
	n.sequence++
	n.probe = probe{target: m, sequence: n.sequence, indirectAt: now + n.cfg.ProbeTimeout}
	n.sendTo(m.Update, Message{Kind: Ping, Sequence: n.sequence})
}

// nextTarget returns the next host in a random order that is reshuffled for
// each round, so that every host is probed within two rounds.
func (n *Node) nextTarget() *member {
	for range 2 {
		for n.probeIndex < len(n.probeOrder) {
			m := n.probeOrder[n.probeIndex]
			n.probeIndex++
			if n.byID[m.Host] == m && !m.isInactive() {
				return m
			}
		}
		n.probeOrder = append(n.probeOrder[:0], n.members...)
		n.probeIndex = 0
		n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
	}
	return nil
}

// insertProbe inserts a new host at a random position of the current round.
func (n *Node) insertProbe(m *member) {
	at := n.probeIndex + n.rng.IntN(len(n.probeOrder)-n.probeIndex+1)
	n.probeOrder = slices.Insert(n.probeOrder, at, m)
}

// requestIndirectProbes asks other hosts to probe a target that has not
// answered within ProbeTimeout.
func (n *Node) requestIndirectProbes(now time.Duration) {
	p := &n.probe
	if p.target == nil || p.acked || p.indirectSent || now < p.indirectAt {
		return
	}
	p.indirectSent = true
	for range n.cfg.Helpers {
		if m := n.randomMember(); m != nil && m != p.target {
			n.sendTo(m.Update, Message{Kind: PingRequest, Sequence: p.sequence, Target: p.target.Update})
		}
	}
}

// endProbe suspects the target if no Ack arrived, directly or through a helper.
func (n *Node) endProbe(now time.Duration) {
	p := n.probe
	if p.target == nil || p.acked || p.target.State != table.HostAlive {
		return
	}
	u := p.target.Update
	u.State = table.HostSuspect
	n.applyUpdate(now, u)
	n.queue.add(u)
	n.sendTo(u, Message{Kind: Ping})
}

// declareDead declares hosts dead whose suspicion timed out without a
// refutation.
func (n *Node) declareDead(now time.Duration) {
	if len(n.suspects) == 0 {
		return
	}
	limit := n.cfg.suspicionTimeout(len(n.members) + 1)
	for _, id := range slices.Sorted(maps.Keys(n.suspects)) {
		m := n.suspects[id]
		if now >= m.since+limit {
			u := m.Update
			u.State = table.HostDead
			n.applyUpdate(now, u)
			n.queue.add(u)
		}
	}
}

// probeSuspectOrDead pings one suspected host or, if there is none, one dead
// host. The ping includes the state, so that a running host refutes it.
func (n *Node) probeSuspectOrDead() {
	if len(n.suspects) > 0 {
		ids := slices.Sorted(maps.Keys(n.suspects))
		n.sendTo(n.suspects[ids[n.rng.IntN(len(ids))]].Update, Message{Kind: Ping})
		return
	}
	for range min(len(n.members), scanLimit) {
		n.deadScanIndex = (n.deadScanIndex + 1) % len(n.members)
		m := n.members[n.deadScanIndex]
		if m.State == table.HostDead {
			n.sendTo(m.Update, Message{Kind: Ping})
			return
		}
	}
}

// refetch fetches all hosts from a random host, up to maxRefetches times after
// the start.
func (n *Node) refetch(now time.Duration) {
	if n.refetchCount >= maxRefetches || now < n.refetchAt {
		return
	}
	if m := n.randomMember(); m != nil {
		n.refetchCount++
		n.refetchAt = now + refetchDelay<<n.refetchCount
		n.send(m.PeerAddress, Message{Kind: Fetch})
	}
}

// nextRepeats returns the next repeatsPerAck hosts, round robin.
func (n *Node) nextRepeats() []Update {
	var out []Update
	for range min(len(n.members), repeatsPerAck) {
		n.repeatIndex = (n.repeatIndex + 1) % len(n.members)
		out = append(out, n.members[n.repeatIndex].Update)
	}
	return out
}

// sweep examines a few hosts and removes those that have been inactive for long
// enough.
func (n *Node) sweep(now time.Duration) {
	for range min(len(n.members), scanLimit) {
		n.sweepIndex = (n.sweepIndex + 1) % len(n.members)
		m := n.members[n.sweepIndex]
		if !n.canForget(now, m) {
			continue
		}
		n.removeMember(m)
		if len(n.members) == 0 {
			return
		}
	}
}

// handleAck completes the current probe or forwards the Ack of a relayed probe.
func (n *Node) handleAck(sequence uint64) {
	if n.probe.target != nil && sequence == n.probe.sequence {
		n.probe.acked = true
	}
	if r, ok := n.relays[sequence]; ok {
		delete(n.relays, sequence)
		n.send(r.address, Message{Kind: Ack, Sequence: r.sequence})
	}
}

// relayPing probes a host on behalf of the sender of m.
func (n *Node) relayPing(now time.Duration, m Message) {
	n.sequence++
	n.relays[n.sequence] = relay{m.Sender.PeerAddress, m.Sequence, now + n.cfg.Period}
	n.sendTo(m.Target, Message{Kind: Ping, Sequence: n.sequence})
}

func (n *Node) dropRelays(now time.Duration) {
	maps.DeleteFunc(n.relays, func(_ uint64, r relay) bool { return now >= r.until })
}

// sendPage answers a Fetch with a page of the hosts that are not inactive.
func (n *Node) sendPage(m Message) {
	reply := Message{Kind: Page}
	end := min(m.Offset+pageUpdates, len(n.members))
	for at := max(0, m.Offset); at < end; at++ {
		if !n.members[at].isInactive() {
			reply.Updates = append(reply.Updates, n.members[at].Update)
		}
	}
	if end < len(n.members) {
		reply.Offset = end
	}
	reply.Sender = n.self
	n.out = append(n.out, Envelope{m.Sender.PeerAddress, reply})
}

// sendTo sends a message to a host. If the host is not considered alive, the
// message includes its known state, so that the host can refute it.
func (n *Node) sendTo(to Update, m Message) {
	if known := n.byID[to.Host]; known != nil && known.State != table.HostAlive {
		m.Updates = append(m.Updates, known.Update)
	}
	n.send(to.PeerAddress, m)
}

// send fills a message with pending updates up to MaxBytes and queues it for
// sending.
func (n *Node) send(address string, m Message) {
	m.Sender = n.self
	available := n.cfg.MaxBytes - m.Size()
	m.Updates = append(m.Updates, n.queue.next(available, n.cfg.retransmitLimit(len(n.members)+1))...)
	n.out = append(n.out, Envelope{address, m})
}

// randomMember returns a random host that is alive, nil if none was found in a
// few draws.
func (n *Node) randomMember() *member {
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
