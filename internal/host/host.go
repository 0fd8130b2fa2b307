// Package host assembles the components of one host: listeners, the owner of
// instances, links to other hosts, heartbeats, and on a control host the
// replicated log and the systems that the leader runs.
package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/bootclock"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/logsink"
	"github.com/amaranthweir/amaranthweir/internal/metrics"
	"github.com/amaranthweir/amaranthweir/internal/owner"
	"github.com/amaranthweir/amaranthweir/internal/peer"
	"github.com/amaranthweir/amaranthweir/internal/session"
	"github.com/amaranthweir/amaranthweir/internal/system/failover"
)

// Host is one host of a deployment with all its components.
type Host struct {
	settings    *config.Settings
	timing      failover.Config
	incarnation uint64
	started     time.Duration // on the bootclock
	log         *logrus.Logger
	metrics     *metrics.Metrics
	dir         *directory
	security    *security
	adapter     *Adapter // nil with the PostgreSQL protocol
	edge        Edge
	owner       *owner.Owner
	gateway     *gateway.Gateway
	callers     callerListener
	heartbeats  *heartbeatSender
	quota       *quotaHolder
	granter     *quotaGranter      // nil unless this is a control host
	calls       peer.ControlClient // calls to the leader other than heartbeats
	reads       peer.ControlClient // those of calls that change nothing
	peerServer  *peer.Server
	control     *leader // nil unless this is a control host, which need not lead
	stopping    chan struct{}
	reconciling sync.Mutex
	unlisted    unlistedSince // guarded by reconciling

	callerSocket net.Listener
	peerSocket   net.Listener
	httpSocket   net.Listener
	callsSocket  net.Listener // nil without an adapter
	// metricsSocket is nil without a metrics address, or if it is in use.
	metricsSocket net.Listener
}

// New creates a host and binds its addresses. Run serves them.
func New(s *config.Settings) (*Host, error) { return NewWithAdapter(s, nil) }

// NewWithAdapter creates a host that uses the protocol of an adapter. A nil
// adapter means the PostgreSQL protocol.
func NewWithAdapter(s *config.Settings, a *Adapter) (*Host, error) {
	log, err := newLog(s)
	if err != nil {
		return nil, err
	}
	counters := metrics.New()
	limitLogLines(log, a, counters)
	h := &Host{
		settings:    s,
		adapter:     a,
		timing:      a.timing(),
		incarnation: uint64(time.Now().UnixNano()),
		started:     bootclock.Now(),
		log:         log,
		metrics:     counters,
		stopping:    make(chan struct{}),
		unlisted:    unlistedSince{},
	}
	if err := h.timing.Validate(); err != nil {
		return nil, err
	}
	if h.security, err = newSecurity(s, h.clock, log); err != nil {
		return nil, eris.Wrap(err, "load certificates and secrets")
	}
	if h.edge, err = h.newEdge(); err != nil {
		return nil, eris.Wrap(err, "create the edge to instances")
	}
	h.dir = newDirectory(s.Host, h.clock, log)
	h.dir.dial = h.security.dialPeer()
	h.calls.Dial = h.dir.dial
	h.reads = peer.ControlClient{Dial: h.dir.dial, Silence: heartbeatSilence}
	if a != nil {
		h.dir.decode = a.DecodeDeployment
		h.dir.peerTiming.IdleTimeout = linkSilenceTimeout
	}
	if err := h.buildComponents(); err != nil {
		return nil, err
	}
	return h, h.bind()
}

// clock returns the time since New. It keeps running while the machine is
// suspended.
func (h *Host) clock() time.Duration { return bootclock.Now() - h.started }

// buildComponents creates the components that serve requests.
func (h *Host) buildComponents() error {
	secrets, err := session.ParseKeys(h.settings.SessionKeys)
	if err != nil {
		return eris.Wrap(err, "parse session keys")
	}
	keys, err := session.NewKeyring(secrets)
	if err != nil {
		return eris.Wrap(err, "create the keyring of session keys")
	}
	h.quota = newQuotaHolder(h)
	h.metrics.CollectQuotaUse(h.quota.use)
	h.gateway = gateway.New(gateway.Config{
		Host:        h.settings.Host,
		Incarnation: h.incarnation,
		Domain:      h.settings.Domain,
		Directory:   h.dir,
		Observer:    h.metrics,
		Quota:       h.quota,
		Keys:        keys,
		Log:         h.log,
		Clock:       h.clock,

		UpstreamFloors:        h.adapter != nil,
		ConfigurationKnown:    h.hasConfiguration,
		ConfigurationOutdated: h.mayMissChanges,
		Access:                h.dir.accessRules.Load,
		KeysOutdated:          h.keysOutdated,
		Isolated:              h.isIsolated,
	})
	h.owner = owner.New(h.ownerConfig())
	h.metrics.RegisterCapacities(h.owner.Capacities)
	h.dir.localExecutor = h.owner
	h.callers = h.newCallers(secrets)
	h.dir.onDeployment = h.applyKeys
	h.heartbeats = newHeartbeatSender(h)
	h.metrics.RegisterKnowledge(h.dir.deploymentVersion, h.heartbeats.sinceLastAnswer)
	h.peerServer = &peer.Server{Owner: h.owner, Log: h.log, Methods: map[string]peer.Method{}}
	if h.settings.Control != nil {
		if h.control, err = newLeader(h); err != nil {
			return err
		}
		h.metrics.RegisterControlLog(h.control.server.DiskUsage)
		h.granter = newQuotaGranter(h)
	}
	return nil
}

