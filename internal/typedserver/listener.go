// Package typedserver serves caller connections of protocols with typed statements.
// It keeps the state of each session (settings, prepared statements and the
// transaction), answers the statements that need no instance, and passes the
// others to the gateway as units of work.
package typedserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/accept"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/drain"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/typedproto"
)

const (
	// startupTimeout bounds the wait for the first message of a caller.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// readBufferBytes is the read buffer size of a session. It fits a typical
	// statement and is small because most of the many sessions are idle.
	readBufferBytes = 1 << 10
)

// Config holds the settings of a Listener.
type Config struct {
	Gateway *gateway.Gateway
	Codec   typedproto.CallerCodec
	Log     logrus.FieldLogger
	// MaxCallers bounds the open connections.
	MaxCallers int
	// IdleTransaction returns the current limit on how long a transaction may
	// wait for its next statement; zero means no limit.
	IdleTransaction func() time.Duration
	// WithdrawalGrace is how long a transaction may go on after the key of its
	// caller was withdrawn.
	WithdrawalGrace time.Duration
	// AwaitNewerKeys returns once the keys that this host knows are at least as
	// new as those in force when it was called, or when ctx ends. Nil means that
	// they always are.
	AwaitNewerKeys func(ctx context.Context)
	// RefusalFields returns further fields for the log line of a refused caller. Nil
	// means that there are none.
	RefusalFields func() logrus.Fields
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
	sessions map[*session]struct{}
	draining bool
	retiring bool // see SetRetiring
	conns    drain.Group
	// unknownKeys has room for the callers that wait in case their key is newer
	// than the configuration of this host.
	unknownKeys chan struct{}
}

// NewListener returns a Listener that serves no connection yet.
func NewListener(cfg Config) *Listener {
	return &Listener{cfg: cfg, sessions: map[*session]struct{}{}, unknownKeys: make(chan struct{}, maxUnknownKeys)}
}

// Serve accepts callers until ctx ends or ln is closed.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	accept.Loop(ctx, ln, l.cfg.Log, l.trackConn, func(nc net.Conn) { l.serve(ctx, nc) })
	return nil
}

// trackConn makes Drain wait for a new connection until untrack is called.
func (l *Listener) trackConn() (untrack func()) {
	return l.conns.Add()
}

// serve handles one connection from its first message to close.
func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReaderSize(nc, readBufferBytes)
	_ = nc.SetReadDeadline(time.Now().Add(startupTimeout))
	startup, err := l.cfg.Codec.ReadStartup(in)
	if err != nil {
		return // no valid start-up message to answer
	}
	_ = nc.SetReadDeadline(time.Time{})
	gw, err := l.openSession(ctx, &startup, nc.RemoteAddr().String())
	if err != nil {
		l.refuse(nc, startup.Database, errkind.Of(err))
		return
	}
	s := newSession(l, nc, in, gw, startup.Database)
	if !l.addSession(s) {
		l.refuse(nc, startup.Database, errkind.New(errkind.CallerLimit, "%d callers are connected", l.cfg.MaxCallers))
		return
	}
	l.cfg.Counters.Callers(1)
	defer l.cfg.Counters.Callers(-1)
	defer l.removeSession(s)
	defer gw.Close()
	if err := s.write(l.cfg.Codec.AppendStartupReply(nil)); err != nil {
		return
	}
	s.run(ctx)
}

// openSession opens a gateway session. On a host that has just started it waits
// up to configurationTimeout for the configuration, and with an unknown key for a
// newer configuration.
func (l *Listener) openSession(ctx context.Context, in *typedproto.CallerStartup, caller string) (*gateway.Session, error) {
	key := digest(in.Key)
	in.Key = "" // nothing below may pass it on
	until := time.Now().Add(configurationTimeout)
	for {
		gw, err := l.authenticatedSession(in.Database, caller, key)
		if errkind.Is(err, errkind.Unauthenticated) && l.awaitNewerKeys(ctx) {
			return l.authenticatedSession(in.Database, caller, key)
		}
		if !errkind.Is(err, errkind.NotLeader) || time.Now().After(until) {
			return gw, err
		}
		time.Sleep(configurationPollInterval)
	}
}

