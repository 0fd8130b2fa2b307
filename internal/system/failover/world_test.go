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

// The model below holds one group in virtual time: instances that replicate
// asynchronously, hosts that own them and acknowledge writes, and the leaders
// among the first three hosts. It checks with every write and promotion what
// must hold.

const (
	ms          = time.Millisecond
	groupName   = table.GroupName("orders")
	voters      = 3
	leaderLease = 400 * ms
	electAfter  = 600 * ms
)

// agreed is the replicated state; hosts hold copies of it.
type agreed struct {
	index  int
	group  table.Group
	known  bool
	owners map[table.InstanceID]table.Ownership
}

func (a agreed) copy() agreed {
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
	id     table.InstanceID
	domain int
	up     bool
	frozen bool // neither answers nor refuses
	role   table.Role
	mark   table.Mark // only its term is kept here
	start  table.Position
	fence  table.Term
	log    []entry
	leaves bool
}

func (i *instance) status() dbedge.Status {
	mark := table.Mark{Term: i.mark.Term, Position: table.Position(len(i.log))}
	return dbedge.Status{Role: i.role, Mark: mark, TermStart: i.start}
}

func (i *instance) holds(pos int, e entry) bool { return len(i.log) >= pos && i.log[pos-1] == e }

// write is one that the upstream ran and that is not acknowledged yet.
type write struct {
	entry entry
	pos   int
	inst  *instance
	epoch table.Epoch
	// confirmed is set once a replica was seen to hold it; it is acknowledged
	// a moment later, so that a host may be frozen in between.
	confirmed bool
}

// owned is what a host knows of an instance it owns.
type owned struct {
	epoch    table.Epoch
	report   failover.Report
	probed   bool
	downAt   time.Duration
	nextAt   time.Duration
	acked    table.Mark
	ackKnown bool
	quiesce  time.Duration // until then no write starts
	quiesced time.Duration // when the last write had ended
}

type host struct {
	id      table.HostID
	domain  int
	up      bool
	frozen  bool
	inbox   []func() // while frozen
	rate    float64
	offset  time.Duration
	holder  lease.Holder
	view    agreed
	stamp   failover.Stamp
	beatAt  time.Duration
	hurry   time.Duration
	seq     uint64
	owned   map[table.InstanceID]*owned
	left    map[table.InstanceID]table.Epoch // released in this epoch
	checks  []failover.Report
	writes  []write
	running int
}

func (h *host) local(t time.Duration) time.Duration {
	return time.Duration(float64(t)*h.rate) + h.offset
}

type leader struct {
	host   *host
	number uint64
	until  time.Duration // true end of the leadership lease
	grants *lease.Grantor
	sys    *failover.System
	own    *ownership.System
}

type world struct {
	t        testing.TB
	rng      *rand.Rand
	now      time.Duration
	hosts    []*host
	insts    []*instance
	due      map[time.Duration][]func()
	cut      map[[2]string]bool
	log      agreed
	leaders  []*leader // the last one is current, earlier ones may still act
	lastId   int
	lag      time.Duration
	acks     []time.Duration
	acked    []write
	promoted map[table.Term]table.InstanceID
	used     map[table.InstanceID]table.Epoch
	waits    []failover.WaitReason
	onPhase  func(step string) // called at each step of a change of primary
	refused  int
	straggle bool
}

func newWorld(t testing.TB, seed uint64, domains int, lag time.Duration) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), due: map[time.Duration][]func(){},
		cut: map[[2]string]bool{}, lag: lag, promoted: map[table.Term]table.InstanceID{},
		used: map[table.InstanceID]table.Epoch{}, onPhase: func(string) {},
	}
	w.log = agreed{owners: map[table.InstanceID]table.Ownership{}}
	for d := range domains {
		w.hosts = append(w.hosts, &host{
			id: table.HostID(fmt.Sprint("h", d)), domain: d, up: true,
			rate: 1 + w.rng.Float64()*(lease.MaxClockRatio-1), offset: time.Duration(w.rng.IntN(1e9)),
			beatAt: time.Duration(w.rng.IntN(150)) * ms, owned: map[table.InstanceID]*owned{}, left: map[table.InstanceID]table.Epoch{},
		})
	}
	for n := range 3 {
		i := &instance{id: table.InstanceID(fmt.Sprint("i", n)), domain: n, up: true}
		i.mark.Term = 1
		if n == 0 {
			i.role = table.RolePrimary
		}
		w.insts = append(w.insts, i)
		phase := time.Duration(w.rng.IntN(500)) * ms
		w.every(phase, 500*ms, func() { w.announce(i) })
		w.every(phase%w.lag, w.lag, func() { w.replicate(i) })
	}
	w.elect(w.hosts[0])
	return w
}

func (w *world) after(d time.Duration, f func()) { w.due[w.now+d] = append(w.due[w.now+d], f) }

func (w *world) every(phase, interval time.Duration, f func()) {
	w.after(max(phase, ms), func() {
		f()
		w.every(interval, interval, f)
	})
}

