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

// tickHost runs a host for one millisecond: acknowledge and start writes,
// probe, send heartbeats.
func (sim *simulation) tickHost(h *host) {
	sim.acknowledge(h)
	for _, i := range sim.insts {
		o := h.owned[i.id]
		if o == nil {
			continue
		}
		if sim.now >= o.nextProbeAt {
			o.nextProbeAt = sim.now + failover.DefaultConfig().ProbeInterval
			sim.probe(h, i, func(r failover.Report) { sim.handleProbeResult(h, o, r) })
		}
		if sim.now%(2*ms) == 0 {
			sim.startWrite(h, i, o)
		}
	}
	if sim.now >= h.nextHeartbeatAt {
		sim.sendHeartbeat(h)
	}
}

func (h *host) servesPrimary(i *instance) bool {
	g, o := h.view.group, h.view.owners[i.id]
	return h.view.known && g.Phase == table.PhaseStable && g.Primary == i.id && o.Host == h.id
}

func (sim *simulation) startWrite(h *host, i *instance, o *ownedInstance) {
	if !h.servesPrimary(i) || !h.holder.Valid(h.localTime(sim.now)) || !o.ackedKnown || sim.now < o.quiesceUntil {
		return
	}
	if o.epoch < sim.highestEpoch[i.id] {
		sim.t.Fatalf("%v: %v uses %v in epoch %d after %d", sim.now, h.id, i.id, o.epoch, sim.highestEpoch[i.id])
	}
	sim.highestEpoch[i.id] = o.epoch
	sim.lastWriteID++
	e := entry{h.view.group.Term, sim.lastWriteID}
	h.runningWrites++
	sim.schedule(sim.messageDelay(), func() {
		applied := sim.canReach(h, i) && i.role == table.RolePrimary && i.mark.Term == e.term
		if applied {
			i.log = append(i.log, e)
		}
		written := write{entry: e, pos: len(i.log), inst: i, epoch: o.epoch}
		sim.schedule(sim.messageDelay(), func() {
			h.runningWrites--
			if applied && h.up {
				h.unackedWrites = append(h.unackedWrites, written)
			}
		})
	})
}

// acknowledge acknowledges the writes that a replica holds, after another check
// of the lease.
func (sim *simulation) acknowledge(h *host) {
	kept := h.unackedWrites[:0]
	for _, wr := range h.unackedWrites {
		o := h.owned[wr.inst.id]
		if o == nil || o.epoch != wr.epoch || !h.servesPrimary(wr.inst) || h.view.group.Term != wr.entry.term {
			sim.refusedWrites++
			continue
		}
		if !wr.confirmed {
			wr.confirmed = sim.isReplicated(h, wr)
			kept = append(kept, wr)
			continue
		}
		if !h.holder.Valid(h.localTime(sim.now)) {
			sim.refusedWrites++
			continue
		}
		if sim.overTerms[wr.entry.term] {
			sim.t.Fatalf("%v: %v acknowledges in term %d, which was over when its primary was promoted", sim.now, h.id, wr.entry.term)
		}
		for term := range sim.promotedIn {
			if term > wr.entry.term {
				sim.t.Fatalf("%v: %v acknowledges in term %d after term %d", sim.now, h.id, wr.entry.term, term)
			}
		}
		o.acked = table.Mark{Term: wr.entry.term, Position: max(o.acked.Position, table.Position(wr.pos))}
		sim.ackedWrites = append(sim.ackedWrites, wr)
		sim.ackTimes = append(sim.ackTimes, sim.now)
	}
	h.unackedWrites = kept
}

func (sim *simulation) isReplicated(h *host, wr write) bool {
	for _, r := range sim.insts {
		if r != wr.inst && r.mark.Term == wr.entry.term && r.holds(wr.pos, wr.entry) && sim.canReach(h, r) {
			return true
		}
	}
	return false
}

// probe requests the status of an instance. An instance that is down refuses at
// once; one that is cut off or frozen never answers.
func (sim *simulation) probe(h *host, i *instance, done func(failover.Report)) {
	r := failover.Report{Group: groupName, Instance: i.id, Address: string(i.id), After: h.stamp}
	sim.schedule(sim.messageDelay(), func() {
		wait := sim.messageDelay()
		if sim.canReach(h, i) {
			s := i.status()
			r.Reachable, r.Role, r.Mark, r.TermStart, r.Leaving = true, s.Role, s.Mark, s.TermStart, i.leaving
		} else if i.up || !sim.isLinked(string(h.id), string(i.id)) {
			wait = failover.DefaultConfig().ProbeTimeout
		}
		sim.schedule(wait, func() { sim.deliver(h, func() { done(r) }) })
	})
}

func (sim *simulation) deliver(h *host, f func()) {
	switch {
	case !h.up:
	case h.frozen:
		h.inbox = append(h.inbox, f)
	default:
		f()
	}
}

func (sim *simulation) handleProbeResult(h *host, o *ownedInstance, r failover.Report) {
	previous := o.report
	if !r.Reachable {
		if !o.probed || previous.Reachable {
			o.unreachableSince = sim.now
		}
		r.Role, r.Mark, r.TermStart = previous.Role, previous.Mark, previous.TermStart
	} else if r.Role == table.RolePrimary && !o.ackedKnown && r.Mark.Term == h.view.group.Term {
		o.acked, o.ackedKnown = r.Mark, true
	}
	if o.quiescedAt == 0 && sim.now < o.quiesceUntil && h.runningWrites == 0 && len(h.unackedWrites) == 0 {
		o.quiescedAt = sim.now
		o.nextProbeAt = sim.now
	}
	r.Quiesced = o.quiescedAt != 0 && sim.now < o.quiesceUntil && sim.now >= o.quiescedAt+4*ms
	o.report, o.probed = r, true
	if previous.Reachable != r.Reachable || previous.Quiesced != r.Quiesced || sim.now < h.fastHeartbeatsUntil {
		h.nextHeartbeatAt = sim.now
	}
}

