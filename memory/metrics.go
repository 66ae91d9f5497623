package memory

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers the collectors of the budget with r. use says what is held, for the label "for".
func (b *Budget) RegisterMetrics(r prometheus.Registerer, use string) {
	labels := prometheus.Labels{"for": use}
	name := func(n string) string { return prometheus.BuildFQName("bamboostep", "memory", n) }
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{ConstLabels: labels, Name: name("held_bytes"),
			Help: "Bytes held for others, without the reserve of each request or connection."},
			func() float64 { return float64(b.State().Used) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{ConstLabels: labels, Name: name("limit_bytes"),
			Help: "Bytes that may be held for others."},
			func() float64 { return float64(b.Total) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{ConstLabels: labels, Name: name("refused_total"),
			Help: "Times that a request or connection was not granted more bytes."},
			func() float64 { return float64(b.State().Refused) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{ConstLabels: labels, Name: name("given_up_total"),
			Help: "Requests or connections that were given up so that others could have their bytes."},
			func() float64 { return float64(b.State().GivenUp) }),
	)
}
