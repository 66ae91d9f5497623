package wire_test

import (
	"context"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/internal/measure"
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
		bytes := measure.SentBytes(b, serverMetrics) + measure.SentBytes(b, clientMetrics)
		cpu := measure.CPUTime(b)
		time.Sleep(idleSpan)
		bytes = measure.SentBytes(b, serverMetrics) + measure.SentBytes(b, clientMetrics) - bytes
		cpu = measure.CPUTime(b) - cpu
		each := idleConnections * idleSpan.Seconds()
		b.ReportMetric(bytes/each, "B/s/conn")
		b.ReportMetric(float64(cpu.Microseconds())/each, "us/s/conn")
	}
}
