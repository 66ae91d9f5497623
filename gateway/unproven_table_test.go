package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// fakeProof is a RouteProof. While it is not recent, onAsk tells whether the table can be confirmed, and may replace it.
type fakeProof struct {
	recent bool
	onAsk  func() bool
	asked  atomic.Int32
}

func (p *fakeProof) Current() time.Time { return time.Now().Add(-time.Hour) }

func (p *fakeProof) Source() string { return "voter" }

func (p *fakeProof) ConfirmApplied(context.Context, time.Time) bool {
	p.asked.Add(1)
	return p.recent || p.onAsk()
}

// Guards against requests that are refused as unknown, with 404 or 401, for a route or a key that was acknowledged: an entry that is behind must
// find out whether it is, and refuse with 503 while it can't (issue 44).
func TestOnlyNewestTableSaysUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		path, key   string
		recent      bool // the table is known to be the newest
		confirmable bool // voters say that it is
		newer       bool // there is a newer one, with the route and the key
		status      int
		asks        bool
	}{
		"known route and key":                            {path: "/p/x", key: testKey, status: 200},
		"unknown route, newest table":                    {path: "/q/x", key: testKey, recent: true, status: 404, asks: true},
		"unknown route, confirmed table":                 {path: "/q/x", key: testKey, confirmable: true, status: 404, asks: true},
		"unknown route, newer table":                     {path: "/q/x", key: testKey, confirmable: true, newer: true, status: 200, asks: true},
		"unknown route, table that can't be confirmed":   {path: "/q/x", key: testKey, status: 503, asks: true},
		"unknown key, newest table":                      {path: "/p/x", key: "new", recent: true, status: 401, asks: true},
		"unknown key, newer table":                       {path: "/p/x", key: "new", confirmable: true, newer: true, status: 200, asks: true},
		"unknown key, table that can't be confirmed":     {path: "/p/x", key: "new", status: 503, asks: true},
		"unknown key and route, newer table":             {path: "/q/x", key: "new", confirmable: true, newer: true, status: 200, asks: true},
		"unknown key, newer table that hasn't it either": {path: "/p/x", key: "other", confirmable: true, newer: true, status: 401, asks: true},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
			table, known := newTableAndFleet(t, route.Route{Kind: route.NonIdempotent, Attempts: 1}, newFakeBackend(t, true, respondWith("ok")))
			var inForce atomic.Pointer[route.Table]
			inForce.Store(frozenWith(t, *table, nil, testKey))
			proof := &fakeProof{recent: c.recent, onAsk: func() bool {
				if c.newer {
					added := table.Routes[0]
					added.Name, added.Prefix = "added", "/q/"
					inForce.Store(frozenWith(t, *table, []route.Route{added}, testKey, "new"))
				}
				return c.confirmable
			}}
			g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
			g.RouteTable = inForce.Load
			g.Proof = proof
			s := httptest.NewServer(g)
			t.Cleanup(s.Close)
			req, err := http.NewRequest(http.MethodPost, s.URL+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("X-Attempt-Id", "a1")
			req.Header.Set("Authorization", "Bearer "+c.key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != c.status {
				t.Errorf("got status %d, want %d", resp.StatusCode, c.status)
			}
			if got := resp.Header.Get("Retry-After") != ""; got != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("status %d: got Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
			if got := proof.asked.Load() > 0; got != c.asks {
				t.Errorf("got asked for a proof %t, want %t", got, c.asks)
			}
		})
	}
}

// frozenWith returns a table with more routes, and one workspace with keys.
func frozenWith(t *testing.T, table route.Table, added []route.Route, keys ...string) *route.Table {
	t.Helper()
	table.Routes = append(append([]route.Route(nil), table.Routes...), added...)
	one := route.Workspace{Name: "one"}
	for _, key := range keys {
		one.Keys = append(one.Keys, bamboostep.NewKeyDigest(key))
	}
	table.Workspaces = []route.Workspace{one}
	frozen, err := table.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	return frozen
}
