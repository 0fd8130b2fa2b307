package soak

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

// chunkBytes is the size of the buffer of one direction of a connection.
const chunkBytes = 32 << 10

// minHeldBytes is the shortest beginning of a text to replace that is held back at
// the end of a chunk: the length of an IP address and a colon. A message that happens to end
// with fewer of its bytes must not wait.
const minHeldBytes = len("127.0.0.1:")

// link is a TCP proxy on a loopback address with faults. A fault applies to all
// connections that are open while it lasts.
type link struct {
	listener net.Listener
	// rewrite maps texts to texts of the same length. The link replaces them in both
	// directions.
	rewrite map[string]string
	target  string

	mu      sync.Mutex
	pairs   map[*pair]struct{}
	total   int // connections so far
	delay   time.Duration
	cutTo   bool
	cutFrom bool
	changed chan struct{} // closed and replaced when a fault changes
	closed  bool
	wait    sync.WaitGroup
}

// pair is a connection and its continuation to the target.
type pair struct {
	link             *link
	caller, upstream net.Conn
	ctx              context.Context
	stop             context.CancelFunc
	silent           bool // guarded by link.mu
}

// newLink returns a link that listens on address.
func newLink(address, target string, rewrite map[string]string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, rewrite: rewrite, pairs: map[*pair]struct{}{}, changed: make(chan struct{})}
	l.wait.Go(l.accept)
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wait.Go(func() { l.forward(conn) })
	}
}

// forward connects to the target and copies in both directions until one ends.
func (l *link) forward(caller net.Conn) {
	upstream, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(caller)
		return
	}
	p := &pair{link: l, caller: caller, upstream: upstream}
	p.ctx, p.stop = context.WithCancel(context.Background())
	if !l.add(p) {
		p.reset()
		return
	}
	l.wait.Go(func() { p.copy(upstream, caller, true) })
	p.copy(caller, upstream, false)
}

func (l *link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.pairs[p] = struct{}{}
	l.total++
	return true
}

// update applies a change of the faults and wakes the connections.
func (l *link) update(apply func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	apply()
	close(l.changed)
	l.changed = make(chan struct{})
}

// heal ends the faults. Silent connections stay silent.
func (l *link) heal() {
	l.update(func() { l.delay, l.cutTo, l.cutFrom = 0, false, false })
}

// silence makes the open connections forward nothing any more.
func (l *link) silence() {
	l.update(func() {
		for p := range l.pairs {
			p.silent = true
		}
	})
}

// reset resets the open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// connections returns the number of connections so far.
func (l *link) connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

func (l *link) close() {
	l.update(func() { l.closed = true })
	_ = l.listener.Close() // the run is over
	l.reset()
	l.wait.Wait()
}

// reset closes both connections with a TCP reset.
func (p *pair) reset() {
	p.stop()
	reset(p.caller)
	reset(p.upstream)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the connection ends with a FIN
	}
	_ = c.Close() // it may be closed already
}

// copy forwards one direction until it ends, and then ends the pair in the same way:
// with a reset after an error, with a close after the end of the data.
func (p *pair) copy(dst, src net.Conn, toTarget bool) {
	defer p.remove()
	buffer := make([]byte, chunkBytes)
	held := 0 // bytes at the start of the buffer that are not forwarded yet
	for {
		n, err := src.Read(buffer[held:])
		data := buffer[:held+n]
		held = p.link.replace(data, err == nil)
		if p.await(toTarget) != nil {
			return
		}
		if _, writeErr := dst.Write(data[:len(data)-held]); err == nil {
			err = writeErr
		}
		copy(buffer, data[len(data)-held:])
		if errors.Is(err, io.EOF) {
			p.stop()
			_ = dst.Close() // it may be closed already
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

func (p *pair) remove() {
	p.link.mu.Lock()
	defer p.link.mu.Unlock()
	delete(p.link.pairs, p)
}

// await waits for the delay and until no fault stops the direction. It returns an
// error if the pair ends first.
func (p *pair) await(toTarget bool) error {
	l := p.link
	for {
		l.mu.Lock()
		blocked := p.silent || toTarget && l.cutTo || !toTarget && l.cutFrom
		delay, changed := l.delay, l.changed
		l.mu.Unlock()
		if !blocked {
			return deploy.Sleep(p.ctx, delay)
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return p.ctx.Err()
		}
	}
}

// replace replaces the texts of rewrite in data. It returns how many bytes at the end
// may be the beginning of such a text and must be held back while more can follow.
func (l *link) replace(data []byte, more bool) (held int) {
	for from, to := range l.rewrite {
		for rest := data; ; {
			i := bytes.Index(rest, []byte(from))
			if i < 0 {
				break
			}
			copy(rest[i:], to)
			rest = rest[i+len(to):]
		}
		for n := min(len(from)-1, len(data)); more && n >= minHeldBytes && n > held; n-- {
			if bytes.HasSuffix(data, []byte(from[:n])) {
				held = n
			}
		}
	}
	return held
}
