package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/table"
)

const (
	// defaultShutdownTimeout limits a graceful shutdown.
	defaultShutdownTimeout = 30 * time.Second
	// defaultNotReadyDelay gives the load balancer time to notice that this host
	// is not ready, before the host refuses callers.
	defaultNotReadyDelay = 500 * time.Millisecond
	// retireDuration is how long a shutdown disconnects only callers that have
	// no request in flight.
	retireDuration = 1500 * time.Millisecond
	// lingerHeartbeats is the number of heartbeat intervals for which a host keeps
	// answering other hosts after the hand-over of its instances, because those
	// hosts may not have learned of the new owners yet.
	lingerHeartbeats = 3
	// drainPollInterval is how often a shutdown checks whether the work has ended.
	drainPollInterval = 20 * time.Millisecond
	// leaveReserve is the part of the time limit of a shutdown in which a control host
	// is removed from the membership, after everything else.
	leaveReserve = 500 * time.Millisecond
)

// reconcile releases and acquires instances so that the owned instances match
// the control state. Errors are logged; the next call tries again.
func (h *Host) reconcile(ctx context.Context) {
	h.reconciling.Lock()
	defer h.reconciling.Unlock()
	view := h.dir.view.Load()
	listed := h.listedInstances()
	for id, epoch := range h.owner.Owned() {
		o := view.Owners[id]
		if o.Host != h.settings.Host || o.Epoch != epoch || h.unlisted.missingFor(id, listed[id], h.clock()) > unlistedTimeout {
			h.log.WithFields(logrus.Fields{"instance": id, "epoch": epoch, "owner": o.Host}).Info("instance released")
			h.owner.Release(id)
		}
	}
	for _, in := range h.dir.currentTables().Instances {
		o := view.Owners[in.ID]
		if o.Host != h.settings.Host || h.owner.HandedOver(o) {
			continue
		}
		connections, known := h.dir.connectionLimit(&in)
		if !known {
			continue
		}
		in.Connections = connections
		if err := h.owner.Acquire(context.WithoutCancel(ctx), in, o.Epoch); err != nil {
			h.log.WithError(err).WithField("instance", in.ID).Error("acquiring the instance failed")
		}
	}
}

// unlistedTimeout is how long an owned instance may be missing from the tables
// of the leader before it is released. The tables of a new leader may lack some
// instances at first.
const unlistedTimeout = 5 * time.Second

// listedInstances returns the set of instances in the tables of the leader.
func (h *Host) listedInstances() map[table.InstanceID]bool {
	instances := h.dir.currentTables().Instances
	listed := make(map[table.InstanceID]bool, len(instances))
	for _, in := range instances {
		listed[in.ID] = true
	}
	return listed
}

// unlistedSince holds when each owned instance that is missing from the tables
// was first found missing.
type unlistedSince map[table.InstanceID]time.Duration

// missingFor records whether an instance is listed at now and returns how long
// it has been missing.
func (u unlistedSince) missingFor(id table.InstanceID, listed bool, now time.Duration) time.Duration {
	if listed {
		delete(u, id)
		return 0
	}
	if _, known := u[id]; !known {
		u[id] = now
	}
	return now - u[id]
}

// shutdown shuts this host down gracefully: the host reports that it is not
// ready, disconnects its callers, hands its instances over while requests finish,
// and releases its lease. A control host then gives up its vote.
func (h *Host) shutdown(ctx context.Context) {
	close(h.stopping)
	h.log.Info("shutting down: not ready")
	ctx, stop := context.WithTimeout(ctx, h.shutdownTimeout())
	defer stop()
	h.drain(ctx)
	if h.control != nil {
		h.control.server.Leave(ctx)
	}
	h.log.Info("shutting down: done")
}

// drain ends the work of this host and logs what is unfinished at its time limit.
func (h *Host) drain(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, h.drainTimeout())
	defer stop()
	h.heartbeats.startDraining()
	h.drainCallers(ctx)
	h.awaitHandOver(ctx)
	h.linger(ctx)
	h.dir.releaseLease()
	h.heartbeats.send(context.WithoutCancel(ctx), true)
}

// drainCallers disconnects the callers of this host, if it serves any, once the load
// balancer has noticed that it is not ready.
func (h *Host) drainCallers(ctx context.Context) {
	if h.callerSocket == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(h.notReadyDelay()):
	}
	h.retireCallers(ctx)
	for _, unfinished := range h.callers.Drain(ctx) {
		h.log.WithField("left", unfinished).Warn("shutting down: not finished")
	}
}

// shutdownTimeout returns the time limit of a graceful shutdown.
func (h *Host) shutdownTimeout() time.Duration {
	if h.adapter != nil {
		return h.adapter.ShutdownLimit
	}
	return defaultShutdownTimeout
}

// drainTimeout returns the time limit of the drain within a shutdown.
func (h *Host) drainTimeout() time.Duration {
	if h.control == nil {
		return h.shutdownTimeout()
	}
	return h.shutdownTimeout() - leaveReserve
}

// notReadyDelay returns how long the load balancer needs to notice that this
// host is not ready.
func (h *Host) notReadyDelay() time.Duration {
	if h.adapter != nil {
		return h.adapter.NotReadyDelay
	}
	return defaultNotReadyDelay
}

// retireCallers disconnects the callers that have no request in flight,
// repeatedly for retireDuration, if the listener supports that.
func (h *Host) retireCallers(ctx context.Context) {
	callers, ok := h.callers.(retirer)
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, retireDuration)
	defer stop()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		callers.SetRetiring(true)
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// LogUnfinished logs the unfinished requests of a host that must stop
// immediately, and the instances that it has not handed over.
func (h *Host) LogUnfinished() {
	for _, unfinished := range h.callers.ConnectedCallers() {
		h.log.WithField("left", unfinished).Warn("shutting down: not finished")
	}
	for id := range h.owner.Owned() {
		h.log.WithField("instance", id).Warn("shutting down: not handed over")
	}
}

// awaitHandOver waits until no request of another host is running here and this
// host has handed its instances over. It does not wait for a hand-over while no
// other host can take the instances. If ctx ends first, it logs the instances
// that are still owned.
func (h *Host) awaitHandOver(ctx context.Context) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for h.peerServer.Running() > 0 || len(h.owner.Owned()) > 0 && h.canHandOver() {
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

// linger keeps answering other hosts that still send requests here because their
// tables predate the hand-over.
func (h *Host) linger(ctx context.Context) {
	timer := time.NewTimer(lingerHeartbeats * h.timing.Lease.Heartbeat)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	for h.peerServer.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// canHandOver reports whether the leader can move instances to another host:
// the lease of this host is valid, and another host is alive and not draining.
func (h *Host) canHandOver() bool {
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
