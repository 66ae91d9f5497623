package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

// The bound that the platform states for a limit of N requests a second: from limitGrace after
// the backend server first named it, at most limitTolerance times N x limitWindow, and
// limitSlack more, within any limitWindow.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	limitGrace     = 3 * time.Second
)

// limitedService is a service without model engines. Its first backend servers name a limit
// in each answer, the others do not.
type limitedService struct {
	limit string // as named

	mu       sync.Mutex
	servers  []*httptest.Server
	arrivals [][]time.Time // by backend server
}

// newLimitedService starts n backend servers of which the first limited ones name a limit.
func newLimitedService(t *testing.T, n, limited int, limit string) *limitedService {
	s := &limitedService{limit: limit, arrivals: make([][]time.Time, n)}
	for i := range n {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(i, i < limited, w, r) }))
		t.Cleanup(server.Close)
		s.servers = append(s.servers, server)
	}
	return s
}

func (s *limitedService) serve(i int, limited bool, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.arrivals[i] = append(s.arrivals[i], time.Now())
	s.mu.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Signature", "s")
	if limited {
		w.Header().Set("Server-Limit", s.limit)
	}
}

// directory serves the platform's list and returns its address.
func (s *limitedService) directory(t *testing.T) string {
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var instances []map[string]any
		for _, server := range s.servers {
			address := strings.TrimPrefix(server.URL, "http://")
			instances = append(instances, map[string]any{"id": "i-" + address, "born": 1, "backend": "orders", "address": address, "zone": "z", "slots": 8, "state": "ready"})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next": nil})
	}))
	t.Cleanup(list.Close)
	return strings.TrimPrefix(list.URL, "http://")
}

// arrived returns when requests arrived at a backend server, from limitGrace after the first.
func (s *limitedService) arrived(i int) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.arrivals[i]
	for n, at := range all {
		if at.Sub(all[0]) >= limitGrace {
			return append([]time.Time(nil), all[n:]...)
		}
	}
	return nil
}

// mostWithin returns the largest number of arrivals within any period of a length.
func mostWithin(arrivals []time.Time, length time.Duration) int {
	most, first := 0, 0
	for n, at := range arrivals {
		for at.Sub(arrivals[first]) > length {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// sendConcurrently sends a request every interval for a length of time, to the entries as pick
// chooses, and returns how many got each status.
func sendConcurrently(entries []*testRole, length, interval time.Duration, pick func(n int) int) map[int]int {
	var mu sync.Mutex
	var sent sync.WaitGroup
	statuses := make(map[int]int)
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	for n, until := 0, time.Now().Add(length); time.Now().Before(until); n++ {
		<-ticks.C
		sent.Go(func() {
			status := sendRequest(http.MethodPost, entries[pick(n)].cfg.CallerAddr, "/p/x", "body", fmt.Sprint("a", n))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	sent.Wait()
	return statuses
}

// startLimitTest starts a voter and n entries before a service, and returns the entries.
func startLimitTest(t *testing.T, s *limitedService, n int) []*testRole {
	t.Helper()
	_, entries := startLimitTestWithVoter(t, s, n)
	return entries
}

// startLimitTestWithVoter is startLimitTest, and returns the voter as well.
func startLimitTestWithVoter(t *testing.T, s *limitedService, n int) (*testRole, []*testRole) {
	t.Helper()
	directory := s.directory(t)
	voter := newRole(t, "voter", "127.0.0.21", directory)
	var entries []*testRole
	for i := range n {
		entries = append(entries, newRole(t, "entry", fmt.Sprint("127.0.0.", 22+i), directory))
	}
	awaitOK(t, "publication", http.MethodPut, voter.cfg.OperatorAddr, strings.TrimPrefix(platform.PatternPublishRoutes, "PUT "), testRoutes)
	for _, e := range entries {
		awaitOK(t, "readiness", http.MethodGet, e.cfg.ReadyAddr, strings.TrimPrefix(platform.PatternReady, "GET "), "")
	}
	return voter, entries
}

// TestServerLimitHoldsOverAllEntries guards against a backend server that gets more requests
// from all entries together than the limit that it names (issue 28).
func TestServerLimitHoldsOverAllEntries(t *testing.T) {
	const limit = 2.0
	s := newLimitedService(t, 2, 1, "2")
	entries := startLimitTest(t, s, 4)
	statuses := sendConcurrently(entries, 10*time.Second, 25*time.Millisecond, func(n int) int { return n % len(entries) })
	want := int(limitTolerance*limit*limitWindow.Seconds() + limitSlack)
	if got := mostWithin(s.arrived(0), limitWindow); got > want {
		t.Errorf("requests at the limited backend server within %v: got %d, want at most %d", limitWindow, got, want)
	}
	if len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("statuses: got %v, want only 200, since the other backend server has no limit", statuses)
	}
}

// TestServerLimitIsUsedThroughOneEntry guards against a limit that is divided among entries
// and left idle when all demand comes through one of them (issue 28).
func TestServerLimitIsUsedThroughOneEntry(t *testing.T) {
	const limit, length = 4.0, 10 * time.Second
	s := newLimitedService(t, 1, 1, "4")
	entries := startLimitTest(t, s, 4)
	sendConcurrently(entries, length, 25*time.Millisecond, func(int) int { return 0 })
	arrivals := s.arrived(0)
	want := int(limitTolerance*limit*limitWindow.Seconds() + limitSlack)
	if got := mostWithin(arrivals, limitWindow); got > want {
		t.Errorf("requests within %v: got %d, want at most %d", limitWindow, got, want)
	}
	if got, want := len(arrivals), int(0.9*limit*(length-limitGrace).Seconds()); got < want {
		t.Errorf("requests in the last %v: got %d, want at least %d", length-limitGrace, got, want)
	}
}

// TestServerLimitHoldsOverRestarts guards against a limit that is forgotten, or granted twice,
// when entries and the voter restart (issue 28).
func TestServerLimitHoldsOverRestarts(t *testing.T) {
	const limit = 3.0
	s := newLimitedService(t, 2, 1, "3")
	voter, entries := startLimitTestWithVoter(t, s, 3)
	var restarts sync.WaitGroup
	restarts.Go(func() {
		time.Sleep(limitGrace + 500*time.Millisecond)
		for _, r := range []*testRole{entries[0], voter, entries[1], entries[2], voter} {
			r.restart()
			time.Sleep(500 * time.Millisecond)
		}
	})
	sendConcurrently(entries, 13*time.Second, 25*time.Millisecond, func(n int) int { return n % len(entries) })
	restarts.Wait()
	want := int(limitTolerance*limit*limitWindow.Seconds() + limitSlack)
	if got := mostWithin(s.arrived(0), limitWindow); got > want {
		t.Errorf("requests at the limited backend server within %v: got %d, want at most %d", limitWindow, got, want)
	}
}
