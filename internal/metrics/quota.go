package metrics

import (
	"cmp"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxWorkspaceSeries is the number of workspaces with metrics of their own.
	maxWorkspaceSeries = 10
	// otherWorkspaces is the label of all other workspaces together.
	otherWorkspaces = "(others)"
)

// QuotaUse holds the operations of a workspace at this host since its start.
type QuotaUse struct {
	Workspace      string
	Taken, Refused uint64
}

// quotaCollector provides the operations of the workspaces that use most, and of
// all others as one.
type quotaCollector struct {
	use        func() []QuotaUse
	operations *prometheus.Desc
}

// CollectQuotaUse adds the operations that use returns to the metrics.
func (m *Metrics) CollectQuotaUse(use func() []QuotaUse) {
	m.registry.MustRegister(&quotaCollector{use: use, operations: prometheus.NewDesc(
		namespace+"_workspace_operations",
		"Operations of workspaces with a rate limit at this host since its start, by outcome; workspaces that use little are counted as one.",
		[]string{"workspace", "outcome"}, nil,
	)})
}

// Describe implements prometheus.Collector.
func (c *quotaCollector) Describe(ch chan<- *prometheus.Desc) { ch <- c.operations }

// Collect implements prometheus.Collector.
func (c *quotaCollector) Collect(ch chan<- prometheus.Metric) {
	for _, u := range largest(c.use()) {
		ch <- prometheus.MustNewConstMetric(c.operations, prometheus.GaugeValue, float64(u.Taken), u.Workspace, "taken")
		ch <- prometheus.MustNewConstMetric(c.operations, prometheus.GaugeValue, float64(u.Refused), u.Workspace, "refused")
	}
}

// largest returns the workspaces that use most and the sum of all others.
func largest(all []QuotaUse) []QuotaUse {
	if len(all) <= maxWorkspaceSeries {
		return all
	}
	slices.SortFunc(all, func(a, b QuotaUse) int {
		return cmp.Or(cmp.Compare(b.Taken+b.Refused, a.Taken+a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	others := QuotaUse{Workspace: otherWorkspaces}
	for _, u := range all[maxWorkspaceSeries:] {
		others.Taken += u.Taken
		others.Refused += u.Refused
	}
	return append(all[:maxWorkspaceSeries:maxWorkspaceSeries], others)
}
