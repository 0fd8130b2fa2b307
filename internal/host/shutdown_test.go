package host

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// retiringCallers is a caller listener that counts the calls of SetRetiring.
type retiringCallers struct{ calls int }

func (r *retiringCallers) Serve(context.Context, net.Listener) error { return nil }
func (r *retiringCallers) Drain(context.Context) []string            { return nil }
func (r *retiringCallers) ConnectedCallers() []string                { return nil }
func (r *retiringCallers) SetRetiring(bool)                          { r.calls++ }

// Guards against a control host without callers that spends the time limit of its shutdown
// on waiting for them, and then exits before its vote has been given up.
func TestHostWithoutCallersDoesNotWaitForThem(t *testing.T) {
	for _, serves := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			callers := &retiringCallers{}
			h := &Host{callers: callers}
			if serves {
				h.callerSocket = &net.TCPListener{}
			}
			start := time.Now()
			h.drainCallers(t.Context())
			assert.Equal(t, callers.calls > 0, serves)
			assert.Equal(t, time.Since(start) > 0, serves)
		})
	}
}
