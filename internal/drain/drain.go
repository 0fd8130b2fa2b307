// Package drain waits for work to end at a shutdown.
package drain

import (
	"context"
	"sync"
)

// Wait returns once all work has ended, or ctx has. It reports whether the work
// ended first.
func Wait(ctx context.Context, work *sync.WaitGroup) bool {
	done := make(chan struct{})
	go func() {
		work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
