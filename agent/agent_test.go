package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/settings"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const testDeadline = 15 * time.Second

// fakeEngine is a model engine that accepts every order and generates a fixed text that
// begins with the names of the model and adapter.
type fakeEngine struct {
	mu       sync.Mutex
	replicas []bamboostep.Replica
	release  chan struct{} // if set, generation blocks on it after the first token
	dropConn bool          // closes the connection after the first token
}

func (e *fakeEngine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /generate", e.serveGenerate)
	return mux
}

func (e *fakeEngine) serveState(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := bamboostep.EngineState{Incarnation: "one", MemoryMiB: 1000, Replicas: e.replicas}
	for _, r := range e.replicas {
		s.UsedMiB += r.MiB
	}
	json.NewEncoder(w).Encode(s)
}

func (e *fakeEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o bamboostep.Order
	json.NewDecoder(r.Body).Decode(&o)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Kind {
	case bamboostep.LoadModel, bamboostep.LoadAdapter:
		e.replicas = append(e.replicas, bamboostep.Replica{Name: o.Name, Model: o.Model, Version: o.Version, MiB: o.MiB, State: bamboostep.ReplicaResident})
	default:
		var kept []bamboostep.Replica
		for _, r := range e.replicas {
			if r.Name != o.Name {
				kept = append(kept, r)
			}
		}
		e.replicas = kept
	}
	io.WriteString(w, "{}")
}

func (e *fakeEngine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body generateRequest
	json.NewDecoder(r.Body).Decode(&body)
	fmt.Fprintf(w, "{\"text\":%q,\"tokens\":1}\n", body.Model+body.Adapter)
	w.(http.Flusher).Flush()
	if e.dropConn {
		panic(http.ErrAbortHandler)
	}
	if e.release != nil {
		<-e.release
	}
	for i := range 3 {
		fmt.Fprintf(w, "{\"text\":\" %d\",\"tokens\":1}\n", i)
	}
	io.WriteString(w, `{"done":true,"finish":"stop"}`+"\n")
}

// testAgent is a running agent with one client connected.
type testAgent struct {
	client   *backend.Client
	address  string
	stop     context.CancelFunc
	done     chan error
	reports  chan bamboostep.Report
	suspects chan []bamboostep.Suspect
}

// startAgent starts an agent for the backend server at backendURL, connects a client to
// it and waits until it reports that it is ready. The agent stops with the test.
func startAgent(t *testing.T, kind bamboostep.PlaceKind, backendURL string) *testAgent {
	t.Helper()
	cfg := defaultConfig()
	cfg.Name, cfg.Place, cfg.FailureDomain = "vm-1", "p", "d"
	cfg.Kind, cfg.BackendURL, cfg.MemoryMiB = kind, backendURL, 1000
	cfg.DrainTimeout.Duration = 4 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &testAgent{
		address:  ln.Addr().String(),
		stop:     stop,
		done:     make(chan error, 1),
		reports:  make(chan bamboostep.Report, 1000),
		suspects: make(chan []bamboostep.Suspect, 10),
	}
	go func() { a.done <- serve(ctx, cfg, ln, daemon.NewLogger(io.Discard, cfg.Name)) }()
	a.client = &backend.Client{
		Node: &wire.Node{Hello: wire.Hello{Name: "entry", Role: "entry"}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
		VM:   bamboostep.VM{Name: "vm-1", Address: a.address},
		OnReport: func(r bamboostep.Report) {
			select {
			case a.reports <- r:
			default:
			}
		},
		OnSuspect: func(s []bamboostep.Suspect) { a.suspects <- s },
	}
	clientCtx, disconnect := context.WithCancel(context.Background())
	t.Cleanup(func() { disconnect(); stop() })
	go a.client.Run(clientCtx)
	a.awaitReport(t, func(r bamboostep.Report) bool { return r.Ready })
	return a
}

// awaitReport discards reports until ok accepts one, and returns that one.
func (a *testAgent) awaitReport(t *testing.T, ok func(bamboostep.Report) bool) bamboostep.Report {
	t.Helper()
	deadline := time.After(testDeadline)
	for {
		select {
		case r := <-a.reports:
			if ok(r) {
				return r
			}
		case <-deadline:
			t.Fatal("no report met the condition in time")
		}
	}
}

// sendOrder sends an order, again for as long as the agent responds not_ready, and
// returns the code of the result.
func (a *testAgent) sendOrder(t *testing.T, order bamboostep.Order) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	for {
		result, err := a.client.Order(ctx, order)
		if err != nil {
			t.Fatal(err)
		}
		if result.Code != "not_ready" {
			return result.Code
		}
	}
}

