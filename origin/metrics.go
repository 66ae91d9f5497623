package origin

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what happens on connections to backend servers.
type Metrics struct {
	dials  *prometheus.CounterVec
	strays prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		dials: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "origin", Name: "dials_total",
			Help: "Connections opened to backend servers, by result.",
		}, []string{"result"}),
		strays: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "origin", Name: "stray_answers_total",
			Help: "Answers that belonged to another request and were dropped.",
		}),
	}
	r.MustRegister(m.dials, m.strays)
	return m
}

func (m *Metrics) dialed(err error) {
	if m == nil {
		return
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.dials.WithLabelValues(result).Inc()
}

func (m *Metrics) stray() {
	if m != nil {
		m.strays.Inc()
	}
}
