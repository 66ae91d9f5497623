package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/quota"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

const secret = "asnmgkcuyj8pjbvk9m68"

// seen is what a backend server gets of the headers about who calls.
func seen(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "s")
	fmt.Fprintf(w, "%s|%s|%s", r.Header.Get("X-Tenant"), r.Header.Get("Authorization"), r.Header.Get("X-Request-Priority"))
}

// callWithKey sends a request of a caller that also claims to be of another workspace.
func callWithKey(t *testing.T, s *httptest.Server, authorization string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.URL+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", "a1")
	req.Header.Set("X-Tenant", "another")
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// TestKeys is a caller with some key, or none, on a route that needs one or does not.
func TestKeys(t *testing.T) {
	expired := &ledger.Lease{Client: &ledger.Client{}, For: time.Second}
	for name, c := range map[string]struct {
		authorization string
		public        bool
		open          bool // no workspaces are declared
		lease         *ledger.Lease
		status        int
		body          string // if 200
	}{
		"known":                          {authorization: "Bearer " + secret, status: 200, body: "one||"},
		"known, scheme in capitals":      {authorization: "BEARER  " + secret, status: 200, body: "one||"},
		"unknown":                        {authorization: "Bearer " + secret + "x", status: 401},
		"none":                           {status: 401},
		"another scheme":                 {authorization: "Basic " + secret, status: 401},
		"none, public route":             {public: true, status: 200, body: "||"},
		"unknown, public route":          {public: true, authorization: "Bearer x", status: 200, body: "||"},
		"known, public route":            {public: true, authorization: "Bearer " + secret, status: 200, body: "one||"},
		"known, lease over":              {authorization: "Bearer " + secret, lease: expired, status: 503},
		"unknown, lease over":            {authorization: "Bearer x", lease: expired, status: 503},
		"none, public route, lease over": {public: true, lease: expired, status: 200, body: "||"},
		"no workspaces are declared":     {authorization: "Bearer x", open: true, status: 200, body: "another|Bearer x|"},
	} {
		t.Run(name, func(t *testing.T) {
			var f logFile
			recorder := loggedRecorder(&f, "edge-1/entry")
			table, known := testRoutes(t, route.Route{Kind: route.NonIdempotent, Attempts: 1, Public: c.public}, newStandIn(t, true, seen))
			declared := *table
			if !c.open {
				declared.Workspaces = []route.Workspace{{Name: "one", Keys: []bamboostep.Key{bamboostep.NewKey(secret)}}}
			}
			table, err := declared.Freeze()
			if err != nil {
				t.Fatal(err)
			}
			g := newGateway(guardAlone(recorder), &dispatch.Budget{}, recorder, table, known)
			g.Lease = c.lease
			s := httptest.NewServer(g)
			t.Cleanup(s.Close)
			status, body := callWithKey(t, s, c.authorization)
			if status != c.status || status == http.StatusOK && body != c.body {
				t.Errorf("got %d %q, want %d %q", status, body, c.status, c.body)
			}
			recorder.Flush()
			f.mu.Lock()
			defer f.mu.Unlock()
			if strings.Contains(f.text.String(), secret) {
				t.Errorf("log shows the key: %s", f.text.String())
			}
		})
	}
}

// TestQuotaOfAWorkspace has one workspace use up its quota, and another that has none, and
// requests that backend servers do not run.
func TestQuotaOfAWorkspace(t *testing.T) {
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	for name, c := range map[string]struct {
		answer answer
		want   int // of ten requests, how many get 429
	}{
		"run":     {whole("ok"), 5},
		"not run": {full, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, known := testRoutes(t, route.Route{Kind: route.NonIdempotent, Attempts: 1}, newStandIn(t, true, c.answer))
			declared := *table
			declared.Workspaces = []route.Workspace{
				{Name: "one", Keys: []bamboostep.Key{bamboostep.NewKey(secret)}, Quota: route.Quota{PerSecond: 0.001, Burst: 25}},
				{Name: "two", Keys: []bamboostep.Key{bamboostep.NewKey("two")}},
			}
			table, err := declared.Freeze()
			if err != nil {
				t.Fatal(err)
			}
			meter := &quota.Meter{Voters: func() []quota.Voter { return nil }, Entries: func() int { return 1 }, Recorder: recorder}
			g := newGateway(guardAlone(recorder), &dispatch.Budget{}, recorder, table, known)
			g.Quotas = meter
			s := httptest.NewServer(g)
			t.Cleanup(s.Close)
			got := 0
			for range 10 {
				if status, _ := callWithKey(t, s, "Bearer "+secret); status == http.StatusTooManyRequests {
					got++
				}
				if status, _ := callWithKey(t, s, "Bearer two"); status == http.StatusTooManyRequests {
					t.Error("workspace without a quota: got 429, want none")
				}
			}
			if got != c.want {
				t.Errorf("of ten requests: got %d refused, want %d", got, c.want)
			}
		})
	}
}
