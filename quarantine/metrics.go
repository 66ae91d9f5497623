package quarantine

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts crashes. A nil *Metrics counts nothing.
type Metrics struct {
	crashes prometheus.Counter
}

// NewMetrics registers the crash counter and a gauge of the suspects in t.
func NewMetrics(r prometheus.Registerer, t *Table) *Metrics {
	m := &Metrics{crashes: prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "bamboostep", Subsystem: "quarantine", Name: "crashes_total",
		Help: "Crashes of backend servers that this process saw under its requests.",
	})}
	r.MustRegister(m.crashes, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "quarantine", Name: "suspects",
		Help: "Requests that were at two crashes of backend servers or more.",
	}, func() float64 { return float64(t.countSuspects()) }))
	return m
}

func (m *Metrics) countCrash() {
	if m != nil {
		m.crashes.Inc()
	}
}

// countSuspects counts the requests with at least suspectThreshold crashes.
func (t *Table) countSuspects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.suspects {
		if len(s.crashes) >= suspectThreshold {
			n++
		}
	}
	return n
}
