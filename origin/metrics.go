package origin

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus collectors of a Pool. A nil *Metrics records nothing.
type Metrics struct {
	dials  *prometheus.CounterVec
	strays prometheus.Counter
}

// NewMetrics creates the collectors and registers them with r.
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

func (m *Metrics) countDial(err error) {
	if m == nil {
		return
	}
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.dials.WithLabelValues(result).Inc()
}

func (m *Metrics) countStray() {
	if m != nil {
		m.strays.Inc()
	}
}
