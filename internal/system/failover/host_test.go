package failover_test

import (
	"fmt"
	"maps"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/system/lease"
	"github.com/amaranthweir/amaranthweir/internal/system/ownership"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// tickHost is one millisecond of a host: acknowledge, write, probe, heartbeat.
func (w *world) tickHost(h *host) {
	w.acknowledge(h)
	for _, i := range w.insts {
		o := h.owned[i.id]
		if o == nil {
			continue
		}
		if w.now >= o.nextAt {
			o.nextAt = w.now + failover.DefaultConfig().ProbeInterval
			w.probe(h, i, func(r failover.Report) { w.probed(h, o, r) })
		}
		if w.now%(2*ms) == 0 {
			w.startWrite(h, i, o)
		}
	}
	if w.now >= h.beatAt {
		w.heartbeat(h)
	}
}

func (h *host) serves(i *instance) bool {
	g, o := h.view.group, h.view.owners[i.id]
	return h.view.known && g.Phase == table.PhaseStable && g.Primary == i.id && o.Host == h.id
}

func (w *world) startWrite(h *host, i *instance, o *owned) {
	if !h.serves(i) || !h.holder.Valid(h.local(w.now)) || !o.ackKnown || w.now < o.quiesce {
		return
	}
	if o.epoch < w.used[i.id] {
		w.t.Fatalf("%v: %v uses %v in epoch %d after %d", w.now, h.id, i.id, o.epoch, w.used[i.id])
	}
	w.used[i.id] = o.epoch
	w.lastId++
	e := entry{h.view.group.Term, w.lastId}
	h.running++
	w.after(w.delay(), func() {
		ran := w.reaches(h, i) && i.role == table.RolePrimary && i.mark.Term == e.term
		if ran {
			i.log = append(i.log, e)
		}
		at := write{entry: e, pos: len(i.log), inst: i, epoch: o.epoch}
		w.after(w.delay(), func() {
			h.running--
			if ran && h.up {
				h.writes = append(h.writes, at)
			}
		})
	})
}

// acknowledge answers the writes that a replica holds, after the lease was
// checked once more.
func (w *world) acknowledge(h *host) {
	kept := h.writes[:0]
	for _, a := range h.writes {
		o := h.owned[a.inst.id]
		if o == nil || o.epoch != a.epoch || !h.serves(a.inst) || h.view.group.Term != a.entry.term {
			w.refused++
			continue
		}
		if !a.confirmed {
			a.confirmed = w.replicated(h, a)
			kept = append(kept, a)
			continue
		}
		if !h.holder.Valid(h.local(w.now)) {
			w.refused++
			continue
		}
		for term := range w.promoted {
			if term > a.entry.term {
				w.t.Fatalf("%v: %v acknowledges in term %d after term %d", w.now, h.id, a.entry.term, term)
			}
		}
		o.acked = table.Mark{Term: a.entry.term, Position: max(o.acked.Position, table.Position(a.pos))}
		w.acked = append(w.acked, a)
		w.acks = append(w.acks, w.now)
	}
	h.writes = kept
}

func (w *world) replicated(h *host, a write) bool {
	for _, r := range w.insts {
		if r != a.inst && r.mark.Term == a.entry.term && r.holds(a.pos, a.entry) && w.reaches(h, r) {
			return true
		}
	}
	return false
}

// probe asks an instance for its status. A process that is down refuses at
// once, one that is cut off or frozen never answers.
func (w *world) probe(h *host, i *instance, done func(failover.Report)) {
	r := failover.Report{Group: groupName, Instance: i.id, Address: string(i.id), After: h.stamp}
	w.after(w.delay(), func() {
		wait := w.delay()
		if w.reaches(h, i) {
			s := i.status()
			r.Reachable, r.Role, r.Mark, r.TermStart, r.Leaving = true, s.Role, s.Mark, s.TermStart, i.leaves
		} else if i.up || !w.linked(string(h.id), string(i.id)) {
			wait = failover.DefaultConfig().ProbeTimeout
		}
		w.after(wait, func() { w.deliver(h, func() { done(r) }) })
	})
}

func (w *world) deliver(h *host, f func()) {
	switch {
	case !h.up:
	case h.frozen:
		h.inbox = append(h.inbox, f)
	default:
		f()
	}
}

func (w *world) probed(h *host, o *owned, r failover.Report) {
	before := o.report
	if !r.Reachable {
		if !o.probed || before.Reachable {
			o.downAt = w.now
		}
		r.Role, r.Mark, r.TermStart = before.Role, before.Mark, before.TermStart
	} else if r.Role == table.RolePrimary && !o.ackKnown && r.Mark.Term == h.view.group.Term {
		o.acked, o.ackKnown = r.Mark, true
	}
	if o.quiesced == 0 && w.now < o.quiesce && h.running == 0 && len(h.writes) == 0 {
		o.quiesced = w.now
		o.nextAt = w.now
	}
	r.Quiesced = o.quiesced != 0 && w.now < o.quiesce && w.now >= o.quiesced+4*ms
	o.report, o.probed = r, true
	if before.Reachable != r.Reachable || before.Quiesced != r.Quiesced || w.now < h.hurry {
		h.beatAt = w.now
	}
}

func (w *world) heartbeat(h *host) {
	cfg := failover.DefaultConfig()
	h.beatAt = w.now + cfg.Lease.Heartbeat
	if w.now < h.hurry {
		h.beatAt = w.now + cfg.FastHeartbeatInterval
	}
	h.seq++
	reports := h.checks
	h.checks = nil
	for _, i := range w.insts {
		o := h.owned[i.id]
		if o == nil || !o.probed {
			continue
		}
		r := o.report
		r.SeenTerm, r.Acked, r.AckedKnown = h.view.group.Term, o.acked, o.ackKnown && o.acked.Term > 0
		if !r.Reachable {
			r.UnreachableFor = w.now - o.downAt
		}
		reports = append(reports, r)
	}
	left := maps.Clone(h.left)
	sent, beat := h.local(w.now), lease.HeartbeatID{Incarnation: 1, Sequence: h.seq}
	for _, l := range w.leaders {
		if w.now < l.until+electAfter {
			w.send(h, l.host, func() { w.receive(l, h, sent, beat, reports, left) })
		}
	}
}

// receive is the arrival of a heartbeat at a leader.
func (w *world) receive(l *leader, h *host, sent time.Duration, beat lease.HeartbeatID,
	reports []failover.Report, left map[table.InstanceID]table.Epoch,
) {
	now := l.host.local(w.now)
	if !l.grants.Leads(now) || l.own.LeaseBlocked(h.id) || l.grants.IsStale(h.id, beat) {
		return
	}
	d, ok := l.grants.Grant(now, h.id, beat)
	if !ok {
		return
	}
	l.own.HandleHeartbeat(now, table.Host{ID: h.id, Domain: table.Domain(fmt.Sprint("d", h.domain))})
	l.sys.HandleReports(now, h.id, reports)
	for id, epoch := range left {
		l.own.HandleRelease(h.id, id, epoch)
	}
	w.step(l)
	view, stamp := w.log.copy(), l.sys.Stamp(now)
	orders, handOvers := l.sys.Orders(h.id), l.own.HandOvers(h.id)
	w.send(l.host, h, func() {
		w.answered(h, view, stamp, orders, handOvers)
		h.holder.Renew(sent, d)
	})
}

func (w *world) answered(h *host, view agreed, stamp failover.Stamp, orders []failover.Order, out []ownership.HandOver) {
	if view.index >= h.view.index {
		if view.group.Term != h.view.group.Term {
			h.beatAt = w.now
		}
		h.view = view
	}
	if stamp.Leadership > h.stamp.Leadership || stamp.Leadership == h.stamp.Leadership && stamp.At > h.stamp.At {
		h.stamp = stamp
	}
	for _, i := range w.insts {
		own := h.view.owners[i.id]
		if o := h.owned[i.id]; own.Host != h.id {
			delete(h.owned, i.id)
		} else if h.left[i.id] == own.Epoch {
			continue // released: never used again in this epoch
		} else if o == nil || o.epoch != own.Epoch {
			h.owned[i.id] = &owned{epoch: own.Epoch}
		} else if o.ackKnown && o.acked.Term < h.view.group.Term && h.view.group.Phase == table.PhaseStable {
			o.ackKnown = false
		}
	}
	for _, x := range out {
		if o := h.owned[x.Instance]; o != nil && o.epoch == x.Epoch {
			delete(h.owned, x.Instance)
			h.left[x.Instance] = x.Epoch
			h.beatAt = w.now
		}
	}
	for _, o := range orders {
		w.order(h, o)
	}
}

func (w *world) order(h *host, x failover.Order) {
	h.hurry = w.now + time.Second
	h.beatAt = min(h.beatAt, w.now+failover.DefaultConfig().FastHeartbeatInterval)
	i, o := w.inst(x.Instance), h.owned[x.Instance]
	switch {
	case x.Kind == failover.OrderCheck:
		w.probe(h, i, func(r failover.Report) {
			r.Witness = true
			h.checks = append(h.checks, r)
			h.beatAt = w.now
		})
	case o == nil:
	case x.Kind == failover.OrderProbe:
		o.nextAt = w.now
	case x.Kind == failover.OrderQuiesce && w.now >= o.quiesce:
		o.quiesce, o.quiesced, o.nextAt = w.now+x.Bound, 0, w.now
	case x.Kind == failover.OrderQuiesce:
		o.nextAt = min(o.nextAt, w.now+5*ms)
	case x.Kind == failover.OrderResume:
		o.quiesce = 0
	}
}
