package gateway

import (
	"bufio"
	"context"
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
	"github.com/bamboostep/bamboostep/quarantine"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// fakeBackend is a backend server with configurable responses.
type fakeBackend struct {
	*httptest.Server
	mu     sync.Mutex
	runIDs []string // attempt IDs of the requests that it ran
}

func (s *fakeBackend) recordedRuns() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runIDs...)
}

// responder handles a request to a fakeBackend, after its body was read.
type responder func(w http.ResponseWriter, r *http.Request)

// respondWith returns a responder that sends a complete, signed response.
func respondWith(body string) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		io.WriteString(w, body)
	}
}

// respondWithStatus returns a responder that sends a signed response without a body.
func respondWithStatus(code int) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		w.WriteHeader(code)
	}
}

// resetConnection closes the connection without a response.
func resetConnection(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }

// rejectUnexecuted rejects the request and states that it did not run.
func rejectUnexecuted(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// streamEvents returns a responder that sends the events after Last-Event-Id up to
// number last. It breaks the connection in the middle of event number cut.
func streamEvents(last, cut int) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		w.Header().Set("X-Response-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := from + 1; n <= last; n++ {
			if n == cut {
				io.WriteString(w, "id: 9")
				http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", n, n)
			http.NewResponseController(w).Flush()
		}
	}
}

// newFakeBackend starts a backend server. If ran is set, it counts each request as run.
func newFakeBackend(t *testing.T, ran bool, a responder) *fakeBackend {
	t.Helper()
	s := &fakeBackend{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if ran {
			s.mu.Lock()
			s.runIDs = append(s.runIDs, r.Header.Get("X-Attempt-Id"))
			s.mu.Unlock()
		}
		a(w, r)
	}))
	s.Config.ErrorLog = nil
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// startGateway starts a gateway with one route to the given backend servers. As long as
// no load is known, they are selected in the given order.
func startGateway(t *testing.T, r route.Route, servers ...*fakeBackend) *httptest.Server {
	t.Helper()
	return startGatewayWithRecorder(t, &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}, r, servers...)
}

// startGatewayWithRecorder is startGateway with an event recorder supplied by the test.
func startGatewayWithRecorder(t *testing.T, recorder *timeline.Recorder, r route.Route, servers ...*fakeBackend) *httptest.Server {
	t.Helper()
	table, known := newTableAndFleet(t, r, servers...)
	return serveGateway(t, &dispatch.RetryBudget{}, recorder, table, known)
}

// newTableAndFleet returns a routing table with one route, and the fleet of its backend
// servers.
func newTableAndFleet(t *testing.T, r route.Route, servers ...*fakeBackend) (*route.Table, *fleet.Fleet) {
	t.Helper()
	r.Name, r.Host, r.Prefix = "r", "h.example", "/p/"
	r.Split = []route.WeightedService{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 3 * time.Second
	}
	table, err := route.Table{Revision: 1, Routes: []route.Route{r}, Services: []route.Service{{Name: "s"}}, Limits: route.Limits{MaxBodyBytes: 100, MaxHeaderBytes: 1000}}.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	known := &fleet.Fleet{Domain: "a"}
	var listings []bamboostep.Listing
	for i, s := range servers {
		listings = append(listings, bamboostep.Listing{Instance: fmt.Sprintf("i%d", i), StartedMS: 1, Service: "s", Address: strings.TrimPrefix(s.URL, "http://"), Domain: "a", Slots: 8, SoftwareVersion: `"v1"`})
	}
	known.ApplyList(listings, time.Now())
	return table, known
}

func serveGateway(t *testing.T, budget *dispatch.RetryBudget, recorder *timeline.Recorder, table *route.Table, known *fleet.Fleet) *httptest.Server {
	t.Helper()
	return serveGatewayWithGuard(t, newSingleEntryGuard(recorder), budget, recorder, table, known)
}

// newSingleEntryGuard returns the quarantine guard of a deployment with one entry.
func newSingleEntryGuard(recorder *timeline.Recorder) *quarantine.Guard {
	return &quarantine.Guard{Table: &quarantine.Table{}, Broadcast: func(quarantine.Observations) {}, RequestTrial: func(context.Context, quarantine.SuspectID) bool { return true }, Recorder: recorder}
}

func serveGatewayWithGuard(t *testing.T, guard *quarantine.Guard, budget *dispatch.RetryBudget, recorder *timeline.Recorder, table *route.Table, known *fleet.Fleet) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(newGateway(guard, budget, recorder, table, known))
	t.Cleanup(s.Close)
	return s
}

