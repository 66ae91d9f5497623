package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

const oldCallerRoutes = `{"version":1,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/p/","route_type":"streaming","timeout_ms":8000,
"target_latency_ms":500,"priority":1,"backend":"orders","attempts":1}],"backends":[{"name":"orders","health_check":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// startEventServer starts a backend server that sends two events to each request, and then ends
// the stream as end says. It returns the address of the platform's list.
func startEventServer(t *testing.T, end func(w http.ResponseWriter, r *http.Request)) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		_ = http.NewResponseController(w).Flush()
		end(w, r)
	}))
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"next": nil, "instances": []map[string]any{
			{"id": "i-1", "born": 1, "backend": "orders", "address": address, "zone": "z", "slots": 8, "state": "ready"}}})
	}))
	t.Cleanup(list.Close)
	return strings.TrimPrefix(list.URL, "http://")
}

// readOldResponse sends a request of a given HTTP version, and returns the body as it came and
// the error that ended its connection, nil for an orderly end. began is called once the first
// events are there.
func readOldResponse(t *testing.T, address, version string, began func()) (string, error) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintf(nc, "POST /p/x %s\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Request-Deadline: 7000\r\nContent-Length: 2\r\n\r\n{}", version)
	r := bufio.NewReader(nc)
	var got strings.Builder
	for {
		line, err := r.ReadString('\n')
		got.WriteString(line)
		if line == "data: b\n" {
			began()
		}
		if err != nil {
			_, body, _ := strings.Cut(got.String(), "\r\n\r\n")
			if err == io.EOF {
				err = nil
			}
			return body, err
		}
	}
}

// TestInterruptedStreamIsNotCompleteToOldCaller guards against a stream that was broken off and
// looks complete to a caller that speaks HTTP/1.0 (issue 31). Such a caller gets neither a length
// nor chunks, and takes an orderly end of the connection for the end of the stream. It must see a
// reset instead.
func TestInterruptedStreamIsNotCompleteToOldCaller(t *testing.T) {
	for name, c := range map[string]struct {
		end       func(w http.ResponseWriter, r *http.Request) // of the backend server's stream
		stopEntry bool                                         // once the caller has events
		whole     bool
	}{
		"whole":                   {func(http.ResponseWriter, *http.Request) {}, false, true},
		"backend server gives up": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, false},
		"entry ends":              {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			directory := startEventServer(t, c.end)
			voter := newRole(t, "voter", "127.0.0.21", directory)
			entry := newRole(t, "entry", "127.0.0.22", directory)
			awaitOK(t, "publication", http.MethodPut, voter.cfg.OperatorAddr, strings.TrimPrefix(platform.PatternPublishRoutes, "PUT "), oldCallerRoutes)
			awaitReady(t, entry)
			body, err := readOldResponse(t, entry.cfg.CallerAddr, "HTTP/1.0", func() {
				if c.stopEntry {
					go entry.stop()
				}
			})
			if whole := err == nil; whole != c.whole || !whole && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("stream: got %q and error %v, want whole %v, and a reset if it is not", body, err, c.whole)
			}
			if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; c.whole && body != want {
				t.Errorf("stream: got %q, want %q", body, want)
			}
			entry.stop()
			voter.stop()
		})
	}
}
