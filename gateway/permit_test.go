package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/quota"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// naming returns a responder that names a limit in each answer of another one.
func naming(limit string, next responder) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Limit", limit)
		next(w, r)
	}
}

// startLimitedGateway starts the gateway of the only entry, which has no voters to ask and so
// keeps the whole limit by itself.
func startLimitedGateway(t *testing.T, r route.Route, servers ...*fakeBackend) *httptest.Server {
	t.Helper()
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	table, known := newTableAndFleet(t, r, servers...)
	g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{Burst: 1000}, recorder, table, known)
	g.ServerLimits = newOnlyLimiter(recorder)
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return s
}

// newOnlyLimiter returns the limiter of an entry that is the only one and has no voters.
func newOnlyLimiter(recorder *timeline.Recorder) *quota.ServerLimiter {
	return &quota.ServerLimiter{Voters: func() ([]quota.LimitVoter, int) { return nil, 0 }, EntryCount: func() int { return 1 }, Recorder: recorder}
}

// nameLimit has the limiter of g learn a limit of engine number i.
func nameLimit(g *Gateway, i int, perSecond float64) {
	l := bamboostep.RequestLimit{Named: true, Readable: true, PerSecond: perSecond}
	g.ServerLimits.Observe(quota.ServerID{Instance: fmt.Sprint("i", i), StartedMS: 1}, "address", l, time.Now(), time.Now())
}

// sendMany sends n requests at an interval and returns the responses, nil for none.
func sendMany(t *testing.T, s *httptest.Server, n int, interval time.Duration) []*http.Response {
	t.Helper()
	responses := make([]*http.Response, n)
	var sent sync.WaitGroup
	for i := range n {
		sent.Go(func() { responses[i], _, _ = sendWithID(t, s, fmt.Sprint("a", i), "/p/x", "body") })
		time.Sleep(interval)
	}
	sent.Wait()
	return responses
}

// TestRepeatsAndResumptionsTakePermits guards against arrivals at a limited backend server that
// are no first sends and go beyond its limit (issue 28).
func TestRepeatsAndResumptionsTakePermits(t *testing.T) {
	const limit, requests = 2.0, 60
	for name, c := range map[string]struct {
		route            route.Route
		limited, another responder
		limitedFirst     bool
	}{
		"repeats after an error": {
			route.Route{Kind: route.Idempotent, Attempts: 2}, respondWith("whole"), respondWithStatus(http.StatusInternalServerError), false},
		"repeats after a reset": {
			route.Route{Kind: route.Idempotent, Attempts: 2}, respondWith("whole"), resetConnection, false},
		"refusals for load": {
			route.Route{Kind: route.NonIdempotent, Attempts: 2}, rejectUnexecuted, respondWith("whole"), true},
		"resumed streams": {
			route.Route{Kind: route.Streaming, Resumable: true, Attempts: 2}, streamEvents(4, 0), streamEvents(4, 3), false},
	} {
		t.Run(name, func(t *testing.T) {
			limited := newFakeBackend(t, true, naming("2", c.limited))
			servers := []*fakeBackend{newFakeBackend(t, true, c.another), limited}
			if c.limitedFirst {
				servers[0], servers[1] = servers[1], servers[0]
			}
			s := startLimitedGateway(t, c.route, servers...)
			began := time.Now()
			sendMany(t, s, requests, 25*time.Millisecond)
			took := time.Since(began)
			if got, want := len(limited.recordedRuns()), int(limit*took.Seconds())+2; got > want || got == 0 {
				t.Errorf("arrivals in %v at a limit of 2 a second: got %d, want 1 to %d", took.Round(time.Millisecond), got, want)
			}
		})
	}
}

// TestRequestsGoElsewhereAtServerLimit guards against requests that wait or are refused at a
// limited backend server while another one could serve them.
func TestRequestsGoElsewhereAtServerLimit(t *testing.T) {
	for _, limit := range []string{"0", "0.25", "3"} {
		t.Run(limit, func(t *testing.T) {
			s := startLimitedGateway(t, route.Route{Kind: route.NonIdempotent, Attempts: 1},
				newFakeBackend(t, true, naming(limit, respondWith("limited"))), newFakeBackend(t, true, respondWith("free")))
			began := time.Now()
			for i, resp := range sendMany(t, s, 40, 10*time.Millisecond) {
				if resp == nil || resp.StatusCode != http.StatusOK {
					t.Errorf("request %d: got %v, want status 200", i, resp)
				}
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("40 requests, sent within 0.4 s: got %v, want none to wait for a permit", took)
			}
		})
	}
}

