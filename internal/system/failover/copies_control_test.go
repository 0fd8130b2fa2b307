package failover_test

import (
	"time"

	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// powerOn starts all hosts, and a leader that knows only the control state.
func (w *copiesWorld) powerOn() {
	for _, h := range w.hosts {
		*h = worldHost{id: h.id, up: true, probes: map[table.InstanceID]*worldProbe{}}
	}
	w.startLeading()
}

// powerOff ends all hosts at the same moment.
func (w *copiesWorld) powerOff() {
	w.leading = false
	for _, h := range w.hosts {
		h.up = false
	}
	for n := range w.sent {
		w.sent[n].host = nil
	}
}

// startLeading begins a leadership in the order of internal/host.
func (w *copiesWorld) startLeading() {
	cfg := failover.DefaultConfig()
	cfg.ExternalTerms = true
	cfg.PromoteTimeout, cfg.PromoteRetry = worldPromoteTimeout, worldPromoteRetry
	w.leadership++
	w.leading = true
	w.sys = failover.New(cfg, w)
	w.platform.polls = nil
	w.contact = map[table.HostID]time.Duration{}
	w.known, w.left = map[table.InstanceID]table.Instance{}, map[table.InstanceID]uint64{}
	w.sys.SetGroupSize(groupName, 2)
	for _, h := range w.hosts {
		w.contact[h.id] = w.now
		w.sys.AddHost(h.id)
	}
	view := w.state.View()
	for id, in := range view.Instances {
		in.SeenAt = w.now
		w.known[id] = in
		w.sys.HandleAnnouncement(in)
		if in.Left {
			w.sys.HandleInstanceLeft(w.now, id)
		}
	}
	if g, ok := view.Groups[groupName]; ok {
		w.sys.SetGroup(g)
	}
	for _, o := range view.Owners {
		w.sys.SetOwner(groupName, o)
	}
	w.sys.Lead(w.now, w.leadership)
}

// announce delivers an announcement of c to the leader, which treats it like
// internal/host.
func (w *copiesWorld) announce(c *nodeCopy) {
	if !w.reachesControl(c.zone) || c.hidden {
		return
	}
	in := table.Instance{
		ID: c.id, Group: groupName, Address: c.address, Role: c.role, Mark: table.Mark{Term: c.mark().Term},
		Leaving: c.leaving, Born: c.born, Sequence: c.sequence, SeenAt: w.now,
	}
	old, known := w.known[c.id]
	if known && (in.Born < old.Born || in.Born == old.Born && old.Left) || in.Born <= w.left[c.id] {
		return
	}
	for id, other := range w.known {
		if id == in.ID || other.Address != in.Address {
			continue
		}
		if other.Born > in.Born {
			return
		}
		w.markLeft(id, other.Born)
	}
	in.Emptied = known && (old.Emptied || old.Born != 0 && in.Born > old.Born)
	w.sys.HandleAnnouncement(in)
	w.known[c.id] = in
	w.noteInstance(in)
	if _, owned := w.state.View().Owners[c.id]; !owned {
		o := table.Ownership{Instance: c.id, Host: w.ownerOf(c).id, Epoch: 1}
		w.state.Apply(control.Command{AssignOwners: &control.AssignOwners{Ownerships: []table.Ownership{o}}})
		w.sys.SetOwner(groupName, o)
	}
}

// markLeft marks a start of an instance as left.
func (w *copiesWorld) markLeft(id table.InstanceID, born uint64) {
	in, known := w.known[id]
	if !known || in.Left || in.Born != born {
		return
	}
	in.Leaving, in.Left = true, true
	w.left[id], w.known[id] = born, in
	w.sys.HandleInstanceLeft(w.now, id)
	w.noteInstance(in)
}

// noteInstance stores an instance in the control state if its entry changed.
func (w *copiesWorld) noteInstance(in table.Instance) {
	in.Mark, in.SeenAt, in.Sequence = table.Mark{}, 0, 0
	if w.state.View().Instances[in.ID] != in {
		w.state.Apply(control.Command{NoteInstances: &control.NoteInstances{Known: []table.Instance{in}}})
	}
}

// heartbeat exchanges a heartbeat between a host and the leader.
func (w *copiesWorld) heartbeat(h *worldHost) {
	w.contact[h.id] = w.now
	h.view = w.state.View()
	h.leaseUntil = w.now + lease.DefaultConfig().Duration
	var reports []failover.Report
	for id, o := range h.view.Owners {
		if o.Host == h.id {
			reports = append(reports, w.report(h, id))
		}
	}
	w.sys.HandleReports(w.now, h.id, reports)
	h.stamp = w.sys.Stamp(w.now)
}

// report probes an instance of the host. If that fails, the report repeats what the
// latest successful probe returned.
func (w *copiesWorld) report(h *worldHost, id table.InstanceID) failover.Report {
	p := h.probes[id]
	if p == nil {
		p = &worldProbe{report: failover.Report{Group: groupName, Instance: id}, failingSince: w.now}
		h.probes[id] = p
	}
	if c := w.running(id); c != nil && !c.hidden {
		if p.connected != c {
			p.connected, p.connectedAt = c, w.now
		}
		w.probe(h, p, c)
	} else {
		if p.report.Reachable {
			p.failingSince = w.now
		}
		p.report.Reachable, p.report.UnreachableFor = false, w.now-p.failingSince
	}
	r := p.report
	r.After, r.SeenTerm = h.stamp, h.view.Groups[groupName].Term
	r.AckedKnown, r.Acked = p.ackedKnown, p.acked
	return r
}

func (w *copiesWorld) probe(h *worldHost, p *worldProbe, c *nodeCopy) {
	p.report = failover.Report{
		ConnectedFor: w.now - p.connectedAt + 1,
		Group:        groupName, Instance: c.id, Address: c.address, Reachable: true, Role: c.role, Mark: c.mark(),
		Held: c.held, Leaving: c.leaving, LogTerm: c.term,
	}
	if c.role != table.RolePrimary {
		return
	}
	if !p.ackedKnown || p.acked.Term != c.term {
		p.ackedKnown, p.acked = true, c.mark()
	}
	p.report.Quiesced = w.now < h.quietUntil && len(h.pending) == 0
}

// obey carries out the orders for a host.
func (w *copiesWorld) obey(h *worldHost) {
	for _, o := range w.sys.Orders(h.id) {
		c := w.running(o.Instance)
		switch {
		case o.Kind == failover.OrderCheck:
			w.witness(h, o, c)
		case o.Kind == failover.OrderQuiesce:
			h.quietUntil = w.now + o.Bound
		case o.Kind == failover.OrderResume:
			h.quietUntil = 0
		case c == nil || c.hidden || c.role != table.RoleReplica:
		case o.Kind == failover.OrderHold && o.Term > c.term:
			c.held = o.Term
		case o.Kind == failover.OrderReceive:
			c.held = 0
		}
	}
}

func (w *copiesWorld) witness(h *worldHost, o failover.Order, c *nodeCopy) {
	reachable := c != nil && !c.hidden && w.linked(c.zone, w.zoneOf(h))
	w.sys.HandleReports(w.now, h.id, []failover.Report{{
		Group: groupName, Instance: o.Instance, Witness: true, Reachable: reachable, After: h.stamp,
	}})
}

func (w *copiesWorld) zoneOf(h *worldHost) int {
	for z := range w.hosts {
		if w.hosts[z] == h {
			return z
		}
	}
	return -1
}

// execute executes one action of the leader.
func (w *copiesWorld) execute(action failover.Action) {
	switch a := action.(type) {
	case failover.Propose:
		w.state.Apply(a.Command)
		w.sys.SetGroup(w.state.View().Groups[groupName])
	case failover.Promote:
		w.promote(a)
	case failover.Fence:
		w.fence(a)
	case failover.InstanceRefilled:
		w.note("%s is refilled", a.Instance)
		in := w.known[a.Instance]
		in.Emptied = in.Born != a.Born
		w.known[a.Instance] = in
		w.noteInstance(in)
	case failover.InstanceRemoved:
		delete(w.known, a.Instance)
		w.state.Apply(control.Command{NoteInstances: &control.NoteInstances{Gone: []table.InstanceID{a.Instance}}})
	case failover.Wait:
		w.note("waits for %v", a.Reason)
	}
}

func (w *copiesWorld) fence(a failover.Fence) {
	c := w.running(a.Instance)
	if c == nil || c.hidden || !w.reachesControl(c.zone) {
		return
	}
	if c.role == table.RolePrimary && c.term < a.Term {
		c.role = table.RoleReplica
	}
	w.sys.HandleFenceResult(a.Instance, a.Term)
}
