package owner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// health is the result of the latest probes of an instance.
type health struct {
	probed           bool
	probedAt         time.Duration // of the latest probe, since the start of the process
	reachable        bool
	unreachableSince time.Time // when the first failed probe was sent
	status           dbedge.Status
	leaderStamp      failover.Stamp // the stamp of the control leader before the probe
	quiescedHold     uint64         // the number of the quiesced hold during which status was read, or zero
	acked            table.Mark     // at or after every acknowledged write
	ackedKnown       bool
	lateProbes       int // consecutive probes that ended with errHeldUp and were not counted
}

// Reports returns a report on each owned instance that has been probed.
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

// report returns false until the first probe has ended. It first reads the term
// that this host acts on, and then the acknowledged position. A write that is
// acknowledged later is therefore either refused under that term or lies at or
// before the reported position.
func (in *instance) report(now time.Time) (failover.Report, bool) {
	seenTerm, _ := in.cfg.Authority.Term(in.group, in.id)
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
		LogTerm:    h.status.Term,
		Held:       h.status.Held,
		After:      h.leaderStamp,
		SeenTerm:   seenTerm,
		Acked:      h.acked,
		AckedKnown: h.ackedKnown,
		Quiesced:   h.quiescedHold != 0 && h.quiescedHold == in.gate.quiescedHold(),
	}
	if !h.status.ConnectedAt.IsZero() {
		r.ConnectedFor = now.Sub(h.status.ConnectedAt)
	}
	if !h.reachable {
		r.UnreachableFor = now.Sub(h.unreachableSince)
	}
	return r, true
}

// ApplyOrder executes an order of the control leader about an owned instance.
func (o *Owner) ApplyOrder(order failover.Order) {
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
		go in.holdReplication(order.Term)
		return
	case failover.OrderReceive:
		go in.resumeReplication()
		return
	}
	in.requestProbe()
}

// holdReplication stops replication at an owned replica and probes the replica
// again.
func (in *instance) holdReplication(term table.Term) {
	if in.cfg.Holder == nil || in.replicationOrderInProgress.Swap(true) {
		return
	}
	defer in.replicationOrderInProgress.Store(false)
	ctx, stop := context.WithTimeout(context.Background(), in.cfg.Timing.ProbeTimeout)
	defer stop()
	if _, err := in.cfg.Holder.Hold(ctx, in.target(), term); err != nil {
		in.log.WithError(err).Warn("failed to hold the replica")
	}
	in.requestProbe()
}

// resumeReplication resumes replication at an owned replica and probes the
// replica again.
func (in *instance) resumeReplication() {
	if in.cfg.Holder == nil || in.replicationOrderInProgress.Swap(true) {
		return
	}
	defer in.replicationOrderInProgress.Store(false)
	ctx, stop := context.WithTimeout(context.Background(), in.cfg.Timing.ProbeTimeout)
	defer stop()
	if err := in.cfg.Holder.Resume(ctx, in.target()); err != nil {
		in.log.WithError(err).Warn("failed to resume replication at the replica")
	}
	in.requestProbe()
}

// requestProbe requests an immediate probe and an immediate query of the
// primary's position.
func (in *instance) requestProbe() {
	signal(in.trackNow)
	signal(in.probeNow)
}

