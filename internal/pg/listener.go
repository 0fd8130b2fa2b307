package pg

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/accept"
	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/drain"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// DefaultIdleTransaction is the default of Config.IdleTransaction. An idle
// transaction holds a connection and locks, and it delays ownership changes.
const DefaultIdleTransaction = 5 * time.Minute

// Config holds the settings of a Listener.
type Config struct {
	Gateway *gateway.Gateway
	TLS     *tls.Config // nil means plain text only
	// RequireTLS refuses callers that do not use TLS.
	RequireTLS bool
	// Users holds the users that may log in; nil disables authentication.
	Users *auth.Users
	Log   logrus.FieldLogger
	// MaxCallers bounds the open connections, MaxMessageBytes the body of one
	// message.
	MaxCallers      int
	MaxMessageBytes int
	// StartupTimeout bounds the start-up of a caller; zero means
	// DefaultStartupTimeout.
	StartupTimeout time.Duration
	// IdleTransaction is how long a transaction may wait for its next message
	// before the connection is closed; zero means DefaultIdleTransaction.
	IdleTransaction time.Duration
	// Counters counts connected and refused callers; see package metrics.
	Counters Counters
}

// Counters counts events of caller connections.
type Counters interface {
	// Callers adds delta to the number of connected callers.
	Callers(delta int)
	// Refused counts a caller that was refused with an error of the given kind.
	Refused(kind errkind.Kind)
}

// Listener accepts and serves caller connections.
type Listener struct {
	cfg Config

	mu       sync.Mutex
	sessions map[uint32]*entry // by process id, for cancel requests
	nextPID  uint32
	draining bool
	startups int // connections in start-up or login
	conns    drain.Group
}

// entry is an open caller connection and the key that its cancel requests must
// present.
type entry struct {
	session *session
	key     uint32
}

// NewListener returns a Listener that serves no connection yet.
func NewListener(cfg Config) *Listener {
	if cfg.StartupTimeout <= 0 {
		cfg.StartupTimeout = DefaultStartupTimeout
	}
	if cfg.IdleTransaction <= 0 {
		cfg.IdleTransaction = DefaultIdleTransaction
	}
	return &Listener{cfg: cfg, sessions: map[uint32]*entry{}}
}

// Serve accepts callers until ctx ends or ln is closed.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	accept.Loop(ctx, ln, l.cfg.Log, l.trackConn, func(nc net.Conn) { l.serve(ctx, nc) })
	return nil
}

// trackConn makes Drain wait for a new connection until untrack is called. After
// Drain has begun it does nothing, because login refuses the connection.
func (l *Listener) trackConn() (untrack func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return func() {}
	}
	return l.conns.Add()
}

// startupError returns the error to report to the caller for a failed start-up.
func startupError(err error) *errkind.Error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	return errkind.Wrap(err, errkind.BadRequest, "%v", err)
}

// serve handles one connection from start-up to close.
func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	log := l.cfg.Log.WithField("caller", nc.RemoteAddr().String())
	if !l.acquireStartup() {
		l.refuse(log, nc, errkind.New(errkind.CallerLimit, "too many callers are connecting"))
		_ = nc.Close()
		return
	}
	s, nc := l.startSession(log, nc)
	l.releaseStartup()
	defer func() { _ = nc.Close() }()
	if s == nil {
		return
	}
	_ = nc.SetDeadline(time.Time{})
	l.cfg.Counters.Callers(1)
	defer l.cfg.Counters.Callers(-1)
	defer l.removeSession(s.pid)
	defer s.gatewaySession.Close()
	if err := s.finishStartup(l.cancelKey(s.pid)); err != nil {
		return
	}
	err := s.run(ctx)
	switch {
	case errkind.Is(err, errkind.IdleInTransaction):
		l.refuse(log, nc, errkind.Of(err))
	case errors.Is(err, os.ErrDeadlineExceeded):
		_ = s.sendShutdown()
	case err != nil:
		l.refuse(log, nc, errkind.Of(err))
	}
}

// acquireStartup reserves one of the maxConcurrentStartups places. It returns
// false if none is free.
func (l *Listener) acquireStartup() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startups >= maxConcurrentStartups {
		return false
	}
	l.startups++
	return true
}

// releaseStartup frees a place reserved by acquireStartup.
func (l *Listener) releaseStartup() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startups--
}

// startSession performs the start-up and login of a connection. The session is
// nil if the caller was refused or sent a cancel request. The returned
// connection, which replaces nc, must be closed in any case.
func (l *Listener) startSession(log logrus.FieldLogger, nc net.Conn) (*session, net.Conn) {
	nc, msg, err := readStartup(nc, l.cfg.TLS, l.cfg.StartupTimeout)
	if err != nil {
		l.refuse(log, nc, startupError(err))
		return nil, nc
	}
	if msg.cancel != nil {
		l.cancelRequest(msg.cancel)
		return nil, nc
	}
	s, err := l.login(nc, msg, log)
	if err != nil {
		l.refuse(log, nc, errkind.Of(err))
		return nil, nc
	}
	return s, nc
}

