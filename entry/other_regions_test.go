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

// poolAgents are agents in this process, for a pool under test.
type testAgents struct {
	vms          []bamboostep.VM
	metrics      *wire.Metrics // of all agents together; may be nil
	entryMetrics *wire.Metrics // of the pool under test; may be nil

	mu    sync.Mutex
	conns map[string]int // by VM
}

// VMs implements bamboostep.Platform.
func (a *testAgents) VMs(context.Context) ([]bamboostep.VM, error) { return a.vms, nil }

func testNode(name string) *wire.Node {
	return &wire.Node{Hello: wire.Hello{Name: name}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
}

// noApplication is an application that is there and is never asked.
type noApplication struct{}

func (noApplication) Serve(context.Context, bamboostep.Offer, func(bamboostep.Answer) error) error {
	return nil
}

// start adds one agent of a plain service in each of the regions.
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

// connected returns the VMs that have a connection, as a set.
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

// waitConnected waits until the agents know of their connections, which may be after
// the entry does, and checks that no other agent has one.
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

func startPool(tb testing.TB, a *testAgents, reach roster.Reach, ask holderLookup) *serverPool {
	tb.Helper()
	node := testNode("entry")
	node.Metrics = a.entryMetrics
	p := &serverPool{
		Node:          node,
		Platform:      a,
		Recorder:      &timeline.Recorder{Process: "entry", Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
		Log:           log.New(io.Discard),
		Reach:         reach,
		LookupHolders: ask,
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
			tb.Fatalf("%s did not come about", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// An entry is connected to its own region's agents alone, until a request finds none
// that could take it; then to the one that another region names.
func TestPoolConnectsElsewhereOnNeed(t *testing.T) {
	a := &testAgents{}
	a.start(t, "own", "own", "other", "other", "other")
	asked := make(chan roster.Want, 1)
	p := startPool(t, a, roster.Reach{Self: "entry", Region: "own"}, func(_ context.Context, w roster.Want, told func(string, []string)) {
		asked <- w
		told("other", []string{"vm-3"})
	})
	waitFor(t, "the own region's agents", func() bool { return len(p.Servers("apps")) == 2 })
	a.waitConnected(t, "vm-0", "vm-1")
	if !p.SearchRegions("apps", "") {
		t.Fatal("got no search, want one")
	}
	if got, want := <-asked, (roster.Want{Place: "apps"}); got != want {
		t.Errorf("asked for %v, want %v", got, want)
	}
	waitFor(t, "the other region's agent", func() bool { return len(p.Servers("apps")) == 3 })
	a.waitConnected(t, "vm-0", "vm-1", "vm-3")
	waitFor(t, "the end of the search", func() bool { return !p.SearchRegions("apps", "") })
}

// A region whose entries do not answer is looked through all the same.
func TestPoolFindsAgentsOfSilentRegion(t *testing.T) {
	a := &testAgents{}
	a.start(t, "other")
	p := startPool(t, a, roster.Reach{Self: "entry", Region: "own"}, nil)
	waitFor(t, "a search", func() bool { return p.SearchRegions("apps", "") })
	if !p.AnyAvailable() {
		t.Error("got not ready, want ready though only other regions have VMs")
	}
	waitFor(t, "the other region's agent", func() bool { p.SearchRegions("apps", ""); return len(p.Servers("apps")) == 1 })
}

// A connection that an idle time closes is made anew when it is needed again, and
// is not closed under an attempt.
func TestPoolClosesIdleConnections(t *testing.T) {
	a := &testAgents{}
	a.start(t, "other")
	p := startPool(t, a, roster.Reach{Self: "entry", Region: "own"}, nil)
	seek := func() bool { p.SearchRegions("apps", ""); return len(p.Servers("apps")) == 1 }
	waitFor(t, "the other region's agent", seek)
	tick := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyChanges(p.Reach.Tick(time.Now().Add(roster.IdleTime)))
	}
	s := p.Servers("apps")[0].(*remoteServer)
	if !p.acquire(s) {
		t.Fatal("got no use of a connected agent")
	}
	tick()
	if got := len(p.Servers("apps")); got != 1 {
		t.Fatalf("got %d agents under an attempt, want 1", got)
	}
	p.release(s)
	tick()
	waitFor(t, "the close", func() bool { return len(a.connected()) == 0 })
	if p.acquire(s) {
		t.Error("got the use of a connection that was closed")
	}
	waitFor(t, "the agent again", seek)
}

// A voter is connected to all agents, since it may lead and place everywhere.
func TestPoolOfVoterConnectsEverywhere(t *testing.T) {
	a := &testAgents{}
	a.start(t, "own", "other")
	p := startPool(t, a, roster.Reach{Self: "entry", Region: "own", All: true}, nil)
	waitFor(t, "all agents", func() bool { return len(p.Servers("apps")) == 2 })
	if got := p.Holders(roster.Want{Place: "apps"}); len(got) > 1 || len(got) == 1 && got[0] != "vm-0" {
		t.Errorf("got holders %v, want none but vm-0 of its region", got)
	}
}

// Candidates of another region are taken only where the own region has none left.
func TestOwnRegionGoesFirst(t *testing.T) {
	fleet := newTestFleet(2, answerWith("to the ridge", -1), answerWith("noted", -1))
	for place := range fleet.servers {
		fleet.servers[place][0].vm.Region = "other"
		fleet.servers[place][1].vm.Region = "own"
	}
	c := newTestHandler(fleet, &fakeLedger{})
	c.Region = "own"
	s := startHandler(t, c)
	far, near := fleet.servers["apps"][0], fleet.servers["apps"][1]
	for range 10 {
		if got := call(t, s, "GET", "/checks/1", ""); got.status != 200 {
			t.Fatalf("got status %d, want 200", got.status)
		}
	}
	if got := len(far.offered()); got != 0 {
		t.Errorf("got %d offers in another region, want 0", got)
	}
	near.mu.Lock()
	near.offer = func(bamboostep.Offer, func(bamboostep.Answer) error) error {
		return failure(bamboostep.NotRun, "queue_full")
	}
	near.mu.Unlock()
	if got := call(t, s, "GET", "/checks/2", ""); got.status != 200 {
		t.Errorf("got status %d with a full region, want 200 from another", got.status)
	}
}

// A request that would be late in its own region goes to another one rather than be
// refused, as it would without regions.
func TestLateRequestGoesElsewhere(t *testing.T) {
	e := newBlockingEngine()
	fleet := newTestFleet(2, answerWith(testAnswer, -1), nil)
	near, far := fleet.servers["engines"][0], fleet.servers["engines"][1]
	near.vm.Region, far.vm.Region = "own", "other"
	near.offer = e.offer
	c := newTestHandler(fleet, nil)
	c.Region = "own"
	ask, release := startBusy(t, c, e)
	if got := ask(); got.status != 200 {
		t.Errorf("got status %d, want 200 from another region", got.status)
	}
	if got := len(far.offered()); got != 1 {
		t.Errorf("got %d offers in another region, want 1", got)
	}
	release()
}

// seekingFleet searches other regions without end.
type searchingFleet struct{ *fakeFleet }

func (searchingFleet) Seek(string, string) bool { return true }

// A late request waits for a search in other regions only while its answer could
// still be in time; then it is refused at once.
func TestLateRequestDoesNotWaitOutTheSearch(t *testing.T) {
	e := newBlockingEngine()
	ask, release := startBusy(t, newTestHandler(searchingFleet{newTestFleet(1, e.offer, nil)}, nil), e)
	target := time.Duration(testObjects.Models[0].FirstTokenMS) * time.Millisecond
	began := time.Now()
	got := ask()
	if got.status != 503 || !strings.Contains(got.body, "overloaded") {
		t.Errorf("got status %d, %s, want 503 overloaded", got.status, got.body)
	}
	if took := time.Since(began); took > 2*target {
		t.Errorf("refused after %v, want within twice the target of %v", took, target)
	}
	release()
}
