package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/route"
)

// Metrics holds the Prometheus collectors of the gateway. A nil *Metrics records nothing.
type Metrics struct {
	requests     *prometheus.CounterVec
	failures     *prometheus.CounterVec
	attempts     *prometheus.HistogramVec
	duration     *prometheus.HistogramVec
	firstEvent   prometheus.Histogram
	longestPause prometheus.Histogram
	retryBudget  *prometheus.GaugeVec
	holds        *prometheus.HistogramVec
}

var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .4, .8, 1.5, 3, 6, 12}

// NewMetrics creates the collectors and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "requests_total",
			Help: "Requests answered with an answer of a backend server, by kind of route and status.",
		}, []string{"kind", "status"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
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
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "first_event_seconds",
			Help: "Time from the arrival of a request to the first event of its stream.", Buckets: latencyBuckets,
		}),
		longestPause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "longest_pause_seconds",
			Help: "Longest time between two events of a stream that was passed on whole.", Buckets: latencyBuckets,
		}),
		retryBudget: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "bamboostep", Subsystem: "gateway", Name: "retry_budget",
			Help: "Retries that this entry may make now, by service.",
		}, []string{"service"}),
	}
	m.holds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: "bamboostep", Subsystem: "gateway", Name: "held_seconds",
		Help: "Time for which requests waited at this entry while all engines had a backlog, by outcome.", Buckets: latencyBuckets,
	}, []string{"outcome"})
	r.MustRegister(m.requests, m.failures, m.attempts, m.duration, m.firstEvent, m.longestPause, m.retryBudget, m.holds)
	return m
}

func (m *Metrics) observeAttempt(k route.Kind, status int, took time.Duration) {
	if m != nil {
		m.attempts.WithLabelValues(string(k), statusClass(status)).Observe(took.Seconds())
	}
}

func (m *Metrics) observeRequest(k route.Kind, status int, took time.Duration) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(string(k), statusClass(status)).Inc()
	m.duration.WithLabelValues(string(k)).Observe(took.Seconds())
}

func (m *Metrics) countFailure(status int, reason string) {
	if m != nil {
		m.failures.WithLabelValues(strconv.Itoa(status), reason).Inc()
	}
}

func (m *Metrics) observeFirstEvent(after time.Duration) {
	if m != nil {
		m.firstEvent.Observe(after.Seconds())
	}
}

func (m *Metrics) observeLongestPause(d time.Duration) {
	if m != nil {
		m.longestPause.Observe(d.Seconds())
	}
}

// SetRetryBudget sets the number of retries that the retry budget of a service allows now.
func (m *Metrics) SetRetryBudget(service string, n float64) {
	if m != nil {
		m.retryBudget.WithLabelValues(service).Set(n)
	}
}

// observeHold records a wait that has ended.
func (m *Metrics) observeHold(outcome string, waited time.Duration) {
	if m != nil {
		m.holds.WithLabelValues(outcome).Observe(waited.Seconds())
	}
}

// statusClass returns "2xx" for 200, and so on, to keep the number of label values small.
func statusClass(status int) string { return strconv.Itoa(status/100) + "xx" }
