package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/control"
	"github.com/amaranthweir/amaranthweir/internal/dbedge"
	"github.com/amaranthweir/amaranthweir/internal/dbedge/pgedge"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/logsink"
	"github.com/amaranthweir/amaranthweir/internal/owner"
	"github.com/amaranthweir/amaranthweir/internal/pg"
	"github.com/amaranthweir/amaranthweir/internal/pool"
	"github.com/amaranthweir/amaranthweir/internal/system/access"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
	"github.com/amaranthweir/amaranthweir/internal/typedserver"
)

// Edge sends probes, promotions and fences to database instances. Statements of
// callers do not pass through it.
type Edge interface {
	dbedge.Prober
	dbedge.Promoter
	dbedge.Fencer
	Close()
}

// Adapter replaces the PostgreSQL protocol and the HTTP interface on a platform
// that has its own protocol.
type Adapter struct {
	// Edge probes, promotes and fences instances.
	Edge Edge
	// Upstream encodes the protocol spoken with instances, Callers the one
	// spoken with callers.
	Upstream typedproto.UpstreamCodec
	Callers  typedproto.CallerCodec
	// DecodeDeployment decodes the configuration of all services.
	DecodeDeployment func(body []byte) (*config.Deployment, error)
	// CallsAddress is the ip:port that serves the platform's HTTP calls, and
	// Calls returns the handler of these calls.
	CallsAddress string
	Calls        func(b *Backend) http.Handler
	// AnnounceInterval is the interval at which instances announce themselves.
	AnnounceInterval time.Duration
	// Log receives the log lines.
	Log *logsink.Sink
	// NotReadyDelay is the time that the load balancer needs to notice that a
	// host is not ready. ShutdownLimit limits the duration of a whole shutdown.
	NotReadyDelay time.Duration
	ShutdownLimit time.Duration
	// Join returns the peer addresses to ask for the leader, from the current
	// settings.
	Join func() []string
}

// callerListener serves the callers of a host. Drain disconnects them gracefully
// and returns the callers that are still connected when ctx ends.
// ConnectedCallers returns the callers that are connected now.
type callerListener interface {
	Serve(ctx context.Context, ln net.Listener) error
	Drain(ctx context.Context) []string
	ConnectedCallers() []string
}

// Timing for a platform that assigns log terms itself and promotes slowly.
const (
	// promoteTimeout is how long a promotion may take before another candidate
	// is chosen. Platforms take up to about one second for a promotion.
	promoteTimeout       = 4 * time.Second
	promoteRetryInterval = 1500 * time.Millisecond
	// promotionLapse is how long after an order the platform may promote an
	// instance: the timeout of the order and three times the longest promotion that
	// platforms state, rounded up.
	promotionLapse = 3500 * time.Millisecond
	// heartbeatInterval and lateAfter are short, because the leader notices by
	// missing heartbeats that a host is cut off, and callers wait for a new
	// primary until then.
	heartbeatInterval = 130 * time.Millisecond
	lateAfter         = 290 * time.Millisecond
	// maxMissedAnnouncements is how many consecutive announcements an instance
	// may miss before it counts as silent.
	maxMissedAnnouncements = 3
	// linkSilenceTimeout is how long a link between hosts may stay silent before
	// it is closed. Callers wait for the requests sent over the link meanwhile.
	linkSilenceTimeout = 600 * time.Millisecond
	// statementProbeInterval is the interval between probes of an owned instance.
	statementProbeInterval = 200 * time.Millisecond
	// statementProbeTimeout limits one probe. Instances answer at once, even
	// when they are busy.
	statementProbeTimeout = 200 * time.Millisecond
)

// timing returns the failover timing for the platform. A nil adapter means the
// defaults.
func (a *Adapter) timing() failover.Config {
	t := failover.DefaultConfig()
	if a == nil {
		return t
	}
	t.ExternalTerms = true
	t.ProbeTimeout = statementProbeTimeout
	t.Lease.Heartbeat, t.Lease.LateAfter = heartbeatInterval, lateAfter
	t.PromoteTimeout, t.PromoteRetry = promoteTimeout, promoteRetryInterval
	t.PromotionLapse = promotionLapse
	t.AnnounceTimeout = maxMissedAnnouncements * a.AnnounceInterval
	return t
}

// LogReload logs the outcome of reloading the settings.
func (h *Host) LogReload(join []string, err error) {
	if err != nil {
		h.log.WithError(err).Error("reloading the settings failed: the previous settings stay in force")
		return
	}
	h.log.WithField("join", join).Info("settings read again")
}

// newEdge returns the edge of the adapter, or else one for PostgreSQL.
func (h *Host) newEdge() (Edge, error) {
	if h.adapter != nil {
		return h.adapter.Edge, nil
	}
	cfg := pgedge.DefaultConfig()
	cfg.Login = h.security.upstream
	return pgedge.New(cfg)
}

