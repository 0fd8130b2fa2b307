// Package metrics collects the Prometheus metrics of a host.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/errkind"
	"github.com/amaranthweir/amaranthweir/internal/gateway"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/internal/wal"
)

// namespace is the prefix of the name of every metric.
const namespace = "amaranthweir"

// Metrics holds the metrics of one host.
type Metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	reads          *prometheus.CounterVec
	retries        prometheus.Counter
	callers        prometheus.Gauge
	callersRefused *prometheus.CounterVec
	announcements  *prometheus.CounterVec
	leaseValid     prometheus.Gauge
	logWritable    prometheus.Gauge
	droppedLines   *prometheus.CounterVec

	heartbeatReplies *prometheus.CounterVec
	groupWaits       *prometheus.GaugeVec
}

// New returns a Metrics with its own registry and all values at zero.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests by service, class and outcome; the outcome is ok or an error kind.",
		}, []string{"service", "class", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
		callersRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "callers_refused_total",
			Help: "Caller connections that were ended with an error, by kind.",
		}, []string{"kind"}),
		announcements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "announcements_total",
			Help: "Announcements of instances by outcome; the outcome is ok or an error kind.",
		}, []string{"outcome"}),
		leaseValid: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "lease_valid", Help: "1 while this host holds its lease.",
		}),
		logWritable: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "control_log_writable",
			Help: "1 while this control host can write its log; 0 on other hosts.",
		}),
		droppedLines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_left_out_total",
			Help: "Log lines over the limit of their kind, or for which there was no room.",
		}, []string{"kind"}),
		heartbeatReplies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "heartbeat_replies_total",
			Help: "Replies of control leaders to heartbeats of this host, by what was done with them.",
		}, []string{"outcome"}),
		groupWaits: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "group_waits",
			Help: "1 while the change of primary of a group waits for the reason, at the leader of the control hosts.",
		}, []string{"group", "reason"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.reads, m.retries, m.callers, m.callersRefused, m.announcements, m.leaseValid, m.logWritable, m.droppedLines, m.heartbeatReplies, m.groupWaits)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Registry returns the registry of the metrics that are served at /metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Request records a finished request. It implements gateway.Observer.
func (m *Metrics) Request(o gateway.Observation) {
	m.requests.WithLabelValues(o.Service, o.Class, outcome(o.Err)).Inc()
	m.latency.WithLabelValues(o.Rank.String()).Observe(o.Took.Seconds())
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

// outcome returns the value of the outcome label for a request that ended with e.
func outcome(e *errkind.Error) string {
	if e == nil {
		return "ok"
	}
	return e.Kind.String()
}

// Callers adds delta to the number of open caller connections. It implements
// pg.Counters.
func (m *Metrics) Callers(delta int) { m.callers.Add(float64(delta)) }

// Refused counts a caller connection that was ended with an error. It implements
// pg.Counters.
func (m *Metrics) Refused(kind errkind.Kind) { m.callersRefused.WithLabelValues(kind.String()).Inc() }

// CountAnnouncement counts an announcement. err is nil if it was accepted.
func (m *Metrics) CountAnnouncement(err error) {
	if err == nil {
		m.announcements.WithLabelValues("ok").Inc()
		return
	}
	m.announcements.WithLabelValues(errkind.Of(err).Kind.String()).Inc()
}

// SetLeaseValid records whether this host holds its lease.
func (m *Metrics) SetLeaseValid(valid bool) { setBool(m.leaseValid, valid) }

// SetControlLogWritable records whether this control host can write its log.
func (m *Metrics) SetControlLogWritable(writable bool) { setBool(m.logWritable, writable) }

// RegisterControlLog adds the gauges of a control host's log: the size of all its
// files, and of the records after the last snapshot. It must be called at most once.
func (m *Metrics) RegisterControlLog(usage func() wal.Usage) {
	gauge := func(name, help string, value func(wal.Usage) int) prometheus.Collector {
		opts := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
		return prometheus.NewGaugeFunc(opts, func() float64 { return float64(value(usage())) })
	}
	m.registry.MustRegister(
		gauge("control_log_bytes", "Size of the log and the snapshot of this control host.", wal.Usage.TotalBytes),
		gauge("control_log_since_snapshot_bytes", "Size of the log records after the last snapshot.",
			func(u wal.Usage) int { return u.BytesSinceSnapshot }),
	)
}

// SetWait records what the change of primary of a group waits for, if it waits.
func (m *Metrics) SetWait(group table.GroupName, reason string, waits bool) {
	m.groupWaits.DeletePartialMatch(prometheus.Labels{"group": string(group)})
	if waits {
		m.groupWaits.WithLabelValues(string(group), reason).Set(1)
	}
}

// ClearWaits forgets what groups wait for, when this host no longer leads.
func (m *Metrics) ClearWaits() { m.groupWaits.Reset() }

// setBool sets a gauge to 1 for true and to 0 for false.
func setBool(g prometheus.Gauge, value bool) {
	if value {
		g.Set(1)
		return
	}
	g.Set(0)
}

// CountDroppedLine counts a dropped log line. Its kind is its message.
func (m *Metrics) CountDroppedLine(kind string) { m.droppedLines.WithLabelValues(kind).Inc() }
