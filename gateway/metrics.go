package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/route"
)

// Metrics counts callers' requests. A nil *Metrics counts nothing.
type Metrics struct {
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	attempts *prometheus.HistogramVec
	duration *prometheus.HistogramVec
	first    prometheus.Histogram
	pause    prometheus.Histogram
	budget   *prometheus.GaugeVec
}

var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.5, 3, 6, 12}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "requests_total",
			Help: "Requests answered with an answer of a backend server, by kind of route and status.",
		}, []string{"kind", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "failures_total",
			Help: "Requests answered with an error of the gateway's own, by status and reason.",
		}, []string{"status", "reason"}),
		attempts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "attempt_seconds",
			Help: "Time from sending an attempt to the head of its answer.", Buckets: latencyBuckets,
		}, []string{"kind", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "request_seconds",
			Help: "Time from the arrival of a request to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "first_event_seconds",
			Help: "Time from the arrival of a request to the first event of its stream.", Buckets: latencyBuckets,
		}),
		pause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "longest_pause_seconds",
			Help: "Longest time between two events of a stream that was passed on whole.", Buckets: latencyBuckets,
		}),
		budget: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "retry_budget",
			Help: "Retries that this entry may make now, by service.",
		}, []string{"service"}),
	}
	r.MustRegister(m.requests, m.refusals, m.attempts, m.duration, m.first, m.pause, m.budget)
	return m
}

func (m *Metrics) answered(k route.Kind, status int, took time.Duration) {
	if m != nil {
		m.attempts.WithLabelValues(string(k), statusClass(status)).Observe(took.Seconds())
	}
}

func (m *Metrics) served(k route.Kind, status int, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(string(k), statusClass(status)).Inc()
	m.duration.WithLabelValues(string(k)).Observe(took.Seconds())
}

func (m *Metrics) refused(status int, reason string) {
	if m != nil {
		m.refusals.WithLabelValues(strconv.Itoa(status), reason).Inc()
	}
}

func (m *Metrics) firstEvent(after time.Duration) {
	if m != nil {
		m.first.Observe(after.Seconds())
	}
}

func (m *Metrics) longestPause(d time.Duration) {
	if m != nil {
		m.pause.Observe(d.Seconds())
	}
}

// BudgetLeft notes how many retries may be made for a service.
func (m *Metrics) BudgetLeft(service string, n float64) {
	if m != nil {
		m.budget.WithLabelValues(service).Set(n)
	}
}

// statusClass bounds the label to five values.
func statusClass(status int) string { return strconv.Itoa(status/100) + "xx" }