// TestRequestsBeyondServerLimitAreRefusedAtOnce sends many times the limit of the only backend
// server: what fits waits in line, and the rest gets 503 at once, was not run, and is told
// when to come back.
func TestRequestsBeyondServerLimitAreRefusedAtOnce(t *testing.T) {
	limited := newFakeBackend(t, true, naming("4", respondWith("whole")))
	s := startLimitedGateway(t, route.Route{Kind: route.NonIdempotent, Attempts: 1}, limited)
	sendMany(t, s, 1, 0)
	began := time.Now()
	served := 1
	for i, resp := range sendMany(t, s, 40, 5*time.Millisecond) {
		switch {
		case resp == nil:
			t.Errorf("request %d: got no response", i)
		case resp.StatusCode == http.StatusOK:
			served++
		case resp.StatusCode != http.StatusServiceUnavailable:
			t.Errorf("request %d: got status %d, want 200 or 503", i, resp.StatusCode)
		default:
			if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < 0.2 || after > 3 {
				t.Errorf("request %d: got Retry-After %q, want 0.2 to 3 s", i, resp.Header.Get("Retry-After"))
			}
		}
	}
	if got := len(limited.recordedRuns()); got != served {
		t.Errorf("arrivals: got %d, want %d, as many as were served", got, served)
	}
	if served < 4 || served > 8 {
		t.Errorf("served of 40 requests at a limit of 4 a second: got %d, want those of about a second", served)
	}
	if took := time.Since(began); took > 1700*time.Millisecond {
		t.Errorf("40 requests, sent within 0.2 s: got answers for %v, want the line to be about a second long", took)
	}
}

// TestMoveGoesPastLimitedEngine guards against a moved stream that reaches an engine whose
// limit is used up. It must move to the next best one, and be whole.
func TestMoveGoesPastLimitedEngine(t *testing.T) {
	source := newDepartingEngine(t, 40, 30*time.Millisecond, http.StatusOK)
	limited := newDepartingEngine(t, 40, time.Millisecond, http.StatusOK)
	free := newDepartingEngine(t, 40, time.Millisecond, http.StatusOK)
	g := newGatewayWithDepartingEngine(t, moveLeadTime+300*time.Millisecond, source, limited, free)
	g.ServerLimits = newOnlyLimiter(g.Recorder)
	nameLimit(g, 1, 0.1)
	s := httptest.NewServer(g)
	defer s.Close()
	events, from, complete := sendToModel(t, s)
	if !complete || len(events) != 40 || from != source.address()+"/h7" {
		t.Errorf("stream: got %d events (complete %v) from %q, want 40 from the moved cache", len(events), complete, from)
	}
	if source.moveTarget != free.address() {
		t.Errorf("target of the move: got %q, want %q, which names no limit", source.moveTarget, free.address())
	}
}

// countingAdapters counts the adapter loads, which never make an adapter known as loaded.
type countingAdapters struct{ loads *atomic.Int32 }

func (a countingAdapters) LoadAdapter(context.Context, string, fleet.ModelName) error {
	a.loads.Add(1)
	return nil
}

// TestAdapterLoadsTakePermits guards against orders that load adapters on a limited engine
// beside as many requests as its limit allows.
func TestAdapterLoadsTakePermits(t *testing.T) {
	const limit, requests = 4.0, 50
	engine := newDepartingEngine(t, 2, time.Millisecond, http.StatusOK)
	engine.Config.Handler = http.HandlerFunc(naming("4", engine.Config.Handler.ServeHTTP))
	g := newGatewayWithDepartingEngine(t, 0, engine)
	var loads atomic.Int32
	g.Adapters = countingAdapters{&loads}
	g.ServerLimits = newOnlyLimiter(g.Recorder)
	nameLimit(g, 0, limit)
	s := httptest.NewServer(g)
	defer s.Close()
	began := time.Now()
	served := 0
	for range requests {
		req := httptest.NewRequest(http.MethodPost, "/p/x", nil)
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", "a1")
		req.Header.Set("X-Model", "m/a")
		req.Header.Set("X-Request-Deadline", "100")
		req.Header.Set("X-Token-Usage", "10,10")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, req)
		if w.Code == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(began)
	if got, want := served+int(loads.Load()), int(limit*took.Seconds())+2; got > want || served == 0 {
		t.Errorf("arrivals in %v at a limit of 4 a second: got %d requests and %d loads, want both, at most %d together", took.Round(time.Millisecond), served, loads.Load(), want)
	}
}
