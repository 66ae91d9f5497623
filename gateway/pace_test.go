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

// slowEvents sends events from the one after Last-Event-Id, with a pause before each.
func slowEvents(n int, pause time.Duration) answer {
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

// trickle sends one byte of an event now and then, and never the end of it.
func trickle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Signature", "s")
	for r.Context().Err() == nil {
		io.WriteString(w, "x")
		http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// TestSlowStreamIsNotCut is a stream whose pauses are far over what its route aims for.
func TestSlowStreamIsNotCut(t *testing.T) {
	s := newStandIn(t, true, slowEvents(4, 400*time.Millisecond))
	g := testGateway(t, route.Route{Kind: route.Streaming, Attempts: 2, Pause: 50 * time.Millisecond}, s)
	_, body, err := send(t, g, "/p/x", "")
	if got := strings.Count(body, "data:"); err != nil || got != 4 {
		t.Errorf("stream: got %d events, %v, want 4", got, err)
	}
	if got := len(s.ran()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// TestStalledStreamEnds is a stream that sends a byte now and then and no event: it ends
// with its route's time, is no success, and does not run again.
func TestStalledStreamEnds(t *testing.T) {
	const timeout = time.Second
	s := newStandIn(t, true, trickle)
	g := testGateway(t, route.Route{Kind: route.Streaming, Attempts: 1, Timeout: timeout}, s)
	began := time.Now()
	resp, body, err := send(t, g, "/p/x", "")
	if took := time.Since(began); took > timeout+500*time.Millisecond {
		t.Errorf("end: got it after %v, want within half a second of %v", took, timeout)
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		t.Errorf("answer: got %d with %d bytes, want none that looks whole", resp.StatusCode, len(body))
	}
	if err == nil && resp.StatusCode == http.StatusServiceUnavailable {
		t.Error("answer: got 503, which says that it has not run")
	}
	if got := len(s.ran()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}

// TestSilentReportsEndNothing is an engine whose holder says that it does not answer,
// while a stream runs there: the stream goes on, once.
func TestSilentReportsEndNothing(t *testing.T) {
	first, second := newStandIn(t, true, slowEvents(5, 100*time.Millisecond)), newStandIn(t, true, slowEvents(5, 0))
	table, known := testRoutes(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, first, second)
	g := serveGateway(t, &dispatch.Budget{}, &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}, table, known)
	time.AfterFunc(150*time.Millisecond, func() {
		known.NoteReport(fleet.Report{
			Address: strings.TrimPrefix(first.URL, "http://"), Instance: "i0", Born: 1, Service: "s", Down: true, AgeMS: 3000,
		}, time.Now())
	})
	_, body, err := send(t, g, "/p/x", "")
	if got := strings.Count(body, "data:"); err != nil || got != 5 {
		t.Errorf("stream: got %d events, %v, want 5", got, err)
	}
	if a, b := len(first.ran()), len(second.ran()); a+b != 1 {
		t.Errorf("runs: got %d and %d, want one in all", a, b)
	}
}
