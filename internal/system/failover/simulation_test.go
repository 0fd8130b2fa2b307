package failover_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	ms                  = time.Millisecond
	groupName           = table.GroupName("orders")
	voters              = 3
	leaderLeaseDuration = 400 * ms
	electionTimeout     = 600 * ms
)

// replicatedState is the state that the control hosts replicate. Other hosts hold
// copies of it, which may be out of date.
type replicatedState struct {
	index  int
	group  table.Group
	known  bool
	owners map[table.InstanceID]table.Ownership
}

func (a replicatedState) copy() replicatedState {
	owners := map[table.InstanceID]table.Ownership{}
	for id, o := range a.owners {
		owners[id] = o
	}
	a.owners = owners
	return a
}

type entry struct {
	term table.Term
	id   int
}

type instance struct {
	id         table.InstanceID
	domain     int
	up         bool
	frozen     bool // neither answers nor refuses connections
	role       table.Role
	mark       table.Mark // only Term is used; the position is the length of log
	termStart  table.Position
	fencedTerm table.Term
	log        []entry
	leaving    bool
}

func (i *instance) status() dbedge.Status {
	mark := table.Mark{Term: i.mark.Term, Position: table.Position(len(i.log))}
	return dbedge.Status{Role: i.role, Mark: mark, TermStart: i.termStart}
}

// accepts reports whether the instance takes part in its promotion in term: the term is
// above all that it has seen, or the instance is the primary of this term already.
func (i *instance) accepts(term table.Term) bool {
	isPrimaryOf := i.role == table.RolePrimary && i.mark.Term == term
	return isPrimaryOf || term > i.mark.Term && term >= i.fencedTerm
}

func (i *instance) holds(pos int, e entry) bool { return len(i.log) >= pos && i.log[pos-1] == e }

// write is a write that the upstream has run, acknowledged or not.
type write struct {
	entry entry
	pos   int
	inst  *instance
	epoch table.Epoch
	// confirmed is set once a replica was seen to hold the write. The write is
	// acknowledged one tick later, so that the host may be frozen in between.
	confirmed bool
}

// ownedInstance is the state of an instance at its owner.
type ownedInstance struct {
	epoch            table.Epoch
	report           failover.Report
	probed           bool
	unreachableSince time.Duration
	nextProbeAt      time.Duration
	acked            table.Mark
	ackedKnown       bool
	quiesceUntil     time.Duration // no write starts before this time
	quiescedAt       time.Duration // when the last running write finished
}

type host struct {
	id                  table.HostID
	domain              int
	up                  bool
	frozen              bool
	inbox               []func() // messages that arrived while frozen
	clockRate           float64
	clockOffset         time.Duration
	holder              lease.Holder
	view                replicatedState
	stamp               failover.Stamp
	nextHeartbeatAt     time.Duration
	fastHeartbeatsUntil time.Duration
	seq                 uint64
	owned               map[table.InstanceID]*ownedInstance
	released            map[table.InstanceID]table.Epoch // epoch in which each instance was released
	witnessReports      []failover.Report
	unackedWrites       []write
	runningWrites       int
}

func (h *host) localTime(t time.Duration) time.Duration {
	return time.Duration(float64(t)*h.clockRate) + h.clockOffset
}

type leader struct {
	host       *host
	leadership uint64
	leaseUntil time.Duration // end of the leadership lease in true time
	grantor    *lease.Grantor
	failover   *failover.System
	ownership  *ownership.System
}

// simulation runs one group in virtual time: instances that replicate
// asynchronously, hosts that own them and acknowledge writes, and the leaders
// among the first three hosts. It checks the safety properties at every write
// and promotion.
type simulation struct {
	t              testing.TB
	rng            *rand.Rand
	now            time.Duration
	hosts          []*host
	insts          []*instance
	scheduled      map[time.Duration][]func()
	cutLinks       map[[2]string]bool
	committed      replicatedState
	leaders        []*leader // the last one is current; earlier ones may still act
	lastWriteID    int
	replicationLag time.Duration
	ackTimes       []time.Duration
	ackedWrites    []write
	promotedIn     map[table.Term]table.InstanceID
	highestEpoch   map[table.InstanceID]table.Epoch
	waitReasons    []failover.WaitReason
	onStep         func(step string) // called at each step ("begin", "promote", "set") of a change of primary
	refusedWrites  int
	slowMessages   bool
	// strayPromotions makes orders to promote arrive late, or not at all, and their
	// answers get lost.
	strayPromotions bool
	// overTerms are the terms whose primary was promoted after a later term had begun.
	overTerms map[table.Term]bool
}

