package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/amaranthweir/amaranthweir/internal/owner"
)

// capacityCollector reads the learned capacity of the owned instances whenever
// the metrics are read, so that an instance that moved away has none.
type capacityCollector struct {
	capacities                       func() []owner.Capacity
	limit, slowdown, trials, service *prometheus.Desc
}

// RegisterCapacities adds the learned capacity of the instances that this host
// owns.
func (m *Metrics) RegisterCapacities(capacities func() []owner.Capacity) {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(namespace+"_instance_"+name, help, append([]string{"instance"}, labels...), nil)
	}
	m.registry.MustRegister(&capacityCollector{
		capacities: capacities,
		limit:      desc("limit", "Statements that are sent to an owned instance at once, by why that changed last.", "reason"),
		slowdown:   desc("slowdown", "Service times at an owned instance relative to the usual ones."),
		trials:     desc("limit_trials_total", "Times that another limit was tried at an owned instance."),
		service:    desc("service_seconds", "Usual service time at an owned instance by class.", "class"),
	})
}

// Describe implements prometheus.Collector.
func (c *capacityCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.limit
	out <- c.slowdown
	out <- c.trials
	out <- c.service
}

// Collect implements prometheus.Collector.
func (c *capacityCollector) Collect(out chan<- prometheus.Metric) {
	for _, k := range c.capacities() {
		id := string(k.Instance)
		out <- prometheus.MustNewConstMetric(c.limit, prometheus.GaugeValue, float64(k.Limit), id, k.Reason)
		out <- prometheus.MustNewConstMetric(c.slowdown, prometheus.GaugeValue, k.Slowdown, id)
		out <- prometheus.MustNewConstMetric(c.trials, prometheus.CounterValue, float64(k.Trials), id)
		for class, service := range k.Services {
			out <- prometheus.MustNewConstMetric(c.service, prometheus.GaugeValue, service.Seconds(), id, class)
		}
	}
}
