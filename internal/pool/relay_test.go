package pool

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay passes bytes between a pool and an upstream, and cuts connections.
type relay struct {
	listener net.Listener
	target   string
	work     sync.WaitGroup

	mu       sync.Mutex
	up, down int // bytes that still pass; negative: all
	pairs    map[*pair]struct{}
}

type pair struct {
	client, server *net.TCPConn
	ended          chan struct{} // the upstream has ended its side
}

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
		r.work.Go(func() { r.pass(p, p.server, p.client, &r.up) })
		r.work.Go(func() {
			defer close(p.ended)
			r.pass(p, p.client, p.server, &r.down)
		})
	}
}

// limit lets only so many bytes pass from now on, then cuts.
func (r *relay) limit(up, down int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up, r.down = up, down
}

func (r *relay) pass(p *pair, to, from *net.TCPConn, left *int) {
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
		_, _ = to.Write(buf[:n]) // one that is closed has ended its other side too
		if over {
			_ = p.client.Close()
			_ = p.server.Close()
			return
		}
		if err != nil {
			// The other side ends by itself: the upstream always before it is
			// seen to end.
			_ = to.CloseWrite()
			return
		}
	}
}

// cutAll ends every connection: first at the upstream, as one that closes idle
// connections does.
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
