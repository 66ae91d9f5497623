package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

// These tests run the roles in this process, over real connections. The backend servers
// crash on a certain request body.

const (
	crashBody   = "crashes what runs it"
	crashPart   = "deadbeef" // ID of a part of prompts
	waitTimeout = 15 * time.Second
	maxReached  = 3 + 3                  // three crashes until the request is refused, and three retries
	restartTime = 200 * time.Millisecond // of a crashed backend server
)

// crashingService is a service without model engines. Its backend servers crash when they run
// a request with crashBody or with crashPart in its prompt, and start again after restartTime.
type crashingService struct {
	t       *testing.T
	reached atomic.Int32 // crashing requests that came to a backend server

	mu      sync.Mutex
	servers map[string]*http.Server // by address
	closed  bool
}

func newCrashingService(t *testing.T, n int) *crashingService {
	s := &crashingService{t: t, servers: make(map[string]*http.Server)}
	for i := range n {
		s.start(fmt.Sprintf("127.0.42.%d:0", 1+i)) // no connection has its local end there and could occupy the port of a crashed server
	}
	t.Cleanup(s.close)
	return s
}

// start runs a backend server. It retries the listen, since the port of a crashed one may be
// in use for a moment.
func (s *crashingService) start(address string) {
	l, err := net.Listen("tcp", address)
	for until := time.Now().Add(waitTimeout); err != nil && time.Now().Before(until); l, err = net.Listen("tcp", address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		s.t.Error(err)
		return
	}
	address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(address, w, r) })}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		l.Close()
		return
	}
	s.servers[address] = server
	go server.Serve(l)
}

func (s *crashingService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, server := range s.servers {
		server.Close()
	}
}

// serve echoes the attempt's ID and signs the response, or closes the backend server without
// a response if the request crashes it.
func (s *crashingService) serve(address string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if string(body) != crashBody && !strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashPart) {
		w.Header().Set("X-Response-Signature", "s")
		return
	}
	s.reached.Add(1)
	s.mu.Lock()
	server := s.servers[address]
	s.mu.Unlock()
	server.Close()
	time.AfterFunc(restartTime, func() { s.start(address) })
	panic(http.ErrAbortHandler)
}

// directory serves the platform's list and returns its address. The list has every backend
// server that was ever started, so it lists crashed ones as ready.
func (s *crashingService) directory() string {
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		var instances []map[string]any
		for address := range s.servers {
			instances = append(instances, map[string]any{"id": "i-" + address, "born": 1, "backend": "orders", "address": address, "zone": "z", "slots": 8, "state": "ready"})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances, "next": nil})
	}))
	s.t.Cleanup(list.Close)
	return strings.TrimPrefix(list.URL, "http://")
}

// testRole is one process of the system.
type testRole struct {
	t    *testing.T
	name string
	cfg  platform.Settings
	stop func()
}

// start runs the role in goroutines until stop is called, at the latest at the end of the test.
func (r *testRole) start() {
	ctx, cancel := context.WithCancel(context.Background())
	p := newProcess(ctx, r.name, r.cfg)
	done := make(chan error, 1)
	go func() { done <- roles[r.name](p) }()
	r.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			r.t.Errorf("%s: %v", r.name, err)
		}
	})
	r.t.Cleanup(r.stop)
}

func (r *testRole) restart() {
	r.stop()
	r.start()
}

const (
	testBasePort      = 17380
	testRevokeTimeout = 5 * time.Second
)

// newRole starts a role on a loopback address. The only voter is on 127.0.0.21.
func newRole(t *testing.T, name, ip, directory string) *testRole {
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(testBasePort+port)) }
	cfg := platform.Settings{VMName: name + "-" + ip, IP: ip, FailureDomain: "z", FirstPort: testBasePort, LastPort: testBasePort + 9,
		Seeds: []string{net.JoinHostPort("127.0.0.21", strconv.Itoa(testBasePort+3))}, Bootstrap: true, DirectoryAddr: directory,
		StabilityPeriod: 3 * time.Second, RevokeTimeout: testRevokeTimeout, DrainTimeout: 3 * time.Second, GracePeriod: time.Second, RetryRatio: 10, RetryWindow: 10 * time.Second, RetryExtra: 1000, MemoryLimitMB: 200}
	switch name {
	case "entry":
		cfg.CallerAddr, cfg.ReadyAddr = at(1), at(2)
	case "voter":
		cfg.OperatorAddr, cfg.DataDir = at(3), t.TempDir()
	}
	r := &testRole{t: t, name: name, cfg: cfg}
	r.start()
	return r
}

