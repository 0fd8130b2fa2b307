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

	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/drain"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// DefaultIdleTransaction is how long a transaction may wait for its next
// message. It holds a connection and locks, and holds up changes of owner.
const DefaultIdleTransaction = 5 * time.Minute

// Config describes a Listener.
type Config struct {
	Gateway *gateway.Gateway
	TLS     *tls.Config // nil: plain text
	// RequireTLS refuses callers in plain text.
	RequireTLS bool
	// Users may log in; nil trusts each caller.
	Users *auth.Users
	Log   logrus.FieldLogger
	// MaxCallers bounds open connections, MaxMessageBytes one message.
	MaxCallers      int
	MaxMessageBytes int
	// StartupTimeout bounds the start-up of a caller; zero stands for
	// DefaultStartupTimeout.
	StartupTimeout time.Duration
	// IdleTransaction is how long a transaction may wait for its next message;
	// zero stands for DefaultIdleTransaction.
	IdleTransaction time.Duration
	// Counters hears of what happens at the edge; see package metrics.
	Counters Counters
}

// Counters counts events of caller connections.
type Counters interface {
	Callers(delta int)
	Refused(kind errkind.Kind)
}

// Listener serves callers.
type Listener struct {
	cfg Config

	mu       sync.Mutex
	sessions map[uint32]*entry // by process id, for cancel requests
	nextPID  uint32
	ending   bool
	starting int // connections whose start-up is not over
	work     sync.WaitGroup
}

// entry is an open caller connection and the key of its cancel requests.
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

// Serve accepts callers until ctx ends or l is closed.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		leave := l.enter()
		go func() {
			defer leave()
			l.serve(ctx, nc)
		}()
	}
}

// enter makes Drain wait for a connection, unless it has begun: then the
// connection is refused.
func (l *Listener) enter() (leave func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending {
		return func() {}
	}
	l.work.Add(1)
	return l.work.Done
}

// startupError is what a caller is told about a failed start-up.
func startupError(err error) *errkind.Error {
	var known *errkind.Error
	if errors.As(err, &known) {
		return known
	}
	return errkind.Wrap(err, errkind.BadRequest, "%v", err)
}

// serve runs one connection from start-up to its end.
func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	log := l.cfg.Log.WithField("caller", nc.RemoteAddr().String())
	if !l.beginStart() {
		l.refuse(log, nc, errkind.New(errkind.CallerLimit, "too many callers are connecting"))
		_ = nc.Close()
		return
	}
	s, nc := l.start(log, nc)
	l.endStart()
	defer func() { _ = nc.Close() }()
	if s == nil {
		return
	}
	_ = nc.SetDeadline(time.Time{})
	l.cfg.Counters.Callers(1)
	defer l.cfg.Counters.Callers(-1)
	defer l.remove(s.pid)
	defer s.gate.Close()
	if err := s.welcome(l.key(s.pid)); err != nil {
		return
	}
	err := s.run(ctx)
	switch {
	case errkind.Is(err, errkind.IdleInTransaction):
		l.refuse(log, nc, errkind.Of(err))
	case errors.Is(err, os.ErrDeadlineExceeded):
		_ = s.goodbye()
	case err != nil:
		l.refuse(log, nc, errkind.Of(err))
	}
}

// beginStart takes a place among the connections in start-up.
func (l *Listener) beginStart() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starting >= maxStarting {
		return false
	}
	l.starting++
	return true
}

func (l *Listener) endStart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starting--
}

// start runs the start-up of a connection. It returns no session where the
// caller was refused or only cancels a request, and the connection to close.
func (l *Listener) start(log logrus.FieldLogger, nc net.Conn) (*session, net.Conn) {
	nc, start, err := readStartup(nc, l.cfg.TLS, l.cfg.StartupTimeout)
	if err != nil {
		l.refuse(log, nc, startupError(err))
		return nil, nc
	}
	if start.cancel != nil {
		l.cancel(start.cancel)
		return nil, nc
	}
	s, err := l.login(nc, start, log)
	if err != nil {
		l.refuse(log, nc, errkind.Of(err))
		return nil, nc
	}
	return s, nc
}

// refuse tells a caller why its connection ends.
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

// login checks what the caller said at its start.
func (l *Listener) login(nc net.Conn, start *startup, log logrus.FieldLogger) (*session, error) {
	l.mu.Lock()
	full, ending := len(l.sessions) >= l.cfg.MaxCallers, l.ending
	l.mu.Unlock()
	if ending {
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
		if err := authenticate(backend, l.cfg.Users, start.user); err != nil {
			return nil, err
		}
	}
	backend.SetMaxBodyLen(l.cfg.MaxMessageBytes)
	gate, err := l.cfg.Gateway.NewSession(start.database, start.user)
	if err != nil {
		return nil, err
	}
	known := map[string]prepared{}
	s := &session{
		listener: l,
		net:      nc,
		reader:   reader,
		writer:   writer,
		backend:  backend,
		gate:     gate,
		log:      log,
		begun:    start,
		known:    known,
		unit:     newUnit(known),
		txStatus: request.TxIdle,
	}
	for name, value := range start.params {
		if !ownParam(name) {
			continue
		}
		if err := s.set(name, value); err != nil {
			return nil, err
		}
	}
	if !l.add(s) {
		gate.Close()
		return nil, errkind.New(errkind.CallerLimit, "%d callers are connected", l.cfg.MaxCallers)
	}
	return s, nil
}

func ownParam(name string) bool {
	return name == paramToken || name == paramClass || name == paramKey
}

// welcome ends the start-up of a caller.
func (s *session) welcome(key uint32) error {
	s.send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", s.begun.params["application_name"]},
	} {
		s.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, key)})
	return s.ready()
}

// add counts a caller in, unless there are too many.
func (l *Listener) add(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) >= l.cfg.MaxCallers {
		return false
	}
	l.nextPID++
	s.pid = l.nextPID
	l.sessions[s.pid] = &entry{session: s, key: newCancelKey()}
	if l.ending { // since the login
		s.end()
	}
	return true
}

func (l *Listener) key(pid uint32) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions[pid].key
}

func (l *Listener) remove(pid uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, pid)
}

// cancel interrupts the request of the named session if the key is right.
func (l *Listener) cancel(m *pgproto3.CancelRequest) {
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

// Drain refuses new callers, ends idle ones with the proper message, and lets
// running requests and transactions finish. It returns the ones that are left
// when ctx ends.
func (l *Listener) Drain(ctx context.Context) []string {
	l.mu.Lock()
	l.ending = true
	for _, e := range l.sessions {
		e.session.end()
	}
	l.mu.Unlock()
	if drain.Wait(ctx, &l.work) {
		return nil
	}
	return l.Left()
}

// Left names the callers that are connected.
func (l *Listener) Left() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var left []string
	for pid, e := range l.sessions {
		left = append(left, "session "+strconv.FormatUint(uint64(pid), 10)+" of "+e.session.net.RemoteAddr().String())
	}
	return left
}
