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

// These tests run the roles as the program does, over real connections, before backend
// servers that a certain request crashes.

const (
	crashBody  = "crashes what runs it"
	upWithin   = 15 * time.Second
	mostSends  = 3 + 3 // three crashes, and three retries
	serverDown = 200 * time.Millisecond
)

// crashingService is a plain service whose backend servers crash when they run a request
// with crashBody.
type crashingService struct {
	t       *testing.T
	reached atomic.Int32

	mu      sync.Mutex
	servers map[string]*http.Server // by address
	closed  bool
}

func newCrashingService(t *testing.T, n int) *crashingService {
	s := &crashingService{t: t, servers: make(map[string]*http.Server)}
	for i := range n {
		s.start(fmt.Sprintf("127.0.42.%d:0", 1+i)) // where no connection has its own end
	}
	t.Cleanup(s.close)
	return s
}

func (s *crashingService) start(address string) {
	l, err := net.Listen("tcp", address)
	for until := time.Now().Add(upWithin); err != nil && time.Now().Before(until); l, err = net.Listen("tcp", address) {
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

func (s *crashingService) serve(address string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if string(body) != crashBody {
		w.Header().Set("X-Response-Signature", "s")
		return
	}
	s.reached.Add(1)
	s.mu.Lock()
	server := s.servers[address]
	s.mu.Unlock()
	server.Close()
	time.AfterFunc(serverDown, func() { s.start(address) })
	panic(http.ErrAbortHandler)
}

// directory serves the platform's list.
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

// role is one process of the system.
type role struct {
	t    *testing.T
	name string
	cfg  platform.Settings
	stop func()
}

// start runs the role until stop is called.
func (r *role) start() {
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

func (r *role) restart() {
	r.stop()
	r.start()
}

const (
	testFirstPort = 17380
	testRevoke    = 5 * time.Second
)

func newRole(t *testing.T, name, ip, directory string) *role {
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(testFirstPort+port)) }
	cfg := platform.Settings{VMName: name + "-" + ip, IP: ip, FailureDomain: "z", FirstPort: testFirstPort, LastPort: testFirstPort + 9,
		Seeds: []string{net.JoinHostPort("127.0.0.21", strconv.Itoa(testFirstPort+3))}, Bootstrap: true, DirectoryAddr: directory,
		StabilityPeriod: 3 * time.Second, RevokeTimeout: testRevoke, DrainTimeout: 3 * time.Second, GracePeriod: time.Second, RetryRatio: 10, RetryWindow: 10 * time.Second, RetryExtra: 1000, MemoryLimitMB: 200}
	switch name {
	case "entry":
		cfg.CallerAddr, cfg.ReadyAddr = at(1), at(2)
	case "voter":
		cfg.OperatorAddr, cfg.DataDir = at(3), t.TempDir()
	}
	r := &role{t: t, name: name, cfg: cfg}
	r.start()
	return r
}

// call sends a request and returns the status of its answer, 0 for none.
func call(method, address, path, body, id string) int {
	return callWithKey(method, address, path, body, id, "")
}

// callWithKey is call with a caller's key, unless that is empty.
func callWithKey(method, address, path, body, id, key string) int {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Close = true
	if id != "" {
		req.Host = "h.example"
		req.Header.Set("X-Attempt-Id", id)
		req.Header.Set("X-Request-Deadline", "3000")
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// awaitOK waits until a call is answered with 200.
func awaitOK(t *testing.T, what, method, address, path, body string) {
	t.Helper()
	for until := time.Now().Add(upWithin); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if call(method, address, path, body, "") == http.StatusOK {
			return
		}
	}
	t.Fatalf("%s: got no 200 within %v", what, upWithin)
}

const testRoutes = `{"version":1,"routes":[{"name":"r","hostname":"h.example","path_prefix":"/p/","route_type":"idempotent","timeout_ms":3000,
"target_latency_ms":500,"priority":1,"backend":"orders","attempts":3}],"backends":[{"name":"orders","health_check":"/health","max_connections":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// TestCrashingRequestOverRestarts guards against issue 20 in the whole system: the request
// comes to two entries by turns, entries and the voter start again meanwhile, and it
// reaches no more backend servers than three and three retries.
func TestCrashingRequestOverRestarts(t *testing.T) {
	service := newCrashingService(t, 6)
	directory := service.directory()
	voter := newRole(t, "voter", "127.0.0.21", directory)
	entries := []*role{newRole(t, "entry", "127.0.0.22", directory), newRole(t, "entry", "127.0.0.23", directory)}
	awaitOK(t, "publication", http.MethodPut, voter.cfg.OperatorAddr, strings.TrimPrefix(platform.PatternPublishRoutes, "PUT "), testRoutes)
	ready := func(e *role) {
		awaitOK(t, "readiness", http.MethodGet, e.cfg.ReadyAddr, strings.TrimPrefix(platform.PatternReady, "GET "), "")
	}
	for _, e := range entries {
		ready(e)
	}
	for i := range 12 {
		e := entries[i%2]
		if got := call(http.MethodPost, e.cfg.CallerAddr, "/p/x", crashBody, fmt.Sprint("a", i)); got < http.StatusInternalServerError {
			t.Errorf("send %d: got status %d, want a failure", i, got)
		}
		if got := call(http.MethodPost, e.cfg.CallerAddr, "/p/x", "another", fmt.Sprint("b", i)); got != http.StatusOK {
			t.Errorf("another request beside send %d: got status %d, want 200", i, got)
		}
		time.Sleep(serverDown)
		switch i {
		case 4, 5, 8:
			e.restart()
			ready(e)
		case 6:
			voter.restart()
		}
	}
	if got := service.reached.Load(); got > mostSends || got < 3 {
		t.Errorf("sent 12 times: reached %d backend servers, want 3 to %d", got, mostSends)
	}
}
