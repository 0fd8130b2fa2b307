package lease

import (
	"container/list"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

// HeartbeatID identifies a heartbeat of a host and orders the heartbeats of
// that host. Incarnation increases with each start of the host, Sequence with
// each heartbeat.
type HeartbeatID struct {
	Incarnation uint64
	Sequence    uint64
}

// Before reports whether heartbeat id was sent before other.
func (id HeartbeatID) Before(other HeartbeatID) bool {
	if id.Incarnation != other.Incarnation {
		return id.Incarnation < other.Incarnation
	}
	return id.Sequence < other.Sequence
}

// Grantor tracks the leases that the control leader granted. While it does not
// lead, it grants no lease and treats none as expired.
type Grantor struct {
	cfg          Config
	leading      bool
	leadingSince time.Duration // start of the leadership
	leaderUntil  time.Duration // end of the leadership lease
	grants       map[table.HostID]*grant
	bySilence    *list.List // of *grant, least recently granted first, released ones before them
}

type grant struct {
	host      table.HostID
	grantedAt time.Duration
	heartbeat HeartbeatID
	state     State
	released  bool
	heard     bool // whether this leader has granted the lease
	elem      *list.Element
}

// State is the state of a host's lease as the grantor sees it.
type State uint8

const (
	// Fresh means that heartbeats arrive in time.
	Fresh State = iota
	// Late means that heartbeats are missing, but the host may still hold its
	// lease.
	Late
	// Expired means that the host certainly holds no lease.
	Expired
)

// NewGrantor returns a Grantor that does not lead.
func NewGrantor(cfg Config) *Grantor {
	return &Grantor{cfg: cfg, grants: map[table.HostID]*grant{}, bySilence: list.New()}
}

// Lead starts a leadership at now, whose own lease lasts until leaderUntil. The
// hosts are those that may hold a lease of an earlier leader, which are all
// hosts that own an instance. Their leases count as granted now, and so do the
// leases of hosts that are not listed, but Sweep returns an unlisted host only
// after its first heartbeat.
func (g *Grantor) Lead(now, leaderUntil time.Duration, hosts []table.HostID) {
	g.StepDown()
	g.leading = true
	g.leadingSince = now
	g.leaderUntil = leaderUntil
	for _, host := range hosts {
		g.addGrant(now, host)
	}
}

// Extend records that the leadership lease lasts until leaderUntil.
func (g *Grantor) Extend(leaderUntil time.Duration) {
	g.leaderUntil = max(g.leaderUntil, leaderUntil)
}

// StepDown ends the leadership and discards all grants.
func (g *Grantor) StepDown() {
	g.leading = false
	g.grants = map[table.HostID]*grant{}
	g.bySilence.Init()
}

// Leads reports whether the leadership lease is valid at now.
func (g *Grantor) Leads(now time.Duration) bool {
	return g.leading && now < g.leaderUntil
}

// Grant renews the lease of the host whose heartbeat id arrived at now. It
// returns the granted duration and true. It returns false if the leadership
// lease is not valid or if the heartbeat was not sent after the one that
// released the lease.
func (g *Grantor) Grant(now time.Duration, host table.HostID, id HeartbeatID) (time.Duration, bool) {
	if !g.Leads(now) {
		return 0, false
	}
	gr := g.grants[host]
	if gr != nil && gr.released && !gr.heartbeat.Before(id) {
		return 0, false
	}
	if gr == nil {
		gr = g.addGrant(now, host)
	}
	if gr.heartbeat.Before(id) {
		gr.heartbeat = id
	}
	gr.grantedAt = now
	gr.state = Fresh
	gr.released, gr.heard = false, true
	g.bySilence.MoveToBack(gr.elem)
	return g.cfg.Duration, true
}

// Release records that the host gave up its lease before it sent heartbeat id.
// It does nothing if a later heartbeat has already arrived.
func (g *Grantor) Release(host table.HostID, id HeartbeatID) {
	gr := g.grants[host]
	if !g.leading || gr == nil || id.Before(gr.heartbeat) {
		return
	}
	gr.heartbeat = id
	gr.released = true
	g.bySilence.MoveToFront(gr.elem)
}

// IsStale reports whether the heartbeat was sent before one that was already
// granted or released. The caller must ignore the contents of a stale
// heartbeat.
func (g *Grantor) IsStale(host table.HostID, id HeartbeatID) bool {
	gr := g.grants[host]
	return gr != nil && id.Before(gr.heartbeat)
}

// Expired reports whether the host certainly holds no lease at now, neither
// from this leader nor from an earlier one. It returns false while the
// leadership lease is not valid.
func (g *Grantor) Expired(now time.Duration, host table.HostID) bool {
	if !g.Leads(now) {
		return false
	}
	gr := g.grants[host]
	if gr == nil {
		return now >= g.leadingSince+GrantorTime(g.cfg.Duration)
	}
	return gr.released || now >= gr.grantedAt+GrantorTime(g.cfg.Duration)
}

// Late reports whether heartbeats of the host are missing at now. For a host
// that has sent no heartbeat to this leader, the time counts from the start of
// the leadership and is longer by Config.FindLeader.
func (g *Grantor) Late(now time.Duration, host table.HostID) bool {
	if !g.leading {
		return false
	}
	gr := g.grants[host]
	if gr == nil || !gr.heard {
		return now >= g.leadingSince+g.cfg.LateAfter+g.cfg.FindLeader
	}
	return now >= gr.grantedAt+g.cfg.LateAfter
}

// Change is a transition of a host's lease to another state.
type Change struct {
	Host  table.HostID
	State State
}

// Sweep returns the hosts that became late or whose lease expired since the
// last call. Its cost is proportional to the number of silent hosts, not to the
// number of all hosts.
func (g *Grantor) Sweep(now time.Duration) []Change {
	var changes []Change
	for e := g.bySilence.Front(); e != nil; e = e.Next() {
		gr := e.Value.(*grant)
		state := g.stateOf(now, gr)
		if state == Fresh && gr.heard {
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

// Forget removes a host that has left for good or that no longer owns any
// instance. It keeps a lease that has not expired, and keeps every lease until
// those of earlier leaders have expired.
func (g *Grantor) Forget(now time.Duration, host table.HostID) {
	gr := g.grants[host]
	if gr == nil || !g.Expired(now, host) {
		return
	}
	if now < g.leadingSince+GrantorTime(g.cfg.Duration) {
		return
	}
	g.bySilence.Remove(gr.elem)
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

func (g *Grantor) addGrant(now time.Duration, host table.HostID) *grant {
	if gr := g.grants[host]; gr != nil {
		return gr
	}
	gr := &grant{host: host, grantedAt: now}
	gr.elem = g.bySilence.PushBack(gr)
	g.grants[host] = gr
	return gr
}
