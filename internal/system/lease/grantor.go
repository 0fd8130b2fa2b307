package lease

import (
	"container/list"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// HeartbeatID orders the heartbeats of one host. Incarnation grows with each start of
// the host, Sequence with each heartbeat.
type HeartbeatID struct {
	Incarnation uint64
	Sequence    uint64
}

// Before reports whether b was sent before o.
func (b HeartbeatID) Before(o HeartbeatID) bool {
	if b.Incarnation != o.Incarnation {
		return b.Incarnation < o.Incarnation
	}
	return b.Sequence < o.Sequence
}

// Grantor keeps the leases that the control leader granted. A host that did
// not lead grants nothing and treats no lease as expired.
type Grantor struct {
	cfg         Config
	leading     bool
	since       time.Duration // start of the leadership
	leaderUntil time.Duration // end of the leadership lease
	grants      map[table.HostID]*grant
	order       *list.List // of *grant, longest silent first
}

type grant struct {
	host     table.HostID
	at       time.Duration
	beat     HeartbeatID
	state    State
	released bool
	elem     *list.Element
}

// State is what the grantor knows of the lease of a host.
type State uint8

// The states of a lease.
const (
	// Fresh means that heartbeats arrive in time.
	Fresh State = iota
	// Late means that heartbeats are missing while the lease may be held.
	Late
	// Expired means that the host holds no lease.
	Expired
)

// NewGrantor returns a grantor that does not lead.
func NewGrantor(cfg Config) *Grantor {
	return &Grantor{cfg: cfg, grants: map[table.HostID]*grant{}, order: list.New()}
}

// Lead starts a leadership at now. The hosts are those that may hold a lease
// of an earlier leader: all that own something. Their leases count as granted
// now, and so do those of hosts that are not named.
func (g *Grantor) Lead(now, leaderUntil time.Duration, hosts []table.HostID) {
	g.StepDown()
	g.leading = true
	g.since = now
	g.leaderUntil = leaderUntil
	for _, host := range hosts {
		g.put(now, host)
	}
}

// Extend records that the leadership lease lasts until leaderUntil.
func (g *Grantor) Extend(leaderUntil time.Duration) {
	g.leaderUntil = max(g.leaderUntil, leaderUntil)
}

// StepDown ends the leadership and forgets all grants.
func (g *Grantor) StepDown() {
	g.leading = false
	g.grants = map[table.HostID]*grant{}
	g.order.Init()
}

// Leads reports whether the leadership lease is valid at now.
func (g *Grantor) Leads(now time.Duration) bool {
	return g.leading && now < g.leaderUntil
}

// Grant renews the lease of the host whose heartbeat arrived at now. It
// returns the duration to answer, and false if nothing was granted: the
// leadership lease is not valid, or the heartbeat was sent before one that
// released the lease.
func (g *Grantor) Grant(now time.Duration, host table.HostID, beat HeartbeatID) (time.Duration, bool) {
	if !g.Leads(now) {
		return 0, false
	}
	gr := g.grants[host]
	if gr != nil && gr.released && !gr.beat.Before(beat) {
		return 0, false
	}
	if gr == nil {
		gr = g.put(now, host)
	}
	if gr.beat.Before(beat) {
		gr.beat = beat
	}
	gr.at = now
	gr.state = Fresh
	gr.released = false
	g.order.MoveToBack(gr.elem)
	return g.cfg.Duration, true
}

// Release records that the host gave its lease up before it sent beat. A
// release that was overtaken by a later heartbeat changes nothing.
func (g *Grantor) Release(host table.HostID, beat HeartbeatID) {
	gr := g.grants[host]
	if !g.leading || gr == nil || beat.Before(gr.beat) {
		return
	}
	gr.beat = beat
	gr.released = true
	g.order.MoveToFront(gr.elem)
}

// IsStale reports whether a heartbeat was sent before one that was granted
// or released already. What it reports is out of date.
func (g *Grantor) IsStale(host table.HostID, beat HeartbeatID) bool {
	gr := g.grants[host]
	return gr != nil && beat.Before(gr.beat)
}

// Expired reports whether the host holds no lease at now, neither of this
// leader nor of an earlier one. It is false while the leadership lease is not
// valid.
func (g *Grantor) Expired(now time.Duration, host table.HostID) bool {
	if !g.Leads(now) {
		return false
	}
	gr := g.grants[host]
	if gr == nil {
		return now >= g.since+GrantorTime(g.cfg.Duration)
	}
	return gr.released || now >= gr.at+GrantorTime(g.cfg.Duration)
}

// Late reports whether heartbeats of the host are missing at now. A host that
// was never heard of is late once a new leader could have heard of it.
func (g *Grantor) Late(now time.Duration, host table.HostID) bool {
	if !g.leading {
		return false
	}
	at := g.since
	if gr := g.grants[host]; gr != nil {
		at = gr.at
	}
	return now >= at+g.cfg.LateAfter
}

// Change is a host whose lease came into another state.
type Change struct {
	Host  table.HostID
	State State
}

// Sweep returns the hosts that became late or whose lease expired since the
// last call. Its cost follows the number of silent hosts, not of all hosts.
func (g *Grantor) Sweep(now time.Duration) []Change {
	var changes []Change
	for e := g.order.Front(); e != nil; e = e.Next() {
		gr := e.Value.(*grant)
		state := g.stateOf(now, gr)
		if state == Fresh {
			break
		}
		if state == gr.state {
			continue
		}
		gr.state = state
		changes = append(changes, Change{Host: gr.host, State: state})
	}
	return changes
}

// Forget drops a host that left for good or whose ownerships have all moved.
// A lease that has not expired is kept.
func (g *Grantor) Forget(now time.Duration, host table.HostID) {
	gr := g.grants[host]
	if gr == nil || !g.Expired(now, host) {
		return
	}
	if now < g.since+GrantorTime(g.cfg.Duration) {
		return
	}
	g.order.Remove(gr.elem)
	delete(g.grants, host)
}

func (g *Grantor) stateOf(now time.Duration, gr *grant) State {
	switch {
	case g.Expired(now, gr.host):
		return Expired
	case g.Late(now, gr.host):
		return Late
	default:
		return Fresh
	}
}

func (g *Grantor) put(now time.Duration, host table.HostID) *grant {
	if gr := g.grants[host]; gr != nil {
		return gr
	}
	gr := &grant{host: host, at: now}
	gr.elem = g.order.PushBack(gr)
	g.grants[host] = gr
	return gr
}
