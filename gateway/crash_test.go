package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/quarantine"
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
	down    bool
	stopped bool
}

var ownAddresses atomic.Int32

// ownAddress returns an address of loopback that no connection of another test has for
// its own, so that a server that starts again finds its port free.
func ownAddress() string { return fmt.Sprintf("127.0.41.%d:0", 1+ownAddresses.Add(1)%250) }

func newMortal(t *testing.T, other answer) *mortal {
	t.Helper()
	m := &mortal{t: t, address: ownAddress(), other: other}
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
	m.down = false
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
	if m.down {
		return
	}
	m.down = true
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

// entries are entries that tell each other of crashes, as voters do it for them.
type entries struct {
	t      *testing.T
	table  *route.Table
	known  *fleet.Fleet
	mu     sync.Mutex
	voter  *quarantine.Table
	tables []*quarantine.Table
	urls   []*httptest.Server
}

func newEntries(t *testing.T, n int, r route.Route, listings []bamboostep.Listing) *entries {
	t.Helper()
	e := &entries{t: t, voter: &quarantine.Table{}, tables: make([]*quarantine.Table, n), urls: make([]*httptest.Server, n)}
	e.table, e.known = testRoutes(t, r)
	e.known.NoteList(listings, time.Now())
	for i := range n {
		e.start(i)
	}
	return e
}

// start starts an entry, again if it runs: it knows what the voter knows.
func (e *entries) start(i int) {
	table := &quarantine.Table{}
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	guard := &quarantine.Guard{Table: table, Tell: e.tell, Try: func(context.Context, uint64) bool { return false }, Recorder: recorder}
	e.mu.Lock()
	table.Note(time.Now(), e.voter.All())
	e.tables[i] = table
	e.mu.Unlock()
	if e.urls[i] != nil {
		e.urls[i].Close()
	}
	e.urls[i] = serveGuarded(e.t, guard, &dispatch.Budget{Burst: 10_000}, recorder, e.table, e.known)
}

func (e *entries) tell(records []quarantine.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.voter.Note(time.Now(), records)
	for _, table := range e.tables {
		table.Note(time.Now(), e.voter.All())
	}
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

// TestEntryThatStartsAgainRefusesStill guards against issue 20 over restarts and at several
// entries: the request comes to another entry each time, and each has just started.
func TestEntryThatStartsAgainRefusesStill(t *testing.T) {
	const sends = 12
	servers, listings := mortals(t, 8, whole("ok"))
	e := newEntries(t, 3, route.Route{Kind: route.NonIdempotent, Attempts: 1}, listings)
	for i := range sends {
		if _, _, err := sendCall(t, e.urls[i%3], fmt.Sprintf("a%d", i), "/p/x", crashBody); err != nil {
			t.Fatal(err)
		}
		e.start(i % 3)
	}
	if reached, ended := counts(servers); reached > crashesToProve+retriesAfter {
		t.Errorf("sent %d times: reached %d backend servers and ended %d, want at most %d", sends, reached, ended, crashesToProve+retriesAfter)
	}
}

// TestRequestsBesideACrashingOneAreServed guards against a remedy of issue 20 that is
// worse than it: streams break off at the same crashes, and get their answers all the same. In
// the storm backend servers crash besides.
func TestRequestsBesideACrashingOneAreServed(t *testing.T) {
	for name, storm := range map[string]bool{"calm": false, "storm": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const streams, length = 60, 12
			servers, listings := mortals(t, 8, slowEvents(length, 25*time.Millisecond))
			e := newEntries(t, 2, route.Route{Kind: route.Streaming, Resumable: true, Attempts: 6, Timeout: 20 * time.Second}, listings)
			var all sync.WaitGroup
			all.Go(func() {
				for i := range 12 {
					_, _, _ = sendCall(t, e.urls[i%2], fmt.Sprintf("a%d", i), "/p/x", crashBody) // it fails
					if storm && i%3 == 0 {
						servers[i%len(servers)].crash()
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
			for i := range streams {
				all.Go(func() {
					time.Sleep(time.Duration(i) * 20 * time.Millisecond)
					e.expectStream(fmt.Sprintf("s%d", i), length)
				})
			}
			all.Wait()
			if reached, ended := counts(servers); reached > crashesToProve+retriesAfter {
				t.Errorf("reached %d backend servers and %d ended, want at most %d reached", reached, ended, crashesToProve+retriesAfter)
			}
		})
	}
}

// expectStream sends a request whose caller comes back once if it fails.
func (e *entries) expectStream(id string, length int) {
	e.t.Helper()
	var status int
	var events int
	var text string
	for n := range 2 {
		resp, body, err := sendCall(e.t, e.urls[n%2], fmt.Sprint(id, "-", n), "/p/x", id)
		if resp != nil {
			status = resp.StatusCode
		}
		if text, events = body, strings.Count(body, "data:"); err == nil && status == http.StatusOK && events == length {
			return
		}
	}
	e.t.Errorf("stream %s: got status %d with %d events, %q, want %d events", id, status, events, text[:min(len(text), 80)], length)
}
