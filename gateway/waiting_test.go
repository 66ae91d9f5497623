package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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

// loadedGateway is a gateway in front of one engine, which reports a backlog that breaks the
// promise of the route.
type loadedGateway struct {
	*Gateway
	url    string
	engine *fakeBackend
	quota  *quota.Limiter
	one    *route.Workspace
}

func newQuotaLimiter(recorder *timeline.Recorder) *quota.Limiter {
	return &quota.Limiter{Voters: func() []quota.Voter { return nil }, EntryCount: func() int { return 1 }, Recorder: recorder}
}

func newLoadedGateway(t *testing.T) *loadedGateway {
	t.Helper()
	engine := newFakeBackend(t, true, streamEvents(2, 0))
	table, known := newTableAndFleet(t, route.Route{Kind: route.Streaming, Attempts: 1, Timeout: 10 * time.Minute, LatencyTarget: 10 * time.Second}, engine)
	declared := *table
	declared.Services = []route.Service{{Name: "s", Engine: &route.Engine{Slots: 8, Models: []route.Model{{Name: "m", WeightsMB: 5}}}}}
	declared.Workspaces = []route.Workspace{{Name: "one", Keys: []bamboostep.KeyDigest{bamboostep.NewKeyDigest(testKey)}, Quota: route.Quota{PerSecond: 0.001, Burst: 25}}}
	table, err := declared.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
	g.QuotaLimiter = newQuotaLimiter(recorder)
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	l := &loadedGateway{Gateway: g, url: s.URL, engine: engine, quota: g.QuotaLimiter, one: &table.Workspaces[0]}
	l.report(2000, false)
	return l
}

// report applies a report of the engine.
func (g *loadedGateway) report(waiting int, leaving bool) {
	address := strings.TrimPrefix(g.engine.URL, "http://")
	g.Fleet.ApplyReport(fleet.Report{Instance: "i0", StartedMS: 1, Service: "s", Address: address, Domain: "a", Waiting: waiting, Leaving: leaving, Models: []bamboostep.LoadedModel{{Name: "m"}}}, time.Now())
}

// send sends a request for the model. It returns a nil response if the caller has left.
func (g *loadedGateway) send(ctx context.Context, t *testing.T, deadline time.Duration) *http.Response {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/p/x", nil)
	if err != nil {
		t.Error(err)
		return nil
	}
	req.Host = "h.example"
	for name, value := range map[string]string{"Authorization": "Bearer " + testKey, "X-Attempt-Id": "a1", "X-Model": "m", "X-Token-Usage": "1000,10",
		"X-Request-Deadline": strconv.FormatInt(deadline.Milliseconds(), 10)} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	resp.Body.Close()
	return resp
}

// awaitWaiting waits until n requests wait at the entry.
func (g *loadedGateway) awaitWaiting(t *testing.T, n int64) {
	t.Helper()
	for giveUpAt := time.Now().Add(5 * time.Second); g.waiting.count.Load() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(giveUpAt) {
			t.Fatalf("waiting requests: got %d, want %d", g.waiting.count.Load(), n)
		}
	}
}

// admitted counts the requests that a limiter admits until the quota is used up.
func admitted(l *quota.Limiter, w *route.Workspace) int {
	n := 0
	for l.Admit(context.Background(), w, 1).Admitted {
		n++
	}
	return n
}

// TestHeldRequest holds a request back and lets something happen: it must be sent once there is room, and leave no trace if it does
// not run.
func TestHeldRequest(t *testing.T) {
	for name, c := range map[string]struct {
		then   func(g *loadedGateway, callerLeaves func())
		status int // 0 for no response
		runs   int
	}{
		"there is room":       {func(g *loadedGateway, _ func()) { g.report(0, false) }, 200, 1},
		"its caller leaves":   {func(_ *loadedGateway, callerLeaves func()) { callerLeaves() }, 0, 0},
		"the process stops":   {func(g *loadedGateway, _ func()) { g.BeginShutdown(ShutdownPlan{StartedAt: time.Now()}) }, 503, 0},
		"the engine goes off": {func(g *loadedGateway, _ func()) { g.report(2000, true) }, 503, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newLoadedGateway(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			status := make(chan int, 1)
			go func() {
				resp := g.send(ctx, t, 10*time.Minute)
				if resp == nil {
					resp = &http.Response{}
				}
				status <- resp.StatusCode
			}()
			g.awaitWaiting(t, 1)
			if runs := g.engine.recordedRuns(); len(runs) > 0 {
				t.Fatalf("runs while it is held back: got %v, want none", runs)
			}
			c.then(g, cancel)
			if got := <-status; got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
			g.awaitWaiting(t, 0)
			if got := len(g.engine.recordedRuns()); got != c.runs {
				t.Errorf("runs: got %d, want %d", got, c.runs)
			}
			for giveUpAt := time.Now().Add(5 * time.Second); g.ActiveRequests() > 0 && time.Now().Before(giveUpAt); {
				time.Sleep(time.Millisecond)
			}
			if got, want := admitted(g.quota, g.one), admitted(newQuotaLimiter(g.Recorder), g.one)-c.runs; got != want {
				t.Errorf("requests that the quota admits afterwards: got %d, want %d", got, want)
			}
		})
	}
}

// TestRefusalNamesWhenThereIsRoom sends a request that no engine can serve before its deadline: it is refused without a wait, with a
// Retry-After of when the backlog is over, and costs no quota.
func TestRefusalNamesWhenThereIsRoom(t *testing.T) {
	g := newLoadedGateway(t)
	g.report(100, false)
	resp := g.send(context.Background(), t, 500*time.Millisecond)
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response: got %v, want status 503", resp)
	}
	var noServer *fleet.NoServerError
	_, err := g.Fleet.Choose(time.Now(), fleet.Requirements{Service: "s", ModelName: fleet.ModelName{Model: "m"}, PromptTokens: 1000, MaxWait: 500 * time.Millisecond})
	if !errors.As(err, &noServer) {
		t.Fatalf("choice: got %v, want a refusal", err)
	}
	got, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if want := noServer.Room.Seconds(); got < want-0.01 || got > want+0.01 {
		t.Errorf("Retry-After: got %.2f, want %.2f, when the engine has room", got, want)
	}
	if got, want := admitted(g.quota, g.one), admitted(newQuotaLimiter(g.Recorder), g.one); got != want {
		t.Errorf("requests that the quota admits afterwards: got %d, want %d", got, want)
	}
}