// sendOffer offers an attempt to the agent and returns the text received, which is
// partial if the error is not nil.
func (a *testAgent) sendOffer(ctx context.Context, offer bamboostep.Offer) (string, error) {
	var got strings.Builder
	err := a.client.Offer(ctx, offer, 5*time.Second, func(p bamboostep.Answer) error {
		got.Write(p.Data)
		return nil
	})
	return got.String(), err
}

func startEngine(t *testing.T, e *fakeEngine) *httptest.Server {
	s := httptest.NewServer(e.handler())
	t.Cleanup(s.Close)
	return s
}

// newOffer returns the offer of attempt id for request "r"+id. An empty body becomes {}.
func newOffer(id string, r bamboostep.Request) bamboostep.Offer {
	r.ID = bamboostep.RequestID("r" + id)
	if r.Body == nil {
		r.Body = []byte("{}")
	}
	return bamboostep.Offer{Attempt: bamboostep.AttemptID(id), Request: r}
}

// failureFrom returns the failure of an *AttemptError and fails the test on any other
// error.
func failureFrom(t *testing.T, err error) bamboostep.Failure {
	t.Helper()
	var failed *bamboostep.AttemptError
	if !errors.As(err, &failed) {
		t.Fatalf("got error %v, want *FailedError", err)
	}
	return failed.Failure
}

// The agent loads models and adapters within its memory, serves requests for what is
// loaded, and refuses a request for a missing model or while it is leaving, with an
// outcome that says it did not run.
func TestEngineEndToEnd(t *testing.T) {
	a := startAgent(t, bamboostep.EnginePlace, startEngine(t, &fakeEngine{}).URL)
	ctx := context.Background()

	_, err := a.sendOffer(ctx, newOffer("1", bamboostep.Request{Model: "m"}))
	if f := failureFrom(t, err); f.Outcome != bamboostep.NotRun || f.Code != "not_resident" {
		t.Errorf("before the load: got %s %s, want not_run not_resident", f.Outcome, f.Code)
	}
	load := bamboostep.Order{Fence: bamboostep.FencingToken{Term: 1, Sequence: 1}, Kind: bamboostep.LoadModel, Name: "m", Version: "v1", MiB: 800}
	if code := a.sendOrder(t, load); code != "" {
		t.Fatalf("load failed: %s", code)
	}
	big := bamboostep.Order{Fence: bamboostep.FencingToken{Term: 1, Sequence: 2}, Kind: bamboostep.LoadModel, Name: "n", Version: "v1", MiB: 300}
	if code := a.sendOrder(t, big); code != "no_memory" {
		t.Errorf("load exceeding the memory: got code %q, want no_memory", code)
	}
	if got, err := a.sendOffer(ctx, newOffer("2", bamboostep.Request{Model: "m"})); err != nil || got != "m 0 1 2" {
		t.Errorf("got answer %q (%v), want %q", got, err, "m 0 1 2")
	}
	// An offer for an adapter that is not resident loads it. Memory suffices for one
	// adapter, so that loading the second unloads the idle first.
	for i, name := range []string{"a", "b"} {
		offer := newOffer(fmt.Sprint("3", i), bamboostep.Request{Model: "m", Adapter: name})
		offer.Load = bamboostep.Order{Kind: bamboostep.LoadAdapter, Name: name, Model: "m", Version: "v1", MiB: 150}
		want := "m" + name + " 0 1 2"
		if got, err := a.sendOffer(ctx, offer); err != nil || got != want {
			t.Errorf("got answer %q (%v), want %q", got, err, want)
		}
	}
	r := a.awaitReport(t, func(r bamboostep.Report) bool {
		return len(r.Replicas) == 2 && r.Replicas[0].Name == "b" && r.Replicas[0].State == bamboostep.ReplicaResident
	})
	if r.ReservedMiB != 950 || r.MemoryMiB != 1000 {
		t.Errorf("got %d of %d MiB reserved, want 950 of 1000", r.ReservedMiB, r.MemoryMiB)
	}
	if err := a.client.Drain(ctx, true); err != nil {
		t.Fatal(err)
	}
	_, err = a.sendOffer(ctx, newOffer("4", bamboostep.Request{Model: "m"}))
	if f := failureFrom(t, err); f.Outcome != bamboostep.NotRun || f.Code != "leaving" {
		t.Errorf("while leaving: got %s %s, want not_run leaving", f.Outcome, f.Code)
	}
	events, err := a.client.Timeline(ctx, timeline.Query{Request: "r2"})
	if err != nil || len(events) != 2 {
		t.Errorf("got %d events of one request (%v), want 2", len(events), err)
	}
}