func newSimulation(t testing.TB, seed uint64, domains int, lag time.Duration) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), scheduled: map[time.Duration][]func(){},
		cutLinks: map[[2]string]bool{}, replicationLag: lag, promotedIn: map[table.Term]table.InstanceID{},
		highestEpoch: map[table.InstanceID]table.Epoch{}, onStep: func(string) {},
		overTerms: map[table.Term]bool{},
	}
	sim.committed = replicatedState{owners: map[table.InstanceID]table.Ownership{}}
	for d := range domains {
		sim.hosts = append(sim.hosts, &host{
			id: table.HostID(fmt.Sprint("h", d)), domain: d, up: true,
			clockRate: 1 + sim.rng.Float64()*(lease.MaxClockRatio-1), clockOffset: time.Duration(sim.rng.IntN(1e9)),
			nextHeartbeatAt: time.Duration(sim.rng.IntN(150)) * ms, owned: map[table.InstanceID]*ownedInstance{}, released: map[table.InstanceID]table.Epoch{},
		})
	}
	for n := range 3 {
		i := &instance{id: table.InstanceID(fmt.Sprint("i", n)), domain: n, up: true}
		i.mark.Term = 1
		if n == 0 {
			i.role = table.RolePrimary
		}
		sim.insts = append(sim.insts, i)
		phase := time.Duration(sim.rng.IntN(500)) * ms
		sim.scheduleEvery(phase, 500*ms, func() { sim.announce(i) })
		sim.scheduleEvery(phase%sim.replicationLag, sim.replicationLag, func() { sim.replicate(i) })
	}
	sim.elect(sim.hosts[0])
	return sim
}

func (sim *simulation) schedule(d time.Duration, f func()) {
	sim.scheduled[sim.now+d] = append(sim.scheduled[sim.now+d], f)
}

func (sim *simulation) scheduleEvery(phase, interval time.Duration, f func()) {
	sim.schedule(max(phase, ms), func() {
		f()
		sim.scheduleEvery(interval, interval, f)
	})
}

// messageDelay returns 1 or 2 ms. If slowMessages is set, one in twenty
// messages takes up to 600 ms, so that others overtake it.
func (sim *simulation) messageDelay() time.Duration {
	if sim.slowMessages && sim.rng.IntN(20) == 0 {
		return time.Duration(1+sim.rng.IntN(600)) * ms
	}
	return time.Duration(1+sim.rng.IntN(2)) * ms
}

func (sim *simulation) isLinked(a, b string) bool {
	return len(sim.cutLinks) == 0 || !sim.cutLinks[[2]string{a, b}]
}

func (sim *simulation) setLink(a, b string, up bool) {
	if up {
		delete(sim.cutLinks, [2]string{a, b})
		return
	}
	sim.cutLinks[[2]string{a, b}] = true
}

// setPartition cuts or restores all links between two sets of failure domains,
// of hosts and instances alike.
func (sim *simulation) setPartition(a, b []int, cut bool) {
	names := func(domains []int) (names []string) {
		for _, h := range sim.hosts {
			if slices.Contains(domains, h.domain) {
				names = append(names, string(h.id))
			}
		}
		for _, i := range sim.insts {
			if slices.Contains(domains, i.domain) {
				names = append(names, string(i.id))
			}
		}
		return names
	}
	for _, x := range names(a) {
		for _, y := range names(b) {
			sim.setLink(x, y, !cut)
			sim.setLink(y, x, !cut)
		}
	}
}

func (sim *simulation) canReach(h *host, i *instance) bool {
	return sim.isLinked(string(h.id), string(i.id)) && i.up && !i.frozen
}

// send calls f at host to after a delay, unless the link is cut when the
// message is sent. Messages in flight when a cut begins still arrive.
func (sim *simulation) send(from, to *host, f func()) {
	if !from.up || !sim.isLinked(string(from.id), string(to.id)) {
		return
	}
	sim.schedule(sim.messageDelay(), func() {
		switch {
		case !to.up:
		case to.frozen:
			to.inbox = append(to.inbox, f)
		default:
			f()
		}
	})
}

func (sim *simulation) unfreeze(h *host) {
	h.frozen = false
	sim.acknowledge(h)
	for _, f := range h.inbox {
		f()
	}
	h.inbox = nil
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += ms {
		for _, f := range sim.scheduled[sim.now] {
			f()
		}
		delete(sim.scheduled, sim.now)
		for _, h := range sim.hosts {
			if h.up && !h.frozen {
				sim.tickHost(h)
			}
		}
		sim.tickLeaders()
	}
}

func (sim *simulation) currentLeader() *leader { return sim.leaders[len(sim.leaders)-1] }

