package main

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// orderDeadline is the time within which the order to replace a lost copy must be
// sent. Configuration changes take effect everywhere within 6 s, and replacing a
// copy must not be slower.
const orderDeadline = 6 * time.Second

// hangingEngine never completes orders for the model "stuck", which it reports as
// loading forever. It rejects orders with outdated fencing tokens.
type hangingEngine struct {
	mu       sync.Mutex
	highest  bamboostep.FencingToken
	orders   map[string]bamboostep.Order // accepted, by name
	accepted chan string
}

func (e *hangingEngine) Generate(context.Context, bamboostep.Offer, func(bamboostep.Answer) error) error {
	return nil
}

func (e *hangingEngine) Do(ctx context.Context, o bamboostep.Order) error {
	if err := e.accept(o); err != nil {
		return err
	}
	if o.Name == "stuck" {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (e *hangingEngine) accept(o bamboostep.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence.Less(e.highest) {
		return &bamboostep.FencedError{Order: o.Fence, Highest: e.highest}
	}
	e.highest = o.Fence
	if _, again := e.orders[o.Name]; !again {
		e.accepted <- o.Name
	}
	e.orders[o.Name] = o
	return nil
}

func (e *hangingEngine) State(context.Context) (bamboostep.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := bamboostep.EngineState{Incarnation: "one", MemoryMiB: 100}
	for name, o := range e.orders {
		r := bamboostep.Replica{Name: name, Version: o.Version, MiB: o.MiB, State: bamboostep.ReplicaResident}
		if name == "stuck" {
			r.State = bamboostep.ReplicaLoading
		}
		s.Replicas = append(s.Replicas, r)
	}
	return s, nil
}

// startTestAgent starts an agent for the engine and returns its VM.
func startTestAgent(t *testing.T, ctx context.Context, e bamboostep.Engine) bamboostep.VM {
	t.Helper()
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	vm := bamboostep.VM{Name: "vm-1", Place: "engines", Address: nl.Addr().String(), State: bamboostep.VMLive}
	s := &backend.Server{
		Node:        &wire.Node{Hello: wire.Hello{Name: "vm-1", Role: "agent", Incarnation: 1}, Clock: clock},
		VM:          vm,
		Engine:      e,
		MemoryMiB:   100,
		Concurrency: 4,
		Queue:       4,
		Recorder:    &timeline.Recorder{Process: "vm-1", Clock: clock},
	}
	mux := &wire.Mux{}
	s.Register(mux)
	go (&wire.Listener{Node: s.Node, Net: nl, Handler: mux, Up: s.Up, Down: s.Down}).Run(ctx)
	go s.Run(ctx)
	return vm
}

type fixedPlatform []bamboostep.VM

func (p fixedPlatform) VMs(context.Context) ([]bamboostep.VM, error) { return p, nil }

// fixedPlacer returns the same moves in every round, except for replicas that are
// present or loading.
type fixedPlacer []bamboostep.Move

func (p fixedPlacer) Place(_ time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	there := make(map[string]bool)
	for _, vm := range fleet.VMs {
		for _, r := range vm.Replicas {
			there[r.Name] = true
		}
	}
	var moves []bamboostep.Move
	for _, m := range p {
		if !there[m.Order.Name] {
			moves = append(moves, m)
		}
	}
	return moves
}

// startTestPlacement starts the placement loop of a leader.
func startTestPlacement(t *testing.T, ctx context.Context, placer bamboostep.Placer, vms ...bamboostep.VM) {
	t.Helper()
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	recorder := &timeline.Recorder{Process: "entry-a", Clock: clock}
	set := catalog.New(catalog.Objects{Places: []bamboostep.Place{{Name: "engines", Kind: bamboostep.EnginePlace}}}).WithRevision(1)
	servers := &serverPool{
		Node:       &wire.Node{Hello: wire.Hello{Name: "entry-a", Role: "entry", Incarnation: 1}, Clock: clock},
		Platform:   fixedPlatform(vms),
		Recorder:   recorder,
		Log:        log.New(io.Discard),
		CurrentSet: func() *catalog.Set { return set },
	}
	p := &placementLoop{
		Name:     "entry-a",
		Placer:   placer,
		Servers:  servers,
		Set:      servers.CurrentSet,
		Leader:   func() (string, uint64, bool) { return "entry-a", 1, true },
		Demand:   func() []bamboostep.Demand { return nil },
		Recorder: recorder,
		Registry: prometheus.NewRegistry(),
	}
	servers.OnReport = p.HandleReport
	go servers.Run(ctx)
	go p.Run(ctx)
}

func loadMove(vm, name string) bamboostep.Move {
	return bamboostep.Move{VM: vm, Order: bamboostep.Order{Kind: bamboostep.LoadModel, Name: name, Version: "v", MiB: 10}}
}

// An order that is never answered does not delay other orders for the same VM,
// since the agent's report shows that it was accepted.
func TestUnansweredOrderDoesNotBlockQueue(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &hangingEngine{orders: make(map[string]bamboostep.Order), accepted: make(chan string, 3)}
	vm := startTestAgent(t, ctx, e)
	startTestPlacement(t, ctx, fixedPlacer{loadMove(vm.Name, "stuck"), loadMove(vm.Name, "lost"), loadMove(vm.Name, "third")}, vm)

	if got, want := <-e.accepted, "stuck"; got != want {
		t.Fatalf("got the first order for %q, want %q", got, want)
	}
	late := time.After(orderDeadline)
	for _, want := range []string{"lost", "third"} {
		select {
		case got := <-e.accepted:
			if got != want {
				t.Errorf("got an order for %q, want %q", got, want)
			}
		case <-late:
			t.Fatalf("no order for %q within %v of one that is never answered", want, orderDeadline)
		}
	}
}
