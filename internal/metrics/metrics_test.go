package metrics

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/wal"
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
	assert.Equal(t, testutil.ToFloat64(m.reads.WithLabelValues("primary")), 0.0, "a refused read was counted as answered")
	assert.Equal(t, testutil.ToFloat64(m.retries), 4.0)
	m.CountAnnouncement(nil)
	m.CountAnnouncement(errors.New("x"))
	assert.Equal(t, testutil.ToFloat64(m.announcements.WithLabelValues("internal")), 1.0)
}

func TestPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/ops/metrics.md")
	assert.NilError(t, err)
	m := New()
	m.Request(gateway.Observation{Attempts: 1})
	m.Refused(errkind.Internal)
	m.RegisterControlLog(func() wal.Usage { return wal.Usage{} })
	m.CountAnnouncement(nil)
	m.SetWait("orders", "the positions of enough instances", true)
	m.CollectQuotaUse(func() []QuotaUse { return []QuotaUse{{Workspace: "w1"}} })
	families, err := m.Registry().Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), namespace) {
			assert.Assert(t, strings.Contains(string(page), "`"+f.GetName()+"`"), f.GetName())
		}
	}
}

// A group has one series while it waits, and none afterwards.
func TestWaitsAreShown(t *testing.T) {
	m := New()
	m.SetWait("orders", "the lease of the owner to run out", true)
	m.SetWait("orders", "the positions of enough instances", true)
	m.SetWait("stock", "the positions of enough instances", true)
	assert.Equal(t, testutil.CollectAndCount(m.groupWaits), 2)
	assert.Equal(t, testutil.ToFloat64(m.groupWaits.WithLabelValues("orders", "the positions of enough instances")), 1.0)
	m.SetWait("orders", "nothing", false)
	assert.Equal(t, testutil.CollectAndCount(m.groupWaits), 1)
	m.ClearWaits()
	assert.Equal(t, testutil.CollectAndCount(m.groupWaits), 0)
}

// Thousands of workspaces must not make thousands of series.
func TestWorkspaceSeriesAreBounded(t *testing.T) {
	m := New()
	m.CollectQuotaUse(func() []QuotaUse {
		var all []QuotaUse
		for n := range uint64(1000) {
			all = append(all, QuotaUse{Workspace: fmt.Sprint("w", n), Taken: n, Refused: 1})
		}
		return all
	})
	families, err := m.Registry().Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() != namespace+"_workspace_operations" {
			continue
		}
		assert.Equal(t, len(f.GetMetric()), 2*(maxWorkspaceSeries+1))
		sum := 0.0
		for _, metric := range f.GetMetric() {
			sum += metric.GetGauge().GetValue()
		}
		assert.Equal(t, sum, 1000*999/2+1000.0)
		return
	}
	t.Fatal("no metric")
}

func TestControlLogGauges(t *testing.T) {
	m := New()
	m.RegisterControlLog(func() wal.Usage {
		return wal.Usage{Segments: 2, SegmentBytes: 700, SnapshotBytes: 50, BytesSinceSnapshot: 300}
	})
	const want = `# HELP amaranthweir_control_log_bytes Size of the log and the snapshot of this control host.
# TYPE amaranthweir_control_log_bytes gauge
amaranthweir_control_log_bytes 750
# HELP amaranthweir_control_log_since_snapshot_bytes Size of the log records after the last snapshot.
# TYPE amaranthweir_control_log_since_snapshot_bytes gauge
amaranthweir_control_log_since_snapshot_bytes 300
`
	assert.NilError(t, testutil.GatherAndCompare(m.Registry(), strings.NewReader(want),
		"amaranthweir_control_log_bytes", "amaranthweir_control_log_since_snapshot_bytes"))
}
