// Package measure reads what a test's own process has used, sent and counted.
package measure

import (
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
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
	families, err := r.Gather()
	if err != nil {
		tb.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	tb.Fatalf("metric %q is not registered", name)
	return 0
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
