package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// slowBody is a body whose second half comes after a delay, or never.
func slowBody(ctx context.Context, delay time.Duration) io.Reader {
	r, w := io.Pipe()
	go func() {
		io.WriteString(w, "first")
		select {
		case <-time.After(delay):
			io.WriteString(w, "second")
			w.Close()
		case <-ctx.Done():
			w.CloseWithError(ctx.Err())
		}
	}()
	return r
}

// Guards against requests that are cut off without an answer at the end of a planned stop, because
// their body or a backend server came so late that they could not finish.
func TestLateRequestsAreRefusedDuringShutdown(t *testing.T) {
	const (
		grace   = 2 * time.Second
		runTime = 300 * time.Millisecond
		never   = time.Hour
	)
	tests := map[string]struct {
		bodyDelay  time.Duration
		stopAfter  time.Duration // from the start of the request until the process is told to stop
		held       bool          // the backend server is known from the start
		known      time.Duration // run time that the process has seen; 0 for none
		running    time.Duration // for which another run has gone on when the process is told to stop; 0 for none
		wantStatus int
		wantRuns   int
	}{
		"body in time":                        {100 * time.Millisecond, 0, true, runTime, 0, http.StatusOK, 1},
		"run time not known":                  {0, 0, true, 0, 0, http.StatusServiceUnavailable, 0},
		"a run that goes on for long":         {0, 0, true, runTime, time.Second, http.StatusServiceUnavailable, 0},
		"a run that has just begun":           {0, 0, true, runTime, time.Millisecond, http.StatusOK, 1},
		"body too late for a run":             {1400 * time.Millisecond, 0, true, runTime, 0, http.StatusServiceUnavailable, 0},
		"body that never ends":                {never, 0, true, runTime, 0, http.StatusServiceUnavailable, 0},
		"body that had begun before the stop": {never, 200 * time.Millisecond, true, runTime, 0, http.StatusServiceUnavailable, 0},
		"no backend server in time":           {0, 0, false, runTime, 0, http.StatusServiceUnavailable, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := newFakeBackend(t, true, func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(runTime)
				respondWith("done")(w, r)
			})
			servers := []*fakeBackend{backend}
			if !test.held {
				servers = nil
			}
			table, known := newTableAndFleet(t, route.Route{Kind: route.NonIdempotent, Attempts: 1, Timeout: 10 * time.Second}, servers...)
			recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
			g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
			s := httptest.NewServer(g)
			t.Cleanup(s.Close)
			if test.known > 0 {
				g.runTimes.begin("s", time.Now().Add(-test.known))(time.Now())
			}
			if test.running > 0 {
				g.runTimes.begin("s", time.Now().Add(-test.running))
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*grace)
			defer cancel()
			plan := ShutdownPlan{Grace: grace, StartedAt: time.Now().Add(test.stopAfter)}
			time.AfterFunc(test.stopAfter, func() { g.BeginShutdown(plan) })
			if test.stopAfter == 0 {
				g.BeginShutdown(plan)
			}
			body := io.Reader(strings.NewReader("b"))
			if test.bodyDelay > 0 {
				body = slowBody(ctx, test.bodyDelay)
			}
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL+"/p/x", body)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("X-Attempt-Id", "a1")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != test.wantStatus {
				t.Errorf("got status %d, want %d", resp.StatusCode, test.wantStatus)
			}
			if at := time.Since(plan.StartedAt); at >= grace-killMargin {
				t.Errorf("answered %v after the start of the shutdown, want before the exit at %v", at, grace-killMargin)
			}
			if got := len(backend.recordedRuns()); got != test.wantRuns {
				t.Errorf("got %d runs, want %d", got, test.wantRuns)
			}
		})
	}
}
