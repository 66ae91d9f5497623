package release

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the collectors of an entry or a voter. A nil *Metrics records nothing.
type Metrics struct {
	registry prometheus.Registerer
	dropped  prometheus.Counter
	notes    prometheus.Counter
	searches *prometheus.HistogramVec
}

// NewMetrics creates the collectors and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		registry: r,
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "release", Name: "streams_dropped_total",
			Help: "Streams whose origin was not kept, since too many were.",
		}),
		notes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "release", Name: "notes_total",
			Help: "Messages to voters that name the origins of streams.",
		}),
		searches: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "bamboostep", Subsystem: "release", Name: "search_seconds",
			Help: "Time to find the origin of a stream that a caller takes up.", Buckets: []float64{.0001, .0005, .001, .002, .005, .01, .05, .3, 1},
		}, []string{"known"}),
	}
	r.MustRegister(m.dropped, m.notes, m.searches)
	return m
}

// observeTable registers a gauge of the streams in t.
func (m *Metrics) observeTable(t *table) {
	if m == nil {
		return
	}
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "release", Name: "streams",
		Help: "Streams whose origin is kept.",
	}, func() float64 { return float64(t.size()) }))
}

func (m *Metrics) countDropped(n int) {
	if m != nil && n > 0 {
		m.dropped.Add(float64(n))
	}
}

func (m *Metrics) countNote() {
	if m != nil {
		m.notes.Inc()
	}
}

func (m *Metrics) observeFind(known bool, took time.Duration) {
	if m == nil {
		return
	}
	label := "false"
	if known {
		label = "true"
	}
	m.searches.WithLabelValues(label).Observe(took.Seconds())
}
