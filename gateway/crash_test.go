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
	crashBody     = "crashes its backend server"
	restartDelay  = 150 * time.Millisecond // until a crashed backend server listens again
	listenTimeout = 5 * time.Second        // for its address to become free

	maxCrashes = 3 // backend servers that a request may crash before it is quarantined
	maxTrials  = 3 // times that it may be sent after that
)

// crashingBackend is a backend server that crashes when it starts to run a request with
// crashBody, and restarts at the same address.
type crashingBackend struct {
	t       *testing.T
	address string
	respond responder // handles other requests

	mu            sync.Mutex
	server        *http.Server
	crashes       int
	crashRequests int // received requests with crashBody
	down          bool
	stopped       bool
}

var lastHost atomic.Int32

// uniqueLoopbackAddress returns a loopback address that no connection of another test
// uses as its local address. A server that restarts on it therefore finds its port free.
func uniqueLoopbackAddress() string { return fmt.Sprintf("127.0.41.%d:0", 1+lastHost.Add(1)%250) }

func newCrashingBackend(t *testing.T, other responder) *crashingBackend {
	t.Helper()
	m := &crashingBackend{t: t, address: uniqueLoopbackAddress(), respond: other}
	m.start()
	t.Cleanup(m.stop)
	return m
}

func (m *crashingBackend) start() {
	var l net.Listener
	var err error
	for until := time.Now().Add(listenTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
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

func (m *crashingBackend) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.server.Close()
}

func (m *crashingBackend) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if string(body) != crashBody {
		m.respond(w, r)
		return
	}
	m.mu.Lock()
	m.crashRequests++
	m.mu.Unlock()
	m.crash()
	panic(http.ErrAbortHandler)
}

// crash closes the server with all its connections, and restarts it after restartDelay.
func (m *crashingBackend) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return
	}
	m.down = true
	m.crashes++
	m.server.Close()
	time.AfterFunc(restartDelay, m.start)
}

// newCrashingBackends starts n backend servers and returns them with their listings.
func newCrashingBackends(t *testing.T, n int, other responder) ([]*crashingBackend, []bamboostep.Listing) {
	t.Helper()
	var servers []*crashingBackend
	var listings []bamboostep.Listing
	for i := range n {
		m := newCrashingBackend(t, other)
		servers = append(servers, m)
		listings = append(listings, bamboostep.Listing{Instance: fmt.Sprintf("i%d", i), StartedMS: 1, Service: "s", Address: m.address, Domain: "a", Slots: 8, SoftwareVersion: `"v1"`})
	}
	return servers, listings
}

// countCrashes returns how many requests with crashBody the servers received, and how
// often the servers crashed.
func countCrashes(servers []*crashingBackend) (received, crashes int) {
	for _, m := range servers {
		m.mu.Lock()
		received += m.crashRequests
		crashes += m.crashes
		m.mu.Unlock()
	}
	return received, crashes
}

// entryGroup is a group of entries that share quarantine records. A table in the test
// takes the place of the voter that distributes them.
type entryGroup struct {
	t       *testing.T
	table   *route.Table
	fleet   *fleet.Fleet
	mu      sync.Mutex
	voter   *quarantine.Table
	tables  []*quarantine.Table
	servers []*httptest.Server
}

func newEntryGroup(t *testing.T, n int, r route.Route, listings []bamboostep.Listing) *entryGroup {
	t.Helper()
	e := &entryGroup{t: t, voter: &quarantine.Table{}, tables: make([]*quarantine.Table, n), servers: make([]*httptest.Server, n)}
	e.table, e.fleet = newTableAndFleet(t, r)
	e.fleet.ApplyList(listings, time.Now())
	for i := range n {
		e.startEntry(i)
	}
	return e
}

// startEntry starts or restarts entry i with the records that the voter has.
func (e *entryGroup) startEntry(i int) {
	table := &quarantine.Table{}
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	guard := &quarantine.Guard{Table: table, Broadcast: e.shareRecords, RequestTrial: func(context.Context, quarantine.SuspectID) bool { return false }, Recorder: recorder}
	e.mu.Lock()
	table.Merge(time.Now(), e.voter.Records())
	table.MergeParts(time.Now(), e.voter.PartRecords())
	e.tables[i] = table
	e.mu.Unlock()
	if e.servers[i] != nil {
		e.servers[i].Close()
	}
	e.servers[i] = serveGatewayWithGuard(e.t, guard, &dispatch.RetryBudget{Burst: 10_000}, recorder, e.table, e.fleet)
}

