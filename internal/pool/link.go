package pool

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/request"
)

// Conn is one open connection to an instance, in the protocol that the
// instance speaks: a *SQLConn or a *StatementConn. It serves one request at a
// time.
type Conn interface {
	// Run does one exchange. Errors are *errkind.Error; after one, the
	// connection must be discarded unless the outcome is Clean.
	Run(ctx context.Context, deadline time.Time, x *Exchange) (Outcome, error)
	// Reset rolls back what is open. It reports whether the connection may be
	// given back to its pool.
	Reset(ctx context.Context) bool

	// reusable reports whether another session may use the connection.
	reusable() bool
	// fit reports whether an idle connection may be used: the upstream has not
	// closed it, and no byte waits that nobody asked for.
	fit() bool
	// ping makes a round trip that runs no statement of a caller.
	ping(ctx context.Context, timeout time.Duration) error
	// close ends the connection and returns once the upstream has ended it too,
	// or lingerTimeout has passed. What still runs on it is cancelled.
	close()
	// shared returns the part that connections of all protocols have.
	shared() *link
}

// link is what connections of all protocols have: the socket and its state.
type link struct {
	net      net.Conn
	reader   *reader
	socket   *socket
	txStatus byte
	doomed   bool   // must not be used by another session
	asked    bool   // an answer is outstanding
	gone     bool   // the upstream has ended the connection
	out      []byte // reused for what is sent
	guards   sync.WaitGroup

	openedAt   time.Time
	usedAt     time.Time // by a request
	answeredAt time.Time // the end of the latest answer, also to a probe
}

func newLink(nc net.Conn) *link {
	now := time.Now()
	return &link{
		net:        nc,
		reader:     &reader{net: nc, silent: func(context.Context) bool { return false }, progress: DefaultProgress},
		socket:     newSocket(nc),
		txStatus:   request.TxIdle,
		openedAt:   now,
		usedAt:     now,
		answeredAt: now,
	}
}

func (l *link) shared() *link { return l }

// guard makes a blocked read or write on it end with ctx, at the latest at
// deadline. After patience without a byte it is asked whether it went silent.
// The returned function lifts the guard.
func (l *link) guard(ctx context.Context, deadline time.Time, patience time.Duration) (lift func()) {
	_ = l.net.SetWriteDeadline(deadline)
	l.reader.begin(ctx, deadline, patience)
	l.guards.Add(1)
	stop := context.AfterFunc(ctx, l.interrupt)
	return func() {
		if stop() {
			l.guards.Done()
		} else {
			l.guards.Wait() // else it could hit the next request
		}
	}
}

// interrupt ends a blocked read or write.
func (l *link) interrupt() {
	defer l.guards.Done()
	_ = l.net.SetDeadline(time.Unix(1, 0))
}

// send writes buf; an answer is outstanding then. It returns how many bytes
// left this host at most.
func (l *link) send(buf []byte) (int, error) {
	l.out = buf
	l.asked = true
	n, err := l.net.Write(buf)
	if err != nil {
		l.note(err)
	}
	return n, err
}

// answered notes that no answer is outstanding any more.
func (l *link) answered() {
	l.asked = false
	l.answeredAt = l.reader.heardAt
}

// note remembers that an error ended the connection.
func (l *link) note(err error) {
	l.doomed = true
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSilent) {
		l.gone = true
	}
}

// lost turns an error of the network into an error kind: a request of which
// no byte was sent has not run.
func lost(err error, sent bool) *errkind.Error {
	if !sent {
		return errkind.Wrap(err, errkind.UpstreamLost, "%v", err).WithEffect(errkind.NotRun)
	}
	return errkind.Wrap(err, errkind.UpstreamLost, "%v", err)
}
