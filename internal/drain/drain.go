// Package drain ends connections at a shutdown and waits for their work.
package drain

import (
	"context"
	"net"
	"sync"
	"time"
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Interrupt makes a read that waits on a connection end at once with
// os.ErrDeadlineExceeded, and every later one until the deadline is set anew.
func Interrupt(nc net.Conn) { _ = nc.SetReadDeadline(pastDeadline) }

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
