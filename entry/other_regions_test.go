package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// testAgents is a set of agents that run in the test process.
type testAgents struct {
	vms          []bamboostep.VM
	metrics      *wire.Metrics // shared by all agents; may be nil
	entryMetrics *wire.Metrics // of the server pool under test; may be nil

	mu    sync.Mutex
	conns map[string]int // number of connections by VM
}

// VMs implements bamboostep.Platform.
func (a *testAgents) VMs(context.Context) ([]bamboostep.VM, error) { return a.vms, nil }

func testNode(name string) *wire.Node {
	return &wire.Node{Hello: wire.Hello{Name: name}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
}

// noApplication is an application whose requests return at once.
type noApplication struct{}

func (noApplication) Serve(context.Context, bamboostep.Offer, func(bamboostep.Answer) error) error {
	return nil
}

// start starts one agent of a plain service in each of the given regions.
func (a *testAgents) start(tb testing.TB, regions ...string) {
	tb.Helper()
	a.conns = make(map[string]int)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	tb.Cleanup(func() { cancel(); all.Wait() })
	for i, region := range regions {
		nl, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		vm := bamboostep.VM{Name: fmt.Sprintf("vm-%d", i), Address: nl.Addr().String(), Place: "apps", Region: region, State: bamboostep.VMLive}
		a.vms = append(a.vms, vm)
		all.Go(func() { a.serve(ctx, vm, nl) })
	}
}

func (a *testAgents) serve(ctx context.Context, vm bamboostep.VM, nl net.Listener) {
	node := testNode(vm.Name)
	node.Metrics = a.metrics
	s := &backend.Server{Node: node, VM: vm, Application: noApplication{}, Concurrency: 1, Queue: 1,
		Recorder: &timeline.Recorder{Process: vm.Name, Clock: node.Clock}, Registry: prometheus.NewRegistry()}
	mux := &wire.Mux{}
	s.Register(mux)
	l := &wire.Listener{Node: node, Net: nl, Handler: mux, Patient: true,
		Up:   func(c *wire.Conn) { a.count(vm.Name, 1); s.Up(c) },
		Down: func(c *wire.Conn) { a.count(vm.Name, -1); s.Down(c) },
	}
	var all sync.WaitGroup
	all.Go(func() { _ = l.Run(ctx) })
	all.Go(func() { _ = s.Run(ctx) })
	all.Wait()
}

func (a *testAgents) count(vm string, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[vm] += n
}

// connected returns the set of VMs that have a connection.
func (a *testAgents) connected() map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	set := make(map[string]bool)
	for vm, n := range a.conns {
		if n > 0 {
			set[vm] = true
		}
	}
	return set
}

// waitConnected waits until the agents have seen the expected connections, which
// may be later than the entry does, and checks that no other agent has one.
func (a *testAgents) waitConnected(tb testing.TB, vms ...string) {
	tb.Helper()
	waitFor(tb, "connections as many as wanted", func() bool { return len(a.connected()) >= len(vms) })
	got := a.connected()
	for _, vm := range vms {
		if !got[vm] || len(got) != len(vms) {
			tb.Fatalf("got connections to %v, want %v", got, vms)
		}
	}
}