// delay is usually 1 or 2 ms. Where messages straggle, one in twenty takes up
// to 600 ms, so that others overtake it.
func (w *world) delay() time.Duration {
	if w.straggle && w.rng.IntN(20) == 0 {
		return time.Duration(1+w.rng.IntN(600)) * ms
	}
	return time.Duration(1+w.rng.IntN(2)) * ms
}

func (w *world) linked(a, b string) bool { return len(w.cut) == 0 || !w.cut[[2]string{a, b}] }

func (w *world) link(a, b string, on bool) {
	if on {
		delete(w.cut, [2]string{a, b})
		return
	}
	w.cut[[2]string{a, b}] = true
}

// split cuts all between the two sets of domains, hosts and instances alike.
func (w *world) split(a, b []int, on bool) {
	names := func(domains []int) (names []string) {
		for _, h := range w.hosts {
			if slices.Contains(domains, h.domain) {
				names = append(names, string(h.id))
			}
		}
		for _, i := range w.insts {
			if slices.Contains(domains, i.domain) {
				names = append(names, string(i.id))
			}
		}
		return names
	}
	for _, x := range names(a) {
		for _, y := range names(b) {
			w.link(x, y, !on)
			w.link(y, x, !on)
		}
	}
}

func (w *world) reaches(h *host, i *instance) bool {
	return w.linked(string(h.id), string(i.id)) && i.up && !i.frozen
}

// send delivers f at to after a delay, or never. What is under way when a cut
// begins still arrives.
func (w *world) send(from, to *host, f func()) {
	if !from.up || !w.linked(string(from.id), string(to.id)) {
		return
	}
	w.after(w.delay(), func() {
		switch {
		case !to.up:
		case to.frozen:
			to.inbox = append(to.inbox, f)
		default:
			f()
		}
	})
}

func (w *world) thaw(h *host) {
	h.frozen = false
	w.acknowledge(h)
	for _, f := range h.inbox {
		f()
	}
	h.inbox = nil
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += ms {
		for _, f := range w.due[w.now] {
			f()
		}
		delete(w.due, w.now)
		for _, h := range w.hosts {
			if h.up && !h.frozen {
				w.tickHost(h)
			}
		}
		w.tickLeaders()
	}
}

func (w *world) current() *leader { return w.leaders[len(w.leaders)-1] }

// majority reports whether the host reaches most voters.
func (w *world) majority(h *host) bool {
	n := 0
	for _, v := range w.hosts[:voters] {
		if v.up && !v.frozen && w.linked(string(h.id), string(v.id)) {
			n++
		}
	}
	return h.up && !h.frozen && n > voters/2
}

func (w *world) elect(h *host) {
	cfg := failover.DefaultConfig()
	l := &leader{host: h, number: uint64(len(w.leaders) + 1), until: w.now + leaderLease}
	l.grants = lease.NewGrantor(cfg.Lease)
	l.sys = failover.New(cfg, l.grants)
	l.own = ownership.New(ownership.DefaultConfig())
	l.sys.SetGroupSize(groupName, len(w.insts))
	owners := map[table.HostID]bool{}
	for _, i := range w.insts {
		if o, ok := w.log.owners[i.id]; ok {
			l.sys.SetOwner(groupName, o)
			l.own.SetOwner(h.local(w.now), o)
			owners[o.Host] = true
		}
	}
	if w.log.known {
		l.sys.SetGroup(w.log.group)
	}
	var ids []table.HostID
	for _, x := range w.hosts {
		l.sys.AddHost(x.id)
		if owners[x.id] {
			ids = append(ids, x.id)
		}
	}
	l.grants.Lead(h.local(w.now), h.local(l.until), ids)
	l.own.Lead(h.local(w.now))
	l.sys.Lead(h.local(w.now), l.number)
	w.leaders = append(w.leaders, l)
}

func (w *world) tickLeaders() {
	cur := w.current()
	if w.majority(cur.host) {
		cur.until = w.now + leaderLease
		cur.grants.Extend(cur.host.local(cur.until))
	} else if w.now >= cur.until+electAfter-leaderLease {
		for _, h := range w.hosts[:voters] {
			if w.majority(h) {
				w.elect(h)
				break
			}
		}
	}
	for _, l := range w.leaders {
		if w.now%(5*ms) == 0 && l.host.up && !l.host.frozen && w.now < l.until {
			w.step(l)
		}
	}
}

func (w *world) step(l *leader) {
	now := l.host.local(w.now)
	for _, c := range l.grants.Sweep(now) {
		l.sys.HandleLeaseChange(c.Host)
		l.own.HandleLeaseChange(now, c.Host, c.State)
	}
	for _, a := range l.own.Step(now) {
		if p, ok := a.(ownership.Propose); ok {
			w.propose(l, p.Command)
		}
	}
	for _, a := range l.sys.Step(now) {
		switch a := a.(type) {
		case failover.Propose:
			w.propose(l, a.Command)
		case failover.Promote:
			w.onPhase("promote")
			w.promote(l, a)
		case failover.Fence:
			w.fence(l, a)
		case failover.MoveOwner:
			l.own.RequestMove(now, a.Instance, a.From, a.To)
		case failover.Wait:
			w.waits = append(w.waits, a.Reason)
		}
	}
}

