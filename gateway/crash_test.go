package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

const (
	crashBody = "crashes what runs it"
	downTime  = 150 * time.Millisecond // until a backend server that crashed is back
	listenBy  = 5 * time.Second        // that its address may take to be free

	crashesToProve = 3 // backend servers that a request may end before it is known
	retriesAfter   = 3 // times that it may be sent after that
)

// mortal is a backend server that crashes when it begins to run a request with
// crashBody, and starts again at the same address.
type mortal struct {
	t       *testing.T
	address string
	other   answer // to other requests

	mu      sync.Mutex
	server  *http.Server
	ended   int
	reached int // times that a request with crashBody arrived
	stopped bool
}

func newMortal(t *testing.T, other answer) *mortal {
	t.Helper()
	m := &mortal{t: t, address: "127.0.0.1:0", other: other}
	m.start()
	t.Cleanup(m.stop)
	return m
}

func (m *mortal) start() {
	var l net.Listener
	var err error
	for until := time.Now().Add(listenBy); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if l, err = net.Listen("tcp", m.address); err == nil {
			break
		}
	}
	if err != nil {
		m.t.Error(err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		l.Close()
		return
	}
	m.address = l.Addr().String()
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	go m.server.Serve(l)
}

func (m *mortal) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.server.Close()
}

func (m *mortal) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if string(body) != crashBody {
		m.other(w, r)
		return
	}
	m.mu.Lock()
	m.reached++
	m.mu.Unlock()
	m.crash()
	panic(http.ErrAbortHandler)
}

// crash ends the process with all its connections, and starts another after a while.
func (m *mortal) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended++
	m.server.Close()
	time.AfterFunc(downTime, m.start)
}

// mortals returns n backend servers, and their listings.
func mortals(t *testing.T, n int, other answer) ([]*mortal, []bamboostep.Listing) {
	t.Helper()
	var servers []*mortal
	var listings []bamboostep.Listing
	for i := range n {
		m := newMortal(t, other)
		servers = append(servers, m)
		listings = append(listings, bamboostep.Listing{Instance: fmt.Sprintf("i%d", i), Born: 1, Service: "s", Address: m.address, Domain: "a", Slots: 8})
	}
	return servers, listings
}

// counts returns how often a request with crashBody reached servers and how many ended.
func counts(servers []*mortal) (reached, ended int) {
	for _, m := range servers {
		m.mu.Lock()
		reached += m.reached
		ended += m.ended
		m.mu.Unlock()
	}
	return reached, ended
}

// TestRequestThatCrashesBackendServersIsNotSentOn guards against issue 20: a request under
// which three backend servers had ended was sent to all others each time it came again.
func TestRequestThatCrashesBackendServersIsNotSentOn(t *testing.T) {
	const sends = 12
	servers, listings := mortals(t, 8, whole("ok"))
	table, known := testRoutes(t, route.Route{Kind: route.Idempotent, Attempts: 3})
	known.NoteList(listings, time.Now())
	g := serveGateway(t, &dispatch.Budget{Burst: 100}, &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}, table, known)
	for i := range sends {
		resp, _, err := sendCall(t, g, fmt.Sprintf("a%d", i), "/p/x", crashBody)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode < http.StatusInternalServerError {
			t.Errorf("send %d: got status %d, want a failure", i, resp.StatusCode)
		}
		time.Sleep(2 * downTime)
	}
	reached, ended := counts(servers)
	if want := crashesToProve + retriesAfter; reached > want {
		t.Errorf("sent %d times: reached %d backend servers and ended %d, want at most %d", sends, reached, ended, want)
	}
	if resp, body, err := sendCall(t, g, "other", "/p/x", "another"); err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(body, "ok") {
		t.Errorf("another request: got %v %q, %v, want ok", resp, body, err)
	}
}