// ownerConfig returns the configuration of the owner, which manages the
// instances that this host owns.
func (h *Host) ownerConfig() owner.Config {
	cfg := owner.Config{
		Authority:       h.dir,
		Peers:           h.gateway,
		Prober:          h.edge,
		Fencer:          h.edge,
		AdmissionConfig: h.dir.declaration,
		Stamp:           func() failover.Stamp { return h.heartbeats.latestStamp() },
		OnChange:        func() { h.heartbeats.requestHeartbeat() },
		Log:             h.log,
		Dial:            owner.DialSQL(h.security.upstream, owner.DefaultTiming().DialTimeout),
		Timing:          owner.DefaultTiming(),
		LearnCapacity:   h.settings.LearnCapacity,
	}
	if h.adapter != nil {
		cfg.Fencer = nil
		if holder, ok := h.edge.(dbedge.ReplicationHolder); ok {
			cfg.Holder = holder
		}
		cfg.UpstreamFloors, cfg.OvercommitSlots = true, true
		cfg.HasKeys = func(workspace string) bool { return h.dir.accessRules.Load().HasKeys(workspace) }
		cfg.PerWorkspace = func() bool { return h.dir.accessRules.Load() != nil }
		cfg.Timing.ProbeInterval = statementProbeInterval
		cfg.Timing.ProbeTimeout = statementProbeTimeout
		cfg.Dial = func(t dbedge.Target, _ table.Epoch) (pool.Dialer, error) {
			return pool.DialStatements(t, h.adapter.Upstream), nil
		}
	}
	return cfg
}

// newCallers returns the listener for the callers of this host. The secrets are
// the decoded session keys.
func (h *Host) newCallers(secrets [][]byte) callerListener {
	if h.adapter != nil {
		return typedserver.NewListener(typedserver.Config{
			Gateway:         h.gateway,
			Codec:           h.adapter.Callers,
			Log:             h.log,
			MaxCallers:      h.settings.MaxCallers,
			IdleTransaction: h.dir.idleTransactionTimeout,
			WithdrawalGrace: access.TransactionGrace(h.settings.Revocation),
			AwaitNewerKeys:  h.awaitNewerKeys,
			RefusalFields:   h.knowledgeFields,
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

// bindCalls opens the socket for the platform's HTTP calls, if there is an
// adapter.
func (h *Host) bindCalls() error {
	if h.adapter == nil {
		return nil
	}
	var err error
	if h.callsSocket, err = net.Listen("tcp", h.adapter.CallsAddress); err != nil {
		return eris.Wrap(err, "listen on the address for platform calls")
	}
	return nil
}

// serveCalls serves the platform's HTTP calls until ctx ends.
func (h *Host) serveCalls(ctx context.Context) error {
	return eris.Wrap(serveUntil(ctx, h.adapter.Calls(&Backend{host: h}), h.callsSocket), "serve platform calls")
}

// methodDeployment and methodReplace are control calls between hosts.
const (
	methodDeployment = "deployment"
	methodReplace    = "replace"
)

// deploymentTimeout limits a call that reads or replaces the deployment. It is longer
// than operators wait for an answer: a change may be committed after they have gone, and
// they wait longer for a large body.
const deploymentTimeout = 3 * time.Second

// ReplaceDeployment proposes a deployment and returns once the replicated log
// has committed it or one with a higher version.
func (b *Backend) ReplaceDeployment(ctx context.Context, version uint64, body []byte) error {
	ctx, stop := context.WithTimeout(ctx, deploymentTimeout)
	defer stop()
	in := control.ReplaceDeployment{Version: version, Body: body}
	err := b.host.askLeader(ctx, methodReplace, in, &struct{}{})
	b.host.log.WithFields(logrus.Fields{"version": version, "accepted": err == nil}).Info("audit: replace deployment")
	return err
}

// Deployment returns the body of the latest committed deployment, as the leader
// knows it. It fails if no leader confirms that deployment as the latest.
func (b *Backend) Deployment(ctx context.Context) ([]byte, error) {
	ctx, stop := context.WithTimeout(ctx, deploymentTimeout)
	defer stop()
	var d control.Deployment
	if err := b.host.readFromLeader(ctx, methodDeployment, &d); err != nil {
		return nil, err
	}
	return d.Body, nil
}

// handleReplace handles methodReplace calls.
func (h *Host) handleReplace(ctx context.Context, body []byte) (any, error) {
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

// handleDeployment handles methodDeployment calls. Only a leader with a valid
// lease knows that no later deployment is committed.
func (h *Host) handleDeployment(context.Context, []byte) (any, error) {
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