func (w *world) propose(l *leader, c control.Command) {
	w.after(4*ms, func() {
		if l == w.current() && w.majority(l.host) {
			w.commit(l, c)
		}
	})
}

func (w *world) commit(l *leader, c control.Command) {
	g := &w.log.group
	now := l.host.local(w.now)
	switch {
	case c.BeginTerm != nil && c.BeginTerm.Term > g.Term:
		*g = table.Group{
			Name: groupName, Term: c.BeginTerm.Term, Phase: table.PhasePromoting,
			Primary: g.Primary, Candidate: c.BeginTerm.Candidate, TermStart: g.TermStart,
		}
		w.log.known = true
		l.sys.SetGroup(*g)
		w.onPhase("begin")
	case c.SetPrimary != nil && c.SetPrimary.Term == g.Term && c.SetPrimary.Primary == g.Candidate:
		g.Phase, g.Primary, g.TermStart = table.PhaseStable, c.SetPrimary.Primary, c.SetPrimary.TermStart
		l.sys.SetGroup(*g)
		w.onPhase("set")
	case c.AssignOwners != nil:
		for _, o := range c.AssignOwners.Ownerships {
			if o.Epoch == w.log.owners[o.Instance].Epoch+1 {
				w.log.owners[o.Instance] = o
				l.sys.SetOwner(groupName, o)
				l.own.SetOwner(now, o)
			}
		}
	}
	w.log.index++
}

func (w *world) inst(id table.InstanceID) *instance {
	return w.insts[slices.IndexFunc(w.insts, func(i *instance) bool { return i.id == id })]
}

func (w *world) promote(l *leader, a failover.Promote) {
	i := w.inst(a.Instance)
	result := failover.PromoteResult{Group: a.Group, Instance: a.Instance, Term: a.Term}
	w.after(time.Duration(2+w.rng.IntN(8))*ms, func() {
		if w.reaches(l.host, i) && a.Term >= i.fence {
			w.checkPromotion(i, a.Term)
			i.role, i.fence = table.RolePrimary, a.Term
			if i.mark.Term < a.Term {
				i.mark.Term, i.start = a.Term, table.Position(len(i.log))
			}
			result.OK, result.Status = true, i.status()
		}
		w.send(l.host, l.host, func() { l.sys.HandlePromoteResult(l.host.local(w.now), result) })
	})
}

func (w *world) checkPromotion(i *instance, term table.Term) {
	if other, ok := w.promoted[term]; ok && other != i.id {
		w.t.Fatalf("%v: %v and %v promoted in term %d", w.now, other, i.id, term)
	}
	if w.promoted[term] == "" && term > i.mark.Term {
		w.checkHeld(i)
	}
	w.promoted[term] = i.id
}

func (w *world) checkHeld(i *instance) {
	for _, a := range w.acked {
		if !i.holds(a.pos, a.entry) {
			w.t.Fatalf("%v: %v serves without acknowledged write %v at %d", w.now, i.id, a.entry, a.pos)
		}
	}
}

func (w *world) fence(l *leader, a failover.Fence) {
	i := w.inst(a.Instance)
	w.after(2*ms, func() {
		if !w.reaches(l.host, i) {
			return
		}
		i.fence = max(i.fence, a.Term)
		if i.mark.Term < a.Term {
			i.role = table.RoleReplica
		}
		l.sys.HandleFenceResult(a.Instance, a.Term)
	})
}

func (w *world) announce(i *instance) {
	l := w.current()
	reach := slices.ContainsFunc(w.hosts, func(h *host) bool {
		return h.up && !h.frozen && w.reaches(h, i) && w.linked(string(h.id), string(l.host.id))
	})
	if !reach || !l.host.up || l.host.frozen {
		return
	}
	s := i.status()
	a := table.Instance{
		ID: i.id, Group: groupName, Address: string(i.id), Domain: table.Domain(fmt.Sprint("d", i.domain)),
		Role: s.Role, Mark: s.Mark, Leaving: i.leaves, SeenAt: l.host.local(w.now),
	}
	l.sys.HandleAnnouncement(a)
	l.own.HandleAnnouncement(a)
}

func (w *world) replicate(r *instance) {
	if !r.up || r.frozen || r.role == table.RolePrimary {
		return
	}
	var from *instance
	for _, p := range w.insts {
		if p == r || !p.up || p.frozen || p.role != table.RolePrimary || !w.linked(string(p.id), string(r.id)) {
			continue
		}
		if p.mark.Term >= max(r.mark.Term, r.fence) && (from == nil || p.mark.Term > from.mark.Term) {
			from = p
		}
	}
	if from != nil {
		r.log = from.log[:len(from.log):len(from.log)]
		r.mark.Term, r.start = from.mark.Term, from.start
	}
}