// reachesMajority reports whether the host reaches a majority of the voters.
func (sim *simulation) reachesMajority(h *host) bool {
	n := 0
	for _, v := range sim.hosts[:voters] {
		if v.up && !v.frozen && sim.isLinked(string(h.id), string(v.id)) {
			n++
		}
	}
	return h.up && !h.frozen && n > voters/2
}

// elect makes h the leader. The lease of the leader before has ended by then, as
// internal/control guarantees.
func (sim *simulation) elect(h *host) {
	if len(sim.leaders) > 0 {
		before := sim.currentLeader()
		before.leaseUntil = min(before.leaseUntil, sim.now)
	}
	cfg := failover.DefaultConfig()
	l := &leader{host: h, leadership: uint64(len(sim.leaders) + 1), leaseUntil: sim.now + leaderLeaseDuration}
	l.grantor = lease.NewGrantor(cfg.Lease)
	l.failover = failover.New(cfg, l.grantor)
	l.ownership = ownership.New(ownership.DefaultConfig())
	l.failover.SetGroupSize(groupName, len(sim.insts))
	owners := map[table.HostID]bool{}
	for _, i := range sim.insts {
		if o, ok := sim.committed.owners[i.id]; ok {
			l.failover.SetOwner(groupName, o)
			l.ownership.SetOwner(h.localTime(sim.now), o)
			owners[o.Host] = true
		}
	}
	if sim.committed.known {
		l.failover.SetGroup(sim.committed.group)
	}
	var ids []table.HostID
	for _, other := range sim.hosts {
		l.failover.AddHost(other.id)
		if owners[other.id] {
			ids = append(ids, other.id)
		}
	}
	l.grantor.Lead(h.localTime(sim.now), h.localTime(l.leaseUntil), ids)
	l.ownership.Lead(h.localTime(sim.now))
	l.failover.Lead(h.localTime(sim.now), l.leadership)
	sim.leaders = append(sim.leaders, l)
}

func (sim *simulation) tickLeaders() {
	cur := sim.currentLeader()
	if sim.reachesMajority(cur.host) {
		cur.leaseUntil = sim.now + leaderLeaseDuration
		cur.grantor.Extend(cur.host.localTime(cur.leaseUntil))
	} else if sim.now >= cur.leaseUntil+electionTimeout-leaderLeaseDuration {
		for _, h := range sim.hosts[:voters] {
			if sim.reachesMajority(h) {
				sim.elect(h)
				break
			}
		}
	}
	for _, l := range sim.leaders {
		if sim.now%(5*ms) == 0 && l.host.up && !l.host.frozen && sim.now < l.leaseUntil {
			sim.step(l)
		}
	}
}

func (sim *simulation) step(l *leader) {
	now := l.host.localTime(sim.now)
	for _, c := range l.grantor.Sweep(now) {
		l.failover.HandleLeaseChange(c.Host)
		l.ownership.HandleLeaseChange(now, c.Host, c.State)
	}
	for _, a := range l.ownership.Step(now) {
		if p, ok := a.(ownership.Propose); ok {
			sim.propose(l, p.Command)
		}
	}
	for _, a := range l.failover.Step(now) {
		switch a := a.(type) {
		case failover.Propose:
			sim.propose(l, a.Command)
		case failover.Promote:
			sim.onStep("promote")
			sim.promote(l, a)
		case failover.Fence:
			sim.fence(l, a)
		case failover.MoveOwner:
			l.ownership.RequestMove(now, a.Instance, a.From, a.To)
		case failover.Wait:
			sim.waitReasons = append(sim.waitReasons, a.Reason)
		}
	}
}

func (sim *simulation) propose(l *leader, c control.Command) {
	sim.schedule(4*ms, func() {
		if l == sim.currentLeader() && sim.reachesMajority(l.host) {
			sim.commit(l, c)
		}
	})
}

func (sim *simulation) commit(l *leader, c control.Command) {
	g := &sim.committed.group
	now := l.host.localTime(sim.now)
	switch {
	case c.BeginTerm != nil && c.BeginTerm.Term > g.Term:
		*g = table.Group{
			Name: groupName, Term: c.BeginTerm.Term, Phase: table.PhasePromoting,
			Primary: g.Primary, Candidate: c.BeginTerm.Candidate, TermStart: g.TermStart,
		}
		sim.committed.known = true
		l.failover.SetGroup(*g)
		sim.onStep("begin")
	case c.SetPrimary != nil && c.SetPrimary.Term == g.Term && c.SetPrimary.Primary == g.Candidate:
		g.Phase, g.Primary, g.TermStart = table.PhaseStable, c.SetPrimary.Primary, c.SetPrimary.TermStart
		l.failover.SetGroup(*g)
		sim.onStep("set")
	case c.AssignOwners != nil:
		for _, o := range c.AssignOwners.Ownerships {
			if o.Epoch == sim.committed.owners[o.Instance].Epoch+1 {
				sim.committed.owners[o.Instance] = o
				l.failover.SetOwner(groupName, o)
				l.ownership.SetOwner(now, o)
			}
		}
	}
	sim.committed.index++
}

