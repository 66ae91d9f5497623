package quota

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts admitted amounts and refused requests. A nil *Metrics counts nothing.
type Metrics struct {
	used    *prometheus.CounterVec
	refused *prometheus.CounterVec
}

// NewMetrics registers the counters, labelled with the declared workspaces.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		used: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "quota", Name: "used_total",
			Help: "Requests or tokens admitted, by workspace, in the unit of its quota.",
		}, []string{"workspace"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "quota", Name: "refused_total",
			Help: "Requests refused because their workspace has used its quota.",
		}, []string{"workspace"}),
	}
	r.MustRegister(m.used, m.refused)
	return m
}

func (m *Metrics) countDecision(workspace string, cost float64, admitted bool) {
	switch {
	case m == nil:
	case admitted:
		m.used.WithLabelValues(workspace).Add(cost)
	default:
		m.refused.WithLabelValues(workspace).Inc()
	}
}

// ServerLimitMetrics counts what an entry learns and does about the limits of backend servers.
// A nil *ServerLimitMetrics counts nothing.
type ServerLimitMetrics struct {
	changes *prometheus.CounterVec
	permits *prometheus.CounterVec
}

// NewServerLimitMetrics registers the counters.
func NewServerLimitMetrics(r prometheus.Registerer) *ServerLimitMetrics {
	m := &ServerLimitMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "server_limit", Name: "changes_total",
			Help: "Answers that changed the limit of a backend server, by event.",
		}, []string{"event"}),
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "server_limit", Name: "permits_total",
			Help: "Requests that needed a permit of a backend server's limit, by whether they got it at once, had to wait or did not get it.",
		}, []string{"outcome"}),
	}
	r.MustRegister(m.changes, m.permits)
	return m
}

func (m *ServerLimitMetrics) countPermit(p Permit) {
	if m == nil {
		return
	}
	outcome := "denied"
	switch {
	case p.Granted && time.Until(p.Due) > 0:
		outcome = "delayed"
	case p.Granted:
		outcome = "granted"
	}
	m.permits.WithLabelValues(outcome).Inc()
}

func (m *ServerLimitMetrics) countChange(event string) {
	if m != nil {
		m.changes.WithLabelValues(event).Inc()
	}
}
