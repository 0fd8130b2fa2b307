package metrics

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
)

func TestRequestsAreCountedByOutcome(t *testing.T) {
	m := New()
	read := gateway.Observation{Service: "s", Class: "c", Access: config.AccessRead, Replica: true, Took: time.Millisecond, Attempts: 3}
	m.Request(read)
	read.Replica, read.Err = false, errkind.New(errkind.NoPrimary, "")
	m.Request(read)
	assert.Equal(t, testutil.ToFloat64(m.requests.WithLabelValues("s", "c", "ok")), 1.0)
	assert.Equal(t, testutil.ToFloat64(m.requests.WithLabelValues("s", "c", "no_primary")), 1.0)
	assert.Equal(t, testutil.ToFloat64(m.reads.WithLabelValues("replica")), 1.0)
	assert.Equal(t, testutil.ToFloat64(m.reads.WithLabelValues("primary")), 0.0, "a refused read is no answer")
	assert.Equal(t, testutil.ToFloat64(m.retries), 4.0)
	m.CountAnnouncement(nil)
	m.CountAnnouncement(errors.New("x"))
	assert.Equal(t, testutil.ToFloat64(m.announced.WithLabelValues("internal")), 1.0)
}

func TestPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/ops/metrics.md")
	assert.NilError(t, err)
	m := New()
	m.Request(gateway.Observation{Attempts: 1})
	m.Refused(errkind.Internal)
	m.CountAnnouncement(nil)
	families, err := m.Registry().Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), namespace) {
			assert.Assert(t, strings.Contains(string(page), "`"+f.GetName()+"`"), f.GetName())
		}
	}
}