func newGateway(guard *quarantine.Guard, budget *dispatch.RetryBudget, recorder *timeline.Recorder, table *route.Table, known *fleet.Fleet) *Gateway {
	return &Gateway{
		Dialect:     platform.HTTPDialect{},
		RouteTable:  func() *route.Table { return table },
		Fleet:       known,
		Pool:        &origin.Pool{Dialect: platform.HTTPDialect{}},
		Adapters:    noAdapters{},
		RetryBudget: func(string) *dispatch.RetryBudget { return budget },
		Quarantine:  guard,
		Recorder:    recorder,
	}
}

type noAdapters struct{}

func (noAdapters) LoadAdapter(context.Context, string, fleet.ModelName) error { return nil }

func send(t *testing.T, s *httptest.Server, path, body string) (*http.Response, string, error) {
	t.Helper()
	return sendWithID(t, s, "a1", path, body)
}

// sendWithID is send with a given attempt ID.
func sendWithID(t *testing.T, s *httptest.Server, id, path, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Request-Deadline", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// TestStatusMatchesPossibleRuns guards against a status that contradicts what may have
// run, for example a 503 after a run. Two backend servers fail the request in the same
// way.
func TestStatusMatchesPossibleRuns(t *testing.T) {
	for name, c := range map[string]struct {
		kind     route.Kind
		attempts int
		ran      bool
		respond  responder
		status   int
		runs     int // upper bound, over all backend servers
	}{
		"rejected, not repeatable":     {route.NonIdempotent, 1, false, rejectUnexecuted, 503, 0},
		"rejected, repeatable":         {route.Idempotent, 2, false, rejectUnexecuted, 503, 0},
		"reset, not repeatable":        {route.NonIdempotent, 1, true, resetConnection, 502, 1},
		"reset, repeatable":            {route.Idempotent, 2, true, resetConnection, 502, 2},
		"failure, not repeatable":      {route.NonIdempotent, 1, true, respondWithStatus(500), 500, 1},
		"failure, repeatable":          {route.Idempotent, 2, true, respondWithStatus(500), 500, 2},
		"failure, one attempt":         {route.Idempotent, 1, true, respondWithStatus(500), 500, 1},
		"no signature, not repeatable": {route.NonIdempotent, 1, true, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "x") }, 502, 1},
		"reset of a stream, no events": {route.Streaming, 1, true, resetConnection, 502, 1},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeBackend(t, c.ran, c.respond), newFakeBackend(t, c.ran, c.respond)
			s := startGateway(t, route.Route{Kind: c.kind, Attempts: c.attempts}, a, b)
			resp, _, err := send(t, s, "/p/x", "")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status {
				t.Errorf("status: got %d, want %d", resp.StatusCode, c.status)
			}
			if got := len(a.recordedRuns()) + len(b.recordedRuns()); got > c.runs {
				t.Errorf("runs: got %d, want at most %d", got, c.runs)
			}
			if own := resp.Header.Get("X-Response-Signature") == ""; own != (c.status != 500) {
				t.Errorf("response was generated by the gateway: got %v", own)
			}
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("Retry-After: got none")
			}
		})
	}
}

// TestRequestIsRetriedOnAnotherServer has one backend server reject or fail the request,
// and the other serve it.
func TestRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, c := range map[string]struct {
		kind  route.Kind
		first responder
		ran   bool
	}{
		"rejected, not repeatable": {route.NonIdempotent, rejectUnexecuted, false},
		"rejected, stream":         {route.Streaming, rejectUnexecuted, false},
		"reset, repeatable":        {route.Idempotent, resetConnection, true},
		"failure, repeatable":      {route.Idempotent, respondWithStatus(500), true},
		"truncated, repeatable": {route.Idempotent, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "9")
			w.Header().Set("X-Response-Signature", "s")
			io.WriteString(w, "x")
			panic(http.ErrAbortHandler)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeBackend(t, c.ran, c.first), newFakeBackend(t, true, respondWith("ok"))
			s := startGateway(t, route.Route{Kind: c.kind, Attempts: 2}, a, b)
			for range 4 {
				resp, body, err := send(t, s, "/p/x", "")
				if err != nil || resp.StatusCode != 200 || body != "ok" {
					t.Errorf("response: got %v, %q, %v", resp, body, err)
				}
			}
		})
	}
}

// TestStreamResumesOnAnotherServer breaks a stream in the middle of an event: the caller
// must get each event exactly once.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	a, b := newFakeBackend(t, true, streamEvents(5, 3)), newFakeBackend(t, true, streamEvents(5, 0))
	s := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, a, b)
	want := ""
	for n := 1; n <= 5; n++ {
		want += fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n)
	}
	for range 3 {
		if _, body, err := send(t, s, "/p/x", ""); err != nil || body != want {
			t.Errorf("stream: got %q, %v", body, err)
		}
	}
}

