package memory

import "github.com/prometheus/client_golang/prometheus"

// RegisterMetrics registers the collectors of the budget with r.
func (b *Budget) RegisterMetrics(r prometheus.Registerer) {
	name := func(n string) string { return prometheus.BuildFQName("bamboostep", "memory", n) }
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name("held_bytes"),
			Help: "Bytes held for callers and servers, without the reserve of each request."},
			func() float64 { return float64(b.State().Used) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name("limit_bytes"),
			Help: "Bytes that may be held for callers and servers."},
			func() float64 { return float64(b.Total) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name("refused_total"),
			Help: "Times that a request was not granted more bytes."},
			func() float64 { return float64(b.State().Refused) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name("given_up_total"),
			Help: "Requests that were given up so that others could have their bytes."},
			func() float64 { return float64(b.State().GivenUp) }),
	)
}
