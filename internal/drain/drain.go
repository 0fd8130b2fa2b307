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

// Wait waits until all work has ended or ctx ends. It reports whether the work
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
