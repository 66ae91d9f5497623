package main

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/internal/measure"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/wire"
)

const measureTime = 5 * time.Second

// BenchmarkPool measures the idle connections of an entry to 160 agents, a tenth
// of the required fleet size: the bytes that the entry sends and receives, and the CPU
// time of the entry and the agents together. It compares connections to all agents
// with connections to the own region only, which is one of eight.
func BenchmarkPool(b *testing.B) {
	for name, region := range map[string]string{"all": "", "region": "r0"} {
		b.Run(name, func(b *testing.B) { benchmarkPool(b, region) })
	}
}

func benchmarkPool(b *testing.B, region string) {
	const agents, regions = 160, 8
	sent, read := prometheus.NewRegistry(), prometheus.NewRegistry()
	a := &testAgents{metrics: wire.NewMetrics(read), entryMetrics: wire.NewMetrics(sent)}
	names := strings.Fields("r0 r1 r2 r3 r4 r5 r6 r7")
	var of []string
	for i := range agents {
		of = append(of, names[i%regions])
	}
	a.start(b, of...)
	p := startPool(b, a, roster.VMConnections{Self: "entry", Region: region}, nil)
	want := agents
	if region != "" {
		want = agents / regions
	}
	waitFor(b, "all connections", func() bool { return len(p.Servers("apps")) == want })
	time.Sleep(time.Second) // let the full reports after connecting pass
	for b.Loop() {
		sentBefore, readBefore, cpuBefore := measure.SentBytes(b, sent), measure.SentBytes(b, read), measure.CPUTime(b)
		time.Sleep(measureTime)
		b.ReportMetric((measure.SentBytes(b, sent)-sentBefore)/measureTime.Seconds(), "sent-B/s")
		b.ReportMetric((measure.SentBytes(b, read)-readBefore)/measureTime.Seconds(), "read-B/s")
		b.ReportMetric(float64((measure.CPUTime(b)-cpuBefore).Microseconds())/measureTime.Seconds(), "cpu-us/s")
		b.ReportMetric(float64(want), "connections")
	}
}
