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

// goingEngine streams events until it is told to stop a request and move its cache.
type goingEngine struct {
	*httptest.Server
	last   int           // event
	pace   time.Duration // between events
	status int           // of its answer to a move

	mu      sync.Mutex
	stopped bool
	target  string // of the move
	dropped []string
}

func newGoingEngine(t *testing.T, last int, pace time.Duration, status int) *goingEngine {
	t.Helper()
	e := &goingEngine{last: last, pace: pace, status: status}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/kv-move", e.move)
	mux.HandleFunc("DELETE /-/kv-handle/{id}", e.drop)
	mux.HandleFunc("/p/", e.serve)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	return e
}

func (e *goingEngine) address() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *goingEngine) serve(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	from := 0
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Signature", r.Header.Get("Kv-From")+"signed")
	for n := from + 1; n <= e.last; n++ {
		e.mu.Lock()
		stopped := e.stopped
		e.mu.Unlock()
		if stopped {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, r.Header.Get("Kv-From"))
		http.NewResponseController(w).Flush()
		time.Sleep(e.pace)
	}
}

func (e *goingEngine) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID, Target string
		Last       bool
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || call.ID != "a1" || !call.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.stopped = e.status == http.StatusOK
	e.target = call.Target
	e.mu.Unlock()
	w.WriteHeader(e.status)
	io.WriteString(w, `{"handle": "h7", "made": 4}`)
}

func (e *goingEngine) drop(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropped = append(e.dropped, r.PathValue("id"))
}

// movingGateway serves one route to engines that hold a model. The first goes after a
// time; requests begin there.
func movingGateway(t *testing.T, goes time.Duration, engines ...*goingEngine) *httptest.Server {
	t.Helper()
	r := route.Route{Name: "r", Host: "h.example", Prefix: "/p/", Kind: route.Streaming, Attempts: 1, Timeout: 5 * time.Second, Split: []route.Share{{Service: "s", Weight: 1}}}
	spec := &route.Engine{Slots: 8, WeightsMB: 10, Models: []route.Model{{Name: "m", WeightsMB: 5}}}
	table, err := route.Table{Number: 1, Routes: []route.Route{r}, Services: []route.Service{{Name: "s", Engine: spec}}, Limits: route.Limits{BodyBytes: 100, HeaderBytes: 1000}}.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	known := &fleet.Fleet{Domain: "a"}
	report := func(i int, e *goingEngine) fleet.Report {
		return fleet.Report{Instance: fmt.Sprint("i", i), Born: 1, Service: "s", Address: e.address(), Domain: "a", Running: 20 * i, CacheTokens: 1000, Models: []bamboostep.HeldModel{{Name: "m"}}}
	}
	for i, e := range engines {
		known.NoteReport(report(i, e), time.Now())
	}
	time.AfterFunc(50*time.Millisecond, func() {
		going := report(0, engines[0])
		going.Leaving, going.LeftMS = true, goes.Milliseconds()
		known.NoteReport(going, time.Now())
	})
	budget := &dispatch.Budget{}
	g := &Gateway{
		Dialect:  platform.CacheMoves{Client: http.DefaultClient},
		Table:    func() *route.Table { return table },
		Fleet:    known,
		Pool:     &origin.Pool{Dialect: platform.HTTP{}},
		Adapters: noAdapters{},
		Budget:   func(string) *dispatch.Budget { return budget },
		Recorder: &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
	}
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return s
}

