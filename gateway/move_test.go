package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/origin"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// departingEngine streams events until it is told to stop a request and move its KV
// cache.
type departingEngine struct {
	*httptest.Server
	lastEvent     int           // number of the last event
	eventInterval time.Duration // between events
	moveStatus    int           // of the response to a move
	unframed      bool          // its streams end with their connection

	mu             sync.Mutex
	stopped        bool
	moveTarget     string // address that the cache was moved to
	droppedHandles []string
}

func newDepartingEngine(t *testing.T, last int, pace time.Duration, status int) *departingEngine {
	t.Helper()
	e := &departingEngine{lastEvent: last, eventInterval: pace, moveStatus: status}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/kv-move", e.move)
	mux.HandleFunc("DELETE /-/kv-handle/{id}", e.drop)
	mux.HandleFunc("/p/", e.serve)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *departingEngine) address() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *departingEngine) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	from := 0
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Signature", r.Header.Get("Kv-From")+"signed")
	if e.unframed {
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\n\r\n")
		for n := 1; n <= e.lastEvent && !e.isStopped(); n++ {
			fmt.Fprintf(nc, "id: %d\ndata: \n\n", n)
			time.Sleep(e.eventInterval)
		}
		return
	}
	for n := from + 1; n <= e.lastEvent; n++ {
		if e.isStopped() {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, r.Header.Get("Kv-From"))
		http.NewResponseController(w).Flush()
		time.Sleep(e.eventInterval)
	}
}

func (e *departingEngine) isStopped() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped
}

func (e *departingEngine) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID, Target string
		Last       bool
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || call.ID != "a1" || !call.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.stopped = e.moveStatus == http.StatusOK || e.unframed
	e.moveTarget = call.Target
	e.mu.Unlock()
	w.WriteHeader(e.moveStatus)
	io.WriteString(w, `{"handle": "h7", "made": 4}`)
}

func (e *departingEngine) drop(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.droppedHandles = append(e.droppedHandles, r.PathValue("id"))
}

// startGatewayWithDepartingEngine starts the gateway of newGatewayWithDepartingEngine.
func startGatewayWithDepartingEngine(t *testing.T, departsIn time.Duration, engines ...*departingEngine) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(newGatewayWithDepartingEngine(t, departsIn, engines...))
	t.Cleanup(s.Close)
	return s
}

// newGatewayWithDepartingEngine returns a gateway with one route to engines that hold a
// model. Requests start on the first engine, which soon announces that it shuts down
// after the duration departsIn, or not at all if that is 0.
func newGatewayWithDepartingEngine(t *testing.T, departsIn time.Duration, engines ...*departingEngine) *Gateway {
	t.Helper()
	r := route.Route{Name: "r", Host: "h.example", Prefix: "/p/", Kind: route.Streaming, Attempts: 1, Timeout: 5 * time.Second, Split: []route.WeightedService{{Service: "s", Weight: 1}}}
	spec := &route.Engine{Slots: 8, WeightsMB: 10, Models: []route.Model{{Name: "m", WeightsMB: 5}}}
	table, err := route.Table{Revision: 1, Routes: []route.Route{r}, Services: []route.Service{{Name: "s", Engine: spec}}, Limits: route.Limits{MaxBodyBytes: 100, MaxHeaderBytes: 1000}}.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	known := &fleet.Fleet{Domain: "a"}
	report := func(i int, e *departingEngine) fleet.Report {
		return fleet.Report{Instance: fmt.Sprint("i", i), StartedMS: 1, Service: "s", Address: e.address(), Domain: "a", Running: 20 * i, CacheTokens: 1000, Models: []bamboostep.LoadedModel{{Name: "m"}}}
	}
	var listings []bamboostep.Listing
	for i, e := range engines {
		listings = append(listings, bamboostep.Listing{Instance: fmt.Sprint("i", i), StartedMS: 1, Service: "s", Address: e.address(), Domain: "a", SoftwareVersion: `"v1"`})
	}
	known.ApplyList(listings, time.Now())
	for i, e := range engines {
		known.ApplyReport(report(i, e), time.Now())
	}
	if departsIn > 0 {
		time.AfterFunc(50*time.Millisecond, func() {
			departing := report(0, engines[0])
			departing.Leaving, departing.RemainingMS = true, departsIn.Milliseconds()
			known.ApplyReport(departing, time.Now())
		})
	}
	budget := &dispatch.RetryBudget{}
	return &Gateway{
		Dialect:     platform.CacheMoveDialect{Client: http.DefaultClient},
		RouteTable:  func() *route.Table { return table },
		Fleet:       known,
		Pool:        &origin.Pool{Dialect: platform.HTTPDialect{}},
		Adapters:    noAdapters{},
		RetryBudget: func(string) *dispatch.RetryBudget { return budget },
		Recorder:    &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
	}
}

// sendToModel sends a request for the model. It returns the IDs of the events, the cache
// that the last event was generated from, and whether the stream was complete.
func sendToModel(t *testing.T, s *httptest.Server) (events []string, source string, complete bool) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.URL+"/p/x", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "a1")
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Request-Deadline", "4000")
	req.Header.Set("X-Token-Usage", "10,10")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(body)) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			events = append(events, strings.TrimSpace(id))
		}
		if from, ok := strings.CutPrefix(line, "data: "); ok {
			source = strings.TrimSpace(from)
		}
	}
	return events, source, err == nil
}