func (e *entryGroup) shareRecords(o quarantine.Observations) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.voter.Merge(time.Now(), o.Records)
	e.voter.MergeParts(time.Now(), o.Parts)
	for _, table := range e.tables {
		table.Merge(time.Now(), e.voter.Records())
		table.MergeParts(time.Now(), e.voter.PartRecords())
	}
}

// TestCrashingRequestIsRejected guards against issue 20: a request that had crashed
// three backend servers was sent to all others each time the caller repeated it.
func TestCrashingRequestIsRejected(t *testing.T) {
	const sends = 12
	servers, listings := newCrashingBackends(t, 8, respondWith("ok"))
	table, known := newTableAndFleet(t, route.Route{Kind: route.Idempotent, Attempts: 3})
	known.ApplyList(listings, time.Now())
	g := serveGateway(t, &dispatch.RetryBudget{Burst: 100}, &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}, table, known)
	for i := range sends {
		resp, _, err := sendWithID(t, g, fmt.Sprintf("a%d", i), "/p/x", crashBody)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode < http.StatusInternalServerError {
			t.Errorf("send %d: got status %d, want a failure", i, resp.StatusCode)
		}
		time.Sleep(2 * restartDelay)
	}
	received, crashes := countCrashes(servers)
	if want := maxCrashes + maxTrials; received > want {
		t.Errorf("sent %d times: received %d times, %d crashes, want at most %d", sends, received, crashes, want)
	}
	if resp, body, err := sendWithID(t, g, "other", "/p/x", "another"); err != nil || resp.StatusCode != http.StatusOK || !strings.HasPrefix(body, "ok") {
		t.Errorf("another request: got %v %q, %v, want ok", resp, body, err)
	}
}

// TestCrashingRequestIsRejectedAfterEntryRestart guards against issue 20 with several
// entries: each repeat goes to another entry, which has just restarted.
func TestCrashingRequestIsRejectedAfterEntryRestart(t *testing.T) {
	const sends = 12
	servers, listings := newCrashingBackends(t, 8, respondWith("ok"))
	e := newEntryGroup(t, 3, route.Route{Kind: route.NonIdempotent, Attempts: 1}, listings)
	for i := range sends {
		if _, _, err := sendWithID(t, e.servers[i%3], fmt.Sprintf("a%d", i), "/p/x", crashBody); err != nil {
			t.Fatal(err)
		}
		e.startEntry(i % 3)
	}
	if received, crashes := countCrashes(servers); received > maxCrashes+maxTrials {
		t.Errorf("sent %d times: received %d times, %d crashes, want at most %d", sends, received, crashes, maxCrashes+maxTrials)
	}
}

// TestRequestsConcurrentWithCrashingOneAreServed guards against a fix of issue 20 that
// rejects innocent requests: streams that were running at the same crashes must still be
// served. In the storm case, backend servers also crash for other reasons.
func TestRequestsConcurrentWithCrashingOneAreServed(t *testing.T) {
	for name, storm := range map[string]bool{"calm": false, "storm": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const streams, length = 60, 12
			servers, listings := newCrashingBackends(t, 8, slowStream(length, 25*time.Millisecond))
			e := newEntryGroup(t, 2, route.Route{Kind: route.Streaming, Resumable: true, Attempts: 6, Timeout: 20 * time.Second}, listings)
			var all sync.WaitGroup
			all.Go(func() {
				for i := range 12 {
					_, _, _ = sendWithID(t, e.servers[i%2], fmt.Sprintf("a%d", i), "/p/x", crashBody) // fails as expected
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
			if received, crashes := countCrashes(servers); received > maxCrashes+maxTrials {
				t.Errorf("received %d times, %d crashes, want at most %d times", received, crashes, maxCrashes+maxTrials)
			}
		})
	}
}

// expectStream sends a request and repeats it once if it fails.
func (e *entryGroup) expectStream(id string, length int) {
	e.t.Helper()
	var status int
	var events int
	var text string
	for n := range 2 {
		resp, body, err := sendWithID(e.t, e.servers[n%2], fmt.Sprint(id, "-", n), "/p/x", id)
		if resp != nil {
			status = resp.StatusCode
		}
		if text, events = body, strings.Count(body, "data:"); err == nil && status == http.StatusOK && events == length {
			return
		}
	}
	e.t.Errorf("stream %s: got status %d with %d events, %q, want %d events", id, status, events, text[:min(len(text), 80)], length)
}
