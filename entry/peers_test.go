package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/internal/measure"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// peerGroup is a group of entries in the test process, reduced to their peers.
type peerGroup struct {
	peers  []*peers
	feeds  []*catalog.Feed
	cancel []context.CancelFunc

	mu               sync.Mutex
	suspectsReceived map[string]int // messages received, by entry

	refused []bamboostep.Suspect // requests that every entry refuses from the start
}

// startPeers starts entries and assigns them to the regions in turn. The first
// ones are voters.
func startPeers(tb testing.TB, entries, voters int, metrics *wire.Metrics, regions ...string) *peerGroup {
	tb.Helper()
	return startPeersRefusing(tb, nil, entries, voters, metrics, regions...)
}

// startPeersRefusing is startPeers for entries that refuse the given requests.
func startPeersRefusing(tb testing.TB, refused []bamboostep.Suspect, entries, voters int, metrics *wire.Metrics, regions ...string) *peerGroup {
	tb.Helper()
	g := &peerGroup{suspectsReceived: make(map[string]int), refused: refused}
	var settings []peerSettings
	var listeners []net.Listener
	for i := range entries {
		nl, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, nl)
		settings = append(settings, peerSettings{Name: fmt.Sprintf("entry-%d", i), Address: nl.Addr().String(),
			Region: regions[i%len(regions)], Voter: i < voters})
	}
	var all sync.WaitGroup
	for i, s := range settings {
		ctx, cancel := context.WithCancel(context.Background())
		g.cancel = append(g.cancel, cancel)
		p := g.newPeers(s, settings, metrics)
		all.Go(func() {
			_ = (&wire.Listener{Node: p.Node, Net: listeners[i], Handler: p.Mux, Patient: true}).Run(ctx)
		})
		all.Go(func() { _ = p.Run(ctx) })
	}
	tb.Cleanup(func() {
		for _, cancel := range g.cancel {
			cancel()
		}
		all.Wait()
	})
	return g
}

func (g *peerGroup) newPeers(self peerSettings, settings []peerSettings, metrics *wire.Metrics) *peers {
	node := testNode(self.Name)
	node.Metrics = metrics
	recorder := &timeline.Recorder{Process: self.Name, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	feed := &catalog.Feed{Node: node, Recorder: recorder, Registry: prometheus.NewRegistry()}
	p := &peers{Node: node, Mux: &wire.Mux{}, Self: self.Name, Region: self.Region, ConnectAll: self.Voter, Peers: settings, Feed: feed, Recorder: recorder,
		OnSuspects: func([]bamboostep.Suspect) {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.suspectsReceived[self.Name]++
		},
		RefusedSuspects: func() []bamboostep.Suspect { return g.refused },
		AgentTimeline:   func(context.Context, timeline.Query) [][]timeline.Event { return nil },
	}
	feed.Register(p.Mux)
	p.Register()
	g.peers = append(g.peers, p)
	g.feeds = append(g.feeds, feed)
	return p
}

func (g *peerGroup) waitConnected(tb testing.TB) {
	tb.Helper()
	waitFor(tb, "all links", func() bool {
		for _, p := range g.peers {
			p.mu.Lock()
			links := len(p.links)
			p.mu.Unlock()
			if links == 0 || len(p.conns()) < links {
				return false
			}
		}
		return true
	})
}

// An entry that has just started must learn which requests are refused. Otherwise
// a request that crashes backend servers could reach them again through it.
func TestNewEntryReceivesRefusedSuspects(t *testing.T) {
	refused := []bamboostep.Suspect{{Fingerprint: 1, Attempt: "r.1", VM: "taller-1", Crashes: 2}}
	g := startPeersRefusing(t, refused, 3, 1, nil, "a")
	waitFor(t, "the refused request at all entries", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.suspectsReceived) == 3
	})
}

