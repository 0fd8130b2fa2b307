package standin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// faults holds the fault switches of an instance.
type faults struct {
	mu            sync.Mutex
	frozen        bool
	cutAll        bool
	cut           []string      // peers whose traffic is stopped
	silencedBelow int           // connections with a number below this are silent
	answerDelay   time.Duration // added before every answer to a caller
	lostAnswers   int           // the number of commits whose answer is to be lost
	changed       chan struct{} // closed and replaced at each change
}

func newFaults() *faults { return &faults{changed: make(chan struct{})} }

// update applies a change and wakes all waiters.
func (f *faults) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
	close(f.changed)
	f.changed = make(chan struct{})
}

// isBlocked reports whether a fault stops the traffic between the instance and
// peer, an address with or without a port. The channel is closed at the next
// change of a switch.
func (f *faults) isBlocked(peer string) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	host, _, err := net.SplitHostPort(peer)
	if err != nil {
		host = peer
	}
	isCut := slices.Contains(f.cut, peer) || slices.Contains(f.cut, host)
	return f.frozen || f.cutAll || isCut, f.changed
}

// waitUnblocked waits until no fault stops the traffic with peer.
func (f *faults) waitUnblocked(ctx context.Context, peer string) error {
	for {
		blocked, changed := f.isBlocked(peer)
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

// waitUnfrozen waits until the instance is not frozen.
func (f *faults) waitUnfrozen(ctx context.Context) error {
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

// isSilent reports whether the connection with that number discards all traffic.
func (f *faults) isSilent(number int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return number < f.silencedBelow
}

func (f *faults) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answerDelay
}

// consumeLostAnswer reports whether the answer to the current commit must be
// dropped, and counts it against LoseAnswers.
func (f *faults) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostAnswers == 0 {
		return false
	}
	f.lostAnswers--
	return true
}

// Freeze stops all processing until Thaw, without closing connections, as SIGSTOP
// does.
func (in *Instance) Freeze() { in.faults.update(func() { in.faults.frozen = true }) }

// Thaw ends the effect of Freeze.
func (in *Instance) Thaw() { in.faults.update(func() { in.faults.frozen = false }) }

// Cut stops the traffic with the given peers: control addresses of other
// instances, HTTP addresses of hosts, or IP addresses of callers. Without
// arguments it stops all traffic except requests for /fault and /stats on the
// control port.
func (in *Instance) Cut(peers ...string) {
	in.faults.update(func() {
		in.faults.cutAll = len(peers) == 0
		in.faults.cut = slices.Clone(peers)
	})
}

// Heal ends the effect of Cut.
func (in *Instance) Heal() {
	in.faults.update(func() { in.faults.cutAll, in.faults.cut = false, nil })
}

// SilenceOpenConnections makes the connections that are open now discard all
// traffic for the rest of their lifetime. New connections work.
func (in *Instance) SilenceOpenConnections() {
	in.mu.Lock()
	next := in.nextNumber
	in.mu.Unlock()
	in.faults.update(func() { in.faults.silencedBelow = next })
}

// DelayAnswers delays every answer to callers by d.
func (in *Instance) DelayAnswers(d time.Duration) {
	in.faults.update(func() { in.faults.answerDelay = d })
}

// LoseAnswers makes the next n commits take effect and closes their connections
// without an answer.
func (in *Instance) LoseAnswers(n int) {
	in.faults.update(func() { in.faults.lostAnswers = n })
}

// faultConn is a caller's connection to which the fault switches apply.
type faultConn struct {
	net.Conn
	ctx    context.Context
	faults *faults
	peer   string
	number int
}

// Read discards what it reads while the connection is silent, and returns data
// only once no fault stops the traffic.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return 0, err
		}
		if err := c.faults.waitUnblocked(c.ctx, c.peer); err != nil {
			return 0, err
		}
		if !c.faults.isSilent(c.number) {
			return n, nil
		}
	}
}

// Write waits for the delay of answers and until no fault stops the traffic. On a
// silent connection it discards p.
func (c *faultConn) Write(p []byte) (int, error) {
	if err := sleep(c.ctx, c.faults.delay()); err != nil {
		return 0, err
	}
	if err := c.faults.waitUnblocked(c.ctx, c.peer); err != nil {
		return 0, err
	}
	if c.faults.isSilent(c.number) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// sleep waits for d. It returns the error of ctx if ctx ends first.
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
