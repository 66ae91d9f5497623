package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep/internal/rawserver"
	"github.com/bamboostep/bamboostep/route"
)

// A response may have neither a length nor chunks and end with its connection. A backend server
// that breaks such a response off, or crashes, closes the connection in the same way.

const (
	unframedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Signature: s\r\nConnection: close\r\n"
	eventsHead   = unframedHead + "Content-Type: text/event-stream\r\n"
	event1       = "id: 1\ndata: e1\n\n"
	event2       = "id: 2\ndata: e2\n\n"
)

// TestResponseWithoutBodyIsDelivered has responses to HEAD requests, which have no body whatever
// their head says of its length.
func TestResponseWithoutBodyIsDelivered(t *testing.T) {
	for name, kind := range map[string]route.Kind{"plain": route.Idempotent, "stream": route.Streaming} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, route.Route{Kind: kind, Attempts: 1}, startRawBackend(t, unframedHead+"Content-Type: application/json\r\n\r\n", false))
			req, err := http.NewRequest(http.MethodHead, g.URL+"/p/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("X-Attempt-Id", "a1")
			resp, err := http.DefaultClient.Do(req)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("response: got %v, %v, want status 200", resp, err)
			}
			resp.Body.Close()
		})
	}
}

// startRawBackend starts a backend server that sends response as it is to each request, and
// closes the connection in order. If crashes is set, it also stops listening before that.
func startRawBackend(t *testing.T, response string, crashes bool) *fakeBackend {
	t.Helper()
	s := &fakeBackend{}
	raw := rawserver.Server{Listen: uniqueLoopbackAddress(), Response: response, Crashes: crashes, Received: func(r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runIDs = append(s.runIDs, r.Header.Get("X-Attempt-Id"))
	}}
	s.Server = &httptest.Server{URL: "http://" + raw.Start(t)}
	return s
}

// TestBrokenOffResponseIsNotComplete guards against a response that was broken off and looks
// complete to its caller (issue 31).
func TestBrokenOffResponseIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		kind     route.Kind
		response string
		crashes  bool
	}{
		"stream that ends inside an event":                 {route.Streaming, eventsHead + "\r\n" + event1 + "id: 2\nda", false},
		"stream that ends behind a line of an event":       {route.Streaming, eventsHead + "\r\n" + event1 + "id: 2\n", false},
		"stream that ends inside its first event":          {route.Streaming, eventsHead + "\r\nid: 1\nda", false},
		"HTTP/1.0 stream that ends inside an event":        {route.Streaming, strings.Replace(eventsHead, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n" + event1 + "id: 2\nda", false},
		"stream without events":                            {route.Streaming, eventsHead + "\r\n", false},
		"stream of unknown type that ends inside an event": {route.Streaming, unframedHead + "\r\n" + event1 + "id: 2\nda", false},
		"stream in chunks that ends inside an event":       {route.Streaming, eventsHead + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + event1 + "\r\n3\r\nid:\r\n0\r\n\r\n", false},
		"stream with a length that ends inside an event":   {route.Streaming, eventsHead + "Content-Length: 19\r\n\r\n" + event1 + "id:", false},
		"stream of a crashed server, between events":       {route.Streaming, eventsHead + "\r\n" + event1, true},
		"plain response of a crashed server":               {route.Idempotent, unframedHead + "\r\nhal", true},
		"JSON that ends early":                             {route.Idempotent, unframedHead + "Content-Type: application/json; charset=utf-8\r\n\r\n{\"a\":[1,", false},
	} {
		t.Run(name+", repeatable", func(t *testing.T) {
			t.Parallel()
			broken := startRawBackend(t, c.response, c.crashes)
			respond, want := respondWith("whole"), "whole"
			if c.kind == route.Streaming {
				respond, want = streamEvents(2, 0), event1+event2
			}
			g := startGateway(t, route.Route{Kind: c.kind, Attempts: 2, Resumable: true}, broken, newFakeBackend(t, true, respond))
			resp, body, err := send(t, g, "/p/x", "")
			if err != nil || resp.StatusCode != http.StatusOK || body != want {
				t.Errorf("response: got %v, %q, %v, want %q of the other backend server", resp, body, err, want)
			}
			if got := len(broken.recordedRuns()); got != 1 {
				t.Errorf("runs of the broken response: got %d, want 1", got)
			}
		})
		t.Run(name+", not repeatable", func(t *testing.T) {
			t.Parallel()
			kind := c.kind
			if kind == route.Idempotent {
				kind = route.NonIdempotent
			}
			g := startGateway(t, route.Route{Kind: kind, Attempts: 1}, startRawBackend(t, c.response, c.crashes))
			resp, body, err := send(t, g, "/p/x", "")
			if err == nil && resp.StatusCode != http.StatusBadGateway {
				t.Errorf("response: got %v, %q and no error, want status 502 or a connection that breaks off", resp, body)
			}
		})
	}
}

// TestUnframedResponseIsDelivered guards against whole responses that are taken for broken off
// since they have neither a length nor chunks.
func TestUnframedResponseIsDelivered(t *testing.T) {
	for name, c := range map[string]struct {
		kind    route.Kind
		head    string
		body    string
		crashes bool // the server is leaving and ends after its last response
	}{
		"plain response":                     {route.NonIdempotent, unframedHead, "whole", false},
		"empty response":                     {route.NonIdempotent, unframedHead, "", false},
		"JSON":                               {route.NonIdempotent, unframedHead + "Content-Type: application/json\r\n", "{\"a\":1}\n", false},
		"failure":                            {route.NonIdempotent, strings.Replace(unframedHead, "200 OK", "500 Failed", 1), "no", false},
		"stream":                             {route.Streaming, eventsHead, event1 + event2, false},
		"stream with other line ends":        {route.Streaming, eventsHead, "id: 1\r\ndata: e1\r\n\r\n", false},
		"stream that ends with a comment":    {route.Streaming, eventsHead, event1 + ": end\n\n", false},
		"plain response of a leaving server": {route.NonIdempotent, unframedHead + "Server-Leaving: 1\r\n", "whole", true},
		"stream of a leaving server":         {route.Streaming, eventsHead + "Server-Leaving: 1\r\n", event1 + event2, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startRawBackend(t, c.head+"\r\n"+c.body, c.crashes)
			g := startGateway(t, route.Route{Kind: c.kind, Attempts: 1}, s)
			resp, body, err := send(t, g, "/p/x", "")
			if err != nil || body != c.body || resp.Header.Get("X-Response-Signature") == "" {
				t.Errorf("response: got %v, %q, %v, want %q", resp, body, err, c.body)
			}
			if got := len(s.recordedRuns()); got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
		})
	}
}
