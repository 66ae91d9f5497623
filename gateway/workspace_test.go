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

const testKey = "asnmgkcuyj8pjbvk9m68"

// echoIdentityHeaders responds with the headers that identify the caller, as the backend
// server received them.
func echoIdentityHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "s")
	fmt.Fprintf(w, "%s|%s|%s", r.Header.Get("X-Tenant"), r.Header.Get("Authorization"), r.Header.Get("X-Request-Priority"))
}

// sendWithKey sends a request with an Authorization header, and with a forged X-Tenant
// header that names another workspace.
func sendWithKey(t *testing.T, s *httptest.Server, authorization string) (status int, body string) {
	t.Helper()
	return sendForModel(t, s, authorization, "")
}

// sendForModel is sendWithKey for a model, unless that is empty.
func sendForModel(t *testing.T, s *httptest.Server, authorization, model string) (status int, body string) {
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
	if model != "" {
		req.Header.Set("X-Model", model)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// TestKeyAuthentication sends a known, unknown or missing key to public and private
// routes, with a valid and an expired lease. It also checks that no key appears in the
// log.
func TestKeyAuthentication(t *testing.T) {
	expired := &ledger.Lease{Client: &ledger.Client{}, For: time.Second}
	for name, c := range map[string]struct {
		authorization string
		public        bool
		open          bool // the table declares no workspaces
		lease         *ledger.Lease
		status        int
		body          string // checked if status is 200
	}{
		"known":                             {authorization: "Bearer " + testKey, status: 200, body: "one||"},
		"known, upper-case scheme":          {authorization: "BEARER  " + testKey, status: 200, body: "one||"},
		"unknown":                           {authorization: "Bearer " + testKey + "x", status: 401},
		"none":                              {status: 401},
		"another scheme":                    {authorization: "Basic " + testKey, status: 401},
		"none, public route":                {public: true, status: 200, body: "||"},
		"unknown, public route":             {public: true, authorization: "Bearer x", status: 200, body: "||"},
		"known, public route":               {public: true, authorization: "Bearer " + testKey, status: 200, body: "one||"},
		"known, lease expired":              {authorization: "Bearer " + testKey, lease: expired, status: 503},
		"unknown, lease expired":            {authorization: "Bearer x", lease: expired, status: 503},
		"none, public route, lease expired": {public: true, lease: expired, status: 200, body: "||"},
		"no workspaces declared":            {authorization: "Bearer x", open: true, status: 200, body: "another|Bearer x|"},
	} {
		t.Run(name, func(t *testing.T) {
			var f processLog
			recorder := newLoggingRecorder(&f, "edge-1/entry")
			table, known := newTableAndFleet(t, route.Route{Kind: route.NonIdempotent, Attempts: 1, Public: c.public}, newFakeBackend(t, true, echoIdentityHeaders))
			declared := *table
			if !c.open {
				declared.Workspaces = []route.Workspace{{Name: "one", Keys: []bamboostep.KeyDigest{bamboostep.NewKeyDigest(testKey)}}}
			}
			table, err := declared.Freeze()
			if err != nil {
				t.Fatal(err)
			}
			g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
			g.KeyLease = c.lease
			s := httptest.NewServer(g)
			t.Cleanup(s.Close)
			status, body := sendWithKey(t, s, c.authorization)
			if status != c.status || status == http.StatusOK && body != c.body {
				t.Errorf("got %d %q, want %d %q", status, body, c.status, c.body)
			}
			recorder.Flush()
			f.mu.Lock()
			defer f.mu.Unlock()
			if strings.Contains(f.text.String(), testKey) {
				t.Errorf("log contains the key: %s", f.text.String())
			}
		})
	}
}

// TestWorkspaceQuota checks that a workspace without a quota is not limited, and that
// requests that did not run do not count.
func TestWorkspaceQuota(t *testing.T) {
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	for name, c := range map[string]struct {
		respond responder
		model   string
		want    int // of ten requests, how many are rejected with 429
	}{
		"run":                {respondWith("ok"), "", 5},
		"not run":            {rejectUnexecuted, "", 0},
		"model not declared": {respondWith("ok"), "m", 0},
	} {
		t.Run(name, func(t *testing.T) {
			table, known := newTableAndFleet(t, route.Route{Kind: route.NonIdempotent, Attempts: 1}, newFakeBackend(t, true, c.respond))
			declared := *table
			if c.model != "" {
				declared.Services = []route.Service{{Name: "s", Engine: &route.Engine{}}}
			}
			declared.Workspaces = []route.Workspace{
				{Name: "one", Keys: []bamboostep.KeyDigest{bamboostep.NewKeyDigest(testKey)}, Quota: route.Quota{PerSecond: 0.001, Burst: 25}},
				{Name: "two", Keys: []bamboostep.KeyDigest{bamboostep.NewKeyDigest("two")}},
			}
			table, err := declared.Freeze()
			if err != nil {
				t.Fatal(err)
			}
			meter := &quota.Limiter{Voters: func() []quota.Voter { return nil }, EntryCount: func() int { return 1 }, Recorder: recorder}
			g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
			g.QuotaLimiter = meter
			s := httptest.NewServer(g)
			t.Cleanup(s.Close)
			got := 0
			for range 10 {
				if status, _ := sendForModel(t, s, "Bearer "+testKey, c.model); status == http.StatusTooManyRequests {
					got++
				}
				if status, _ := sendWithKey(t, s, "Bearer two"); status == http.StatusTooManyRequests {
					t.Error("workspace without a quota: got 429, want none")
				}
			}
			if got != c.want {
				t.Errorf("of ten requests: got %d rejected, want %d", got, c.want)
			}
		})
	}
}
