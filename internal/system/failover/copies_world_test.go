package failover_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	worldTick        = 20 * ms
	worldZones       = 3
	worldAnnounce    = 500 * ms        // between two announcements of a copy
	worldFirstNotice = 100 * ms        // from the start of a copy to its first announcement
	worldPromoteTime = 100 * ms        // from the order until the instance leads, usually
	worldStepDown    = time.Second     // from when an old primary reaches the new one
	worldDeadline    = 3 * time.Second // of a write
)

// nodeCopy is one start of an instance whose platform assigns the terms of logs. It
// is a *copy* in the words of the design.
type nodeCopy struct {
	id      table.InstanceID
	address string
	zone    int
	born    uint64
	up      bool
	leaving bool
	deaf    bool // receives nothing
	hidden  bool // no host reaches it, and it reaches none
	alone   bool // it does not reach the others of its group
	role    table.Role
	term    table.Term // that it leads or follows
	held    table.Term
	log     []entry
	copying time.Duration // when it has copied the log of the primary, zero if it has

	nextAnnounceAt time.Duration
	sequence       uint64
	exitAt         time.Duration // if it is leaving
	sawNewerAt     time.Duration // since when a primary has reached a newer one
	sawNewer       bool
}

func (c *nodeCopy) mark() table.Mark {
	m := table.Mark{Term: c.term, Position: table.Position(len(c.log))}
	if c.role == table.RoleReplica && len(c.log) > 0 {
		m.Term = c.log[len(c.log)-1].term
	}
	return m
}

func (c *nodeCopy) holds(w worldWrite) bool { return len(c.log) >= w.pos && c.log[w.pos-1] == w.entry }

// worldWrite is a write that a primary has run.
type worldWrite struct {
	entry    entry
	pos      int
	at       *nodeCopy
	until    time.Duration // when its caller gives up
	received bool          // a replica of the primary has received it
	answered bool          // the answer of the primary has arrived at the host
}

// sentWrite is a write on its way to a primary that can't be reached.
type sentWrite struct {
	to   *nodeCopy
	term table.Term // of the log when it was sent
	host *worldHost // nil if the host has ended meanwhile
}

// worldHost is the host that owns the instances of its zone.
type worldHost struct {
	id         table.HostID
	up         bool
	leaseUntil time.Duration
	view       *control.View // the state that it last applied
	stamp      failover.Stamp
	pending    []worldWrite // not acknowledged yet
	quietUntil time.Duration
	probes     map[table.InstanceID]*worldProbe
}

// worldProbe is what a host knows of an instance that it owns.
type worldProbe struct {
	report       failover.Report // of the latest probe
	failingSince time.Duration
	connected    *nodeCopy // at the other end of the connection
	connectedAt  time.Duration
	acked        table.Mark // highest position acknowledged in the term of the instance
	ackedKnown   bool
}

// copiesWorld is one group in virtual time, with the real System at the leader and
// the real control state. Copies come and go, zones are cut off, all hosts lose
// power. It checks that each promoted instance holds each acknowledged write.
// Messages that are not cut off take one tick.
type copiesWorld struct {
	t          fataler
	now        time.Duration
	copies     []*nodeCopy
	lead       *nodeCopy // primary of the latest term according to the platform
	term       table.Term
	hosts      []*worldHost
	cut        int // zone that is cut off, -1 if none is
	state      *control.State
	sys        *failover.System
	leading    bool
	leadership uint64
	contact    map[table.HostID]time.Duration // latest heartbeat of each host at the leader
	known      map[table.InstanceID]table.Instance
	left       map[table.InstanceID]uint64
	platform   worldPlatform
	acked      []worldWrite
	writes     int
	starts     uint64
	sent       []sentWrite   // arrive once their primary is reached again
	endsHolds  bool          // each promotion ends the holds of all replicas
	noticeTime time.Duration // until a replica that reaches a new primary follows it
	trace      []string
}

type fataler interface {
	Fatalf(format string, args ...any)
	Helper()
}

var _ fataler = testing.TB(nil)

