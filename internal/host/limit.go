package host

import (
	"net"
	"sync"
	"sync/atomic"
)

const (
	// maxHTTPConnections limits the open connections to the HTTP address.
	maxHTTPConnections = 4096
	// maxPeerConnections limits the open connections from other hosts.
	maxPeerConnections = 32768
	// maxControlConnections limits the open connections from other hosts to a control
	// host. A host has up to three: for heartbeats, for other calls and for requests.
	maxControlConnections = 2500
)

// limitListener closes new connections immediately while max are open, except those
// from preferred addresses.
type limitListener struct {
	net.Listener
	max       int64
	preferred func(net.Addr) bool // nil means that no address is preferred
	open      atomic.Int64
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.max || l.preferred != nil && l.preferred(nc.RemoteAddr()) {
			return &countedConn{Conn: nc, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = nc.Close()
	}
}

// countedConn is a connection that counts against the limit until it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// Unwrap implements peer.Unwrapper.
func (c *countedConn) Unwrap() net.Conn { return c.Conn }