func (sim *simulation) sendHeartbeat(h *host) {
	cfg := failover.DefaultConfig()
	h.nextHeartbeatAt = sim.now + cfg.Lease.Heartbeat
	if sim.now < h.fastHeartbeatsUntil {
		h.nextHeartbeatAt = sim.now + cfg.FastHeartbeatInterval
	}
	h.seq++
	reports := h.witnessReports
	h.witnessReports = nil
	for _, i := range sim.insts {
		o := h.owned[i.id]
		if o == nil || !o.probed {
			continue
		}
		r := o.report
		r.SeenTerm, r.Acked, r.AckedKnown = h.view.group.Term, o.acked, o.ackedKnown && o.acked.Term > 0
		if !r.Reachable {
			r.UnreachableFor = sim.now - o.unreachableSince
		}
		reports = append(reports, r)
	}
	released := maps.Clone(h.released)
	sent, id := h.localTime(sim.now), lease.HeartbeatID{Incarnation: 1, Sequence: h.seq}
	for _, l := range sim.leaders {
		if sim.now < l.leaseUntil+electionTimeout {
			sim.send(h, l.host, func() { sim.receiveHeartbeat(l, h, sent, id, reports, released) })
		}
	}
}

// receiveHeartbeat handles the arrival of a heartbeat at a leader.
func (sim *simulation) receiveHeartbeat(l *leader, h *host, sent time.Duration, id lease.HeartbeatID,
	reports []failover.Report, released map[table.InstanceID]table.Epoch,
) {
	now := l.host.localTime(sim.now)
	if sim.now > l.leaseUntil || !l.grantor.Leads(now) || l.ownership.LeaseBlocked(h.id) || l.grantor.IsStale(h.id, id) {
		return
	}
	d, ok := l.grantor.Grant(now, h.id, id)
	if !ok {
		return
	}
	l.ownership.HandleHeartbeat(now, table.Host{ID: h.id, Domain: table.Domain(fmt.Sprint("d", h.domain))})
	l.failover.HandleReports(now, h.id, reports)
	for id, epoch := range released {
		l.ownership.HandleRelease(h.id, id, epoch)
	}
	sim.step(l)
	view, stamp := sim.committed.copy(), l.failover.Stamp(now)
	orders, handOvers := l.failover.Orders(h.id), l.ownership.HandOvers(h.id)
	sim.send(l.host, h, func() {
		sim.handleHeartbeatReply(h, view, stamp, orders, handOvers)
		h.holder.Renew(sent, d)
	})
}

func (sim *simulation) handleHeartbeatReply(h *host, view replicatedState, stamp failover.Stamp, orders []failover.Order, handOvers []ownership.HandOver) {
	if view.index >= h.view.index {
		if view.group.Term != h.view.group.Term {
			h.nextHeartbeatAt = sim.now
		}
		h.view = view
	}
	if stamp.Leadership > h.stamp.Leadership || stamp.Leadership == h.stamp.Leadership && stamp.At > h.stamp.At {
		h.stamp = stamp
	}
	for _, i := range sim.insts {
		ownership := h.view.owners[i.id]
		if o := h.owned[i.id]; ownership.Host != h.id {
			delete(h.owned, i.id)
		} else if h.released[i.id] == ownership.Epoch {
			continue // released: must not be used again in this epoch
		} else if o == nil || o.epoch != ownership.Epoch {
			h.owned[i.id] = &ownedInstance{epoch: ownership.Epoch}
		} else if o.ackedKnown && o.acked.Term < h.view.group.Term && h.view.group.Phase == table.PhaseStable {
			o.ackedKnown = false
		}
	}
	for _, handOver := range handOvers {
		if o := h.owned[handOver.Instance]; o != nil && o.epoch == handOver.Epoch {
			delete(h.owned, handOver.Instance)
			h.released[handOver.Instance] = handOver.Epoch
			h.nextHeartbeatAt = sim.now
		}
	}
	for _, o := range orders {
		sim.handleOrder(h, o)
	}
}

func (sim *simulation) handleOrder(h *host, order failover.Order) {
	h.fastHeartbeatsUntil = sim.now + time.Second
	h.nextHeartbeatAt = min(h.nextHeartbeatAt, sim.now+failover.DefaultConfig().FastHeartbeatInterval)
	i, o := sim.instanceByID(order.Instance), h.owned[order.Instance]
	switch {
	case order.Kind == failover.OrderCheck:
		sim.probe(h, i, func(r failover.Report) {
			r.Witness = true
			h.witnessReports = append(h.witnessReports, r)
			h.nextHeartbeatAt = sim.now
		})
	case o == nil:
	case order.Kind == failover.OrderProbe:
		o.nextProbeAt = sim.now
	case order.Kind == failover.OrderQuiesce && sim.now >= o.quiesceUntil:
		o.quiesceUntil, o.quiescedAt, o.nextProbeAt = sim.now+order.Bound, 0, sim.now
	case order.Kind == failover.OrderQuiesce:
		o.nextProbeAt = min(o.nextProbeAt, sim.now+5*ms)
	case order.Kind == failover.OrderResume:
		o.quiesceUntil = 0
	}
}