// newCopiesWorld returns a group of three instances, one a zone, in service.
func newCopiesWorld(t fataler) *copiesWorld {
	w := &copiesWorld{t: t, cut: -1, state: control.NewState(), term: 1}
	for z := range worldZones {
		w.hosts = append(w.hosts, &worldHost{id: table.HostID(fmt.Sprint("h-", z))})
		c := w.start(table.InstanceID(fmt.Sprint("i-", z)), fmt.Sprint("10.0.0.1:", z), z, nil)
		c.term = w.term
	}
	w.lead = w.copies[0]
	w.lead.role = table.RolePrimary
	w.powerOn()
	w.run(time.Second)
	if !w.serves() {
		t.Fatalf("the group does not serve at first: %v", w.describe())
	}
	return w
}

// start starts a copy.
func (w *copiesWorld) start(id table.InstanceID, address string, zone int, log []entry) *nodeCopy {
	w.starts++
	c := &nodeCopy{
		id: id, address: address, zone: zone, born: w.starts, up: true, term: w.term, log: log,
		nextAnnounceAt: w.now + worldFirstNotice,
	}
	w.copies = append(w.copies, c)
	return c
}

// linked reports whether two zones reach each other.
func (w *copiesWorld) linked(a, b int) bool { return a == b || a != w.cut && b != w.cut }

// reach reports whether two copies reach each other.
func (w *copiesWorld) reach(a, b *nodeCopy) bool {
	return w.linked(a.zone, b.zone) && !a.alone && !b.alone
}

// reachesControl reports whether the zone reaches the leader, which is never in the
// zone that is cut off.
func (w *copiesWorld) reachesControl(zone int) bool { return w.leading && zone != w.cut }

func (w *copiesWorld) ownerOf(c *nodeCopy) *worldHost { return w.hosts[c.zone] }

// running returns the copy that runs under an id, nil if none does.
func (w *copiesWorld) running(id table.InstanceID) *nodeCopy {
	for _, c := range w.copies {
		if c.id == id && c.up {
			return c
		}
	}
	return nil
}

func (w *copiesWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += worldTick {
		w.tick()
	}
}

func (w *copiesWorld) tick() {
	for _, c := range w.copies {
		if c.up {
			w.tickCopy(c)
		}
	}
	w.tickPlatform()
	w.deliverSent()
	for _, h := range w.hosts {
		if h.up && h.view != nil {
			w.answerPending(h)
			w.acknowledge(h)
		}
	}
	if !w.leading {
		return
	}
	w.tickPolls()
	for z, h := range w.hosts {
		if h.up && w.reachesControl(z) {
			w.heartbeat(h)
		}
	}
	for _, a := range w.sys.Step(w.now) {
		w.execute(a)
	}
	for z, h := range w.hosts {
		if h.up && w.reachesControl(z) {
			w.obey(h)
		}
	}
}

// tickCopy lets a copy follow, receive, announce itself and leave.
func (w *copiesWorld) tickCopy(c *nodeCopy) {
	if c != w.lead && c.term < w.term && w.lead.up && w.reach(c, w.lead) {
		w.noticeNewer(c)
	}
	if c.copying != 0 && w.now >= c.copying && w.lead.up && w.reach(c, w.lead) {
		c.copying = 0
	}
	if w.receives(c, w.lead) {
		c.log = slices.Clone(w.lead.log)
	}
	if c.leaving && w.now >= c.exitAt {
		w.exit(c)
		return
	}
	if w.now >= c.nextAnnounceAt {
		c.nextAnnounceAt = w.now + worldAnnounce
		c.sequence++
		w.announce(c)
	}
}

// noticeNewer makes a copy follow the primary of the latest term: a replica after
// noticeTime, an old primary after a second.
func (w *copiesWorld) noticeNewer(c *nodeCopy) {
	if !c.sawNewer {
		c.sawNewer, c.sawNewerAt = true, w.now
	}
	notice := w.noticeTime
	if c.role == table.RolePrimary {
		notice = worldStepDown
	}
	if w.now >= c.sawNewerAt+notice {
		w.follow(c)
	}
}

// follow makes a copy a replica of the latest term and rolls back what the new
// primary does not hold. A hold in a later term stays.
func (w *copiesWorld) follow(c *nodeCopy) {
	c.role, c.term, c.sawNewer = table.RoleReplica, w.term, false
	if c.held <= c.term {
		c.held = 0
	}
	common := 0
	for common < min(len(c.log), len(w.lead.log)) && c.log[common] == w.lead.log[common] {
		common++
	}
	c.log = slices.Clone(c.log[:common])
}

