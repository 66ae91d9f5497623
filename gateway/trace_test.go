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

// These tests have requests fail for the three kinds of reason, and find the cause by
// the steps of docs/OPERATIONS.md, from the written logs of all processes and nothing
// else.

// logFile is a process's log.
type logFile struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (f *logFile) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text.Write(p)
}

func (f *logFile) events(t *testing.T) []timeline.Event {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	events, skipped, err := timeline.ReadLog(strings.NewReader(f.text.String()))
	if err != nil || skipped != 0 {
		t.Fatalf("log: got %d lines skipped and error %v, want none", skipped, err)
	}
	return events
}

// await waits until the log has a line of a kind.
func (f *logFile) await(t *testing.T, kind string) {
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

func loggedRecorder(f *logFile, process string) *timeline.Recorder {
	return &timeline.Recorder{Process: process, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, Log: daemon.NewLogger(f, process)}
}

// dyingEngine answers its holder until it is dead.
type dyingEngine struct{ dead atomic.Bool }

var errRefused = errors.New("connection refused")

func (e *dyingEngine) Report(context.Context) (bamboostep.EngineReport, error) {
	if e.dead.Load() {
		return bamboostep.EngineReport{}, errRefused
	}
	return bamboostep.EngineReport{Born: 1, Models: []bamboostep.HeldModel{{Name: "m"}}}, nil
}

func (e *dyingEngine) Identify(context.Context) (string, error) { return "i0", nil }

func (e *dyingEngine) Give(context.Context, bamboostep.EngineOrder) error { return errRefused }

// holderOf runs the holder of a backend server.
func holderOf(t *testing.T, s *standIn, e *dyingEngine, f *logFile) {
	t.Helper()
	h := &holder.Holder{
		Name: "vm-1", Address: strings.TrimPrefix(s.URL, "http://"), Service: "s", Engine: e,
		Spec:     func() *route.Engine { return nil },
		Recorder: loggedRecorder(f, "vm-1/holder"),
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

// finding is what an on-call engineer gets out of the logs.
type finding struct {
	told   string // what the caller was told: the reason and the status
	server string // the backend server that the request was at last, if any
	cause  string // what is known of that server, or of the attempt
}

// investigate follows the documented steps from a request's ID.
func investigate(all []timeline.Event, id bamboostep.RequestID) finding {
	own := timeline.Query{Request: id}.Select(all)
	if len(own) == 0 {
		return finding{}
	}
	last := own[len(own)-1]
	words := strings.Fields(last.Detail)
	out := finding{told: words[0]}
	if last.Kind == "request_failed" {
		out.told += " " + words[1]
	}
	for _, e := range own {
		if e.VM != "" {
			out.server, out.cause = e.VM, e.Kind
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
			out.cause = "engine_lost: " + e.Detail
		}
	}
	return out
}

func TestCauseIsFoundFromLogsAlone(t *testing.T) {
	stream := route.Route{Kind: route.Streaming, Attempts: 2}
	lost := "engine_lost: " + errRefused.Error()
	for name, c := range map[string]struct {
		route  route.Route
		answer answer
		dies   bool // the engine, and the server answers no more
		want   finding
	}{
		"refused":                   {stream, full, true, finding{"no_backend_server 503", "", lost}},
		"cut off in a stream":       {stream, events(9, 4), true, finding{"may_have_run", "", lost}},
		"unclear":                   {route.Route{Kind: route.NonIdempotent, Attempts: 1}, reset, false, finding{"may_have_run 502", "", "attempt_unanswered"}},
		"unclear, from a lost VM":   {route.Route{Kind: route.NonIdempotent, Attempts: 1}, reset, true, finding{"may_have_run 502", "", lost}},
		"refused by a full backend": {route.Route{Kind: route.NonIdempotent, Attempts: 1}, full, false, finding{"no_backend_server 503", "", "attempt_not_run"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var entryLog, holderLog logFile
			engine := &dyingEngine{}
			s := newStandIn(t, true, c.answer)
			holderOf(t, s, engine, &holderLog)
			recorder := loggedRecorder(&entryLog, "edge-1/entry")
			g := testGatewayWith(t, recorder, c.route, s)
			holderLog.await(t, "engine_started")
			engine.dead.Store(c.dies)
			if resp, _, err := send(t, g, "/p/x", "body"); err == nil && resp.StatusCode == http.StatusOK && c.route.Kind != route.Streaming {
				t.Fatalf("got status %d, want a failure", resp.StatusCode)
			}
			if c.dies {
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

// TestAllSendsAreFoundFromOneID guards against repeats that cannot be told from other
// requests: a request that is sent again has another ID each time.
func TestAllSendsAreFoundFromOneID(t *testing.T) {
	var f logFile
	recorder := loggedRecorder(&f, "edge-1/entry")
	g := testGatewayWith(t, recorder, route.Route{Kind: route.NonIdempotent, Attempts: 1}, newStandIn(t, true, reset))
	for _, id := range []string{"a1", "a2", "a3"} {
		sendCall(t, g, id, "/p/x", "the same")
		sendCall(t, g, id+"-other", "/p/x", "another "+id)
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
