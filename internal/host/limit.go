package host

import (
	"net"
	"sync"
	"sync/atomic"
)

const (
	// maxHTTPConnections bounds open connections to the HTTP address.
	maxHTTPConnections = 4096
	// maxPeerConnections bounds open connections of other hosts.
	maxPeerConnections = 32768
)

// limitListener closes new connections at once while max are open.
type limitListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max {
			return &countedConn{Conn: nc, done: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = nc.Close()
	}
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	done func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.done()
	return c.Conn.Close()
}

// Unwrap implements peer.Unwrapper.
func (c *countedConn) Unwrap() net.Conn { return c.Conn }
