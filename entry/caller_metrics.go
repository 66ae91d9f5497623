package main

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/dispatch"
)

// callerMetrics holds the metrics of callers' requests.
type callerMetrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	retries    prometheus.Counter
	inFlight   prometheus.Gauge
	firstPiece *prometheus.HistogramVec
	between    *prometheus.HistogramVec
	overhead   prometheus.Histogram
}

func newCallerMetrics(r prometheus.Registerer, suspects *dispatch.CrashSuspects) *callerMetrics {
	m := &callerMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bamboostep_requests_total",
			Help: "Callers' requests by target, class and HTTP status."}, []string{"target", "class", "code"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bamboostep_refusals_total",
			Help: "Callers' requests that got an error, by reason."}, []string{"reason"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{Name: "bamboostep_retries_total",
			Help: "Attempts made after another attempt of the same request had failed."}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{Name: "bamboostep_requests_in_flight",
			Help: "Callers' requests that have no whole answer yet."}),
		firstPiece: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "bamboostep_first_token_seconds",
			Help:    "Time from a request to the first piece of its answer, by class.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 20)}, []string{"class"}),
		between: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "bamboostep_between_tokens_seconds",
			Help:    "Time between two pieces of a model's answer, by class.",
			Buckets: prometheus.ExponentialBuckets(0.002, 1.6, 16)}, []string{"class"}),
		overhead: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bamboostep_overhead_seconds",
			Help:    "Time from a request to its first offer.",
			Buckets: prometheus.ExponentialBuckets(0.00002, 2, 16)}),
	}
	strays := prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "bamboostep_suspect_strays_total",
		Help: "Events of crash suspects that their state does not list."}, func() float64 { return float64(suspects.UnexpectedEvents()) })
	if r != nil {
		r.MustRegister(m.requests, m.refusals, m.retries, m.inFlight, m.firstPiece, m.between, m.overhead, strays)
	}
	return m
}

// observeOverhead records the time that the entry took before the first attempt of
// a request.
func (m *callerMetrics) observeOverhead(x *exchange) {
	if !x.offerMade {
		x.offerMade = true
		m.overhead.Observe(x.Clock.Now().Sub(x.started).Seconds())
	}
}

// countRequest counts a finished request. Requests for undeclared targets share
// the empty label, so that callers cannot create metrics.
func (m *callerMetrics) countRequest(x *exchange) {
	m.requests.WithLabelValues(x.target, string(x.class), strconv.Itoa(x.status)).Inc()
}
