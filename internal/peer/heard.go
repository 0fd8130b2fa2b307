package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// heardConn knows when the last byte came from the other end.
type heardConn struct {
	net.Conn
	start time.Time
	at    atomic.Int64 // nanoseconds since start
	// silence, once set, is how long a read waits for a byte, in nanoseconds.
	silence atomic.Int64
}

func newHeardConn(nc net.Conn) *heardConn {
	return &heardConn{Conn: nc, start: time.Now()}
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	if d := c.silence.Load(); d > 0 {
		_ = c.SetReadDeadline(time.Now().Add(time.Duration(d)))
	}
	n, err := c.Conn.Read(p)
	c.at.Store(int64(time.Since(c.start)))
	return n, err
}

// Unwrap implements Unwrapper.
func (c *heardConn) Unwrap() net.Conn { return c.Conn }

// silentFor returns how long ago the last byte came.
func (c *heardConn) silentFor() time.Duration {
	return time.Since(c.start) - time.Duration(c.at.Load())
}

// expect makes the connection end when no byte comes for d, also where a read
// waits already.
func (c *heardConn) expect(d time.Duration) {
	c.silence.Store(int64(d))
	_ = c.SetReadDeadline(time.Now().Add(d))
}

// heardListener accepts heardConns.
type heardListener struct{ net.Listener }

// Accept implements net.Listener.
func (l heardListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newHeardConn(nc), nil
}
