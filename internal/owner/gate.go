package owner

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// gateRecheckInterval is how often a held write checks whether the instance is
// still the primary.
const gateRecheckInterval = 5 * time.Millisecond

// writeGate holds back new writes during a planned switchover and counts the
// running ones.
type writeGate struct {
	mu        sync.Mutex
	heldUntil time.Time // new writes wait until this time
	running   int       // writes that entered and have not left
	holds     uint64    // number of holds so far
}

// enter waits until writes may begin. It returns an error if ctx is done or if
// checkRunnable fails while the write waits.
func (g *writeGate) enter(ctx context.Context, checkRunnable func() error) error {
	for {
		g.mu.Lock()
		if !time.Now().Before(g.heldUntil) {
			g.running++
			g.mu.Unlock()
			return nil
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "held back by a switch-over")
		case <-time.After(gateRecheckInterval):
		}
		if err := checkRunnable(); err != nil {
			return err
		}
	}
}

// leave marks the end of a write that entered.
func (g *writeGate) leave() {
	g.mu.Lock()
	g.running--
	g.mu.Unlock()
}

// hold holds back new writes for at most bound. A hold that is in force is not
// extended.
func (g *writeGate) hold(bound time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !time.Now().Before(g.heldUntil) {
		g.heldUntil = time.Now().Add(bound)
		g.holds++
	}
}

// resume ends the hold.
func (g *writeGate) resume() {
	g.mu.Lock()
	g.heldUntil = time.Time{}
	g.mu.Unlock()
}

// quiescedHold returns the number of the hold in force if no write is running.
// It returns zero if there is no hold or a write is running.
func (g *writeGate) quiescedHold() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running > 0 || !time.Now().Before(g.heldUntil) {
		return 0
	}
	return g.holds
}
