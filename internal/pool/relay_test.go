package pool

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay is a TCP proxy between a pool and an upstream that can cut connections
// after a number of bytes.
type relay struct {
	listener net.Listener
	target   string
	work     sync.WaitGroup

	mu       sync.Mutex
	up, down int // bytes that may still pass in each direction; negative: no limit
	pairs    map[*pair]struct{}
}

// pair is one relayed connection.
type pair struct {
	client, server *net.TCPConn
	ended          chan struct{} // closed once the upstream has closed its side
}

// startRelay starts a relay to target without a limit.
func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, target: target, up: -1, down: -1, pairs: map[*pair]struct{}{}}
	r.work.Go(r.accept)
	t.Cleanup(func() {
		_ = l.Close()
		r.cutAll()
		r.work.Wait()
	})
	return r
}

// accept relays connections until the listener is closed.
func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p := &pair{client: client.(*net.TCPConn), server: server.(*net.TCPConn), ended: make(chan struct{})}
		r.mu.Lock()
		r.pairs[p] = struct{}{}
		r.mu.Unlock()
		r.work.Go(func() { r.copyBytes(p, p.server, p.client, &r.up) })
		r.work.Go(func() {
			defer close(p.ended)
			r.copyBytes(p, p.client, p.server, &r.down)
		})
	}
}

// limit sets how many more bytes may pass to the upstream (up) and to the pool
// (down), over all connections together. A connection that exceeds a limit is
// cut. A negative number means no limit.
func (r *relay) limit(up, down int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up, r.down = up, down
}

// copyBytes copies bytes from one side of p to the other until the connection
// ends or exceeds the limit in left.
func (r *relay) copyBytes(p *pair, to, from *net.TCPConn, left *int) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		r.mu.Lock()
		over := *left >= 0 && n > *left
		if over {
			n = *left
		}
		if *left > 0 {
			*left -= n
		}
		r.mu.Unlock()
		_, _ = to.Write(buf[:n]) // if to is closed, reading from the other side ends too
		if over {
			_ = p.client.Close()
			_ = p.server.Close()
			return
		}
		if err != nil {
			// Only the write side is closed; the other direction ends on its
			// own. The client thus sees the end of a connection only after the
			// upstream has closed it.
			_ = to.CloseWrite()
			return
		}
	}
}

// cutAll ends every connection. The upstream side ends first, as with an upstream
// that closes idle connections.
func (r *relay) cutAll() {
	r.mu.Lock()
	pairs := r.pairs
	r.pairs = map[*pair]struct{}{}
	r.mu.Unlock()
	for p := range pairs {
		_ = p.server.CloseWrite()
		<-p.ended
		_ = p.client.Close()
		_ = p.server.Close()
	}
}
