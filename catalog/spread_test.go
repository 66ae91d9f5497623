package catalog

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// startMesh starts n feeds, each linked to every other.
func startMesh(b *testing.B, ctx context.Context, n int) []*feedProcess {
	b.Helper()
	var mesh []*feedProcess
	for i := range n {
		mesh = append(mesh, startFeed(b, ctx, fmt.Sprintf("feed-%d", i)))
	}
	for _, f := range mesh {
		for _, peer := range mesh {
			if f != peer {
				f.follow(ctx, peer)
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

func (p *feedProcess) sent(b *testing.B) float64 {
	b.Helper()
	families, err := p.registry.Gather()
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

func spread(mesh []*feedProcess, s *Set) {
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
	mesh[0].mu.Lock()
	c := mesh[0].upstreams[0].conn
	mesh[0].mu.Unlock()
	before := mesh[0].sent(b) + mesh[1].sent(b)
	for b.Loop() {
		if err := mesh[0].poll(c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((mesh[0].sent(b)+mesh[1].sent(b)-before)/float64(b.N), "bytes/poll")
}
