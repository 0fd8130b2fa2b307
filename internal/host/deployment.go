package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/system/access"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// notReadyAfter is how long a host stays ready without an answer from a control
// leader. After that the load balancer should send its callers elsewhere.
const notReadyAfter = 600 * time.Millisecond

// parseDeployment decodes a deployment, which was checked before it was
// committed. It returns nil if there is none or this host cannot decode it.
func (d *directory) parseDeployment(in control.Deployment) *config.Deployment {
	if d.decode == nil || in.Version == 0 {
		return nil
	}
	out, err := d.decode(in.Body)
	if err != nil {
		d.log.WithError(err).WithField("version", in.Version).Error("cannot decode the deployment in force")
		return nil
	}
	return out
}

// deploymentDocuments returns the documents of a deployment by service.
func (d *directory) deploymentDocuments(in control.Deployment) map[string]*config.Document {
	if out := d.parseDeployment(in); out != nil {
		return out.Documents()
	}
	return nil
}

// adoptDeployment puts the deployment of next in force if its version is new.
func (d *directory) adoptDeployment(old, next *control.View) {
	if old.Deployment.Version == next.Deployment.Version {
		return
	}
	deployment := d.parseDeployment(next.Deployment)
	if deployment == nil {
		return
	}
	documents := deployment.Documents()
	d.accessRules.Store(access.NewRules(deployment)) // before hasConfiguration holds
	d.deployment.Store(deployment)
	d.documents.Store(&documents)
	if d.onDeployment != nil {
		d.onDeployment()
	}
	d.log.WithFields(logrus.Fields{
		"version": deployment.Version, "databases": len(documents), "bytes": len(next.Deployment.Body),
	}).Info("deployment in force")
}

// deploymentVersion returns the version of the deployment in force at this host, or
// zero if there is none.
func (d *directory) deploymentVersion() uint64 {
	if deployment := d.deployment.Load(); deployment != nil {
		return deployment.Version
	}
	return 0
}

// knowledgeFields returns log fields that tell how current the configuration of this
// host is.
func (h *Host) knowledgeFields() logrus.Fields {
	return logrus.Fields{
		"version": h.dir.deploymentVersion(), "revision": h.dir.view.Load().Revision,
		"answer_age_ms": h.heartbeats.sinceLastAnswer().Milliseconds(),
	}
}

// idleTransactionTimeout returns how long a transaction may wait for its next
// statement.
func (d *directory) idleTransactionTimeout() time.Duration {
	if deployment := d.deployment.Load(); deployment != nil {
		return deployment.IdleTransaction
	}
	return 0
}

// connectionLimit returns how many connections an instance accepts, as set by
// the deployment or else as announced by the instance. The second result is
// false while the limit is not known.
func (d *directory) connectionLimit(in *table.Instance) (int, bool) {
	if deployment := d.deployment.Load(); deployment != nil {
		return deployment.Connections(in.Group)
	}
	return in.Connections, d.decode == nil
}

// isolatedAfter is how long a host must be without an answer from a control
// leader to count as isolated. An election usually takes less time.
const isolatedAfter = 600 * time.Millisecond

// hasConfiguration reports whether this host has received a deployment. Hosts
// without an adapter need none.
func (h *Host) hasConfiguration() bool {
	return h.adapter == nil || h.dir.deployment.Load() != nil
}

// mayMissChanges reports whether a change of the control state may have been
// acknowledged that this host has not heard of: no leader has answered it since its
// start, or the latest heartbeat that one answered was sent too long ago.
func (h *Host) mayMissChanges() bool {
	return !h.heartbeats.caughtUp() || h.heartbeats.knowledgeAge() > isolatedAfter
}

// isIsolated reports whether no control leader answers this host. It is always
// false without an adapter: PostgreSQL callers are not distributed by a load
// balancer that watches readiness, so an isolated host does not refuse them.
func (h *Host) isIsolated() bool {
	return h.adapter != nil && h.heartbeats.sinceLastAnswer() > isolatedAfter
}

// checkReadiness returns nil while a host with an adapter can serve callers: it
// has received a deployment, and a leader has answered within notReadyAfter.
func (h *Host) checkReadiness() error {
	if h.dir.deployment.Load() == nil {
		return errkind.New(errkind.NotLeader, "no deployment was heard of yet")
	}
	if silent := h.heartbeats.sinceLastAnswer(); silent > notReadyAfter {
		return errkind.New(errkind.NotLeader, "no leader was heard for %v", silent)
	}
	return nil
}

// Callers stay connected to a host that the load balancer no longer selects.
// The host disconnects them, so that they reconnect to another host.
const (
	// retireDelay is how long a host waits after notReadyAfter before it
	// disconnects its callers.
	retireDelay = 1200 * time.Millisecond
	// isolationPollInterval is how often a host checks whether it is isolated.
	isolationPollInterval = 250 * time.Millisecond
)

// retirer is a listener that can disconnect its callers between statements.
type retirer interface {
	// SetRetiring disconnects the callers that cannot have a statement in flight
	// if on is set, and stops disconnecting callers otherwise. It is called at
	// intervals.
	SetRetiring(on bool)
}

// watchIsolation disconnects the callers of this host while no control leader
// answers it, so that the load balancer sends them elsewhere.
func (h *Host) watchIsolation(ctx context.Context) error {
	callers, ok := h.callers.(retirer)
	if !ok || h.adapter == nil {
		return nil
	}
	tick := time.NewTicker(isolationPollInterval)
	defer tick.Stop()
	retired := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.stopping:
			return nil
		case <-tick.C:
		}
		isolated := h.hasConfiguration() && h.heartbeats.sinceLastAnswer() > notReadyAfter+retireDelay
		if isolated != retired {
			h.log.WithField("cut_off", isolated).Warn("callers are sent elsewhere")
		}
		if isolated || retired {
			callers.SetRetiring(isolated)
		}
		retired = isolated
	}
}

// hostsToAsk returns the peer addresses to ask for the leader: those in the
// settings, followed by the other control hosts in the tables.
func (h *Host) hostsToAsk() []string {
	join := h.settings.Join
	if h.adapter != nil && h.adapter.Join != nil {
		join = h.adapter.Join()
	}
	known := make(map[string]bool, len(join))
	out := make([]string, 0, len(join))
	add := func(address string) {
		if !known[address] {
			known[address] = true
			out = append(out, address)
		}
	}
	for _, address := range join {
		add(address)
	}
	for _, other := range h.dir.currentTables().Hosts {
		if other.Control && other.ID != h.settings.Host {
			add(other.PeerAddress)
		}
	}
	return out
}
