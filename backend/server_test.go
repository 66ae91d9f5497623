package backend_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const testDeadline = 15 * time.Second

// gatedEngine holds one model and writes one word for each token put in gate.
type gatedEngine struct {
	gate chan string

	mu     sync.Mutex
	starts int
}

func (e *gatedEngine) Generate(ctx context.Context, offer bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	e.mu.Lock()
	e.starts++
	e.mu.Unlock()
	for {
		select {
		case word := <-e.gate:
			if err := yield(bamboostep.Answer{Data: []byte(word), Tokens: 1, Last: word == "."}); err != nil || word == "." {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *gatedEngine) Do(context.Context, bamboostep.Order) error { return nil }

func (e *gatedEngine) State(context.Context) (bamboostep.EngineState, error) {
	return bamboostep.EngineState{
		Incarnation: "one",
		Replicas:    []bamboostep.Replica{{Name: "m", MiB: 1, State: bamboostep.ReplicaResident}},
	}, nil
}

func (e *gatedEngine) started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts
}

func startServer(t *testing.T, address string, e bamboostep.Engine) (listening string, stop func()) {
	t.Helper()
	listening, stop, _ = startDrainable(t, address, e, 0)
	return listening, stop
}

// startDrainable starts a server that can also be drained, with its connections up.
func startDrainable(t *testing.T, address string, e bamboostep.Engine, drainTimeout time.Duration) (listening string, stop, drain func()) {
	t.Helper()
	nl, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	node := &wire.Node{Hello: wire.Hello{Name: "vm-1", Role: "agent", Incarnation: uint64(time.Now().UnixNano())}, Clock: clock}
	s := &backend.Server{
		Node:        node,
		VM:          bamboostep.VM{Name: "vm-1"},
		Engine:      e,
		MemoryMiB:   100,
		Concurrency: 4,
		Queue:       4,
		Recorder:    &timeline.Recorder{Process: "vm-1", Clock: clock},

		DrainTimeout: drainTimeout,
	}
	mux := &wire.Mux{}
	s.Register(mux)
	ctx, cancel := context.WithCancel(context.Background())
	l := &wire.Listener{Node: node, Net: nl, Handler: mux, Up: s.Up, Down: s.Down}
	var all sync.WaitGroup
	all.Go(func() { l.Run(ctx) })
	serving, drain := context.WithCancel(ctx)
	go s.Run(serving)
	stop = func() { cancel(); all.Wait() }
	t.Cleanup(stop)
	return nl.Addr().String(), stop, drain
}

func startClient(t *testing.T, address string) *backend.Client {
	t.Helper()
	return startClientTold(t, address, func(bamboostep.Report) {})
}

// startClientTold is startClient with a function that is told each report.
func startClientTold(t *testing.T, address string, told func(bamboostep.Report)) *backend.Client {
	t.Helper()
	ready := make(chan struct{}, 1)
	c := &backend.Client{
		Node: &wire.Node{Hello: wire.Hello{Name: "entry", Role: "entry"}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
		VM:   bamboostep.VM{Name: "vm-1", Address: address},
		OnReport: func(r bamboostep.Report) {
			told(r)
			if r.Ready {
				select {
				case ready <- struct{}{}:
				default:
				}
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	select {
	case <-ready:
	case <-time.After(testDeadline):
		t.Fatal("the agent did not become ready")
	}
	return c
}

// answer collects what an offer yields.
type answer struct {
	mu   sync.Mutex
	text strings.Builder
	err  chan error
}

func offer(ctx context.Context, c *backend.Client, id bamboostep.AttemptID) *answer {
	return offerWith(ctx, c, bamboostep.Offer{Attempt: id, Request: bamboostep.Request{Model: "m"}})
}

func offerWith(ctx context.Context, c *backend.Client, o bamboostep.Offer) *answer {
	a := &answer{err: make(chan error, 1)}
	go func() {
		a.err <- c.Offer(ctx, o, 10*time.Second, func(p bamboostep.Answer) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.text.Write(p.Data)
			return nil
		})
	}()
	return a
}

func (a *answer) got() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.text.String()
}

// wait returns how the offer ended; its outcome is "" when the answer was whole.
func (a *answer) wait(t *testing.T) bamboostep.Failure {
	t.Helper()
	select {
	case err := <-a.err:
		var failed *bamboostep.AttemptError
		if err != nil && !errors.As(err, &failed) {
			t.Fatalf("got error %v, want *FailedError", err)
		}
		if failed == nil {
			return bamboostep.Failure{}
		}
		return failed.Failure
	case <-time.After(testDeadline):
		t.Fatal("the offer did not end")
	}
	return bamboostep.Failure{}
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(testDeadline)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("in vain: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// Connections fall silent in the middle of answers, though they stay open. The
// answers go on over new ones within three seconds, whole.
func TestAnswerSurvivesSilentConnection(t *testing.T) {
	e := &gatedEngine{gate: make(chan string, 100)}
	address, _ := startServer(t, "127.0.0.1:0", e)
	r, through := startRelay(t, address)
	c := startClient(t, through)

	a := offer(context.Background(), c, "1")
	e.gate <- "one "
	until(t, "first word arrives", func() bool { return a.got() == "one " })
	r.fallSilent()
	began := time.Now()
	for i := range 50 {
		e.gate <- fmt.Sprint(i, " ")
	}
	until(t, "the answer goes on", func() bool { return len(a.got()) > len("one ") })
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("went on after %v, want within 3s", took)
	}
	e.gate <- "."
	var want strings.Builder
	want.WriteString("one ")
	for i := range 50 {
		fmt.Fprint(&want, i, " ")
	}
	want.WriteString(".")
	if f := a.wait(t); f.Outcome != "" || a.got() != want.String() {
		t.Errorf("got %q (%+v), want %q", a.got(), f, &want)
	}
}

// An attempt that may be repeated is given up within three seconds when its VM is
// cut off silently, before the first token and after it, so that its request goes on
// elsewhere. One that may not be waits longer for the answer.
func TestRepeatableAttemptLeavesSilentVM(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		words      []string
		repeatable bool
		want       bamboostep.Outcome
	}{
		"before the first token":       {nil, true, bamboostep.Unknown},
		"after the first token":        {[]string{"one "}, true, bamboostep.Ran},
		"one that may not be repeated": {nil, false, bamboostep.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &gatedEngine{gate: make(chan string, 1)}
			address, _ := startServer(t, "127.0.0.1:0", e)
			r, through := startRelay(t, address)
			c := startClient(t, through)

			a := offerWith(context.Background(), c, bamboostep.Offer{Attempt: "1", Request: bamboostep.Request{Model: "m"}, Repeatable: tt.repeatable})
			for _, w := range tt.words {
				e.gate <- w
			}
			until(t, "the attempt runs", func() bool { return e.started() == 1 && a.got() == strings.Join(tt.words, "") })
			r.cutOff()
			began := time.Now()
			f := a.wait(t)
			if f.Outcome != tt.want {
				t.Errorf("got %+v, want outcome %q", f, tt.want)
			}
			if took := time.Since(began); (took <= 3*time.Second) != tt.repeatable {
				t.Errorf("given up after %v, want within 3s: %v", took, tt.repeatable)
			}
		})
	}
}

// An offer lingers on a silent connection until its cancel has come by another.
// The entry says "not run", and the offer that arrives then starts nothing.
func TestOfferDelayedPastItsCancel(t *testing.T) {
	e := &gatedEngine{}
	address, _ := startServer(t, "127.0.0.1:0", e)
	r, through := startRelay(t, address)
	c := startClient(t, through)

	r.fallSilent()
	ctx, cancel := context.WithCancel(context.Background())
	a := offer(ctx, c, "1")
	until(t, "the relay holds the offer", func() bool { return r.silentGot("backend.offer") })
	cancel()
	if f := a.wait(t); f.Outcome != bamboostep.NotRun {
		t.Errorf("got outcome %+v, want not_run", f)
	}
	if got := r.replay(t, "backend.failure"); !strings.Contains(got, "not_run") {
		t.Errorf("the late offer got the answer %q, want not_run", got)
	}
	if got := e.started(); got != 0 {
		t.Errorf("the engine started %d attempts, want none", got)
	}
}

// A new process under the agent's address knows nothing of the attempts: they
// ran if part of the answer came, and nobody knows otherwise.
func TestAgentRestart(t *testing.T) {
	e := &gatedEngine{gate: make(chan string, 10)}
	address, stop := startServer(t, "127.0.0.1:0", e)
	c := startClient(t, address)

	begun := offer(context.Background(), c, "1")
	e.gate <- "one "
	until(t, "first word arrives", func() bool { return begun.got() != "" })
	silent := offer(context.Background(), c, "2")
	until(t, "both attempts start", func() bool { return e.started() == 2 })
	stop()
	startServer(t, address, &gatedEngine{})
	if f := begun.wait(t); f.Outcome != bamboostep.Ran {
		t.Errorf("answer begun: got %+v, want outcome ran", f)
	}
	if f := silent.wait(t); f.Outcome != bamboostep.Unknown {
		t.Errorf("no answer yet: got %+v, want outcome unknown", f)
	}
}

// lateEngine checks neither memory nor fences, and begins the order for "late"
// only when it is released.
type lateEngine struct {
	gatedEngine
	release chan struct{}
	arrived chan struct{}

	mu       sync.Mutex
	replicas []bamboostep.Replica
}

func (e *lateEngine) Do(_ context.Context, o bamboostep.Order) error {
	if o.Name == "late" {
		close(e.arrived)
		<-e.release
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas = append(e.replicas, bamboostep.Replica{Name: o.Name, MiB: o.MiB, State: bamboostep.ReplicaResident})
	return nil
}

func (e *lateEngine) State(context.Context) (bamboostep.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return bamboostep.EngineState{Incarnation: "one", Replicas: e.replicas}, nil
}

// An agent dies between an order and its answer, and its successor knows nothing
// of the order, which the engine begins later. The successor reserves nothing
// until it has seen the order's effect, and obeys no older leader.
func TestOrderOutlivesItsAgent(t *testing.T) {
	e := &lateEngine{release: make(chan struct{}), arrived: make(chan struct{})}
	address, stop := startServer(t, "127.0.0.1:0", e)
	c := startClient(t, address)
	order := func(term uint64, name string) (string, error) {
		o := bamboostep.Order{Fence: bamboostep.FencingToken{Term: term, Sequence: 1}, Kind: bamboostep.LoadModel, Name: name, MiB: 60}
		result, err := c.Order(context.Background(), o)
		return result.Code, err
	}
	load := func(term uint64, name string) (code string) {
		until(t, "the agent answers the order", func() bool {
			var err error
			code, err = order(term, name)
			return err == nil
		})
		return code
	}
	go func() {
		for code, err := order(1, "late"); err == nil && code == "not_ready"; {
			code, err = order(1, "late")
		}
	}()
	<-e.arrived
	stop()
	startServer(t, address, e)
	if got, want := load(2, "other"), "not_ready"; got != want {
		t.Fatalf("order to the successor: got code %q, want %q", got, want)
	}
	close(e.release)
	until(t, "the successor takes orders", func() bool { return load(2, "other") != "not_ready" })
	if got, want := load(2, "other"), "no_memory"; got != want {
		t.Errorf("order beyond the memory: got code %q, want %q", got, want)
	}
	if got, want := load(1, "other"), "fenced"; got != want {
		t.Errorf("order of a deposed leader: got code %q, want %q", got, want)
	}
}