// probeOnce probes the instance and records the result. It reports whether the
// reachability changed.
func (in *instance) probeOnce(ctx context.Context) (changed bool) {
	stamp := in.cfg.Stamp()
	hold := in.gate.quiescedHold()
	sentAt := time.Now()
	st, err := in.probe.sample(ctx)
	if ctx.Err() != nil {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.health.probedAt = sinceStart(sentAt)
	switch {
	case errors.Is(err, dbedge.ErrBusy):
		return in.recordBusy()
	case isTimeout(err) && in.answeredWithin(in.cfg.Timing.ProbeTimeout/2):
		return false // only the probe timed out; the instance still answers statements
	case errors.Is(err, errHeldUp) && in.health.lateProbes < maxLateProbes:
		in.health.lateProbes++
		signal(in.probeNow)
		return false
	case err != nil:
		return in.recordFailedProbe(sentAt, err)
	}
	h := &in.health
	changed = !h.probed || !h.reachable
	h.probed, h.reachable, h.lateProbes = true, true, 0
	h.status, h.leaderStamp, h.quiescedHold = st, stamp, 0
	if hold == in.gate.quiescedHold() {
		h.quiescedHold = hold
	}
	in.age.observeReplica(sentAt, st)
	in.recordPrimaryStatus(st)
	if changed {
		in.log.WithField("role", st.Role.String()).Info("probe succeeded")
	}
	return changed
}

const (
	// maxTimeoutDelay is how much later than its timeout a probe may end. After a
	// longer delay this process itself was held up, and the answer may have arrived
	// in time.
	maxTimeoutDelay = 50 * time.Millisecond
	// maxLateProbes is how many such probes in a row are not counted, so that a
	// process that is always late still finds failed instances.
	maxLateProbes = 2
)

// errHeldUp is the error of a probe that ended much later than its timeout.
var errHeldUp = errors.New("this process was held up")

// probeInTime probes an instance within timeout. It returns errHeldUp, with the
// error of the probe, if the timeout was noticed late.
func probeInTime(ctx context.Context, timeout time.Duration, probe func(context.Context) (dbedge.Status, error)) (dbedge.Status, error) {
	started := time.Now()
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	st, err := probe(ctx)
	if isTimeout(err) && time.Since(started) > timeout+maxTimeoutDelay {
		err = fmt.Errorf("%w: %w", errHeldUp, err)
	}
	return st, err
}

// maxProbeIntervals is the maximum time between two probes, in probe intervals,
// of an instance that answers statements.
const maxProbeIntervals = 5

// isProbeDue reports whether the instance is due for a periodic probe. A probe
// takes a slot, and an instance that answers statements is known to be alive,
// so its probes are less frequent. This applies only where instances check
// floors themselves; elsewhere probes are needed to prove the age of the data.
func (in *instance) isProbeDue(at time.Time) bool {
	if !in.cfg.UpstreamFloors {
		return true
	}
	now := sinceStart(at)
	in.mu.Lock()
	h := in.health
	in.mu.Unlock()
	lastAnswer := time.Duration(in.lastAnswerAt.Load())
	return !h.canSkipProbe(now, lastAnswer, in.cfg.Timing.ProbeInterval)
}

// canSkipProbe reports whether the periodic probe can be skipped.
func (h *health) canSkipProbe(now, lastAnswer, interval time.Duration) bool {
	return h.probed && h.reachable && now-lastAnswer < interval && now-h.probedAt < maxProbeIntervals*interval
}

// recordBusy records a probe that the instance refused as busy, which proves
// that the instance is alive. It changes nothing before the first complete
// probe, because the role of the instance is not known then. The caller holds
// the lock.
func (in *instance) recordBusy() (changed bool) {
	h := &in.health
	if !h.probed {
		return false
	}
	changed = !h.reachable
	h.reachable = true
	return changed
}

// isTimeout reports whether err is only a timeout.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// answeredWithin reports whether the instance answered a statement within the
// last d.
func (in *instance) answeredWithin(d time.Duration) bool {
	return sinceStart(time.Now())-time.Duration(in.lastAnswerAt.Load()) < d
}

// recordFailedProbe records a probe that failed. The caller holds the lock.
func (in *instance) recordFailedProbe(sentAt time.Time, err error) (changed bool) {
	h := &in.health
	changed = !h.probed || h.reachable
	if changed {
		h.unreachableSince = sentAt
		in.log.WithError(err).Warn("probe failed")
	}
	h.probed, h.reachable = true, false
	return changed
}

// recordPrimaryStatus records the log position that a primary reported. The
// caller holds the lock.
func (in *instance) recordPrimaryStatus(st dbedge.Status) {
	if st.Role != table.RolePrimary {
		return
	}
	if in.reachedMark.Less(st.Mark) {
		in.reachedMark = st.Mark
	}
	h := &in.health
	if !h.ackedKnown || h.acked.Term < st.Mark.Term {
		h.acked, h.ackedKnown = st.Mark, true // covers what earlier owners acknowledged
	}
}

// raiseAcked records that writes up to m are about to be acknowledged.
func (in *instance) raiseAcked(m table.Mark) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.health.ackedKnown || in.health.acked.Less(m) {
		in.health.acked, in.health.ackedKnown = m, true
	}
}
