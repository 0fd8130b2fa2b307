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