// sendRequest returns the status of the response, or 0 if there is none.
func sendRequest(method, address, path, body, id string) int {
	return sendRequestWithKey(method, address, path, body, id, "")
}

// sendRequestWithKey sends an API key too, unless key is empty.
func sendRequestWithKey(method, address, path, body, id, key string) int {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return statusOf(req, id)
}

// statusOf sends a request, with an ID unless that is empty, and returns the status of the
// response, or 0 if there is none.
func statusOf(req *http.Request, id string) int {
	req.Close = true
	if id != "" {
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", id)
		req.Header.Set("X-Request-Deadline", "3000")
	}
	client := http.Client{Timeout: waitTimeout} // a process that accepts no connection does not answer
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// awaitOK repeats a request until the status is 200, and fails the test after waitTimeout.
func awaitOK(t *testing.T, what, method, address, path, body string) {
	t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if sendRequest(method, address, path, body, "") == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s: got no status 200 within %v", what, waitTimeout)
}

const testRoutes = `{"version":1,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/p/","route_type":"idempotent","timeout_ms":3000,
"target_latency_ms":500,"priority":1,"backend":"orders","attempts":3}],"backends":[{"name":"orders","health_check":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// startCrashTest starts a service whose backend servers may crash, and a voter and two entries that
// are ready to send it requests.
func startCrashTest(t *testing.T) (service *crashingService, voter *testRole, entries []*testRole) {
	t.Helper()
	service = newCrashingService(t, 6)
	directory := service.directory()
	voter = newRole(t, "voter", "127.0.0.21", directory)
	entries = []*testRole{newRole(t, "entry", "127.0.0.22", directory), newRole(t, "entry", "127.0.0.23", directory)}
	awaitOK(t, "publication", http.MethodPut, voter.cfg.OperatorAddr, strings.TrimPrefix(platform.PatternPublishRoutes, "PUT "), testRoutes)
	for _, e := range entries {
		awaitReady(t, e)
	}
	return service, voter, entries
}

// awaitReady waits until an entry reports that it is ready.
func awaitReady(t *testing.T, e *testRole) {
	t.Helper()
	awaitOK(t, "readiness", http.MethodGet, e.cfg.ReadyAddr, strings.TrimPrefix(platform.PatternReady, "GET "), "")
}

// TestCrashingRequestOverRestarts guards against a request that crashes one backend server
// after another (issue 20). The caller sends it to two entries in turn while entries and the
// voter restart. It may reach at most three backend servers and three retries; other requests
// must succeed meanwhile.
func TestCrashingRequestOverRestarts(t *testing.T) {
	service, voter, entries := startCrashTest(t)
	for i := range 12 {
		e := entries[i%2]
		if got := sendRequest(http.MethodPost, e.cfg.CallerAddr, "/p/x", crashBody, fmt.Sprint("a", i)); got < http.StatusInternalServerError {
			t.Errorf("request %d: got status %d, want 500 or higher", i, got)
		}
		if got := sendRequest(http.MethodPost, e.cfg.CallerAddr, "/p/x", "another", fmt.Sprint("b", i)); got != http.StatusOK {
			t.Errorf("harmless request %d: got status %d, want 200", i, got)
		}
		time.Sleep(restartTime)
		switch i {
		case 4, 5, 8:
			e.restart()
			awaitReady(t, e)
		case 6:
			voter.restart()
		}
	}
	if got := service.reached.Load(); got > maxReached || got < 3 {
		t.Errorf("request sent 12 times: reached %d backend servers, want 3 to %d", got, maxReached)
	}
}
