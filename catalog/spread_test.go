package catalog

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// meshFeed is one feed of a full mesh, with the counters of its connections.
type meshFeed struct {
	*Feed
	registry *prometheus.Registry
	mux      *wire.Mux
	address  string
}

// startMesh starts n feeds, each linked to every other.
func startMesh(b *testing.B, ctx context.Context, n int) []*meshFeed {
	b.Helper()
	var mesh []*meshFeed
	for i := range n {
		mesh = append(mesh, startMeshFeed(b, ctx, fmt.Sprintf("feed-%d", i)))
	}
	for _, f := range mesh {
		for _, peer := range mesh {
			if f != peer {
				link := &wire.Link{Node: f.Node, Address: peer.address, Handler: f.mux, Up: f.Subscribe}
				go link.Run(ctx)
			}
		}
	}
	for _, f := range mesh {
		for f.Following() < n-1 {
			time.Sleep(time.Millisecond)
		}
	}
	return mesh
}

func startMeshFeed(b *testing.B, ctx context.Context, name string) *meshFeed {
	b.Helper()
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	f := &meshFeed{registry: prometheus.NewRegistry(), mux: new(wire.Mux)}
	f.Feed = &Feed{
		Node: &wire.Node{
			Hello: wire.Hello{Name: name, Role: "entry"}, Clock: clock, Metrics: wire.NewMetrics(f.registry),
		},
		Recorder: &timeline.Recorder{Process: name, Clock: clock},
		Registry: f.registry,
	}
	f.Register(f.mux)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	f.address = nl.Addr().String()
	l := &wire.Listener{Node: f.Node, Net: nl, Handler: f.mux}
	go l.Run(ctx)
	return f
}

func (f *meshFeed) sent(b *testing.B) float64 {
	b.Helper()
	families, err := f.registry.Gather()
	if err != nil {
		b.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "bamboostep_wire_sent_bytes_total" {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// The time from a change at one feed until all have it, at full size.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{5, 10, 20, 30} {
		b.Run(fmt.Sprintf("feeds=%d", n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			mesh := startMesh(b, ctx, n)
			s := fullSize()
			spread(mesh, s)
			for b.Loop() {
				s = oneChange(s)
				mesh[0].Prove(s.Revision()-1, time.Now())
				spread(mesh, s)
			}
		})
	}
}

func spread(mesh []*meshFeed, s *Set) {
	mesh[0].Offer(s)
	for _, f := range mesh {
		for f.Set() == nil || f.Set().Revision() < s.Revision() {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// The bytes of one poll that brings nothing new, both ways.
func BenchmarkPoll(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	mesh := startMesh(b, ctx, 2)
	spread(mesh, fullSize())
	mesh[0].Prove(1, time.Now())
	var c *wire.Conn
	mesh[0].mu.Lock()
	for c = range mesh[0].kicks {
	}
	mesh[0].mu.Unlock()
	before := mesh[0].sent(b) + mesh[1].sent(b)
	for b.Loop() {
		if err := mesh[0].poll(c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((mesh[0].sent(b)+mesh[1].sent(b)-before)/float64(b.N), "bytes/poll")
}
