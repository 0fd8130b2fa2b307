package host

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/metrics"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
)

// The metrics address must serve the metrics and nothing of the operators'
// interface, which may need a token.
func TestMetricsAddressServesOnlyMetrics(t *testing.T) {
	socket, err := net.Listen("tcp", porttest.Free(t, 1)[0])
	assert.NilError(t, err)
	h := &Host{metrics: metrics.New(), metricsSocket: socket}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.serveMetrics(ctx) }()
	for path, want := range map[string]int{"/metrics": http.StatusOK, "/v1/status": http.StatusNotFound} {
		res, err := http.Get("http://" + socket.Addr().String() + path)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, want, path)
	}
	stop()
	assert.NilError(t, <-done)
}