func (sim *simulation) instanceByID(id table.InstanceID) *instance {
	return sim.insts[slices.IndexFunc(sim.insts, func(i *instance) bool { return i.id == id })]
}

func (sim *simulation) promote(l *leader, a failover.Promote) {
	i := sim.instanceByID(a.Instance)
	result := failover.PromoteResult{Group: a.Group, Instance: a.Instance, Term: a.Term}
	delay, answered := time.Duration(2+sim.rng.IntN(8))*ms, true
	if sim.strayPromotions {
		switch sim.rng.IntN(4) {
		case 0:
			return
		case 1:
			delay = time.Duration(1+sim.rng.IntN(3000)) * ms
		case 2:
			answered = false
		}
	}
	sim.schedule(delay, func() {
		if sim.canReach(l.host, i) && i.accepts(a.Term) {
			sim.checkPromotion(i, a.Term)
			i.role, i.fencedTerm = table.RolePrimary, a.Term
			if i.mark.Term < a.Term {
				i.mark.Term, i.termStart = a.Term, table.Position(len(i.log))
			}
			result.OK, result.Status = true, i.status()
		}
		if answered {
			sim.send(l.host, l.host, func() { l.failover.HandlePromoteResult(l.host.localTime(sim.now), result) })
		}
	})
}

func (sim *simulation) checkPromotion(i *instance, term table.Term) {
	if other, ok := sim.promotedIn[term]; ok && other != i.id {
		sim.t.Fatalf("%v: %v and %v promoted in term %d", sim.now, other, i.id, term)
	}
	if sim.promotedIn[term] == "" && term < sim.committed.group.Term {
		sim.overTerms[term] = true // it serves nothing, see acknowledge
	}
	if sim.promotedIn[term] == "" && term > i.mark.Term {
		sim.checkHoldsAckedWrites(i)
	}
	sim.promotedIn[term] = i.id
}

func (sim *simulation) checkHoldsAckedWrites(i *instance) {
	for _, wr := range sim.ackedWrites {
		if !i.holds(wr.pos, wr.entry) {
			sim.t.Fatalf("%v: %v serves without acknowledged write %v at %d", sim.now, i.id, wr.entry, wr.pos)
		}
	}
}

func (sim *simulation) fence(l *leader, a failover.Fence) {
	i := sim.instanceByID(a.Instance)
	sim.schedule(2*ms, func() {
		if !sim.canReach(l.host, i) {
			return
		}
		i.fencedTerm = max(i.fencedTerm, a.Term)
		if i.mark.Term < a.Term {
			i.role = table.RoleReplica
		}
		l.failover.HandleFenceResult(a.Instance, a.Term)
	})
}

func (sim *simulation) announce(i *instance) {
	l := sim.currentLeader()
	reachable := slices.ContainsFunc(sim.hosts, func(h *host) bool {
		return h.up && !h.frozen && sim.canReach(h, i) && sim.isLinked(string(h.id), string(l.host.id))
	})
	if !reachable || !l.host.up || l.host.frozen {
		return
	}
	s := i.status()
	a := table.Instance{
		ID: i.id, Group: groupName, Address: string(i.id), Domain: table.Domain(fmt.Sprint("d", i.domain)),
		Role: s.Role, Mark: s.Mark, Leaving: i.leaving, SeenAt: l.host.localTime(sim.now),
	}
	l.failover.HandleAnnouncement(a)
	l.ownership.HandleAnnouncement(a)
}

func (sim *simulation) replicate(r *instance) {
	if !r.up || r.frozen || r.role == table.RolePrimary {
		return
	}
	var from *instance
	for _, p := range sim.insts {
		if p == r || !p.up || p.frozen || p.role != table.RolePrimary || !sim.isLinked(string(p.id), string(r.id)) {
			continue
		}
		if p.mark.Term >= max(r.mark.Term, r.fencedTerm) && (from == nil || p.mark.Term > from.mark.Term) {
			from = p
		}
	}
	if from != nil {
		r.log = from.log[:len(from.log):len(from.log)]
		r.mark.Term, r.termStart = from.mark.Term, from.termStart
	}
}
