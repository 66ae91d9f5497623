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

// standIn is a backend server whose answers a test chooses.
type standIn struct {
	*httptest.Server
	mu   sync.Mutex
	runs []string // requests that it ran, by ID
}

func (s *standIn) ran() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runs...)
}

// answer is what a standIn does with a request.
type answer func(w http.ResponseWriter, r *http.Request)

func whole(body string) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		io.WriteString(w, body)
	}
}

func status(code int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		w.WriteHeader(code)
	}
}

func reset(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }

// full refuses without running the request.
func full(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// events sends events from the one after Last-Event-Id, and breaks off before the
// event with the number cut.
func events(last, cut int) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		w.Header().Set("X-Response-Signature", "s")
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

func newStandIn(t *testing.T, ran bool, a answer) *standIn {
	t.Helper()
	s := &standIn{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if ran {
			s.mu.Lock()
			s.runs = append(s.runs, r.Header.Get("X-Attempt-Id"))
			s.mu.Unlock()
		}
		a(w, r)
	}))
	s.Config.ErrorLog = nil
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// testGateway serves one route to the given backend servers, which are chosen in
// their order while nothing is known of them.
func testGateway(t *testing.T, r route.Route, servers ...*standIn) *httptest.Server {
	t.Helper()
	return testGatewayWith(t, &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}, r, servers...)
}

// testGatewayWith is testGateway with a recorder of the test's own.
func testGatewayWith(t *testing.T, recorder *timeline.Recorder, r route.Route, servers ...*standIn) *httptest.Server {
	t.Helper()
	table, known := testRoutes(t, r, servers...)
	return serveGateway(t, &dispatch.Budget{}, recorder, table, known)
}

// testRoutes returns a table of one route, and the fleet of its backend servers.
func testRoutes(t *testing.T, r route.Route, servers ...*standIn) (*route.Table, *fleet.Fleet) {
	t.Helper()
	r.Name, r.Host, r.Prefix = "r", "h.example", "/p/"
	r.Split = []route.Share{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 3 * time.Second
	}
	table, err := route.Table{Number: 1, Routes: []route.Route{r}, Services: []route.Service{{Name: "s"}}, Limits: route.Limits{BodyBytes: 100, HeaderBytes: 1000}}.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	known := &fleet.Fleet{Domain: "a"}
	var listings []bamboostep.Listing
	for i, s := range servers {
		listings = append(listings, bamboostep.Listing{Instance: fmt.Sprintf("i%d", i), Born: 1, Service: "s", Address: strings.TrimPrefix(s.URL, "http://"), Domain: "a", Slots: 8})
	}
	known.NoteList(listings, time.Now())
	return table, known
}

func serveGateway(t *testing.T, budget *dispatch.Budget, recorder *timeline.Recorder, table *route.Table, known *fleet.Fleet) *httptest.Server {
	t.Helper()
	return serveGuarded(t, guardAlone(recorder), budget, recorder, table, known)
}

// guardAlone is the guard of an entry that is the only one.
func guardAlone(recorder *timeline.Recorder) *quarantine.Guard {
	return &quarantine.Guard{Table: &quarantine.Table{}, Tell: func([]quarantine.Record) {}, Try: func(context.Context, uint64) bool { return true }, Recorder: recorder}
}

func serveGuarded(t *testing.T, guard *quarantine.Guard, budget *dispatch.Budget, recorder *timeline.Recorder, table *route.Table, known *fleet.Fleet) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(newGateway(guard, budget, recorder, table, known))
	t.Cleanup(s.Close)
	return s
}

func newGateway(guard *quarantine.Guard, budget *dispatch.Budget, recorder *timeline.Recorder, table *route.Table, known *fleet.Fleet) *Gateway {
	return &Gateway{
		Dialect:  platform.HTTP{},
		Table:    func() *route.Table { return table },
		Fleet:    known,
		Pool:     &origin.Pool{Dialect: platform.HTTP{}},
		Adapters: noAdapters{},
		Budget:   func(string) *dispatch.Budget { return budget },
		Guard:    guard,
		Recorder: recorder,
	}
}

type noAdapters struct{}

func (noAdapters) LoadAdapter(context.Context, string, fleet.ModelName) error { return nil }