// receives reports whether a replica receives from a primary.
func (w *copiesWorld) receives(r, p *nodeCopy) bool {
	return r != p && r.up && p.up && r.role == table.RoleReplica && p.role == table.RolePrimary &&
		r.term == p.term && !r.deaf && r.held == 0 && r.copying == 0 && w.reach(r, p)
}

// exit ends a copy that was leaving. Its log is gone.
func (w *copiesWorld) exit(c *nodeCopy) {
	c.up, c.log = false, nil
	if w.reachesControl(c.zone) && !c.hidden {
		w.markLeft(c.id, c.born)
	}
}

// writeTo sends a write to the primary that the host of its zone serves. Of the
// replicas that receive from it, only the given one receives at once.
func (w *copiesWorld) writeTo(p *nodeCopy, first int) {
	h := w.ownerOf(p)
	if !p.up || p.role != table.RolePrimary || !h.up || h.view == nil || w.now < h.quietUntil {
		return
	}
	if g := h.view.Groups[groupName]; !w.maySend(h, p, g) {
		return
	}
	if p.hidden {
		w.sent = append(w.sent, sentWrite{to: p, term: p.term, host: h})
		return
	}
	w.runWrite(h, p, p.term, first)
	w.answerPending(h)
	w.acknowledge(h)
}

// runWrite runs a write at a primary. Its host, if it has not ended, takes it for written
// in sentIn.
func (w *copiesWorld) runWrite(h *worldHost, p *nodeCopy, sentIn table.Term, first int) {
	w.writes++
	e := entry{term: p.term, id: w.writes}
	p.log = append(slices.Clone(p.log), e)
	if h != nil && e.term == sentIn {
		h.pending = append(h.pending, worldWrite{entry: e, pos: len(p.log), at: p, until: w.now + worldDeadline})
	}
	var receivers []*nodeCopy
	for _, r := range w.copies {
		if w.receives(r, p) {
			receivers = append(receivers, r)
		}
	}
	if len(receivers) > 0 {
		receivers[first%len(receivers)].log = slices.Clone(p.log)
	}
}

// deliverSent lets the writes arrive whose primary is reached again, over the connections
// that were open before.
func (w *copiesWorld) deliverSent() {
	sent := w.sent
	w.sent = nil
	for _, s := range sent {
		switch {
		case !s.to.up || s.to.role != table.RolePrimary && !s.to.hidden:
		case s.to.hidden:
			w.sent = append(w.sent, s)
		default:
			w.runWrite(s.host, s.to, s.term, 0)
		}
	}
}

// maySend reports whether the host serves p as the primary of the group.
func (w *copiesWorld) maySend(h *worldHost, p *nodeCopy, g table.Group) bool {
	return h.probes[p.id] != nil && w.now < h.leaseUntil && g.Phase == table.PhaseStable && g.Primary == p.id && p.term == g.EffectiveLogTerm()
}

// acknowledge acknowledges the pending writes of a host that the primary itself has
// answered, which it does once a replica has received them.
func (w *copiesWorld) acknowledge(h *worldHost) {
	kept := h.pending[:0]
	for _, wr := range h.pending {
		switch {
		case w.now >= wr.until || w.outcome(h, wr) == table.SurvivedNo:
			continue // the outcome is unknown to the caller, or the write was lost
		case !w.mayAcknowledge(h, wr):
			kept = append(kept, wr)
			continue
		}
		if !w.lead.holds(wr) {
			w.t.Fatalf("LOST: write %d of term %d is acknowledged, and %v leads term %d without it: %v",
				wr.entry.id, wr.entry.term, w.lead.id, w.term, w.describe())
		}
		w.acked = append(w.acked, wr)
		m := table.Mark{Term: wr.entry.term, Position: table.Position(wr.pos)}
		if probe := h.probes[wr.at.id]; probe.acked.Less(m) {
			probe.acked = m
		}
	}
	h.pending = kept
}