// bind opens the sockets, so that New already fails if an address is in use.
func (h *Host) bind() error {
	var err error
	if h.peerSocket, err = net.Listen("tcp", h.settings.PeerAddress); err != nil {
		return eris.Wrap(err, "listen on the peer address")
	}
	if h.httpSocket, err = net.Listen("tcp", h.settings.HTTPAddress); err != nil {
		return eris.Wrap(err, "listen on the HTTP address")
	}
	if h.settings.CallerAddress != "" {
		if h.callerSocket, err = net.Listen("tcp", h.settings.CallerAddress); err != nil {
			return eris.Wrap(err, "listen on the caller address")
		}
	}
	h.bindMetrics()
	return h.bindCalls()
}

// bindMetrics opens the socket of the metrics address. A host without it can
// still serve callers, so a failure is only logged.
func (h *Host) bindMetrics() {
	if h.settings.MetricsAddress == "" {
		return
	}
	var err error
	if h.metricsSocket, err = net.Listen("tcp", h.settings.MetricsAddress); err != nil {
		h.log.WithError(err).Warn("cannot listen on the metrics address")
	}
}

// Run serves until ctx ends, then shuts down gracefully.
func (h *Host) Run(ctx context.Context) error {
	h.log.WithFields(logrus.Fields{
		"host": h.settings.Host, "failure_domain": h.settings.Domain, "control": h.control != nil,
		"callers": h.settings.CallerAddress, "tls": h.settings.TLSCertificate != "",
	}).Info("host started")
	warnUnprotected(h.log, h.settings)
	// The components outlive ctx, because the shutdown needs them.
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(inner)
	group.Go(func() error { return h.servePeers(inner) })
	group.Go(func() error { return h.serveHTTP(inner) })
	if h.metricsSocket != nil {
		group.Go(func() error { return h.serveMetrics(inner) })
	}
	if h.callerSocket != nil {
		group.Go(func() error { return h.callers.Serve(inner, h.callerSocket) })
		group.Go(func() error { return h.quota.run(inner) })
	}
	if h.callsSocket != nil {
		group.Go(func() error { return h.serveCalls(inner) })
	}
	group.Go(func() error { return h.heartbeats.run(inner) })
	group.Go(func() error { return h.gateway.Run(inner) })
	group.Go(func() error { return h.watchIsolation(inner) })
	if h.control != nil {
		group.Go(func() error { return h.control.run(inner) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
			h.shutdown(inner)
			stop()
			return nil
		case <-inner.Done():
			return nil
		}
	})
	err := group.Wait()
	h.edge.Close()
	if err != nil && !errors.Is(err, context.Canceled) {
		h.log.WithError(err).Error("host stopped")
		return err
	}
	h.log.Info("host stopped")
	return nil
}

// limitPeers returns the socket of the peer address with a limit of connections. A
// control host accepts fewer from other hosts, and those of control hosts beyond the
// limit, so that agreement never waits behind other hosts.
func (h *Host) limitPeers() net.Listener {
	l := &limitListener{Listener: h.peerSocket, max: maxPeerConnections}
	if h.control != nil {
		l.max, l.preferred = maxControlConnections, h.control.isControlAddress
	}
	return l
}

func (h *Host) servePeers(ctx context.Context) error {
	s := h.peerServer
	s.Methods[methodHeartbeat] = h.handleHeartbeat
	s.Methods[methodApply] = h.handleApply
	s.Methods[methodNudge] = h.handleNudge
	s.Methods[methodStatus] = h.handleStatus
	s.Methods[methodSwitchOver] = h.handleSwitchOver
	s.Methods[methodReplace] = h.handleReplace
	s.Methods[methodDeployment] = h.handleDeployment
	if h.control != nil {
		s.Methods[methodQuota] = h.granter.handle
		s.Deliver = h.handleConsensus
	}
	if err := s.Serve(ctx, h.security.listenPeers(h.limitPeers())); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

func (h *Host) serveHTTP(ctx context.Context) error {
	handler := api.NewHandler(&Backend{host: h}, h.metricsHandler(),
		api.AccessControl{Operators: h.settings.Operators, AnnounceToken: h.settings.AnnounceToken, Log: h.log})
	if err := serveUntil(ctx, handler, h.security.listenHTTP(h.httpSocket)); err != nil {
		return fmt.Errorf("serve HTTP: %w", err)
	}
	return nil
}

// serveMetrics serves the metrics address until ctx ends.
func (h *Host) serveMetrics(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET "+api.PathMetrics, h.metricsHandler())
	if err := serveUntil(ctx, mux, h.metricsSocket); err != nil {
		return fmt.Errorf("serve metrics: %w", err)
	}
	return nil
}

func (h *Host) metricsHandler() http.Handler {
	return promhttp.HandlerFor(h.metrics.Registry(), promhttp.HandlerOpts{})
}

// serveUntil serves HTTP on a socket until ctx ends.
func serveUntil(ctx context.Context, handler http.Handler, socket net.Listener) error {
	srv := api.NewServer(handler)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// badMessage returns the error for a control call whose body cannot be decoded.
func badMessage(err error) error {
	return errkind.Wrap(err, errkind.BadRequest, "%v", err)
}

// limitLogLines limits the rate of log lines and sends them to the sink of the
// adapter, if there is one.
func limitLogLines(log *logrus.Logger, a *Adapter, counters *metrics.Metrics) {
	limiter := &logsink.Limiter{Next: log.Formatter, OnDrop: counters.CountDroppedLine}
	if a != nil {
		log.SetOutput(a.Log)
		limiter.ShedRequestLines = a.Log.IsHalfFull
	}
	log.SetFormatter(limiter)
}

func newLog(s *config.Settings) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, eris.Wrap(err, "parse the log level")
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log, nil
}
