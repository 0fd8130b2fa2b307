package pool

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// errSilent says that a connection swallows what is sent while others work.
var errSilent = errors.New("the connection went silent")

// reader reads from an upstream for one exchange at a time. When no byte came
// for a while it asks whether the connection went silent; a statement that
// merely takes long goes on up to the deadline.
type reader struct {
	net      net.Conn
	silent   func(ctx context.Context) bool
	progress time.Duration

	ctx      context.Context // of the exchange
	deadline time.Time       // of the exchange, or zero
	patience time.Duration   // until the question is asked again
	heardAt  time.Time
}

// begin prepares for the answer of an exchange. The question is asked after
// patience for the first time.
func (r *reader) begin(ctx context.Context, deadline time.Time, patience time.Duration) {
	r.ctx, r.deadline = ctx, deadline
	r.patience = patience
	r.heardAt = time.Now()
	_ = r.net.SetReadDeadline(r.next())
}

// next returns when the next read shall end without a byte.
func (r *reader) next() time.Time {
	at := r.heardAt.Add(r.patience)
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
			r.heardAt = time.Now()
			return n, err
		}
		if r.over() {
			return 0, err
		}
		if time.Since(r.heardAt) >= r.patience {
			if r.askSilent() {
				return 0, errSilent
			}
			r.patience *= 2
		}
		_ = r.net.SetReadDeadline(r.next())
		if r.ctx.Err() != nil { // its end may have come before the line above
			return 0, err
		}
	}
}

// askSilent asks whether the connection went silent, up to the deadline.
func (r *reader) askSilent() bool {
	ctx := r.ctx
	if !r.deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, r.deadline)
		defer stop()
	}
	return r.silent(ctx)
}

// over reports whether the exchange has ended.
func (r *reader) over() bool {
	return r.ctx.Err() != nil || !r.deadline.IsZero() && !time.Now().Before(r.deadline)
}

// socket looks at a connection without waiting.
type socket struct {
	raw  syscall.RawConn
	read func(fd uintptr) // made once, so that a look allocates nothing
	buf  [1]byte
	err  error
}

func newSocket(nc net.Conn) *socket {
	s := &socket{}
	if tcp, ok := nc.(*net.TCPConn); ok {
		s.raw, _ = tcp.SyscallConn() // nil: nothing is known of the socket
	}
	s.read = func(fd uintptr) {
		_, s.err = syscall.Read(int(fd), s.buf[:])
	}
	return s
}

// quiet reports whether the socket is open and holds no byte. A byte that it
// holds is lost: nobody asked for it, so the connection is of no more use.
func (s *socket) quiet() bool {
	if s.raw == nil {
		return true
	}
	if err := s.raw.Control(s.read); err != nil {
		return false
	}
	return s.err == syscall.EAGAIN
}
