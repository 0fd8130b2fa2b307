package host

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// cutOffAfter is for how long a host may hear no control leader before the
// balancer shall send its callers elsewhere.
const cutOffAfter = 600 * time.Millisecond

// parsed reads a deployment that was checked before it was agreed; nil where
// there is none, or none that this host can read.
func (d *directory) parsed(in control.Deployment) *config.Deployment {
	if d.decode == nil || in.Version == 0 {
		return nil
	}
	out, err := d.decode(in.Body)
	if err != nil {
		d.log.WithError(err).WithField("version", in.Version).Error("the deployment in force cannot be read")
		return nil
	}
	return out
}

// decodeDeployment returns the documents of a deployment.
func (d *directory) decodeDeployment(in control.Deployment) map[string]*config.Document {
	if out := d.parsed(in); out != nil {
		return out.Documents()
	}
	return nil
}

// adoptDeployment puts a deployment that is newly agreed in force.
func (d *directory) adoptDeployment(old, next *control.View) {
	if old.Deployment.Version == next.Deployment.Version {
		return
	}
	deployment := d.parsed(next.Deployment)
	if deployment == nil {
		return
	}
	documents := deployment.Documents()
	d.deployment.Store(deployment)
	d.documents.Store(&documents)
	d.log.WithFields(logrus.Fields{"version": deployment.Version, "databases": len(documents)}).Info("deployment in force")
}

// idleTransaction returns how long a transaction may wait for its next
// statement.
func (d *directory) idleTransaction() time.Duration {
	if deployment := d.deployment.Load(); deployment != nil {
		return deployment.IdleTransaction
	}
	return 0
}

// connections returns how many connections an instance accepts: what the
// deployment says, or else what the instance announced. It is false where
// neither is known yet.
func (d *directory) connections(in *table.Instance) (int, bool) {
	if deployment := d.deployment.Load(); deployment != nil {
		return deployment.Connections(in.Group)
	}
	return in.Connections, d.decode == nil
}

// isolatedAfter is for how long a host must have heard no control leader to
// count as isolated: longer than a change of leader takes as a rule.
const isolatedAfter = 600 * time.Millisecond

// knowsConfiguration reports whether this host has heard of a configuration.
func (h *Host) knowsConfiguration() bool {
	return h.adapter == nil || h.dir.deployment.Load() != nil
}

// isolated reports whether this host hears no control leader. With PostgreSQL
// callers nothing is refused for that: they are not spread by a balancer that
// watches readiness.
func (h *Host) isolated() bool {
	return h.adapter != nil && h.beats.unansweredFor() > isolatedAfter
}

// mayServe returns nil while this host can serve callers: it knows a deployment
// and has not been without a lease for long.
func (h *Host) mayServe() error {
	if h.dir.deployment.Load() == nil {
		return errkind.New(errkind.NotLeader, "no deployment was heard of yet")
	}
	if silent := h.beats.unansweredFor(); silent > cutOffAfter {
		return errkind.New(errkind.NotLeader, "no leader was heard for %v", silent)
	}
	return nil
}

// Callers stay with a host that the balancer passes over: they are ended, so
// that they come back elsewhere.
const (
	// retireAfter is for how long a host must not have been ready before its
	// callers are ended.
	retireAfter = 1200 * time.Millisecond
	// isolationPoll is how often a host looks whether it is isolated.
	isolationPoll = 250 * time.Millisecond
)

// retirer is a listener that can end its callers one by one.
type retirer interface {
	// Retire ends callers where no statement of theirs can be on its way, or
	// ends that again. It is called at intervals.
	Retire(on bool)
}

// watchIsolation ends the callers of a host that is cut off from the control
// hosts, so that the balancer sends them elsewhere.
func (h *Host) watchIsolation(ctx context.Context) error {
	callers, ok := h.callers.(retirer)
	if !ok || h.adapter == nil {
		return nil
	}
	tick := time.NewTicker(isolationPoll)
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
		cut := h.knowsConfiguration() && h.beats.unansweredFor() > cutOffAfter+retireAfter
		if cut != retired {
			h.log.WithField("cut_off", cut).Warn("callers are sent elsewhere")
		}
		if cut || retired {
			callers.Retire(cut)
		}
		retired = cut
	}
}

// hostsToAsk returns the peer addresses to ask for the leader: those of the
// settings, and the control hosts that this host has heard of.
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
