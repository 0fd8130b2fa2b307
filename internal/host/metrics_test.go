package host

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
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

// A host that is behind, and one that hears no leader, must show in the metrics and in
// the line of a refused caller: the two faults look the same to callers.
func TestKnowledgeIsObservable(t *testing.T) {
	h := newIdleHost(t)
	h.dir.deployment.Store(&config.Deployment{Version: 7})
	h.started -= time.Second
	const want = `
# HELP amaranthweir_deployment_version Version of the deployment in force at this host; 0 while there is none.
# TYPE amaranthweir_deployment_version gauge
amaranthweir_deployment_version 7
`
	assert.NilError(t, testutil.GatherAndCompare(h.metrics.Registry(), strings.NewReader(want), "amaranthweir_deployment_version"))
	n, err := testutil.GatherAndCount(h.metrics.Registry(), "amaranthweir_leader_answer_age_seconds")
	assert.NilError(t, err)
	assert.Equal(t, n, 1)
	fields := h.knowledgeFields()
	assert.Equal(t, fields["version"], uint64(7))
	assert.Equal(t, fields["revision"], uint64(1))
	age, ok := fields["answer_age_ms"].(int64)
	assert.Assert(t, ok && age >= 1000, "%v", fields)
}
