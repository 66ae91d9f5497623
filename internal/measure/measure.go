// Package measure reads what a test's own process has used, sent and counted.
package measure

import (
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

const sentBytesMetric = "bamboostep_wire_sent_bytes_total"

// SentBytes returns the bytes that package wire has counted as written in r.
func SentBytes(tb testing.TB, r *prometheus.Registry) float64 {
	tb.Helper()
	return Counter(tb, r, sentBytesMetric)
}

// Counter returns the value of the counter with the name in r.
func Counter(tb testing.TB, r *prometheus.Registry, name string) float64 {
	tb.Helper()
	return metric(tb, r, name).GetCounter().GetValue()
}

// Gauge returns the value of the gauge with the name in r.
func Gauge(tb testing.TB, r *prometheus.Registry, name string) float64 {
	tb.Helper()
	return metric(tb, r, name).GetGauge().GetValue()
}

func metric(tb testing.TB, r *prometheus.Registry, name string) *dto.Metric {
	tb.Helper()
	families, err := r.Gather()
	if err != nil {
		tb.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0]
		}
	}
	tb.Fatalf("metric %q is not registered", name)
	return nil
}

// CPUTime returns the processor time that this process has used.
func CPUTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
