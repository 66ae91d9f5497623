package backend_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// muteEngine carries out orders, unless it loses them, and never answers them.
type muteEngine struct {
	gatedEngine
	loses bool

	mu   sync.Mutex
	held map[string]bamboostep.Replica
}

func (e *muteEngine) Do(ctx context.Context, order bamboostep.Order) error {
	e.mu.Lock()
	switch {
	case e.loses:
	case order.Kind == bamboostep.LoadModel:
		e.held[order.Name] = bamboostep.Replica{Name: order.Name, Version: order.Version, MiB: order.MiB, State: bamboostep.ReplicaResident}
	default:
		delete(e.held, order.Name)
	}
	e.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

func (e *muteEngine) State(context.Context) (bamboostep.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := bamboostep.EngineState{Incarnation: "one"}
	for _, r := range e.held {
		s.Replicas = append(s.Replicas, r)
	}
	return s, nil
}

// An order whose answer is lost does not hold its replica up for the whole
// timeout of an order: once the engine's own state has shown its end for a while,
// the wait is over and the state counts.
func TestLostAnswerIsGivenUp(t *testing.T) {
	t.Parallel()
	e := &muteEngine{held: make(map[string]bamboostep.Replica)}
	address, _ := startServer(t, "127.0.0.1:0", e)
	c := startClient(t, address)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()

	for i, kind := range []bamboostep.OrderKind{bamboostep.LoadModel, bamboostep.UnloadModel} {
		order := bamboostep.Order{Fence: bamboostep.FencingToken{Term: 1, Sequence: uint64(i + 1)}, Kind: kind, Name: "n", Version: "v", MiB: 10}
		result, took := giveOrder(t, ctx, c, order)
		if got, want := result.Code, "lost"; got != want {
			t.Errorf("%s: got code %q, want %q", kind, got, want)
		}
		if took > lostAnswerLimit {
			t.Errorf("%s: given up after %v, want within %v", kind, took, lostAnswerLimit)
		}
		awaitRepeat(t, ctx, c, order)
	}
}

// An order that never reaches the engine is given up as soon, and its memory is
// free for another one.
func TestLostOrderIsGivenUp(t *testing.T) {
	t.Parallel()
	e := &muteEngine{held: make(map[string]bamboostep.Replica), loses: true}
	address, _ := startServer(t, "127.0.0.1:0", e)
	c := startClient(t, address)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()

	order, result := giveUp(t, ctx, c)
	for result.Code == "no_memory" && ctx.Err() == nil {
		order.Fence.Sequence++
		result, _ = giveOrder(t, ctx, c, order)
	}
	if result.Code != "lost" {
		t.Errorf("after it is settled: got code %q, want lost, the engine losing this one too", result.Code)
	}
}

// freezingEngine stands still for good once it is given an order.
type freezingEngine struct {
	muteEngine
	frozen atomic.Bool
}

func (e *freezingEngine) Do(ctx context.Context, order bamboostep.Order) error {
	e.frozen.Store(true)
	<-ctx.Done()
	return ctx.Err()
}

func (e *freezingEngine) State(ctx context.Context) (bamboostep.EngineState, error) {
	if !e.frozen.Load() {
		return e.muteEngine.State(ctx)
	}
	<-ctx.Done()
	return bamboostep.EngineState{}, ctx.Err()
}

// An order to an engine that stands still is given up as soon, so that it takes
// no turn at the store. Its memory stays reserved.
func TestOrderOfFrozenEngineIsGivenUp(t *testing.T) {
	t.Parallel()
	address, _ := startServer(t, "127.0.0.1:0", &freezingEngine{})
	c := startClient(t, address)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()

	giveUp(t, ctx, c)
}

// giveUp gives an order that is to be given up, and another that then finds no
// memory, since that of the first stays reserved. It returns the second and its
// result.
func giveUp(t *testing.T, ctx context.Context, c repeater) (bamboostep.Order, bamboostep.OrderResult) {
	t.Helper()
	order := bamboostep.Order{Fence: bamboostep.FencingToken{Term: 1, Sequence: 1}, Kind: bamboostep.LoadModel, Name: "n", Version: "v", MiB: 100}
	result, took := giveOrder(t, ctx, c, order)
	if result.Code != "lost" || took > lostAnswerLimit {
		t.Errorf("got code %q after %v, want lost within %v", result.Code, took, lostAnswerLimit)
	}
	order.Fence.Sequence, order.Name = 2, "o"
	if result, _ = giveOrder(t, ctx, c, order); result.Code != "no_memory" {
		t.Errorf("before it is settled: got code %q, want no_memory", result.Code)
	}
	return order, result
}

// lostAnswerLimit is the settling time of the memory account and some seconds for
// a busy machine.
const lostAnswerLimit = 6 * time.Second

// repeater is the part of backend.Client that gives orders.
type repeater interface {
	Order(ctx context.Context, order bamboostep.Order) (bamboostep.OrderResult, error)
}

// giveOrder gives an order, again while the agent is not ready for orders yet, and
// returns the result and how long it took to come.
func giveOrder(t *testing.T, ctx context.Context, c repeater, order bamboostep.Order) (bamboostep.OrderResult, time.Duration) {
	t.Helper()
	for {
		began := time.Now()
		result, err := c.Order(ctx, order)
		if err != nil {
			t.Fatalf("%s: %v", order.Kind, err)
		}
		if result.Code != "not_ready" {
			return result, time.Since(began)
		}
	}
}

// awaitRepeat waits until the same order is answered as done.
func awaitRepeat(t *testing.T, ctx context.Context, c repeater, order bamboostep.Order) {
	t.Helper()
	var last bamboostep.OrderResult
	for ctx.Err() == nil {
		result, err := c.Order(ctx, order)
		if err == nil && result.Code == "" {
			return
		}
		last = result
	}
	t.Fatalf("%s is never answered as done, last code %q", order.Kind, last.Code)
}

// fencingEngine refuses an order under a lower fence than one it has taken.
type fencingEngine struct {
	gatedEngine
	highest bamboostep.FencingToken
}

func (e *fencingEngine) Do(_ context.Context, order bamboostep.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence.Less(e.highest) {
		return &bamboostep.FencedError{Order: order.Fence, Highest: e.highest}
	}
	e.highest = order.Fence
	return nil
}

// An unload that waits for an attempt to end lets later orders pass, and is still
// done afterwards, by an engine that fences as well.
func TestOrderThatWaitedIsNotFenced(t *testing.T) {
	t.Parallel()
	e := &fencingEngine{gatedEngine: gatedEngine{gate: make(chan string)}}
	address, _ := startServer(t, "127.0.0.1:0", e)
	var reported fences
	c := startClientTold(t, address, reported.note)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()

	load := bamboostep.Order{Fence: bamboostep.FencingToken{Term: 1, Sequence: 1}, Kind: bamboostep.LoadModel, Name: "n", Version: "v", MiB: 10}
	if result, _ := giveOrder(t, ctx, c, load); result.Code != "" {
		t.Fatalf("first load: got code %q, want none", result.Code)
	}
	running := offer(ctx, c, "a1")
	e.gate <- "word "
	unload := bamboostep.Order{Fence: bamboostep.FencingToken{Term: 1, Sequence: 2}, Kind: bamboostep.UnloadModel, Name: "m", MiB: 1}
	unloaded := make(chan bamboostep.OrderResult, 1)
	go func() {
		result, _ := c.Order(ctx, unload)
		unloaded <- result
	}()
	reported.await(t, ctx, unload)
	load.Fence.Sequence, load.Name = 3, "o"
	if result, _ := giveOrder(t, ctx, c, load); result.Code != "" {
		t.Errorf("load that passes: got code %q, want none", result.Code)
	}
	e.gate <- "."
	if err := <-running.err; err != nil {
		t.Errorf("attempt: %v", err)
	}
	if result := <-unloaded; result.Code != "" {
		t.Errorf("unload that waited: got code %q (%s), want none", result.Code, result.Error)
	}
}

// fences holds the highest fence that an agent has reported.
type fences struct {
	highest atomic.Pointer[bamboostep.FencingToken]
}

func (f *fences) note(r bamboostep.Report) { f.highest.Store(&r.Fence) }

// await waits until the agent reports that it has taken the order up.
func (f *fences) await(t *testing.T, ctx context.Context, taken bamboostep.Order) {
	t.Helper()
	for ctx.Err() == nil {
		if highest := f.highest.Load(); highest != nil && !highest.Less(taken.Fence) {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("order %v is never taken up", taken.Fence)
}
