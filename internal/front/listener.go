// Package front serves caller connections of protocols with typed statements.
// It keeps what belongs to a session (settings, prepared names, the state of
// its transaction), answers what needs no instance, and hands the rest to the
// gateway as units of work.
package front

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthweir/amaranthweir/internal/drain"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/stmt"
)

const (
	// startupTimeout bounds the wait for the first message of a caller.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds one answer to a caller that does not read.
	writeTimeout = 10 * time.Second
	// readBufferBytes holds an ordinary statement; sessions are many and mostly
	// idle.
	readBufferBytes = 1 << 10
)

// Config describes a Listener.
type Config struct {
	Gateway *gateway.Gateway
	Codec   stmt.CallerCodec
	Log     logrus.FieldLogger
	// MaxCallers bounds open connections.
	MaxCallers int
	// IdleTransaction returns how long a transaction may wait for its next
	// statement now; zero is no bound.
	IdleTransaction func() time.Duration
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
	sessions map[*session]struct{}
	ending   bool
	retiring bool // sessions end at a good moment
	work     sync.WaitGroup
}

// NewListener returns a Listener that serves no connection yet.
func NewListener(cfg Config) *Listener {
	return &Listener{cfg: cfg, sessions: map[*session]struct{}{}}
}

// Serve accepts callers until ctx ends or ln is closed.
func (l *Listener) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		nc, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			l.cfg.Log.WithError(err).Warn("accepting a caller failed")
			time.Sleep(acceptPause)
			continue
		}
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			l.serve(ctx, nc)
		}()
	}
}

// acceptPause is the pause after an accept that failed, as when descriptors
// run out.
const acceptPause = 20 * time.Millisecond

// serve runs one connection from its first message to its end.
func (l *Listener) serve(ctx context.Context, nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReaderSize(nc, readBufferBytes)
	_ = nc.SetReadDeadline(time.Now().Add(startupTimeout))
	database, err := l.cfg.Codec.ReadStartup(in)
	if err != nil {
		return // it said nothing that could be answered
	}
	_ = nc.SetReadDeadline(time.Time{})
	gate, err := l.open(database, nc.RemoteAddr().String())
	if err != nil {
		l.refuse(nc, database, errkind.Of(err))
		return
	}
	s := newSession(l, nc, in, gate, database)
	if !l.add(s) {
		l.refuse(nc, database, errkind.New(errkind.CallerLimit, "%d callers are connected", l.cfg.MaxCallers))
		return
	}
	l.cfg.Counters.Callers(1)
	defer l.cfg.Counters.Callers(-1)
	defer l.remove(s)
	defer gate.Close()
	if err := s.write(l.cfg.Codec.AppendStartupReply(nil)); err != nil {
		return
	}
	s.run(ctx)
}

// open begins a session. A host that has just started waits a little for the
// configuration.
func (l *Listener) open(database, caller string) (*gateway.Session, error) {
	until := time.Now().Add(knownTimeout)
	for {
		gate, err := l.cfg.Gateway.NewSession(database, caller)
		if !errkind.Is(err, errkind.NotLeader) || time.Now().After(until) {
			return gate, err
		}
		time.Sleep(knownPoll)
	}
}

const (
	// knownTimeout is how long a caller waits for a host that has just started
	// to hear of the configuration; callers give up after two seconds.
	knownTimeout = 1500 * time.Millisecond
	knownPoll    = 25 * time.Millisecond
)

// refuse turns a caller away.
func (l *Listener) refuse(nc net.Conn, database string, e *errkind.Error) {
	l.cfg.Counters.Refused(e.Kind)
	l.cfg.Log.WithError(e).WithFields(logrus.Fields{
		"kind": e.Kind.String(), "database": database, "caller": nc.RemoteAddr().String(),
	}).Info("caller refused")
	code, text := failure(e, false)
	_ = nc.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = nc.Write(l.cfg.Codec.AppendRefusal(nil, code, text)) // the caller is turned away either way
}

func (l *Listener) add(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) >= l.cfg.MaxCallers {
		return false
	}
	l.sessions[s] = struct{}{}
	s.retire(l.retiring, time.Now())
	if l.ending {
		s.end()
	}
	return true
}

func (l *Listener) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s)
}

// Retire makes sessions end at a good moment, see session.retire, or, with on
// unset, ends that again. It is called at intervals.
func (l *Listener) Retire(on bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retiring = on
	for s := range l.sessions {
		s.retire(on, now)
	}
}

// Drain ends idle sessions, and the others at the end of their statement or
// transaction. It returns the ones that are left when ctx ends.
func (l *Listener) Drain(ctx context.Context) []string {
	l.mu.Lock()
	l.ending = true
	for s := range l.sessions {
		s.end()
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
	for s := range l.sessions {
		left = append(left, "session of "+s.net.RemoteAddr().String())
	}
	return left
}

// isTimeout reports whether a read ended at its deadline.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
