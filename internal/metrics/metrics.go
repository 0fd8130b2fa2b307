// Package metrics counts what a host does, for Prometheus.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
)

// namespace begins the name of every metric.
const namespace = "amaranthweir"

// Metrics are the counters of one host.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	seconds   *prometheus.HistogramVec
	reads     *prometheus.CounterVec
	retries   prometheus.Counter
	callers   prometheus.Gauge
	refused   *prometheus.CounterVec
	announced *prometheus.CounterVec
	lease     prometheus.Gauge
	leftOut   *prometheus.CounterVec
}

// New returns counters at zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests by service, class and outcome; the outcome is ok or an error kind.",
		}, []string{"service", "class", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help:    "Time from a request to its answer, by rank.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"rank"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "reads_total",
			Help: "Answered reads by the role of the instance that served them.",
		}, []string{"role"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total",
			Help: "Attempts beyond the first one of a request.",
		}),
		callers: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "callers", Help: "Open caller connections.",
		}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "callers_refused_total",
			Help: "Caller connections that were ended with an error, by kind.",
		}, []string{"kind"}),
		announced: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "announcements_total",
			Help: "Announcements of instances by outcome; the outcome is ok or an error kind.",
		}, []string{"outcome"}),
		lease: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "lease_valid", Help: "1 while this host holds its lease.",
		}),
		leftOut: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_left_out_total",
			Help: "Log lines over the limit of their kind, or for which there was no room.",
		}, []string{"kind"}),
	}
	m.registry.MustRegister(m.requests, m.seconds, m.reads, m.retries, m.callers, m.refused, m.announced, m.lease, m.leftOut)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Registry returns what is served at /metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Request implements gateway.Observer.
func (m *Metrics) Request(o gateway.Observation) {
	m.requests.WithLabelValues(o.Service, o.Class, outcome(o.Err)).Inc()
	m.seconds.WithLabelValues(o.Rank.String()).Observe(o.Took.Seconds())
	if o.Attempts > 1 {
		m.retries.Add(float64(o.Attempts - 1))
	}
	if o.Err != nil || o.Access != config.AccessRead {
		return
	}
	role := "primary"
	if o.Replica {
		role = "replica"
	}
	m.reads.WithLabelValues(role).Inc()
}

func outcome(e *errkind.Error) string {
	if e == nil {
		return "ok"
	}
	return e.Kind.String()
}

// Callers implements pg.Counters.
func (m *Metrics) Callers(delta int) { m.callers.Add(float64(delta)) }

// Refused implements pg.Counters.
func (m *Metrics) Refused(kind errkind.Kind) { m.refused.WithLabelValues(kind.String()).Inc() }

// Announced counts one announcement; err is nil for one that was taken.
func (m *Metrics) Announced(err error) {
	if err == nil {
		m.announced.WithLabelValues("ok").Inc()
		return
	}
	m.announced.WithLabelValues(errkind.Of(err).Kind.String()).Inc()
}

// SetLeaseValid notes whether this host holds its lease.
func (m *Metrics) SetLeaseValid(valid bool) {
	if valid {
		m.lease.Set(1)
		return
	}
	m.lease.Set(0)
}

// LineLeftOut counts a log line that was left out; its kind is its message.
func (m *Metrics) LineLeftOut(kind string) { m.leftOut.WithLabelValues(kind).Inc() }
