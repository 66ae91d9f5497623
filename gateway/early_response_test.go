package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/internal/rawserver"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// startEarlyBackend starts a backend server that answers before it has read the body of a request, and ends its side of the
// connection in order. It reads nothing more.
func startEarlyBackend(t *testing.T, response string) *fakeBackend {
	t.Helper()
	address := rawserver.Server{Listen: uniqueLoopbackAddress(), Response: response, Early: true}.Start(t)
	return &fakeBackend{Server: &httptest.Server{URL: "http://" + address}}
}

// Guards against a part of an answer that reaches its caller as a whole one: a backend server answers an upload early, with neither length
// nor chunks, and ends its connection before it has read the upload. Answers that show their end still pass.
func TestEarlyAnswerOfUnknownLength(t *testing.T) {
	const jsonHead = unframedHead + "Content-Type: application/json\r\n"
	upload := strings.Repeat("x", 32<<20) // more than the sockets hold
	for name, c := range map[string]struct {
		kind     route.Kind
		response string
		whole    string // "" if the caller must not take it for whole
	}{
		"plain":                {route.NonIdempotent, unframedHead + "\r\npart", ""},
		"stream":               {route.Streaming, eventsHead + "\r\n" + event1, ""},
		"number":               {route.NonIdempotent, jsonHead + "\r\n12", ""},
		"object":               {route.NonIdempotent, jsonHead + "\r\n{\"a\":1}\n", "{\"a\":1}\n"},
		"with a length":        {route.NonIdempotent, unframedHead + "Content-Length: 5\r\n\r\nwhole", "whole"},
		"in chunks":            {route.NonIdempotent, unframedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", "whole"},
		"stream with a length": {route.Streaming, eventsHead + "Content-Length: 16\r\n\r\n" + event1, event1},
	} {
		t.Run(name, func(t *testing.T) {
			table, known := newTableAndFleet(t, route.Route{Kind: c.kind, Attempts: 1}, startEarlyBackend(t, c.response))
			table.Limits.MaxBodyBytes = int64(len(upload))
			recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
			g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
			g.Memory = memory.NewBudget(4 * int64(len(upload)))
			resp, body, err := send(t, startServer(t, g), "/p/x", upload)
			if resp != nil && resp.StatusCode == http.StatusServiceUnavailable {
				t.Fatalf("answer: got %q, want that of the backend server or none", body)
			}
			complete := err == nil && resp.StatusCode == http.StatusOK
			if complete != (c.whole != "") || complete && body != c.whole {
				t.Errorf("answer: got %v, %q, %v, want whole %q", resp, body, err, c.whole)
			}
		})
	}
}
