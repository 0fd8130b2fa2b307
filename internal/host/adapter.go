package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/pgedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/front"
	"github.com/amaranthweir/amaranthweir/internal/logsink"
	"github.com/amaranthweir/amaranthweir/internal/owner"
	"github.com/amaranthweir/amaranthweir/internal/pg"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// Edge is how a host reaches database instances beside their statements.
type Edge interface {
	dbedge.Prober
	dbedge.Promoter
	dbedge.Fencer
	Close()
}

// Adapter is what a platform with a protocol of its own puts in place of the
// PostgreSQL protocol and the HTTP interface.
type Adapter struct {
	// Edge probes, promotes and fences instances.
	Edge Edge
	// Upstream and Callers are the protocol towards instances and callers.
	Upstream stmt.UpstreamCodec
	Callers  stmt.CallerCodec
	// DecodeDeployment reads the configuration of all services.
	DecodeDeployment func(body []byte) (*config.Deployment, error)
	// CallsAddress is ip:port where the calls of the platform arrive, Calls
	// their handler.
	CallsAddress string
	Calls        func(b *Backend) http.Handler
	// AnnounceInterval is how often instances announce themselves.
	AnnounceInterval time.Duration
	// Log takes the log lines.
	Log *logsink.Sink
	// NotReadyPause is how long the balancer takes to see that a host is not
	// ready; ShutdownBound bounds a whole shutdown.
	NotReadyPause time.Duration
	ShutdownBound time.Duration
	// Join returns the peer addresses to ask for the leader, as the settings
	// name them now.
	Join func() []string
}

// callerListener serves the callers of a host.
type callerListener interface {
	Serve(ctx context.Context, ln net.Listener) error
	Drain(ctx context.Context) []string
	Left() []string
}

// timings of a platform that numbers the terms of logs and takes long to
// promote.
const (
	// promoteBound is when a promotion without effect is given up; platforms
	// take up to about a second for one.
	promoteBound = 4 * time.Second
	promoteRetry = 1500 * time.Millisecond
	// beatInterval and lateAfter let a cut be noticed soon: callers wait for another
	// primary meanwhile.
	beatInterval = 130 * time.Millisecond
	lateAfter    = 290 * time.Millisecond
	// silentAnnouncements is how many announcements in a row an instance may
	// miss before it counts as silent.
	silentAnnouncements = 3
	// linkSilence is how long a link between hosts may stay silent: callers
	// wait for what was sent over it.
	linkSilence = 600 * time.Millisecond
	// statementProbe is the interval between probes of an owned instance.
	statementProbe = 200 * time.Millisecond
	// statementProbeTimeout is how long one may stay without an answer: instances
	// answer at once, also that they are busy.
	statementProbeTimeout = 200 * time.Millisecond
)

// timing returns the durations of failover on this platform.
func (a *Adapter) timing() failover.Config {
	t := failover.DefaultConfig()
	if a == nil {
		return t
	}
	t.ExternalTerms = true
	t.ProbeTimeout = statementProbeTimeout
	t.Lease.Heartbeat, t.Lease.LateAfter = beatInterval, lateAfter
	t.PromoteTimeout, t.PromoteRetry = promoteBound, promoteRetry
	t.AnnounceTimeout = silentAnnouncements * a.AnnounceInterval
	return t
}

// Reloaded logs that the settings were read again.
func (h *Host) Reloaded(join []string, err error) {
	if err != nil {
		h.log.WithError(err).Error("settings cannot be read again: the earlier ones stay in force")
		return
	}
	h.log.WithField("join", join).Info("settings read again")
}

// newEdge returns how instances are reached.
func (h *Host) newEdge() (Edge, error) {
	if h.adapter != nil {
		return h.adapter.Edge, nil
	}
	cfg := pgedge.DefaultConfig()
	cfg.Login = h.security.upstream
	return pgedge.New(cfg)
}

