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

// Conn is an open connection to an instance: a *SQLConn or a *StatementConn,
// depending on the protocol of the instance. It serves one request at a time.
type Conn interface {
	// Run performs one exchange. Errors are *errkind.Error; after an error, the
	// connection must be discarded unless Outcome.ConnReusable is set.
	Run(ctx context.Context, deadline time.Time, x *Exchange) (Outcome, error)
	// Reset rolls back the open transaction, if there is one. It reports
	// whether the connection may be put back into its pool.
	Reset(ctx context.Context) bool

	// isReusable reports whether another session may use the connection.
	isReusable() bool
	// isHealthy reports whether an idle connection may be used: the upstream
	// has not closed it and has sent no unsolicited data.
	isHealthy() bool
	// ping makes a round trip that runs no statement of a caller.
	ping(ctx context.Context, timeout time.Duration) error
	// close closes the connection and ends what still runs on it: a SQLConn
	// sends a cancel request, and an instance with typed statements rolls back.
	// It returns once the upstream has closed its end too, or after lingerTimeout
	// for a SQLConn and terminateTimeout for a StatementConn.
	close()
	// base returns the state that connections of all protocols share.
	base() *baseConn
}

// baseConn holds the socket and the state that connections of all protocols
// share.
type baseConn struct {
	net            net.Conn
	workspace      string // the workspace that the connection serves, or empty
	reader         *reader
	socket         *socket
	txStatus       byte
	mustClose      bool           // must not be reused by another session
	awaitingAnswer bool           // a request was sent whose answer is not complete
	disconnected   bool           // the connection is closed or broken
	writeBuf       []byte         // reused for outgoing messages
	interrupts     sync.WaitGroup // interrupt callbacks that may still run

	openedAt   time.Time
	usedAt     time.Time // the last time that a request was answered
	answeredAt time.Time // the end of the latest answer, including answers to probes
}

func newBaseConn(nc net.Conn) *baseConn {
	now := time.Now()
	return &baseConn{
		net:        nc,
		reader:     &reader{net: nc, isSilent: func(context.Context) bool { return false }, silenceTimeout: DefaultSilenceTimeout},
		socket:     newSocket(nc),
		txStatus:   request.TxIdle,
		openedAt:   now,
		usedAt:     now,
		answeredAt: now,
	}
}

func (b *baseConn) base() *baseConn { return b }

// watchContext interrupts blocked reads and writes when ctx is done or deadline
// has passed; a zero deadline means none. After silenceTimeout without a byte, it
// checks whether the connection is silent. The returned function ends the watch.
func (b *baseConn) watchContext(ctx context.Context, deadline time.Time, silenceTimeout time.Duration) (unwatch func()) {
	_ = b.net.SetWriteDeadline(deadline)
	b.reader.beginExchange(ctx, deadline, silenceTimeout)
	b.interrupts.Add(1)
	stop := context.AfterFunc(ctx, b.interrupt)
	return func() {
		if stop() {
			b.interrupts.Done()
		} else {
			b.interrupts.Wait() // a late interrupt would fail the next request
		}
	}
}

// interrupt makes blocked reads and writes fail.
func (b *baseConn) interrupt() {
	defer b.interrupts.Done()
	_ = b.net.SetDeadline(time.Unix(1, 0))
}

// send writes buf and marks an answer as pending. It returns an upper bound on
// the number of bytes that left this host.
func (b *baseConn) send(buf []byte) (int, error) {
	b.writeBuf = buf
	b.awaitingAnswer = true
	n, err := b.net.Write(buf)
	if err != nil {
		b.recordError(err)
	}
	return n, err
}

// answerReceived records that the pending answer is complete.
func (b *baseConn) answerReceived() {
	b.awaitingAnswer = false
	b.answeredAt = b.reader.lastReadAt
}

// recordError records a failed read or write: the connection must be closed. It
// counts as disconnected unless the error is a timeout or detected silence.
func (b *baseConn) recordError(err error) {
	b.mustClose = true
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSilent) {
		b.disconnected = true
	}
}

// upstreamLost wraps a network error as errkind.UpstreamLost. With sent unset, no
// byte of the request left this host, so that its effect is NotRun.
func upstreamLost(err error, sent bool) *errkind.Error {
	if !sent {
		return errkind.Wrap(err, errkind.UpstreamLost, "%v", err).WithEffect(errkind.NotRun)
	}
	return errkind.Wrap(err, errkind.UpstreamLost, "%v", err)
}
