package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/internal/rawserver"
)

const writeRoutes = `{"version":1,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/p/","route_type":"non_idempotent","timeout_ms":3000,
"target_latency_ms":500,"priority":1,"backend":"orders","attempts":3}],"backends":[{"name":"orders","health_check":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// repeatingService is a service whose backend servers refuse each third request of a connection, and write that refusal
// once more before their response to the next one.
type repeatingService struct {
	withID bool          // the repeated refusal has the ID of its request
	delay  time.Duration // of the repeated refusal

	mu      sync.Mutex
	ran     map[string]int
	repeats int
}

func (s *repeatingService) run(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

// start starts a backend server and returns its address.
func (s *repeatingService) start(t *testing.T) string {
	t.Helper()
	address, _ := rawserver.StartScript(t, func(e rawserver.Exchange) (string, bool) {
		id := e.Request.Header.Get("X-Attempt-Id")
		idLine := "X-Attempt-Id: " + id + "\r\n"
		if e.Number%3 == 0 {
			return refusal + idLine + framing, false
		}
		s.run(id)
		time.Sleep(s.delay)
		if e.Number%3 == 1 && e.Number > 1 {
			s.repeat(e)
		}
		return "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n" + idLine + framing, false
	})
	return address
}

// Parts of responses.
const (
	refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
	framing = "Keep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok"
)

// repeat writes an earlier refusal once more.
func (s *repeatingService) repeat(e rawserver.Exchange) {
	s.mu.Lock()
	s.repeats++
	s.mu.Unlock()
	if s.withID {
		e.Send(refusal + "X-Attempt-Id: earlier\r\n" + framing)
	} else {
		e.Send(refusal + framing)
	}
	time.Sleep(s.delay)
}

// TestRepeatedRefusalIsNotBelieved guards against callers who are told that a request has not run which has, and against
// such a request that runs at a second backend server, since a faulty one wrote an earlier refusal once more on a kept
// connection (issue 34).
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	const requests = 120
	for name, c := range map[string]struct {
		subnet int
		withID bool
		delay  time.Duration
	}{
		"with ID":       {43, true, 0},
		"without ID":    {44, false, 0},
		"late, with ID": {45, true, 10 * time.Millisecond},
		"late, without": {46, false, 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := &repeatingService{withID: c.withID, delay: c.delay, ran: make(map[string]int)}
			var instances []map[string]any
			for i := range 2 {
				instances = append(instances, map[string]any{"id": fmt.Sprint("i-", i), "born": 1, "backend": "orders", "address": service.start(t), "zone": "z", "slots": 8, "state": "ready", "version": "v1"})
			}
			list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next": nil})
			}))
			t.Cleanup(list.Close)
			cluster := startCluster(t, c.subnet, 1, 1, strings.TrimPrefix(list.URL, "http://"), writeRoutes)
			served := 0
			for i := range requests {
				id := fmt.Sprint("w-", i)
				status := sendRequest(http.MethodPost, cluster.entries[0].callerAddr(), "/p/x", "body", id)
				service.mu.Lock()
				ran := service.ran[id]
				service.mu.Unlock()
				if ran > 1 || ran > 0 && status == http.StatusServiceUnavailable {
					t.Errorf("request %s: got status %d, ran %d times", id, status, ran)
				}
				if status == http.StatusOK {
					served++
				}
			}
			service.mu.Lock()
			defer service.mu.Unlock()
			if service.repeats == 0 || served < requests/2 {
				t.Errorf("got %d repeated refusals and %d of %d requests served, want some, and half or more", service.repeats, served, requests)
			}
		})
	}
}