func send(t *testing.T, s *httptest.Server, path, body string) (*http.Response, string, error) {
	t.Helper()
	return sendCall(t, s, "a1", path, body)
}

// sendCall is send under an ID of the test's own.
func sendCall(t *testing.T, s *httptest.Server, id, path, body string) (*http.Response, string, error) {
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

// TestWhatMayRun is one request and two backend servers, both of which fail it in one
// way: what the caller is told must agree with what may have run.
func TestWhatMayRun(t *testing.T) {
	for name, c := range map[string]struct {
		kind     route.Kind
		attempts int
		ran      bool
		answer   answer
		status   int
		runs     int // at most, over all backend servers
	}{
		"full, not repeatable":          {route.NonIdempotent, 1, false, full, 503, 0},
		"full, repeatable":              {route.Idempotent, 2, false, full, 503, 0},
		"reset, not repeatable":         {route.NonIdempotent, 1, true, reset, 502, 1},
		"reset, repeatable":             {route.Idempotent, 2, true, reset, 502, 2},
		"failure, not repeatable":       {route.NonIdempotent, 1, true, status(500), 500, 1},
		"failure, repeatable":           {route.Idempotent, 2, true, status(500), 500, 2},
		"failure, one attempt":          {route.Idempotent, 1, true, status(500), 500, 1},
		"no signature, not repeatable":  {route.NonIdempotent, 1, true, func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "x") }, 502, 1},
		"reset of a stream, before all": {route.Streaming, 1, true, reset, 502, 1},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newStandIn(t, c.ran, c.answer), newStandIn(t, c.ran, c.answer)
			s := testGateway(t, route.Route{Kind: c.kind, Attempts: c.attempts}, a, b)
			resp, _, err := send(t, s, "/p/x", "")
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status {
				t.Errorf("status: got %d, want %d", resp.StatusCode, c.status)
			}
			if got := len(a.ran()) + len(b.ran()); got > c.runs {
				t.Errorf("runs: got %d, want at most %d", got, c.runs)
			}
			if own := resp.Header.Get("X-Response-Signature") == ""; own != (c.status != 500) {
				t.Errorf("answer is the gateway's own: got %v", own)
			}
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("Retry-After: got none")
			}
		})
	}
}

// TestGoesOnElsewhere is a request that one backend server does not run or fails and
// the other serves.
func TestGoesOnElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		kind  route.Kind
		first answer
		ran   bool
	}{
		"full, not repeatable": {route.NonIdempotent, full, false},
		"full, stream":         {route.Streaming, full, false},
		"reset, repeatable":    {route.Idempotent, reset, true},
		"failure, repeatable":  {route.Idempotent, status(500), true},
		"cut, repeatable": {route.Idempotent, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "9")
			w.Header().Set("X-Response-Signature", "s")
			io.WriteString(w, "x")
			panic(http.ErrAbortHandler)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newStandIn(t, c.ran, c.first), newStandIn(t, true, whole("ok"))
			s := testGateway(t, route.Route{Kind: c.kind, Attempts: 2}, a, b)
			for range 4 {
				resp, body, err := send(t, s, "/p/x", "")
				if err != nil || resp.StatusCode != 200 || body != "ok" {
					t.Errorf("answer: got %v, %q, %v", resp, body, err)
				}
			}
		})
	}
}

// TestStreamGoesOnElsewhere is a stream that breaks off in the middle of an event:
// the caller gets each event once.
func TestStreamGoesOnElsewhere(t *testing.T) {
	a, b := newStandIn(t, true, events(5, 3)), newStandIn(t, true, events(5, 0))
	s := testGateway(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, a, b)
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

// TestStreamThatMayNotGoOn must not look whole.
func TestStreamThatMayNotGoOn(t *testing.T) {
	a, b := newStandIn(t, true, events(5, 3)), newStandIn(t, true, events(5, 3))
	s := testGateway(t, route.Route{Kind: route.Streaming, Attempts: 2}, a, b)
	_, body, err := send(t, s, "/p/x", "")
	if err == nil {
		t.Errorf("stream: got %q and no error, want a broken one", body)
	}
	if got := len(a.ran()) + len(b.ran()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

func TestRefusedRequests(t *testing.T) {
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
			s := testGateway(t, route.Route{Kind: route.Idempotent, Attempts: 1}, newStandIn(t, true, whole("ok")))
			resp, _, err := send(t, s, c.path, c.body)
			if err != nil || resp.StatusCode != c.status {
				t.Errorf("answer: got %v, %v, want status %d", resp, err, c.status)
			}
		})
	}
}

