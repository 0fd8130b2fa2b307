package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// drainBound is how long a graceful shutdown may take.
	drainBound = 30 * time.Second
	// notReadyPause gives the balancer time to see that this host is not
	// ready before it refuses callers.
	notReadyPause = 500 * time.Millisecond
	// retirePause is for how long callers are ended only where they have no
	// request under way.
	retirePause = 1500 * time.Millisecond
	// lingerBeats is for how many heartbeats a host whose instances were handed
	// over goes on answering other hosts, which may not have heard of it yet.
	lingerBeats = 3
	// drainPoll is how often a shutdown looks whether the work has ended.
	drainPoll = 20 * time.Millisecond
)

// reconcile makes the owned instances match the agreed state.
func (h *Host) reconcile(ctx context.Context) {
	h.reconciling.Lock()
	defer h.reconciling.Unlock()
	view := h.dir.view.Load()
	listed := h.listedInstances()
	for id, epoch := range h.owner.Owned() {
		o := view.Owners[id]
		if o.Host != h.settings.Host || o.Epoch != epoch || h.unlisted.since(id, listed[id], h.clock()) > unlistedBound {
			h.log.WithFields(logrus.Fields{"instance": id, "epoch": epoch, "owner": o.Host}).Info("instance released")
			h.owner.Release(id)
		}
	}
	for _, in := range h.dir.currentTables().Instances {
		o := view.Owners[in.ID]
		if o.Host != h.settings.Host || h.owner.HandedOver(o) {
			continue
		}
		connections, known := h.dir.connections(&in)
		if !known {
			continue
		}
		in.Connections = connections
		if err := h.owner.Acquire(context.WithoutCancel(ctx), in, o.Epoch); err != nil {
			h.log.WithError(err).WithField("instance", in.ID).Error("instance cannot be served")
		}
	}
}

// unlistedBound is how long an owned instance may be missing from the tables of
// the leader before it is given up: those of a new leader may lack some at first.
const unlistedBound = 5 * time.Second

// listedInstances are the instances in the tables of the leader.
func (h *Host) listedInstances() map[table.InstanceID]bool {
	instances := h.dir.currentTables().Instances
	listed := make(map[table.InstanceID]bool, len(instances))
	for _, in := range instances {
		listed[in.ID] = true
	}
	return listed
}

// unlistedSince is since when owned instances are missing from the tables.
type unlistedSince map[table.InstanceID]time.Duration

// since returns for how long an instance has been missing.
func (u unlistedSince) since(id table.InstanceID, listed bool, now time.Duration) time.Duration {
	if listed {
		delete(u, id)
		return 0
	}
	if _, known := u[id]; !known {
		u[id] = now
	}
	return now - u[id]
}

// shutdown ends the work of this host without cutting a request: it is not
// ready for new callers first, hands its instances over while requests finish,
// and names what is left when the bound is reached.
func (h *Host) shutdown(ctx context.Context) {
	close(h.stopping)
	h.log.Info("shutting down: not ready")
	ctx, stop := context.WithTimeout(ctx, h.drainBound())
	defer stop()
	h.beats.drain()
	select {
	case <-ctx.Done():
	case <-time.After(h.notReadyPause()):
	}
	h.retireCallers(ctx)
	for _, left := range h.callers.Drain(ctx) {
		h.log.WithField("left", left).Warn("shutting down: not finished")
	}
	h.awaitHandOver(ctx)
	h.linger(ctx)
	h.dir.releaseLease()
	h.beats.beat(context.WithoutCancel(ctx), true)
	h.log.Info("shutting down: done")
}

// drainBound returns how long a graceful shutdown may take.
func (h *Host) drainBound() time.Duration {
	if h.adapter != nil {
		return h.adapter.ShutdownBound
	}
	return drainBound
}

// notReadyPause returns how long the balancer needs to see that this host is
// not ready.
func (h *Host) notReadyPause() time.Duration {
	if h.adapter != nil {
		return h.adapter.NotReadyPause
	}
	return notReadyPause
}

// retireCallers ends callers at good moments for a while.
func (h *Host) retireCallers(ctx context.Context) {
	callers, ok := h.callers.(retirer)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, retirePause)
	defer stop()
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for ctx.Err() == nil {
		callers.Retire(true)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// LogUnfinished names what a host that has to end at once leaves unfinished.
func (h *Host) LogUnfinished() {
	for _, left := range h.callers.Left() {
		h.log.WithField("left", left).Warn("shutting down: not finished")
	}
	for id := range h.owner.Owned() {
		h.log.WithField("instance", id).Warn("shutting down: not handed over")
	}
}

// awaitHandOver waits until other hosts own what this one owned. While no
// other host can take an instance, it is kept until the bound.
func (h *Host) awaitHandOver(ctx context.Context) {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for h.peerServer.Running() > 0 || len(h.owner.Owned()) > 0 && h.mayHandOver() {
		select {
		case <-ctx.Done():
			for id := range h.owner.Owned() {
				h.log.WithField("instance", id).Warn("shutting down: not handed over")
			}
			return
		case <-tick.C:
		}
	}
}

// linger answers other hosts that still send their requests here, by the
// tables that they had before the hand-over.
func (h *Host) linger(ctx context.Context) {
	timer := time.NewTimer(lingerBeats * h.timing.Lease.Heartbeat)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	for h.peerServer.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// mayHandOver reports whether the leader can move instances to another host:
// it renews the lease of this one, and another host that does not drain is
// alive.
func (h *Host) mayHandOver() bool {
	if !h.dir.leaseValid() {
		return false
	}
	for _, other := range h.dir.currentTables().Hosts {
		if other.ID != h.settings.Host && other.State == table.HostAlive && !other.Draining {
			return true
		}
	}
	return false
}
