package backend

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/internal/measure"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// stubEngine holds replicas and nothing else.
type stubEngine struct {
	state  bamboostep.EngineState
	tokens int // of an answer, before its last
}

func (e *stubEngine) Generate(_ context.Context, _ bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	for range e.tokens {
		if err := yield(bamboostep.Answer{Data: []byte("word"), Tokens: 1}); err != nil {
			return err
		}
	}
	return yield(bamboostep.Answer{Data: []byte("word"), Tokens: 1, Last: true})
}

func (e *stubEngine) Do(context.Context, bamboostep.Order) error { return nil }

func (e *stubEngine) State(context.Context) (bamboostep.EngineState, error) { return e.state, nil }

func stubReplicas(n int) (rs []bamboostep.Replica) {
	for i := range n - 1 {
		rs = append(rs, bamboostep.Replica{Name: fmt.Sprint("adapter-", i), Model: "model-1", Version: fmt.Sprint("weights-", i), MiB: 10, State: bamboostep.ReplicaResident})
	}
	return append(rs, bamboostep.Replica{Name: "m", Version: "v", State: bamboostep.ReplicaResident})
}

// connect returns a server with one client connected by TCP, and the server's
// metrics.
func connect(b *testing.B, replicas int, onReport func(bamboostep.Report)) (*Server, *Client, *prometheus.Registry) {
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	registry := prometheus.NewRegistry()
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	node := &wire.Node{Hello: wire.Hello{Name: "vm", Incarnation: 1}, Clock: clock, Metrics: wire.NewMetrics(registry)}
	s := &Server{
		Node:        node,
		VM:          bamboostep.VM{Name: "taller-lm-1", Place: "taller-lm", FailureDomain: "uy-sur-a"},
		Engine:      &stubEngine{state: bamboostep.EngineState{Incarnation: "one", Replicas: stubReplicas(replicas)}},
		MemoryMiB:   80000,
		Concurrency: 32,
		Queue:       64,
		Recorder:    &timeline.Recorder{Process: "vm", Clock: clock},
	}
	mux := &wire.Mux{}
	s.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	s.look(ctx)
	go (&wire.Listener{Node: node, Net: nl, Handler: mux, Up: s.Up, Down: s.Down}).Run(ctx)
	c := &Client{
		Node:     &wire.Node{Hello: wire.Hello{Name: "entry"}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
		VM:       bamboostep.VM{Name: "taller-lm-1", Address: nl.Addr().String()},
		OnReport: onReport,
	}
	go c.Run(ctx)
	for !c.Up() || s.peers() == 0 {
		time.Sleep(time.Millisecond)
	}
	return s, c, registry
}

func (s *Server) peers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// BenchmarkReport measures a report from the agent to one entry, with both ends
// in one process: the processor time of both together, and the bytes written.
func BenchmarkReport(b *testing.B) {
	for _, replicas := range []int{1, 10, 100} {
		for _, kind := range []string{"whole", "change", "load"} {
			b.Run(fmt.Sprintf("replicas=%d/%s", replicas, kind), func(b *testing.B) {
				benchmarkReport(b, replicas, kind)
			})
		}
	}
}

func benchmarkReport(b *testing.B, replicas int, kind string) {
	var got atomic.Int64
	s, c, registry := connect(b, replicas, func(bamboostep.Report) { got.Add(1) })
	s.sendReports()
	for got.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	sent := got.Load()
	before, began := measure.SentBytes(b, registry), measure.CPUTime(b)
	for b.Loop() {
		for _, p := range s.conns {
			switch kind {
			case "whole":
				p.last = nil
			case "change":
				p.last.Replicas = p.last.Replicas[1:]
			case "load":
				p.last.Running++
			}
		}
		s.sendReports()
		if sent++; sent%64 == 0 {
			for got.Load() < sent {
				time.Sleep(time.Millisecond)
			}
		}
	}
	for c.Up() && got.Load() < sent {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric((measure.SentBytes(b, registry)-before)/float64(b.N), "bytes/report")
	b.ReportMetric(float64(measure.CPUTime(b)-began)/float64(b.N), "cpu-ns/report")
}

// BenchmarkConnectedEntries measures an agent with 100 replicas and no requests,
// by the number of connected entries: the bytes that the agent writes a second,
// and the processor time and memory of both ends together.
func BenchmarkConnectedEntries(b *testing.B) {
	for _, n := range []int{1, 40, 380} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) { benchmarkEntries(b, n) })
	}
}

func benchmarkEntries(b *testing.B, n int) {
	memory := heapBytes()
	s, c, registry := connect(b, 100, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	for range n - 1 {
		other := &Client{Node: c.Node, VM: c.VM}
		go other.Run(ctx)
	}
	for s.peers() < n {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second) // the whole reports at the start are over
	memory = heapBytes() - memory
	before, cpu, began := measure.SentBytes(b, registry), measure.CPUTime(b), time.Now()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	span := time.Since(began).Seconds()
	b.ReportMetric((measure.SentBytes(b, registry)-before)/span, "bytes/s")
	b.ReportMetric(float64((measure.CPUTime(b)-cpu).Microseconds())/span, "cpu-us/s")
	b.ReportMetric(memory/float64(n), "heap-bytes/entry")
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkOffer measures a whole attempt with a one-word answer, client and
// server in one process, over TCP on loopback.
func BenchmarkOffer(b *testing.B) {
	_, c, _ := connect(b, 10, nil)
	ctx := context.Background()
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		offer := bamboostep.Offer{Attempt: bamboostep.AttemptID(fmt.Sprint(n)), Request: bamboostep.Request{Model: "m", Body: []byte("{}")}}
		if err := c.Offer(ctx, offer, time.Second, func(bamboostep.Answer) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkToken measures one token of a long answer, both ends in one process.
func BenchmarkToken(b *testing.B) {
	s, c, registry := connect(b, 10, nil)
	s.Engine = &stubEngine{tokens: b.N}
	before, began := measure.SentBytes(b, registry), measure.CPUTime(b)
	b.ResetTimer()
	offer := bamboostep.Offer{Attempt: "1", Request: bamboostep.Request{Model: "m", Body: []byte("{}")}}
	if err := c.Offer(context.Background(), offer, time.Second, func(bamboostep.Answer) error { return nil }); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric((measure.SentBytes(b, registry)-before)/float64(b.N), "bytes/token")
	b.ReportMetric(float64(measure.CPUTime(b)-began)/float64(b.N), "cpu-ns/token")
}

// BenchmarkTable measures one attempt in a table that remembers many others.
func BenchmarkTable(b *testing.B) {
	t := &table{concurrency: 32, queue: 64}
	now := int64(1)
	id := func(n int64) bamboostep.AttemptID { return bamboostep.AttemptID(fmt.Sprint(n)) }
	attempt := func() {
		now++
		t.offered(now, 1, bamboostep.Offer{Attempt: id(now), StartBy: now + 20_000}, false, "")
		t.piece(id(now), bamboostep.Answer{Status: 200, Data: []byte("word"), Last: true})
		t.ended(now, id(now), nil)
		t.acked(id(now), 4, true)
		if now%10_000 == 0 {
			t.sweep(now)
		}
	}
	for range 20_000 {
		attempt()
	}
	b.ReportAllocs()
	for b.Loop() {
		attempt()
	}
}
