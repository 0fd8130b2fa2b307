package host

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// cutOffAfter is for how long a host may go without a valid lease before the
// balancer shall send its callers elsewhere.
const cutOffAfter = 2 * time.Second

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

// mayServe returns nil while this host can serve callers: it knows a deployment
// and has not been without a lease for long.
func (h *Host) mayServe() error {
	if h.dir.deployment.Load() == nil {
		return errkind.New(errkind.NotLeader, "no deployment was heard of yet")
	}
	if silent := h.dir.withoutLease(); silent > cutOffAfter {
		return errkind.New(errkind.NotLeader, "no lease for %v", silent)
	}
	return nil
}

// withoutLease returns for how long this host has held no lease.
func (d *directory) withoutLease() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.ExpiredFor(d.clock())
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
