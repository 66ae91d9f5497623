package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
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
	g.ServerLimits = &quota.ServerLimiter{Voters: func() ([]quota.LimitVoter, int) { return nil, 0 }, EntryCount: func() int { return 1 }, Recorder: recorder}
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return s
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
