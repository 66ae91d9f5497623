package backend

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
)

// serverMetrics counts what an agent does.
type serverMetrics struct {
	started prometheus.Counter
	failed  *prometheus.CounterVec
	orders  *prometheus.CounterVec
	crashes prometheus.Counter
}

func newServerMetrics(s *Server) *serverMetrics {
	m := &serverMetrics{
		started: prometheus.NewCounter(options("attempts_started_total", "Attempts given to the engine or application.")),
		failed:  prometheus.NewCounterVec(options("attempts_failed_total", "Attempts that ended without a whole answer, by code and outcome."), []string{"code", "outcome"}),
		orders:  prometheus.NewCounterVec(options("orders_total", "Orders taken, by kind and the code of their result."), []string{"kind", "code"}),
		crashes: prometheus.NewCounter(options("crashes_total", "Deaths of the engine or application while attempts ran.")),
	}
	if s.Registry == nil {
		return m
	}
	s.Registry.MustRegister(m.started, m.failed, m.orders, m.crashes)
	s.Registry.MustRegister(
		s.gauge("attempts_running", "Attempts started and not ended.", func() float64 { return float64(len(s.table.active)) }),
		s.gauge("attempts_waiting", "Attempts accepted and not started.", func() float64 { return float64(len(s.table.queued)) }),
		s.gauge("memory_reserved_bytes", "Accelerator memory that may be in use.", func() float64 { return mebibytes(s.memory.ReservedMiB()) }),
		s.gauge("memory_limit_bytes", "Accelerator memory of the VM.", func() float64 { return mebibytes(s.memory.LimitMiB()) }),
		s.gauge("entries_connected", "Entries connected to the agent.", func() float64 { return float64(len(s.conns)) }),
	)
	return m
}

func mebibytes(n int64) float64 { return float64(n << 20) }

func options(name, help string) prometheus.CounterOpts {
	return prometheus.CounterOpts{Namespace: "bamboostep", Subsystem: "agent", Name: name, Help: help}
}

func (s *Server) gauge(name, help string, f func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts(options(name, help)), func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return f()
	})
}

func (m *serverMetrics) countFailure(f bamboostep.Failure) {
	m.failed.WithLabelValues(f.Code, string(f.Outcome)).Inc()
}

func (m *serverMetrics) countOrder(kind bamboostep.OrderKind, code string) {
	if code == "" {
		code = "done"
	}
	m.orders.WithLabelValues(string(kind), code).Inc()
}
