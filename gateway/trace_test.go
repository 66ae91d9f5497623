package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/holder"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// These tests make requests fail: rejected, cut off, or with an unknown outcome. They find
// the cause by the steps of docs/OPERATIONS.md, from the logs of the processes alone.

// processLog is the log output of one process.
type processLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (f *processLog) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text.Write(p)
}

func (f *processLog) events(t *testing.T) []timeline.Event {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	events, skipped, err := timeline.ReadLog(strings.NewReader(f.text.String()))
	if err != nil || skipped != 0 {
		t.Fatalf("log: got %d lines skipped and error %v, want none", skipped, err)
	}
	return events
}

// await waits until the log has a line with the given event kind.
func (f *processLog) await(t *testing.T, kind string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		found := strings.Contains(f.text.String(), "msg="+kind+" ")
		f.mu.Unlock()
		if found {
			return
		}
	}
	t.Fatalf("log: no line of kind %s within 10 s", kind)
}

func newLoggingRecorder(f *processLog, process string) *timeline.Recorder {
	return &timeline.Recorder{Process: process, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, Log: daemon.NewLogger(f, process)}
}

// failingEngine responds to its holder until failed is set.
type failingEngine struct{ failed atomic.Bool }

var errRefused = errors.New("connection refused")

func (e *failingEngine) Report(context.Context) (bamboostep.EngineReport, error) {
	if e.failed.Load() {
		return bamboostep.EngineReport{}, errRefused
	}
	return bamboostep.EngineReport{StartedMS: 1, Models: []bamboostep.LoadedModel{{Name: "m"}}}, nil
}

func (e *failingEngine) Identify(context.Context) (string, error) { return "i0", nil }

func (e *failingEngine) SendOrder(context.Context, bamboostep.EngineOrder) error { return errRefused }

// runHolder runs the holder of a backend server until the test ends.
func runHolder(t *testing.T, s *fakeBackend, e *failingEngine, f *processLog) {
	t.Helper()
	h := &holder.Holder{
		Name: "vm-1", Address: strings.TrimPrefix(s.URL, "http://"), Service: "s", Engine: e,
		Spec:     func() *route.Engine { return nil },
		Recorder: newLoggingRecorder(f, "vm-1/holder"),
	}
	h.Register(&wire.Mux{})
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = h.Run(ctx) }) // ends with ctx
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
}

// diagnosis is what an on-call engineer learns from the logs about a failed request.
type diagnosis struct {
	callerError string // reason and status in the response to the caller
	server      string // address of the last backend server of the request, if any
	serverCause string // latest event about that server or the attempt
}

// investigate follows the documented steps, starting from a request ID.
func investigate(all []timeline.Event, id bamboostep.RequestID) diagnosis {
	own := timeline.Query{Request: id}.Select(all)
	if len(own) == 0 {
		return diagnosis{}
	}
	last := own[len(own)-1]
	words := strings.Fields(last.Detail)
	out := diagnosis{callerError: words[0]}
	if last.Kind == "request_failed" {
		out.callerError += " " + words[1]
	}
	for _, e := range own {
		if e.VM != "" {
			out.server, out.serverCause = e.VM, e.Kind
		}
	}
	if out.server == "" {
		for _, e := range (timeline.Query{Model: last.Model}).Select(all) {
			if e.VM != "" {
				out.server = e.VM
			}
		}
	}
	for _, e := range (timeline.Query{VM: out.server}).Select(all) {
		if e.Kind == "engine_lost" {
			out.serverCause = "engine_lost: " + e.Detail
		}
	}
	return out
}

func TestCauseIsFoundFromLogs(t *testing.T) {
	stream := route.Route{Kind: route.Streaming, Attempts: 2}
	lost := "engine_lost: " + errRefused.Error()
	for name, c := range map[string]struct {
		route       route.Route
		respond     responder
		engineFails bool // the engine stops responding to its holder
		want        diagnosis
	}{
		"rejected":                 {stream, rejectUnexecuted, true, diagnosis{"no_backend_server 503", "", lost}},
		"broken stream":            {stream, streamEvents(9, 4), true, diagnosis{"may_have_run", "", lost}},
		"unknown outcome":          {route.Route{Kind: route.NonIdempotent, Attempts: 1}, resetConnection, false, diagnosis{"may_have_run 502", "", "attempt_unanswered"}},
		"unknown outcome, lost VM": {route.Route{Kind: route.NonIdempotent, Attempts: 1}, resetConnection, true, diagnosis{"may_have_run 502", "", lost}},
		"rejected by backend":      {route.Route{Kind: route.NonIdempotent, Attempts: 1}, rejectUnexecuted, false, diagnosis{"no_backend_server 503", "", "attempt_not_run"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var entryLog, holderLog processLog
			engine := &failingEngine{}
			s := newFakeBackend(t, true, c.respond)
			runHolder(t, s, engine, &holderLog)
			recorder := newLoggingRecorder(&entryLog, "edge-1/entry")
			g := startGatewayWithRecorder(t, recorder, c.route, s)
			holderLog.await(t, "engine_started")
			engine.failed.Store(c.engineFails)
			if resp, _, err := send(t, g, "/p/x", "body"); err == nil && resp.StatusCode == http.StatusOK && c.route.Kind != route.Streaming {
				t.Fatalf("got status %d, want a failure", resp.StatusCode)
			}
			if c.engineFails {
				holderLog.await(t, "engine_lost")
			}
			recorder.Flush()
			got := investigate(timeline.Merge(entryLog.events(t), holderLog.events(t)), "a1")
			c.want.server = strings.TrimPrefix(s.URL, "http://")
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestRepeatedRequestsShareContentHash guards against repeats that cannot be told from
// other requests: a caller that repeats a request uses a new ID each time.
func TestRepeatedRequestsShareContentHash(t *testing.T) {
	var f processLog
	recorder := newLoggingRecorder(&f, "edge-1/entry")
	g := startGatewayWithRecorder(t, recorder, route.Route{Kind: route.NonIdempotent, Attempts: 1}, newFakeBackend(t, true, resetConnection))
	for _, id := range []string{"a1", "a2", "a3"} {
		sendWithID(t, g, id, "/p/x", "the same")
		sendWithID(t, g, id+"-other", "/p/x", "another "+id)
	}
	recorder.Flush()
	all := f.events(t)
	content := timeline.Query{Request: "a2"}.Select(all)[0].Content
	var got []bamboostep.RequestID
	for _, e := range (timeline.Query{Content: content}).Select(all) {
		if e.Kind == "attempt_unanswered" {
			got = append(got, e.Request)
		}
	}
	if want := []bamboostep.RequestID{"a1", "a2", "a3"}; content == "" || !slices.Equal(got, want) {
		t.Errorf("attempts of content %q: got %v, want %v", content, got, want)
	}
}
