package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// activityConn records when the last byte arrived from the other end and can
// enforce an idle timeout on reads.
type activityConn struct {
	net.Conn
	start    time.Time
	lastRead atomic.Int64 // nanoseconds since start
	// idleTimeout is how long a read waits for a byte, in nanoseconds; zero
	// means no limit.
	idleTimeout atomic.Int64
}

func newActivityConn(nc net.Conn) *activityConn {
	return &activityConn{Conn: nc, start: time.Now()}
}

// Read implements net.Conn.
func (c *activityConn) Read(p []byte) (int, error) {
	if d := c.idleTimeout.Load(); d > 0 {
		_ = c.SetReadDeadline(time.Now().Add(time.Duration(d)))
	}
	n, err := c.Conn.Read(p)
	c.lastRead.Store(int64(time.Since(c.start)))
	return n, err
}

// Unwrap implements Unwrapper.
func (c *activityConn) Unwrap() net.Conn { return c.Conn }

// sinceLastRead returns the time since the last byte arrived.
func (c *activityConn) sinceLastRead() time.Duration {
	return time.Since(c.start) - time.Duration(c.lastRead.Load())
}

// setIdleTimeout makes reads fail once no byte has arrived for d. It also
// applies to a read that is already blocked.
func (c *activityConn) setIdleTimeout(d time.Duration) {
	c.idleTimeout.Store(int64(d))
	_ = c.SetReadDeadline(time.Now().Add(d))
}

// activityListener wraps each accepted connection in an activityConn.
type activityListener struct{ net.Listener }

// Accept implements net.Listener.
func (l activityListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newActivityConn(nc), nil
}