// ownerConfig returns the config of the owner of this host's instances.
func (h *Host) ownerConfig() owner.Config {
	cfg := owner.Config{
		Authority: h.dir,
		Peers:     h.gateway,
		Prober:    h.edge,
		Fencer:    h.edge,
		Declare:   h.dir.declaration,
		Stamp:     func() failover.Stamp { return h.beats.latestStamp() },
		Changed:   func() { h.beats.soon() },
		Log:       h.log,
		Dial:      owner.DialSQL(h.security.upstream, owner.DefaultTiming().DialTimeout),
		Timing:    owner.DefaultTiming(),
	}
	if h.adapter != nil {
		cfg.Fencer = nil
		if holder, ok := h.edge.(dbedge.Holder); ok {
			cfg.Holder = holder
		}
		cfg.UpstreamFloors, cfg.SendAhead = true, true
		cfg.Timing.ProbeInterval = statementProbe
		cfg.Timing.ProbeTimeout = statementProbeTimeout
		cfg.Dial = func(t dbedge.Target, _ table.Epoch) (pool.Dialer, error) {
			return pool.DialStatements(t, h.adapter.Upstream), nil
		}
	}
	return cfg
}

// newCallers returns what serves the callers of this host.
func (h *Host) newCallers(secrets [][]byte) callerListener {
	if h.adapter != nil {
		return front.NewListener(front.Config{
			Gateway:         h.gateway,
			Codec:           h.adapter.Callers,
			Log:             h.log,
			MaxCallers:      h.settings.MaxCallers,
			IdleTransaction: h.dir.idleTransaction,
			Counters:        h.metrics,
		})
	}
	return pg.NewListener(pg.Config{
		Gateway:         h.gateway,
		TLS:             h.security.callers,
		RequireTLS:      h.settings.RequireTLS,
		Users:           callerUsers(h.settings, secrets[0]),
		Log:             h.log,
		MaxCallers:      h.settings.MaxCallers,
		MaxMessageBytes: h.settings.MaxMessageBytes,
		Counters:        h.metrics,
	})
}

// bindCalls opens the socket for the calls of the platform.
func (h *Host) bindCalls() error {
	if h.adapter == nil {
		return nil
	}
	var err error
	if h.callsSocket, err = net.Listen("tcp", h.adapter.CallsAddress); err != nil {
		return eris.Wrap(err, "address of platform calls")
	}
	return nil
}

// serveCalls serves the calls of the platform until ctx ends.
func (h *Host) serveCalls(ctx context.Context) error {
	srv := api.NewServer(h.adapter.Calls(&Backend{host: h}))
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(h.callsSocket); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "platform calls")
	}
	return nil
}

// methodDeployment and methodReplace are control calls between hosts.
const (
	methodDeployment = "deployment"
	methodReplace    = "replace"
)

// deploymentTimeout bounds a call about the deployment; the platform gives up
// on a host after a second.
const deploymentTimeout = 3 * time.Second

// ReplaceDeployment returns once the deployment with that version, or a higher
// one, is agreed.
func (b *Backend) ReplaceDeployment(ctx context.Context, version uint64, body []byte) error {
	ctx, stop := context.WithTimeout(ctx, deploymentTimeout)
	defer stop()
	in := control.ReplaceDeployment{Version: version, Body: body}
	err := b.host.askLeader(ctx, methodReplace, in, &struct{}{})
	b.host.log.WithFields(logrus.Fields{"version": version, "accepted": err == nil}).Info("audit: replace deployment")
	return err
}

// Deployment returns the newest agreed deployment, or an error where it is not
// known for certain.
func (b *Backend) Deployment(ctx context.Context) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, deploymentTimeout)
	defer stop()
	var d control.Deployment
	if err := b.host.askLeader(ctx, methodDeployment, struct{}{}, &d); err != nil {
		return nil, err
	}
	return d.Body, nil
}

// takeReplace answers methodReplace.
func (h *Host) takeReplace(ctx context.Context, body []byte) (any, error) {
	var in control.ReplaceDeployment
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, badMessage(err)
	}
	l, err := h.controlLeader()
	if err != nil {
		return nil, err
	}
	res, err := l.server.Propose(ctx, control.Command{ReplaceDeployment: &in})
	if err != nil {
		return nil, err
	}
	return struct{}{}, res.Err()
}

// takeDeployment answers methodDeployment. Only a leader with a valid lease
// knows that no later deployment is agreed.
func (h *Host) takeDeployment(context.Context, []byte) (any, error) {
	l, err := h.controlLeader()
	if err != nil {
		return nil, err
	}
	d := l.server.View().Deployment
	if _, self, valid := l.server.Leader(); !self || !valid || !l.server.CaughtUp() {
		return nil, errkind.New(errkind.NotLeader, "")
	}
	if d.Version == 0 {
		return nil, errkind.New(errkind.NotLeader, "no deployment is agreed yet")
	}
	return d, nil
}
