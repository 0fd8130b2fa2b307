package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// RegisterKnowledge adds how current the configuration of this host is: the version
// of the deployment in force here, and the time since a control leader last answered.
func (m *Metrics) RegisterKnowledge(version func() uint64, answerAge func() time.Duration) {
	m.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "deployment_version",
			Help: "Version of the deployment in force at this host; 0 while there is none.",
		}, func() float64 { return float64(version()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "leader_answer_age_seconds",
			Help: "Time since a control leader last answered a heartbeat of this host, or since its start.",
		}, func() float64 { return answerAge().Seconds() }),
	)
}

// CountHeartbeatReply counts the reply of a leader by what was done with it.
func (m *Metrics) CountHeartbeatReply(outcome string) {
	m.heartbeatReplies.WithLabelValues(outcome).Inc()
}
