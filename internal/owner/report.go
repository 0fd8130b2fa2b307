package owner

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// health is what the probes of an instance showed.
type health struct {
	probed    bool
	probedAt  time.Duration // of the latest probe, since the start of the process
	reachable bool
	downSince time.Time // of the first probe that failed
	status    dbedge.Status
	after     failover.Stamp
	quiesced  uint64 // the hold during which status was read, or zero
	acked     table.Mark
	ackedSet  bool
}

// Reports returns the latest probe of each owned instance.
func (o *Owner) Reports(now time.Time) []failover.Report {
	o.mu.RLock()
	defer o.mu.RUnlock()
	reports := make([]failover.Report, 0, len(o.instances))
	for _, in := range o.instances {
		if r, ok := in.report(now); ok {
			reports = append(reports, r)
		}
	}
	return reports
}

// report returns false until the first probe has ended. The term that this
// host acts on is read before the acknowledged position: what is acknowledged
// later is refused under that term or lies within the position.
func (in *instance) report(now time.Time) (failover.Report, bool) {
	seen, _ := in.cfg.Authority.Term(in.group, in.id)
	in.mu.Lock()
	defer in.mu.Unlock()
	h := &in.health
	if !h.probed {
		return failover.Report{}, false
	}
	r := failover.Report{
		Group:      in.group,
		Instance:   in.id,
		Reachable:  h.reachable,
		Role:       h.status.Role,
		Mark:       h.status.Mark,
		TermStart:  h.status.TermStart,
		Held:       h.status.Held,
		After:      h.after,
		SeenTerm:   seen,
		Acked:      h.acked,
		AckedKnown: h.ackedSet,
		Quiesced:   h.quiesced != 0 && h.quiesced == in.gate.quiet(),
	}
	if !h.reachable {
		r.UnreachableFor = now.Sub(h.downSince)
	}
	return r, true
}

// Obey carries out an order of the control leader about an owned instance.
func (o *Owner) Obey(order failover.Order) {
	in, err := o.instance(order.Instance)
	if err != nil {
		return
	}
	switch order.Kind {
	case failover.OrderQuiesce:
		in.gate.hold(order.Bound)
	case failover.OrderResume:
		in.gate.resume()
	case failover.OrderHold:
		go in.hold(order.Term)
		return
	case failover.OrderReceive:
		go in.receive()
		return
	}
	in.hurry()
}

// hold makes an owned replica receive no more, and looks at it again.
func (in *instance) hold(term table.Term) {
	if in.cfg.Holder == nil || in.holding.Swap(true) {
		return
	}
	defer in.holding.Store(false)
	ctx, stop := context.WithTimeout(context.Background(), in.cfg.Timing.ProbeTimeout)
	defer stop()
	if _, err := in.cfg.Holder.Hold(ctx, in.target(), term); err != nil {
		in.log.WithError(err).Warn("replica not held")
	}
	in.hurry()
}

// receive lets an owned replica receive again.
func (in *instance) receive() {
	if in.cfg.Holder == nil || in.holding.Swap(true) {
		return
	}
	defer in.holding.Store(false)
	ctx, stop := context.WithTimeout(context.Background(), in.cfg.Timing.ProbeTimeout)
	defer stop()
	if err := in.cfg.Holder.Resume(ctx, in.target()); err != nil {
		in.log.WithError(err).Warn("replica still held")
	}
	in.hurry()
}

// hurry makes the next probe begin at once.
func (in *instance) hurry() {
	wake(in.trackNow)
	wake(in.probeNow)
}

// probeOnce probes the instance and notes the outcome. It reports whether
// reachability changed.
func (in *instance) probeOnce(ctx context.Context) (changed bool) {
	stamp := in.cfg.Stamp()
	quiet := in.gate.quiet()
	asked := time.Now()
	st, err := in.probe.sample(ctx)
	if ctx.Err() != nil {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.health.probedAt = since(asked)
	switch {
	case errors.Is(err, dbedge.ErrBusy):
		return in.noteBusy()
	case isTimeout(err) && in.heardWithin(in.cfg.Timing.ProbeTimeout/2):
		return false // only the probe was late: statements are answered
	case err != nil:
		return in.noteMissed(asked, err)
	}
	h := &in.health
	changed = !h.probed || !h.reachable
	h.probed, h.reachable = true, true
	h.status, h.after, h.quiesced = st, stamp, 0
	if quiet == in.gate.quiet() {
		h.quiesced = quiet
	}
	in.age.observeReplica(asked, st)
	in.noteStatus(st)
	if changed {
		in.log.WithField("role", st.Role.String()).Info("probe succeeded")
	}
	return changed
}

// restingProbes is how many intervals pass at most between two probes of an
// instance that answers statements.
const restingProbes = 5

// probeDue reports whether an instance is to be probed though nobody asked: a
// probe costs a slot, and one that answers statements shows that it lives. Only
// where instances check floors themselves; elsewhere probes tell the age.
func (in *instance) probeDue(at time.Time) bool {
	if !in.cfg.UpstreamFloors {
		return true
	}
	now := since(at)
	in.mu.Lock()
	h := in.health
	in.mu.Unlock()
	heard := time.Duration(in.heardAt.Load())
	return !h.rests(now, heard, in.cfg.Timing.ProbeInterval)
}

// rests reports whether the next probe can wait.
func (h *health) rests(now, heard, interval time.Duration) bool {
	return h.probed && h.reachable && now-heard < interval && now-h.probedAt < restingProbes*interval
}

// noteBusy notes that the instance answered that it has no room: it lives. What
// it is must be known from an earlier probe. It runs under the lock.
func (in *instance) noteBusy() (changed bool) {
	h := &in.health
	if !h.probed {
		return false
	}
	changed = !h.reachable
	h.reachable = true
	return changed
}

// isTimeout reports whether an error says no more than that nothing came.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// heardWithin reports whether the instance answered a statement within d.
func (in *instance) heardWithin(d time.Duration) bool {
	return since(time.Now())-time.Duration(in.heardAt.Load()) < d
}

// noteMissed notes a probe without an answer. It runs under the lock.
func (in *instance) noteMissed(asked time.Time, err error) (changed bool) {
	h := &in.health
	changed = !h.probed || h.reachable
	if changed {
		h.downSince = asked
		in.log.WithError(err).Warn("probe failed")
	}
	h.probed, h.reachable = true, false
	return changed
}

// noteStatus takes what a primary says of its log. It runs under the lock.
func (in *instance) noteStatus(st dbedge.Status) {
	if st.Role != table.RolePrimary {
		return
	}
	if in.seen.Less(st.Mark) {
		in.seen = st.Mark
	}
	h := &in.health
	if !h.ackedSet || h.acked.Term < st.Mark.Term {
		h.acked, h.ackedSet = st.Mark, true // covers what earlier owners acknowledged
	}
}

// raiseAcked notes that writes up to m are about to be acknowledged.
func (in *instance) raiseAcked(m table.Mark) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.health.ackedSet || in.health.acked.Less(m) {
		in.health.acked, in.health.ackedSet = m, true
	}
}
