package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// slowStream returns a responder that sends the events after Last-Event-Id, with a pause
// before each one.
func slowStream(n int, pause time.Duration) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		from := 0
		fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		w.Header().Set("X-Response-Signature", "s")
		for i := from + 1; i <= n; i++ {
			time.Sleep(pause)
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			http.NewResponseController(w).Flush()
		}
	}
}

// trickleBytes sends one byte of an event every 20 ms and never completes the event.
func trickleBytes(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "s")
	for r.Context().Err() == nil {
		io.WriteString(w, "x")
		http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// TestSlowStreamIsNotAborted has a stream whose pauses are far above the target of its
// route. A target is not a timeout.
func TestSlowStreamIsNotAborted(t *testing.T) {
	s := newFakeBackend(t, true, slowStream(4, 400*time.Millisecond))
	g := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 2, EventGapTarget: 50 * time.Millisecond}, s)
	_, body, err := send(t, g, "/p/x", "")
	if got := strings.Count(body, "data:"); err != nil || got != 4 {
		t.Errorf("stream: got %d events, %v, want 4", got, err)
	}
	if got := len(s.recordedRuns()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// TestStalledStreamEndsAtTimeout has a stream that keeps sending bytes but never
// completes an event. It must fail at the timeout of its route, and must not run again.
func TestStalledStreamEndsAtTimeout(t *testing.T) {
	const timeout = time.Second
	s := newFakeBackend(t, true, trickleBytes)
	g := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 1, Timeout: timeout}, s)
	began := time.Now()
	resp, body, err := send(t, g, "/p/x", "")
	if took := time.Since(began); took > timeout+500*time.Millisecond {
		t.Errorf("end: got after %v, want within half a second of %v", took, timeout)
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("response: got status %d with %d bytes, want an error", resp.StatusCode, len(body))
	}
	if err == nil && resp.StatusCode == http.StatusServiceUnavailable {
		t.Error("response: got 503, which states that the request has not run")
	}
	if got := len(s.recordedRuns()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// TestReportOfSilentEngineDoesNotEndStream has a holder report that its engine does not
// respond while a stream is running there. The stream must continue, and run once.
func TestReportOfSilentEngineDoesNotEndStream(t *testing.T) {
	first, second := newFakeBackend(t, true, slowStream(5, 100*time.Millisecond)), newFakeBackend(t, true, slowStream(5, 0))
	table, known := newTableAndFleet(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, first, second)
	g := serveGateway(t, &dispatch.RetryBudget{}, &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}, table, known)
	time.AfterFunc(150*time.Millisecond, func() {
		known.ApplyReport(fleet.Report{
			Address: strings.TrimPrefix(first.URL, "http://"), Instance: "i0", StartedMS: 1, Service: "s", Down: true, AgeMS: 3000,
		}, time.Now())
	})
	_, body, err := send(t, g, "/p/x", "")
	if got := strings.Count(body, "data:"); err != nil || got != 5 {
		t.Errorf("stream: got %d events, %v, want 5", got, err)
	}
	if a, b := len(first.recordedRuns()), len(second.recordedRuns()); a+b != 1 {
		t.Errorf("runs: got %d and %d, want one in total", a, b)
	}
}
