package owner

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/errkind"
)

// gateRecheck is how often a write that is held back looks whether the
// instance is still the primary.
const gateRecheck = 5 * time.Millisecond

// writeGate holds new writes back during a planned switch-over and counts
// those that run.
type writeGate struct {
	mu      sync.Mutex
	until   time.Time // new writes are held back before this moment
	running int
	holds   uint64 // how often writes were held back so far
}

// enter waits until writes may begin, or returns the error of mayRun.
func (g *writeGate) enter(ctx context.Context, mayRun func() error) error {
	for {
		g.mu.Lock()
		if !time.Now().Before(g.until) {
			g.running++
			g.mu.Unlock()
			return nil
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.DeadlineUnreachable, "held back by a switch-over")
		case <-time.After(gateRecheck):
		}
		if err := mayRun(); err != nil {
			return err
		}
	}
}

// leave ends a write that entered.
func (g *writeGate) leave() {
	g.mu.Lock()
	g.running--
	g.mu.Unlock()
}

// hold keeps new writes back for at most bound.
func (g *writeGate) hold(bound time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !time.Now().Before(g.until) {
		g.until = time.Now().Add(bound)
		g.holds++
	}
}

// resume lets writes begin again.
func (g *writeGate) resume() {
	g.mu.Lock()
	g.until = time.Time{}
	g.mu.Unlock()
}

// quiet returns the number of the hold during which no write runs, or zero
// while writes may begin or one runs.
func (g *writeGate) quiet() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running > 0 || !time.Now().Before(g.until) {
		return 0
	}
	return g.holds
}