// TestStreamMovesFromDepartingEngine has an engine announce a shutdown while a stream
// that may not run twice is running and would not end in time. The stream must continue
// from its KV cache on the other engine, with each event exactly once.
func TestStreamMovesFromDepartingEngine(t *testing.T) {
	source := newDepartingEngine(t, 40, 30*time.Millisecond, http.StatusOK)
	target := newDepartingEngine(t, 40, time.Millisecond, http.StatusOK)
	s := startGatewayWithDepartingEngine(t, moveLeadTime+300*time.Millisecond, source, target)
	events, from, complete := sendToModel(t, s)
	if !complete || len(events) != 40 {
		t.Fatalf("got %d events (complete %v), want 40", len(events), complete)
	}
	for i, id := range events {
		if want := fmt.Sprint(i + 1); id != want {
			t.Fatalf("event %d: got ID %s, want %s", i, id, want)
		}
	}
	if want := source.address() + "/h7"; from != want {
		t.Errorf("cache of the last event: got %q, want %q", from, want)
	}
	if source.moveTarget != target.address() {
		t.Errorf("target of the move: got %q, want %q", source.moveTarget, target.address())
	}
}

// TestShortStreamIsNotMoved has a stream that ends before its engine shuts down.
func TestShortStreamIsNotMoved(t *testing.T) {
	source := newDepartingEngine(t, 5, 20*time.Millisecond, http.StatusOK)
	target := newDepartingEngine(t, 5, time.Millisecond, http.StatusOK)
	s := startGatewayWithDepartingEngine(t, moveLeadTime+time.Second, source, target)
	events, from, complete := sendToModel(t, s)
	if !complete || len(events) != 5 || from != "" || source.moveTarget != "" {
		t.Errorf("got %d events (complete %v) from cache %q, moved to %q; want 5 from the first engine, not moved", len(events), complete, from, source.moveTarget)
	}
}

// TestStreamContinuesIfMoveFails has the engine reject the move, or no other engine hold
// the model. The stream must continue on its engine.
func TestStreamContinuesIfMoveFails(t *testing.T) {
	for name, engines := range map[string][]*departingEngine{
		"move rejected":   {newDepartingEngine(t, 30, 20*time.Millisecond, http.StatusServiceUnavailable), newDepartingEngine(t, 30, time.Millisecond, http.StatusOK)},
		"no other engine": {newDepartingEngine(t, 30, 20*time.Millisecond, http.StatusOK)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startGatewayWithDepartingEngine(t, moveLeadTime+200*time.Millisecond, engines...)
			events, from, complete := sendToModel(t, s)
			if !complete || len(events) != 30 || from != "" {
				t.Errorf("got %d events (complete %v) from cache %q, want 30 from the first engine", len(events), complete, from)
			}
		})
	}
}

// TestStoppedUnframedStreamIsNotComplete has an engine close a stream in order, between events,
// since it was told to stop it. The stream must go on where it was moved to, and must not look
// complete if it could not be moved.
func TestStoppedUnframedStreamIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		moveStatus int
		complete   bool
	}{
		"moved":     {http.StatusOK, true},
		"not moved": {http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := newDepartingEngine(t, 40, 30*time.Millisecond, c.moveStatus)
			source.unframed = true
			target := newDepartingEngine(t, 40, time.Millisecond, http.StatusOK)
			s := startGatewayWithDepartingEngine(t, moveLeadTime+300*time.Millisecond, source, target)
			events, _, complete := sendToModel(t, s)
			if complete != c.complete || complete && len(events) != 40 || len(events) == 0 {
				t.Errorf("got %d events (complete %v), want complete %v with 40", len(events), complete, c.complete)
			}
		})
	}
}

// TestMovedStreamIsAbortedIfTargetRejectsIt has the engine that received the cache
// reject the request. The stream must be aborted, and not run again from the start.
func TestMovedStreamIsAbortedIfTargetRejectsIt(t *testing.T) {
	source := newDepartingEngine(t, 40, 30*time.Millisecond, http.StatusOK)
	target := newDepartingEngine(t, 40, time.Millisecond, http.StatusOK)
	target.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", "a1")
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s := startGatewayWithDepartingEngine(t, moveLeadTime+200*time.Millisecond, source, target)
	events, _, complete := sendToModel(t, s)
	if complete || len(events) >= 40 {
		t.Errorf("got %d events (complete %v), want an aborted stream", len(events), complete)
	}
}

// TestMovedCacheIsFreedAfterCallerDisconnect guards against a leaked KV cache: the
// caller disconnects while its stream is being moved.
func TestMovedCacheIsFreedAfterCallerDisconnect(t *testing.T) {
	source := newDepartingEngine(t, 1000, 10*time.Millisecond, http.StatusOK)
	x := &exchange{g: &Gateway{
		Dialect:  platform.CacheMoveDialect{Client: http.DefaultClient},
		Recorder: &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
	}}
	known := &fleet.Fleet{}
	known.ApplyList([]bamboostep.Listing{{Instance: "i", StartedMS: 1, Service: "s", Address: "b"}}, time.Now())
	to, err := known.Choose(time.Now(), fleet.Requirements{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	m := &streamMove{x: x, source: to, target: to, cache: bamboostep.MovedCache{Source: source.address(), Handle: "h7"}}
	m.discard()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		source.mu.Lock()
		n := len(source.droppedHandles)
		source.mu.Unlock()
		if n > 0 {
			break
		}
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	if len(source.droppedHandles) != 1 || source.droppedHandles[0] != "h7" {
		t.Errorf("caches freed: got %v, want h7", source.droppedHandles)
	}
}
