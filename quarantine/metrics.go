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
	}, func() float64 { return float64(len(withCrashes(t.Records(), suspectThreshold))) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bamboostep", Subsystem: "quarantine", Name: "prompt_part_suspects",
			Help: "Parts of prompts that were at two crashes of backend servers or more, and in no answer that went well since.",
		}, func() float64 { return float64(len(withCrashes(t.PartRecords(), suspectThreshold))) }))
	return m
}

func (m *Metrics) countCrash() {
	if m != nil {
		m.crashes.Inc()
	}
}
