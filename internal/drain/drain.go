// Package drain helps to end connections gracefully at shutdown and to wait for
// their work.
package drain

import (
	"context"
	"net"
	"sync"
	"time"
)

// pastDeadline is a deadline that has always passed.
var pastDeadline = time.Unix(1, 0)

// Interrupt makes a blocked read on a connection fail immediately with
// os.ErrDeadlineExceeded, and every later read until the read deadline is reset.
func Interrupt(nc net.Conn) { _ = nc.SetReadDeadline(pastDeadline) }

// Group counts work in progress. Unlike a sync.WaitGroup, it allows new work to begin
// while it is waited for: a listener accepts connections until the process ends. The
// zero value is ready for use.
type Group struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed once n is zero, nil if nobody waits
}

// Add begins a unit of work, which done ends. done must be called once.
func (g *Group) Add() (done func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
	return g.done
}

func (g *Group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait waits until no work is in progress or ctx ends. It reports whether there was a
// moment without work first.
func (g *Group) Wait(ctx context.Context) bool {
	g.mu.Lock()
	if g.n == 0 {
		g.mu.Unlock()
		return true
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}