// TestCallerLeavesStream must end the run at the backend server.
func TestCallerLeavesStream(t *testing.T) {
	ended := make(chan struct{})
	a := newStandIn(t, true, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		io.WriteString(w, "id: 1\ndata: x\n\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(ended)
	})
	s := testGateway(t, route.Route{Kind: route.Streaming, Attempts: 1}, a)
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
		t.Error("the backend server is still at work")
	}
}

func TestLastEventEnd(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		end  int
	}{
		"none":         {"id: 1\nda", 0},
		"one":          {"id: 1\n\nid", 7},
		"two":          {"id: 1\n\nid: 2\n\n", 14},
		"line returns": {"id: 1\r\n\r\nid", 9},
	} {
		t.Run(name, func(t *testing.T) {
			if got := lastEventEnd([]byte(c.text)); got != c.end {
				t.Errorf("end: got %d, want %d", got, c.end)
			}
		})
	}
}

// TestServerThatLeavesOrRests is a backend server that says in an answer, whichever it
// is, that it takes no more from this entry: the next requests go elsewhere or are
// refused.
func TestServerThatLeavesOrRests(t *testing.T) {
	leaving := func(a answer) answer {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Server-Leaving", "1")
			a(w, r)
		}
	}
	for name, c := range map[string]struct {
		kind  route.Kind
		first answer
	}{
		"plain answer": {route.Idempotent, leaving(whole("ok"))},
		"stream":       {route.Streaming, leaving(events(3, 0))},
		"refusal":      {route.Streaming, leaving(full)},
		"failure":      {route.NonIdempotent, leaving(status(500))},
		"refusal that says how long": {route.NonIdempotent, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Retry-After", "60.5")
			full(w, r)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandIn(t, true, c.first)
			g := testGateway(t, route.Route{Kind: c.kind, Attempts: 1}, s)
			for range 4 {
				if _, _, err := send(t, g, "/p/x", ""); err != nil {
					t.Fatal(err)
				}
			}
			if got := len(s.ran()); got != 1 {
				t.Errorf("requests that reached it: got %d, want 1", got)
			}
		})
	}
}

// TestRetryIsPaidOnce is a request that one backend server refuses, a second cannot take
// and the third serves. It was sent once more, so it costs one retry and not two.
func TestRetryIsPaidOnce(t *testing.T) {
	refuses, gone, serves := newStandIn(t, false, full), newStandIn(t, false, full), newStandIn(t, true, whole("ok"))
	gone.Close()
	table, known := testRoutes(t, route.Route{Kind: route.Idempotent, Attempts: 2}, refuses, gone, serves)
	budget := &dispatch.Budget{Share: 1e-9, PerSecond: 1e-9, Burst: 1}
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	s := serveGateway(t, budget, recorder, table, known)
	if resp, body, err := send(t, s, "/p/x", ""); err != nil || resp.StatusCode != 200 || body != "ok" {
		t.Errorf("answer: got %v, %q, %v, want ok", resp, body, err)
	}
	if left := budget.Left(time.Now()); left > 0.5 {
		t.Errorf("retries left: got %.1f, want none", left)
	}
}

// TestStreamThatFailsElsewhere is a stream whose backend server dies, and that another, to
// which it goes on, answers with a failure: it must not look whole.
func TestStreamThatFailsElsewhere(t *testing.T) {
	for name, code := range map[string]int{"failure": 500, "not found": 404, "timeout": 504} {
		t.Run(name, func(t *testing.T) {
			a, b := newStandIn(t, true, events(5, 3)), newStandIn(t, true, status(code))
			s := testGateway(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, a, b)
			if _, body, err := send(t, s, "/p/x", ""); err == nil {
				t.Errorf("stream: got %q as if it were whole, want a broken one", body)
			}
			if got := len(b.ran()); got != 1 {
				t.Errorf("runs at the second: got %d, want 1", got)
			}
		})
	}
}
