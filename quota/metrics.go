package quota

import "github.com/prometheus/client_golang/prometheus"

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