// sendToModel sends a request for the model, and returns the IDs of its events and
// whether the stream was whole.
func sendToModel(t *testing.T, s *httptest.Server) (events []string, source string, whole bool) {
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

// An engine goes in a moment, and a stream that may not run twice would not end in time.
// It goes on from its cache at the other engine, each event once.
func TestStreamMovesOffAnEngineThatGoes(t *testing.T) {
	source := newGoingEngine(t, 40, 30*time.Millisecond, http.StatusOK)
	target := newGoingEngine(t, 40, time.Millisecond, http.StatusOK)
	s := movingGateway(t, moveLead+300*time.Millisecond, source, target)
	events, from, whole := sendToModel(t, s)
	if !whole || len(events) != 40 {
		t.Fatalf("got %d events (whole %v), want 40", len(events), whole)
	}
	for i, id := range events {
		if want := fmt.Sprint(i + 1); id != want {
			t.Fatalf("event %d: got ID %s, want %s", i, id, want)
		}
	}
	if want := source.address() + "/h7"; from != want {
		t.Errorf("the last event is from cache %q, want %q", from, want)
	}
	if source.target != target.address() {
		t.Errorf("cache moved to %q, want %q", source.target, target.address())
	}
}

// A stream that ends before its engine goes stays there.
func TestShortStreamStays(t *testing.T) {
	source := newGoingEngine(t, 5, 20*time.Millisecond, http.StatusOK)
	target := newGoingEngine(t, 5, time.Millisecond, http.StatusOK)
	s := movingGateway(t, moveLead+time.Second, source, target)
	events, from, whole := sendToModel(t, s)
	if !whole || len(events) != 5 || from != "" || source.target != "" {
		t.Errorf("got %d events (whole %v) from cache %q, moved to %q; want 5 of the first engine, none moved", len(events), whole, from, source.target)
	}
}

// The engine refuses the move, or no other holds the model: the stream goes on where
// it is, as long as that lasts.
func TestStreamThatCannotMoveGoesOn(t *testing.T) {
	for name, engines := range map[string][]*goingEngine{
		"refused":         {newGoingEngine(t, 30, 20*time.Millisecond, http.StatusServiceUnavailable), newGoingEngine(t, 30, time.Millisecond, http.StatusOK)},
		"no other engine": {newGoingEngine(t, 30, 20*time.Millisecond, http.StatusOK)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := movingGateway(t, moveLead+200*time.Millisecond, engines...)
			events, from, whole := sendToModel(t, s)
			if !whole || len(events) != 30 || from != "" {
				t.Errorf("got %d events (whole %v) from cache %q, want 30 of the first engine", len(events), whole, from)
			}
		})
	}
}

// The engine that has the cache does not take the request: the stream breaks off
// visibly, and does not run anew.
func TestMovedStreamThatIsRefusedBreaksOff(t *testing.T) {
	source := newGoingEngine(t, 40, 30*time.Millisecond, http.StatusOK)
	target := newGoingEngine(t, 40, time.Millisecond, http.StatusOK)
	target.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", "a1")
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s := movingGateway(t, moveLead+200*time.Millisecond, source, target)
	events, _, whole := sendToModel(t, s)
	if whole || len(events) >= 40 {
		t.Errorf("got %d events (whole %v), want a stream that broke off", len(events), whole)
	}
}

// The caller leaves while its stream moves: the cache is freed.
func TestMovedCacheOfACallerThatLeftIsFreed(t *testing.T) {
	source := newGoingEngine(t, 1000, 10*time.Millisecond, http.StatusOK)
	x := &exchange{g: &Gateway{
		Dialect:  platform.CacheMoves{Client: http.DefaultClient},
		Recorder: &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
	}}
	known := &fleet.Fleet{}
	known.NoteList([]bamboostep.Listing{{Instance: "i", Born: 1, Service: "s", Address: "b"}}, time.Now())
	to, err := known.Choose(time.Now(), fleet.Want{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	m := &move{x: x, to: to, cache: bamboostep.MovedCache{Source: source.address(), Handle: "h7"}}
	m.drop()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		source.mu.Lock()
		n := len(source.dropped)
		source.mu.Unlock()
		if n > 0 {
			break
		}
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	if len(source.dropped) != 1 || source.dropped[0] != "h7" {
		t.Errorf("caches freed: got %v, want h7", source.dropped)
	}
}