// mayAcknowledge reports whether the answer of the primary has arrived and the host may
// acknowledge the write: under its lease, or because a later term contains it.
func (w *copiesWorld) mayAcknowledge(h *worldHost, wr worldWrite) bool {
	p := wr.at
	if !wr.answered {
		return false
	}
	underLease := w.maySend(h, p, h.view.Groups[groupName]) && p.term == wr.entry.term
	return underLease && w.isReceived(h, wr) || w.outcome(h, wr) == table.SurvivedYes
}

// outcome returns what the control state that the host knows tells about a write of an
// earlier term.
func (w *copiesWorld) outcome(h *worldHost, wr worldWrite) table.Survived {
	g := h.view.Groups[groupName]
	if g.Phase != table.PhaseStable || g.EffectiveLogTerm() <= wr.entry.term {
		return table.SurvivedUnknown
	}
	return g.History.Survives(table.Mark{Term: wr.entry.term, Position: table.Position(wr.pos)})
}

// answerPending lets the answers of primaries arrive. A primary answers once a replica of
// its own has received the write, and the answer arrives once the primary is reached.
func (w *copiesWorld) answerPending(h *worldHost) {
	for n := range h.pending {
		wr := &h.pending[n]
		p := wr.at
		if !wr.received && p.up && p.role == table.RolePrimary && p.term == wr.entry.term && p.holds(*wr) {
			wr.received = w.hasReceiver(*wr)
		}
		wr.answered = wr.answered || wr.received && p.up && !p.hidden
	}
}

// hasReceiver reports whether a replica that follows the primary of a write holds it.
func (w *copiesWorld) hasReceiver(wr worldWrite) bool {
	return slices.ContainsFunc(w.copies, func(r *nodeCopy) bool {
		return r != wr.at && r.up && r.role == table.RoleReplica && r.term == wr.entry.term && w.reach(r, wr.at) && r.holds(wr)
	})
}

// isReceived reports whether a replica of its primary holds a write, and whether the
// host has seen it at a replica that the control state counts.
func (w *copiesWorld) isReceived(h *worldHost, wr worldWrite) bool {
	return slices.ContainsFunc(w.copies, func(r *nodeCopy) bool {
		in, counted := h.view.Instances[r.id]
		counted = counted && !in.Leaving
		return r != wr.at && r.up && !r.hidden && r.role == table.RoleReplica && w.linked(r.zone, wr.at.zone) && r.holds(wr) && counted
	})
}

func (w *copiesWorld) checkHoldsAcked(c *nodeCopy) {
	w.t.Helper()
	for _, wr := range w.acked {
		if !c.holds(wr) {
			w.t.Fatalf("LOST: %v leads term %d without write %d of term %d, acknowledged at position %d: %v",
				c.id, w.term+1, wr.entry.id, wr.entry.term, wr.pos, w.describe())
		}
	}
}

// serves reports whether the group serves writes.
func (w *copiesWorld) serves() bool {
	h := w.ownerOf(w.lead)
	before := len(w.acked)
	w.writeTo(w.lead, 0)
	w.run(2 * worldTick)
	return w.lead.up && h.up && len(w.acked) > before
}

func (w *copiesWorld) describe() string {
	s := fmt.Sprintf("at %v, group %+v", w.now, w.state.View().Groups[groupName])
	if w.sys != nil {
		reason, since := w.sys.Waiting(groupName)
		s += fmt.Sprintf(", waits for %v since %v", reason, since)
	}
	for _, c := range w.copies {
		s += fmt.Sprintf("\n  %s born %d zone %d up %v role %v mark %v held %d", c.id, c.born, c.zone, c.up, c.role, c.mark(), c.held)
	}
	for _, l := range w.trace {
		s += "\n  " + l
	}
	return s
}

func (w *copiesWorld) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8v  ", w.now)+fmt.Sprintf(format, args...))
}

// Late implements failover.Leases.
func (w *copiesWorld) Late(now time.Duration, h table.HostID) bool {
	return now >= w.contact[h]+lease.DefaultConfig().LateAfter
}

// Expired implements failover.Leases.
func (w *copiesWorld) Expired(now time.Duration, h table.HostID) bool {
	return now >= w.contact[h]+lease.GrantorTime(lease.DefaultConfig().Duration)
}

// status is the answer of a copy to a probe.
func (c *nodeCopy) status() dbedge.Status { return dbedge.Status{Role: c.role, Mark: c.mark()} }
