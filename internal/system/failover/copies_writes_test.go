package failover_test

import (
	"slices"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

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