// refuse counts and logs a caller that is refused or disconnected with the error
// e, and sends e to the caller.
func (l *Listener) refuse(log logrus.FieldLogger, nc net.Conn, e *errkind.Error) {
	l.cfg.Counters.Refused(e.Kind)
	log.WithField("kind", e.Kind.String()).WithError(e).Info("caller refused")
	buf, err := errorResponse(e, "FATAL").Encode(nil)
	if err != nil {
		return
	}
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(buf)
}

// login checks the limits of the listener, authenticates the caller and opens
// its session.
func (l *Listener) login(nc net.Conn, msg *startup, log logrus.FieldLogger) (*session, error) {
	l.mu.Lock()
	full, draining := len(l.sessions) >= l.cfg.MaxCallers, l.draining
	l.mu.Unlock()
	if draining {
		return nil, errkind.New(errkind.ShuttingDown, "connect to another host")
	}
	if full {
		return nil, errkind.New(errkind.CallerLimit, "%d callers are connected", l.cfg.MaxCallers)
	}
	if _, encrypted := nc.(*tls.Conn); l.cfg.RequireTLS && !encrypted {
		return nil, errkind.New(errkind.Unauthenticated, "this address requires TLS")
	}
	reader, writer := &callerReader{net: nc}, callerWriter{net: nc}
	backend := pgproto3.NewBackend(reader, writer)
	if l.cfg.Users != nil {
		backend.SetMaxBodyLen(maxLoginBytes)
		if err := authenticate(backend, l.cfg.Users, msg.user); err != nil {
			return nil, err
		}
	}
	backend.SetMaxBodyLen(l.cfg.MaxMessageBytes)
	gw, err := l.cfg.Gateway.NewSession(msg.database, msg.user)
	if err != nil {
		return nil, err
	}
	statements := map[string]prepared{}
	s := &session{
		listener:       l,
		net:            nc,
		reader:         reader,
		writer:         writer,
		backend:        backend,
		gatewaySession: gw,
		log:            log,
		startup:        msg,
		statements:     statements,
		unit:           newUnit(statements),
		txStatus:       request.TxIdle,
	}
	for name, value := range msg.params {
		if !isProxyParam(name) {
			continue
		}
		if err := s.applySetting(name, value); err != nil {
			return nil, err
		}
	}
	if !l.addSession(s) {
		gw.Close()
		return nil, errkind.New(errkind.CallerLimit, "%d callers are connected", l.cfg.MaxCallers)
	}
	return s, nil
}

// isProxyParam reports whether a start-up parameter is one of the proxy's own
// settings. A request id is per request and is not accepted at start-up.
func isProxyParam(name string) bool {
	return name == paramToken || name == paramClass || name == paramKey
}

// finishStartup sends the messages that end the start-up of a caller, including
// the parameters and the cancel key.
func (s *session) finishStartup(key uint32) error {
	s.send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", s.startup.params["application_name"]},
	} {
		s.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, key)})
	return s.sendReady()
}

// addSession registers a session and assigns its process id and cancel key. It
// returns false if MaxCallers sessions are open.
func (l *Listener) addSession(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) >= l.cfg.MaxCallers {
		return false
	}
	l.nextPID++
	s.pid = l.nextPID
	l.sessions[s.pid] = &entry{session: s, key: newCancelKey()}
	if l.draining { // Drain may have begun after login checked
		s.shutDown()
	}
	return true
}

func (l *Listener) cancelKey(pid uint32) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions[pid].key
}

func (l *Listener) removeSession(pid uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, pid)
}

// cancelRequest interrupts the running request of the session that m names if
// the key matches.
func (l *Listener) cancelRequest(m *pgproto3.CancelRequest) {
	l.mu.Lock()
	e := l.sessions[m.ProcessID]
	l.mu.Unlock()
	if e == nil || len(m.SecretKey) != cancelKeyBytes {
		return
	}
	if binary.BigEndian.Uint32(m.SecretKey) == e.key {
		e.session.interrupt()
	}
}

// Drain refuses new callers, ends idle sessions with a shutdown error, and lets
// running requests and transactions finish. It returns the descriptions of the
// callers that are still connected when ctx ends.
func (l *Listener) Drain(ctx context.Context) []string {
	l.mu.Lock()
	l.draining = true
	for _, e := range l.sessions {
		e.session.shutDown()
	}
	l.mu.Unlock()
	if l.conns.Wait(ctx) {
		return nil
	}
	return l.ConnectedCallers()
}

// ConnectedCallers returns a description of each connected caller.
func (l *Listener) ConnectedCallers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var callers []string
	for pid, e := range l.sessions {
		callers = append(callers, "session "+strconv.FormatUint(uint64(pid), 10)+" of "+e.session.net.RemoteAddr().String())
	}
	return callers
}
