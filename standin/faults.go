package standin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// faults are the switches of one instance.
type faults struct {
	mu       sync.Mutex
	frozen   bool
	cutAll   bool
	cut      []string
	silenced int // connections with a lower number are silent
	late     time.Duration
	lose     int
	changed  chan struct{} // closed and replaced at each change
}

func newFaults() *faults { return &faults{changed: make(chan struct{})} }

func (f *faults) change(set func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set()
	close(f.changed)
	f.changed = make(chan struct{})
}

// blocked reports whether no traffic passes between the instance and peer (an
// address with or without port), and returns what ends at the next change.
func (f *faults) blocked(peer string) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		host = peer
	}
	hit := slices.Contains(f.cut, peer) || slices.Contains(f.cut, host)
	return f.frozen || f.cutAll || hit, f.changed
}

// pass waits until traffic with peer passes.
func (f *faults) pass(ctx context.Context, peer string) error {
	for {
		blocked, changed := f.blocked(peer)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// thawed waits until the instance is not frozen.
func (f *faults) thawed(ctx context.Context) error {
	for {
		f.mu.Lock()
		frozen, changed := f.frozen, f.changed
		f.mu.Unlock()
		if !frozen {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// silent reports whether connection number swallows everything.
func (f *faults) silent(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return number < f.silenced
}

func (f *faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.late
}

// takeLost reports whether the answer to this commit is to be lost.
func (f *faults) takeLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose == 0 {
		return false
	}
	f.lose--
	return true
}

// Freeze stops everything without closing anything, until Thaw.
func (in *Instance) Freeze() { in.faults.change(func() { in.faults.frozen = true }) }

// Thaw ends Freeze.
func (in *Instance) Thaw() { in.faults.change(func() { in.faults.frozen = false }) }

// Cut stops the traffic with the given peers: control addresses of fellows,
// entry addresses, or IP addresses of callers. Without peers it stops all
// traffic but that of the control port's own switches.
func (in *Instance) Cut(peers ...string) {
	in.faults.change(func() {
		in.faults.cutAll = len(peers) == 0
		in.faults.cut = slices.Clone(peers)
	})
}

// Heal ends Cut.
func (in *Instance) Heal() {
	in.faults.change(func() { in.faults.cutAll, in.faults.cut = false, nil })
}

// SilenceOpenConnections makes the connections that are open now swallow everything for
// good. New connections work.
func (in *Instance) SilenceOpenConnections() {
	in.mu.Lock()
	next := in.nextNumber
	in.mu.Unlock()
	in.faults.change(func() { in.faults.silenced = next })
}

// DelayAnswers holds every answer back for d.
func (in *Instance) DelayAnswers(d time.Duration) {
	in.faults.change(func() { in.faults.late = d })
}

// LoseAnswers lets the next n commits run and closes their connections
// without an answer.
func (in *Instance) LoseAnswers(n int) {
	in.faults.change(func() { in.faults.lose = n })
}

// faultConn is a caller's connection behind the switches.
type faultConn struct {
	net.Conn
	ctx    context.Context
	faults *faults
	peer   string
	number int
}

// Read returns bytes only while traffic passes.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return 0, err
		}
		if err := c.faults.pass(c.ctx, c.peer); err != nil {
			return 0, err
		}
		if !c.faults.silent(c.number) {
			return n, nil
		}
	}
}

// Write sends bytes only while traffic passes.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := sleep(c.ctx, c.faults.delay()); err != nil {
		return 0, err
	}
	if err := c.faults.pass(c.ctx, c.peer); err != nil {
		return 0, err
	}
	if c.faults.silent(c.number) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