// A stop must not abort a running attempt: the agent refuses new requests and exits only
// after the attempt has finished.
func TestStopWaitsForRunningAttempts(t *testing.T) {
	release := make(chan struct{})
	e := &fakeEngine{release: release, replicas: []bamboostep.Replica{{Name: "m", MiB: 10, State: bamboostep.ReplicaResident}}}
	a := startAgent(t, bamboostep.EnginePlace, startEngine(t, e).URL)
	begun := make(chan struct{})
	answered := make(chan error, 1)
	var got bytes.Buffer
	go func() {
		var once sync.Once
		answered <- a.client.Offer(context.Background(), newOffer("1", bamboostep.Request{Model: "m"}), time.Second, func(p bamboostep.Answer) error {
			got.Write(p.Data)
			once.Do(func() { close(begun) })
			return nil
		})
	}()
	<-begun
	a.stop()
	a.awaitReport(t, func(r bamboostep.Report) bool { return r.Leaving })
	_, err := a.sendOffer(context.Background(), newOffer("2", bamboostep.Request{Model: "m"}))
	if f := failureFrom(t, err); f.Outcome != bamboostep.NotRun {
		t.Errorf("new request during the stop: got outcome %s, want not_run", f.Outcome)
	}
	select {
	case <-a.done:
		t.Error("the agent exited while an attempt was running")
	case <-time.After(3 * time.Second / 2): // longer than the minimum drain time of 1s
	}
	close(release)
	if err := <-answered; err != nil || got.String() != "m 0 1 2" {
		t.Errorf("got answer %q (%v), want the complete text", &got, err)
	}
	select {
	case <-a.done:
	case <-time.After(testDeadline):
		t.Error("the agent did not exit")
	}
}

// An attempt that is still running at the drain timeout is handed over: the offer fails
// with code leaving and outcome ran, so that the entry keeps the text received so far
// and does not wait for the connection to fail.
func TestDrainTimeoutHandsOverAttempts(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	e := &fakeEngine{release: release, replicas: []bamboostep.Replica{{Name: "m", MiB: 10, State: bamboostep.ReplicaResident}}}
	a := startAgent(t, bamboostep.EnginePlace, startEngine(t, e).URL)
	err := a.client.Offer(context.Background(), newOffer("1", bamboostep.Request{Model: "m"}), time.Second, func(bamboostep.Answer) error {
		a.stop()
		return nil
	})
	if f := failureFrom(t, err); f.Code != "leaving" || f.Outcome != bamboostep.Ran {
		t.Errorf("got failure %+v, want leaving and ran", f)
	}
	select {
	case <-a.done:
	case <-time.After(testDeadline):
		t.Error("the agent did not exit")
	}
}

// example.toml must be valid, --check-settings must accept it, and each invalid key of a
// settings file must be reported, not just the first.
func TestExampleSettings(t *testing.T) {
	cfg := defaultConfig()
	if err := settings.Load("example.toml", &cfg); err != nil {
		t.Error(err)
	}
	var out bytes.Buffer
	cmd := newCommand()
	cmd.Writer = &out
	err := cmd.Run(context.Background(), []string{"agent", "--settings", "example.toml", "--check-settings"})
	if got, want := out.String(), "ok\n"; err != nil || got != want {
		t.Errorf("got output %q (%v), want %q", got, err, want)
	}
	file := t.TempDir() + "/bad.toml"
	os.WriteFile(file, []byte("name='x'\nplace='p'\nfailure_domain='d'\nlisten='7101'\nkind='engine'\nbackend_url='127.0.0.1'\n"), 0o600)
	bad := defaultConfig()
	var invalid *settings.InvalidError
	if err := settings.Load(file, &bad); !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Errorf("got error %v, want three problems", err)
	}
}

// The agent itself rejects a body that is not JSON, with outcome not_run. No engine
// listens here, so a valid body fails with backend_down.
func TestInvalidJSONBodyIsNotRun(t *testing.T) {
	e := newEngine("http://127.0.0.1:0", "vm-1")
	for _, body := range []string{"", "{", "{} {}", "{}"} {
		offer := bamboostep.Offer{Attempt: "1", Request: bamboostep.Request{Model: "m", Body: []byte(body)}}
		err := e.Generate(t.Context(), offer, func(bamboostep.Answer) error { return nil })
		want := "bad_request"
		if body == "{}" {
			want = "backend_down"
		}
		var failed *bamboostep.AttemptError
		if !errors.As(err, &failed) || failed.Failure.Code != want || failed.Failure.Outcome != bamboostep.NotRun {
			t.Errorf("body %q: got error %v, want %s and outcome not_run", body, err, want)
		}
	}
}