// awaitNewerKeys waits until this host knows the keys that were in force when the
// caller came. It returns false, without waiting, if many callers wait already: a
// flood of unknown keys must not hold more than that.
func (l *Listener) awaitNewerKeys(ctx context.Context) bool {
	if l.cfg.AwaitNewerKeys == nil {
		return false
	}
	select {
	case l.unknownKeys <- struct{}{}:
	default:
		return false
	}
	defer func() { <-l.unknownKeys }()
	ctx, stop := context.WithTimeout(ctx, unknownKeyTimeout)
	defer stop()
	l.cfg.AwaitNewerKeys(ctx)
	return true
}

// authenticatedSession opens the gateway session of a caller with the given key.
func (l *Listener) authenticatedSession(database, caller string, key config.KeyDigest) (*gateway.Session, error) {
	gw, err := l.cfg.Gateway.NewSession(database, caller)
	if err != nil {
		return nil, err
	}
	if err := gw.Authenticate(key); err != nil {
		return nil, err
	}
	return gw, nil
}

// digest returns the digest of a key, or the zero digest for no key.
func digest(key string) config.KeyDigest {
	if key == "" {
		return config.KeyDigest{}
	}
	return config.DigestKey(key)
}

const (
	// configurationTimeout is how long a new session waits for a host that has
	// just started to receive the configuration. It is below the two seconds
	// after which callers give up.
	configurationTimeout      = 1500 * time.Millisecond
	configurationPollInterval = 25 * time.Millisecond
	// unknownKeyTimeout bounds the wait of a caller with an unknown key, and
	// maxUnknownKeys the callers that wait. A key that was just added reaches all
	// hosts with their next heartbeat.
	unknownKeyTimeout = 500 * time.Millisecond
	maxUnknownKeys    = 32
)

// recordRefusal counts and logs a refused caller. The line has the given fields too.
func (l *Listener) recordRefusal(nc net.Conn, database string, e *errkind.Error, fields logrus.Fields) {
	l.cfg.Counters.Refused(e.Kind)
	line := l.cfg.Log.WithError(e).WithFields(fields)
	if l.cfg.RefusalFields != nil {
		line = line.WithFields(l.cfg.RefusalFields())
	}
	line.WithFields(logrus.Fields{
		"kind": e.Kind.String(), "database": database, "caller": nc.RemoteAddr().String(),
	}).Info("caller refused")
}

// refuse records a refused caller and sends it the reason.
func (l *Listener) refuse(nc net.Conn, database string, e *errkind.Error) {
	l.recordRefusal(nc, database, e, nil)
	code, text := failureCode(e, false)
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(l.cfg.Codec.AppendRefusal(nil, code, text)) // the connection is closed in any case
}

// addSession registers a session. It returns false if MaxCallers sessions are
// open.
func (l *Listener) addSession(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) >= l.cfg.MaxCallers {
		return false
	}
	l.sessions[s] = struct{}{}
	s.setRetiring(l.retiring, time.Now())
	s.setAdmitted(s.gatewaySession.IsAdmitted(), time.Now())
	if l.draining {
		s.shutDown()
	}
	return true
}

func (l *Listener) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s)
}

// SetRetiring starts or stops ending the sessions whose callers can reconnect to
// another host without losing a statement; see session.setRetiring. It must be
// called periodically while on is set, because each call ends only the sessions
// that are idle at that time.
func (l *Listener) SetRetiring(on bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retiring = on
	for s := range l.sessions {
		s.setRetiring(on, now)
	}
}

// CheckKeys applies the keys in force to the open sessions: those whose key was
// withdrawn end; see session.setAdmitted.
func (l *Listener) CheckKeys() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		s.setAdmitted(s.gatewaySession.IsAdmitted(), now)
	}
}

// Drain ends idle sessions immediately and the others after their current
// statement or transaction. It returns the descriptions of the callers that are
// still connected when ctx ends.
func (l *Listener) Drain(ctx context.Context) []string {
	l.mu.Lock()
	l.draining = true
	for s := range l.sessions {
		s.shutDown()
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
	for s := range l.sessions {
		callers = append(callers, "session of "+s.net.RemoteAddr().String())
	}
	return callers
}

// isTimeout reports whether err means that a read deadline passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
