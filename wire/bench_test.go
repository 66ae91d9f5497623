package wire_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/wire"
)

const (
	idleConnections = 100
	idleSpan        = 5 * time.Second
)

// BenchmarkIdle reports what one idle connection costs its two ends together, in
// bytes of frames and in processor time.
func BenchmarkIdle(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, serverMetrics := newNode(b, "server")
	client, clientMetrics := newNode(b, "client")
	address := listen(b, ctx, server, wire.HandlerFunc(echo))
	for range idleConnections {
		dial(b, ctx, client, address)
	}
	for b.Loop() {
		bytes := sentBytes(b, serverMetrics) + sentBytes(b, clientMetrics)
		cpu := cpuTime(b)
		time.Sleep(idleSpan)
		bytes = sentBytes(b, serverMetrics) + sentBytes(b, clientMetrics) - bytes
		cpu = cpuTime(b) - cpu
		each := idleConnections * idleSpan.Seconds()
		b.ReportMetric(bytes/each, "B/s/conn")
		b.ReportMetric(float64(cpu.Microseconds())/each, "us/s/conn")
	}
}

func sentBytes(b *testing.B, r *prometheus.Registry) float64 {
	families, err := r.Gather()
	if err != nil {
		b.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == "bamboostep_wire_sent_bytes_total" {
			return f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	b.Fatal("no bamboostep_wire_sent_bytes_total")
	return 0
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
