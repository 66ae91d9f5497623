package holder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
)

// Outcome labels of orders to the engine.
const (
	outcomeAccepted   = "taken"
	outcomeRefused    = "refused"
	outcomeUnanswered = "unanswered"
)

// Metrics counts the orders of a holder. A nil *Metrics is valid and counts nothing.
type Metrics struct {
	orders *prometheus.CounterVec // by order and outcome
}

// NewMetrics registers with r the order counters and gauges of the last report of h's
// engine.
func NewMetrics(r prometheus.Registerer, h *Holder) *Metrics {
	m := &Metrics{orders: prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "bamboostep", Subsystem: "holder", Name: "orders_total",
		Help: "Orders to the engine, by what they are and by outcome.",
	}, []string{"order", "outcome"})}
	r.MustRegister(m.orders)
	gauge := func(name, help string, value func(e bamboostep.EngineReport) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "bamboostep", Subsystem: "holder", Name: name, Help: help,
		}, func() float64 { return value(h.lastReport()) }))
	}
	gauge("waiting", "Requests that wait at the engine.", func(e bamboostep.EngineReport) float64 { return float64(e.Waiting) })
	gauge("running", "Requests that run at the engine.", func(e bamboostep.EngineReport) float64 { return float64(e.Running) })
	gauge("reading", "Running requests whose prompt is still being read.", func(e bamboostep.EngineReport) float64 { return float64(e.Prefilling) })
	gauge("cache_used_tokens", "Tokens of KV cache that requests need.", func(e bamboostep.EngineReport) float64 { return float64(e.CacheUsedTokens) })
	gauge("cache_tokens", "Tokens of KV cache that the engine has.", func(e bamboostep.EngineReport) float64 { return float64(e.CacheCapacityTokens) })
	gauge("models", "Models that the engine holds.", func(e bamboostep.EngineReport) float64 { return float64(len(e.Models)) })
	registerPaceGauges(r, h)
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "holder", Name: "announced_tokens",
		Help: "Prompt tokens that entries have announced and that wait for their first event.",
	}, func() float64 { return float64(h.announcedTokens()) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "bamboostep", Subsystem: "holder", Name: "report_age_seconds",
		Help: "Age of the engine's last report; -1 before the first.",
	}, func() float64 { return h.reportAgeSeconds(time.Now()) }))
	return m
}

// recordOrder counts an order by its outcome.
func (m *Metrics) recordOrder(o bamboostep.EngineOrder, outcome string) {
	if m != nil {
		m.orders.WithLabelValues(orderLabel(o), outcome).Inc()
	}
}

// orderLabel returns the label of an order, one of four values.
func orderLabel(o bamboostep.EngineOrder) string {
	switch {
	case o.Load && o.Adapter != "":
		return "load_adapter"
	case o.Load:
		return "load_model"
	case o.Adapter != "":
		return "unload_adapter"
	}
	return "unload_model"
}

// lastReport returns the engine's last report.
func (h *Holder) lastReport() bamboostep.EngineReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.report
}

// reportAgeSeconds returns the age of the last report, or -1 if there is none.
func (h *Holder) reportAgeSeconds(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reportAt.IsZero() {
		return -1
	}
	return now.Sub(h.reportAt).Seconds()
}