// With only a few connections between regions, every entry still receives crash
// suspects and new configurations, and a timeline query returns the events of
// every entry exactly once.
func TestPartialMeshReachesEveryEntry(t *testing.T) {
	const entries, voters = 20, 1
	g := startPeers(t, entries, voters, nil, "a", "b", "c", "d")
	g.waitConnected(t)
	last := g.peers[entries-1]
	if got, most := len(last.conns()), entries/4+voters+3*roster.PeersPerRegion; got > most {
		t.Errorf("got %d links, want at most %d", got, most)
	}
	g.feeds[entries-1].Offer(catalog.New(testObjects).WithRevision(7))
	waitFor(t, "the revision everywhere", func() bool {
		for _, f := range g.feeds {
			if f.Set() == nil {
				return false
			}
		}
		return true
	})
	last.ShareSuspects([]bamboostep.Suspect{{Fingerprint: 1, Attempt: "r.1", VM: "taller-1", Crashes: 2}})
	waitFor(t, "the suspect everywhere", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.suspectsReceived) == entries-1
	})
	for _, p := range g.peers {
		p.Recorder.Record(timeline.Event{Kind: "here"})
	}
	seen := make(map[string]int)
	for _, list := range last.Timeline(t.Context(), timeline.Query{}) {
		for _, e := range list {
			if e.Kind == "here" {
				seen[e.Process]++
			}
		}
	}
	for _, p := range g.peers[:entries-1] {
		if got := seen[p.Self]; got != 1 {
			t.Errorf("got the event of %q %d times, want once", p.Self, got)
		}
	}
}

// When the entries of another region that an entry is connected to stop, it
// connects to others.
func TestLostLinksAreReplaced(t *testing.T) {
	g := startPeers(t, 10, 0, nil, "a", "b")
	g.waitConnected(t)
	first := g.peers[0]
	gone := make(map[string]bool)
	for _, c := range first.otherRegionConns()["b"] {
		gone[c.Peer().Name] = true
		for i, p := range g.peers {
			if p.Self == c.Peer().Name {
				g.cancel[i]()
			}
		}
	}
	waitFor(t, "links to other entries", func() bool {
		now := first.otherRegionConns()["b"]
		for _, c := range now {
			if gone[c.Peer().Name] {
				return false
			}
		}
		return len(now) == roster.PeersPerRegion
	})
}

// BenchmarkPeers measures the cost of idle connections between entries, in a full
// mesh and with regions: bytes sent per entry, and the CPU time of the process
// divided by the number of entries.
func BenchmarkPeers(b *testing.B) {
	const entries = 64
	for name, regions := range map[string][]string{"all": {""}, "regions": {"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7"}} {
		b.Run(name, func(b *testing.B) {
			registry := prometheus.NewRegistry()
			g := startPeers(b, entries, 0, wire.NewMetrics(registry), regions...)
			g.waitConnected(b)
			links := 0
			for _, p := range g.peers {
				links += len(p.conns())
			}
			time.Sleep(time.Second)
			for b.Loop() {
				sent, cpu := measure.SentBytes(b, registry), measure.CPUTime(b)
				time.Sleep(measureTime)
				each := measureTime.Seconds() * entries
				b.ReportMetric((measure.SentBytes(b, registry)-sent)/each, "sent-B/s/entry")
				b.ReportMetric(float64((measure.CPUTime(b)-cpu).Microseconds())/each, "cpu-us/s/entry")
				b.ReportMetric(float64(links)/entries, "dialled/entry")
			}
		})
	}
}

// A suspect is new the first time, with another crash, and after suspectRetention.
func TestSuspectIsNewOnce(t *testing.T) {
	var n suspectHistory
	start := time.Unix(0, 0)
	first := bamboostep.Suspect{Fingerprint: 1, Attempt: "r.1", VM: "taller-1", Crashes: 1}
	second := first
	second.Crashes = 2
	for _, step := range []struct {
		after time.Duration
		s     bamboostep.Suspect
		want  bool
	}{
		{0, first, true},
		{0, first, false},
		{0, second, true},
		{suspectRetention, first, false},
		{suspectRetention + 1, first, true},
	} {
		if got := n.addNew(start.Add(step.after), []bamboostep.Suspect{step.s}); got != step.want {
			t.Errorf("addNew(%+v) after %v = %v, want %v", step.s, step.after, got, step.want)
		}
	}
}