func startPool(tb testing.TB, a *testAgents, reach roster.VMConnections, lookup holderLookup) *serverPool {
	tb.Helper()
	node := testNode("entry")
	node.Metrics = a.entryMetrics
	p := &serverPool{
		Node:          node,
		Platform:      a,
		Recorder:      &timeline.Recorder{Process: "entry", Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
		Log:           log.New(io.Discard),
		Reach:         reach,
		LookupHolders: lookup,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Run(ctx) }()
	tb.Cleanup(func() { cancel(); <-done })
	return p
}

func waitFor(tb testing.TB, what string, is func() bool) {
	tb.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !is() {
		if time.Now().After(deadline) {
			tb.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// An entry connects to the agents of its own region only. If none of them can take
// a request, it connects to the agent that another region names.
func TestPoolConnectsToOtherRegionOnDemand(t *testing.T) {
	a := &testAgents{}
	a.start(t, "own", "own", "other", "other", "other")
	asked := make(chan roster.SearchTarget, 1)
	p := startPool(t, a, roster.VMConnections{Self: "entry", Region: "own"}, func(_ context.Context, want roster.SearchTarget, onReply func(string, []string)) {
		asked <- want
		onReply("other", []string{"vm-3"})
	})
	waitFor(t, "the own region's agents", func() bool { return len(p.Servers("apps")) == 2 })
	a.waitConnected(t, "vm-0", "vm-1")
	if !p.SearchRegions("apps", "") {
		t.Fatal("got no search, want one")
	}
	if got, want := <-asked, (roster.SearchTarget{Place: "apps"}); got != want {
		t.Errorf("asked for %v, want %v", got, want)
	}
	waitFor(t, "the other region's agent", func() bool { return len(p.Servers("apps")) == 3 })
	a.waitConnected(t, "vm-0", "vm-1", "vm-3")
	waitFor(t, "the end of the search", func() bool { return !p.SearchRegions("apps", "") })
}

// Agents of another region are found by trying them if its entries do not answer.
func TestPoolFindsAgentsOfUnresponsiveRegion(t *testing.T) {
	a := &testAgents{}
	a.start(t, "other")
	p := startPool(t, a, roster.VMConnections{Self: "entry", Region: "own"}, nil)
	waitFor(t, "a search", func() bool { return p.SearchRegions("apps", "") })
	if !p.AnyAvailable() {
		t.Error("got not ready, want ready though only other regions have VMs")
	}
	waitFor(t, "the other region's agent", func() bool { p.SearchRegions("apps", ""); return len(p.Servers("apps")) == 1 })
}

// A connection to another region is closed when it has been idle and reopened when
// it is needed again. It is not closed while an attempt uses it.
func TestPoolClosesIdleConnections(t *testing.T) {
	a := &testAgents{}
	a.start(t, "other")
	p := startPool(t, a, roster.VMConnections{Self: "entry", Region: "own"}, nil)
	seek := func() bool { p.SearchRegions("apps", ""); return len(p.Servers("apps")) == 1 }
	waitFor(t, "the other region's agent", seek)
	tick := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyChanges(p.Reach.Tick(time.Now().Add(roster.IdleTimeout)))
	}
	s := p.Servers("apps")[0].(*remoteServer)
	if !p.acquire(s) {
		t.Fatal("acquire refused a connected agent")
	}
	tick()
	if got := len(p.Servers("apps")); got != 1 {
		t.Fatalf("got %d agents during an attempt, want 1", got)
	}
	p.release(s)
	tick()
	waitFor(t, "the close", func() bool { return len(a.connected()) == 0 })
	if p.acquire(s) {
		t.Error("acquire accepted a closed connection")
	}
	waitFor(t, "the agent again", seek)
}

// A voter is connected to all agents, since it may become leader and then places
// models in all regions.
func TestVoterPoolConnectsToAllRegions(t *testing.T) {
	a := &testAgents{}
	a.start(t, "own", "other")
	p := startPool(t, a, roster.VMConnections{Self: "entry", Region: "own", ConnectAll: true}, nil)
	waitFor(t, "all agents", func() bool { return len(p.Servers("apps")) == 2 })
	if got := p.Holders(roster.SearchTarget{Place: "apps"}); len(got) > 1 || len(got) == 1 && got[0] != "vm-0" {
		t.Errorf("got holders %v, want none but vm-0 of its region", got)
	}
}

// Backend servers of another region are used only if none of the own region is
// left.
func TestOwnRegionIsPreferred(t *testing.T) {
	fleet := newTestFleet(2, answerWith("to the ridge", -1), answerWith("noted", -1))
	for place := range fleet.servers {
		fleet.servers[place][0].vm.Region = "other"
		fleet.servers[place][1].vm.Region = "own"
	}
	c := newTestHandler(fleet, &fakeLedger{})
	c.Region = "own"
	s := startHandler(t, c)
	other, own := fleet.servers["apps"][0], fleet.servers["apps"][1]
	for range 10 {
		if got := call(t, s, "GET", "/checks/1", ""); got.status != 200 {
			t.Fatalf("got status %d, want 200", got.status)
		}
	}
	if got := len(other.offered()); got != 0 {
		t.Errorf("got %d offers in another region, want 0", got)
	}
	own.mu.Lock()
	own.offer = func(bamboostep.Offer, func(bamboostep.Answer) error) error {
		return failure(bamboostep.NotRun, "queue_full")
	}
	own.mu.Unlock()
	if got := call(t, s, "GET", "/checks/2", ""); got.status != 200 {
		t.Errorf("got status %d with a full region, want 200 from another", got.status)
	}
}

// A request that would be late in its own region is sent to another region instead
// of being refused.
func TestLateRequestUsesOtherRegion(t *testing.T) {
	engine := newBlockingEngine()
	fleet := newTestFleet(2, answerWith(testAnswer, -1), nil)
	own, other := fleet.servers["engines"][0], fleet.servers["engines"][1]
	own.vm.Region, other.vm.Region = "own", "other"
	own.offer = engine.offer
	c := newTestHandler(fleet, nil)
	c.Region = "own"
	send, release := startBusy(t, c, engine)
	if got := send(); got.status != 200 {
		t.Errorf("got status %d, want 200 from another region", got.status)
	}
	if got := len(other.offered()); got != 1 {
		t.Errorf("got %d offers in another region, want 1", got)
	}
	release()
}

// searchingFleet is a fleet whose search in other regions never ends.
type searchingFleet struct{ *fakeFleet }

func (searchingFleet) Seek(string, string) bool { return true }

// A late request waits for the search in other regions only as long as its answer
// could still be in time, and is then refused.
func TestLateRequestStopsWaitingForSearch(t *testing.T) {
	engine := newBlockingEngine()
	send, release := startBusy(t, newTestHandler(searchingFleet{newTestFleet(1, engine.offer, nil)}, nil), engine)
	target := time.Duration(testObjects.Models[0].FirstTokenMS) * time.Millisecond
	began := time.Now()
	got := send()
	if got.status != 503 || !strings.Contains(got.body, "overloaded") {
		t.Errorf("got status %d, %s, want 503 overloaded", got.status, got.body)
	}
	if took := time.Since(began); took > 2*target {
		t.Errorf("refused after %v, want within twice the target of %v", took, target)
	}
	release()
}