// TestNonResumableStreamIsAborted guards against a broken stream that looks complete to
// the caller, and against a second run.
func TestNonResumableStreamIsAborted(t *testing.T) {
	a, b := newFakeBackend(t, true, streamEvents(5, 3)), newFakeBackend(t, true, streamEvents(5, 3))
	s := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 2}, a, b)
	_, body, err := send(t, s, "/p/x", "")
	if err == nil {
		t.Errorf("stream: got %q and no error, want an error", body)
	}
	if got := len(a.recordedRuns()) + len(b.recordedRuns()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

func TestRequestLimits(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		status     int
	}{
		"no route":       {"/q/x", "", 404},
		"head too large": {"/p/" + strings.Repeat("x", 1000), "", 431},
		"body too large": {"/p/x", strings.Repeat("x", 101), 413},
		"at the limit":   {"/p/x", strings.Repeat("x", 100), 200},
	} {
		t.Run(name, func(t *testing.T) {
			s := startGateway(t, route.Route{Kind: route.Idempotent, Attempts: 1}, newFakeBackend(t, true, respondWith("ok")))
			resp, _, err := send(t, s, c.path, c.body)
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("response: got %v, %v, want status %d", resp, err, c.status)
			}
		})
	}
}

// TestCallerDisconnectCancelsRun guards against a run that continues on the backend
// server after its caller has disconnected.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	ended := make(chan struct{})
	a := newFakeBackend(t, true, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		io.WriteString(w, "id: 1\ndata: x\n\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	})
	s := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 1}, a)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "a1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := bufio.NewReader(resp.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("backend server is still running the request")
	}
}

// TestLeavingOrRestingServerGetsNoMoreRequests has a backend server announce, in any
// kind of response, that it is shutting down or wants no requests for a while. Later
// requests must not be sent to it.
func TestLeavingOrRestingServerGetsNoMoreRequests(t *testing.T) {
	leaving := func(a responder) responder {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			a(w, r)
		}
	}
	for name, c := range map[string]struct {
		kind  route.Kind
		first responder
	}{
		"plain response": {route.Idempotent, leaving(respondWith("ok"))},
		"stream":         {route.Streaming, leaving(streamEvents(3, 0))},
		"rejection":      {route.Streaming, leaving(rejectUnexecuted)},
		"failure":        {route.NonIdempotent, leaving(respondWithStatus(500))},
		"rejection with Retry-After": {route.NonIdempotent, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Retry-After", "60.5")
			rejectUnexecuted(w, r)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeBackend(t, true, c.first)
			g := startGateway(t, route.Route{Kind: c.kind, Attempts: 1}, s)
			for range 4 {
				if _, _, err := send(t, g, "/p/x", ""); err != nil {
					t.Fatal(err)
				}
			}
			if got := len(s.recordedRuns()); got != 1 {
				t.Errorf("requests received: got %d, want 1", got)
			}
		})
	}
}

// TestRetryBudgetIsChargedOncePerSend has one backend server reject the request, a
// second one be unreachable, and a third one serve it. The request was sent once more,
// so it must cost one retry, not two.
func TestRetryBudgetIsChargedOncePerSend(t *testing.T) {
	rejecting, unreachable, serving := newFakeBackend(t, false, rejectUnexecuted), newFakeBackend(t, false, rejectUnexecuted), newFakeBackend(t, true, respondWith("ok"))
	unreachable.Close()
	table, known := newTableAndFleet(t, route.Route{Kind: route.Idempotent, Attempts: 2}, rejecting, unreachable, serving)
	budget := &dispatch.RetryBudget{Share: 1e-9, PerSecond: 1e-9, Burst: 1}
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	s := serveGateway(t, budget, recorder, table, known)
	if resp, body, err := send(t, s, "/p/x", ""); err != nil || resp.StatusCode != 200 || body != "ok" {
		t.Errorf("response: got %v, %q, %v, want ok", resp, body, err)
	}
	if left := budget.Available(time.Now()); left > 0.5 {
		t.Errorf("retries left: got %.1f, want none", left)
	}
}

// TestFailedResumeAbortsStream has the backend server of a stream fail, and the one that
// the stream is resumed on respond with an error status. The stream must not look
// complete.
func TestFailedResumeAbortsStream(t *testing.T) {
	for name, code := range map[string]int{"failure": 500, "not found": 404, "timeout": 504} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakeBackend(t, true, streamEvents(5, 3)), newFakeBackend(t, true, respondWithStatus(code))
			s := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, a, b)
			if _, body, err := send(t, s, "/p/x", ""); err == nil {
				t.Errorf("stream: got %q without an error, want an aborted stream", body)
			}
			if got := len(b.recordedRuns()); got != 1 {
				t.Errorf("runs on the second backend server: got %d, want 1", got)
			}
		})
	}
}
