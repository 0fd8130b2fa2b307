package pool

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// errSilent is returned for a connection that is open but delivers no data while
// other connections to the same upstream work.
var errSilent = errors.New("the connection went silent")

// reader reads from an upstream for one exchange at a time. After a time without
// a byte it checks whether the connection is silent. A slow statement on a
// working connection may run until the deadline.
type reader struct {
	net            net.Conn
	isSilent       func(ctx context.Context) bool
	silenceTimeout time.Duration // until the first silence check of an exchange

	ctx           context.Context // of the exchange
	deadline      time.Time       // of the exchange, or zero
	checkInterval time.Duration   // until the next silence check; doubles after each
	lastReadAt    time.Time
}

// beginExchange prepares for the answer of an exchange. The first silence check
// takes place after silenceTimeout without a byte.
func (r *reader) beginExchange(ctx context.Context, deadline time.Time, silenceTimeout time.Duration) {
	r.ctx, r.deadline = ctx, deadline
	r.checkInterval = silenceTimeout
	r.lastReadAt = time.Now()
	_ = r.net.SetReadDeadline(r.nextDeadline())
}

// nextDeadline returns the deadline for the next read: the time of the next
// silence check or the deadline of the exchange, whichever is earlier.
func (r *reader) nextDeadline() time.Time {
	at := r.lastReadAt.Add(r.checkInterval)
	if !r.deadline.IsZero() && r.deadline.Before(at) {
		return r.deadline
	}
	return at
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	for {
		n, err := r.net.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			r.lastReadAt = time.Now()
			return n, err
		}
		if r.exchangeEnded() {
			return 0, err
		}
		if time.Since(r.lastReadAt) >= r.checkInterval {
			if r.checkSilent() {
				return 0, errSilent
			}
			r.checkInterval *= 2
		}
		_ = r.net.SetReadDeadline(r.nextDeadline())
		if r.ctx.Err() != nil { // the line above may have overwritten the deadline set by interrupt
			return 0, err
		}
	}
}

// checkSilent reports whether the connection is silent. The check ends at the
// deadline of the exchange.
func (r *reader) checkSilent() bool {
	ctx := r.ctx
	if !r.deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, r.deadline)
		defer stop()
	}
	return r.isSilent(ctx)
}

// exchangeEnded reports whether the context of the exchange is done or its
// deadline has passed.
func (r *reader) exchangeEnded() bool {
	return r.ctx.Err() != nil || !r.deadline.IsZero() && !time.Now().Before(r.deadline)
}

// socket checks the state of a connection without blocking.
type socket struct {
	raw  syscall.RawConn
	read func(fd uintptr) // created once, so that a check allocates nothing
	buf  [1]byte
	err  error
}

func newSocket(nc net.Conn) *socket {
	s := &socket{}
	if tcp, ok := nc.(*net.TCPConn); ok {
		s.raw, _ = tcp.SyscallConn() // on an error raw is nil, and the socket passes every check
	}
	s.read = func(fd uintptr) {
		_, s.err = syscall.Read(int(fd), s.buf[:])
	}
	return s
}

// isIdle reports whether the peer has not closed the connection and no
// received byte is buffered. It consumes a buffered byte: the byte answers no
// request, so the connection cannot be used any more.
func (s *socket) isIdle() bool {
	if s.raw == nil {
		return true
	}
	if err := s.raw.Control(s.read); err != nil {
		return false
	}
	return s.err == syscall.EAGAIN
}
