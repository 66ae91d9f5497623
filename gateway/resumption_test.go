package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/release"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// TestStreamGoesOnWhereItFailed breaks a stream once at the only backend server of its version. It goes on there, since no
// other one can.
func TestStreamGoesOnWhereItFailed(t *testing.T) {
	var broken atomic.Bool
	only := newFakeBackend(t, true, func(w http.ResponseWriter, r *http.Request) {
		cut := 0
		if broken.CompareAndSwap(false, true) {
			cut = 3
		}
		streamEvents(4, cut)(w, r)
	})
	s := startGateway(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, only)
	resp, body, err := sendWithID(t, s, "a1", "/p/x", "")
	if want := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"; err != nil || body != want {
		t.Errorf("stream: got %v, %q, %v, want %q", resp, body, err, want)
	}
	if got := len(only.recordedRuns()); got != 2 {
		t.Errorf("runs: got %d, want 2", got)
	}
}

// TestTakenUpStreamStaysAtItsOrigin checks where a request goes that takes a stream up, by where that began.
func TestTakenUpStreamStaysAtItsOrigin(t *testing.T) {
	for name, c := range map[string]struct {
		origin release.Origin
		status int
		reason string
	}{
		"its service and version":  {release.Origin{Service: "s", Version: `"v1"`}, http.StatusOK, ""},
		"a version that has left":  {release.Origin{Service: "s", Version: `"v0"`}, http.StatusServiceUnavailable, "version_not_served"},
		"a service that has moved": {release.Origin{Service: "another", Version: `"v1"`}, http.StatusServiceUnavailable, reasonServiceNotRouted},
		"unknown":                  {release.Origin{}, http.StatusServiceUnavailable, reasonVersionUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			backend := newFakeBackend(t, true, streamEvents(4, 0))
			table, known := newTableAndFleet(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, backend)
			s := startGatewayWithOrigin(t, table, known, c.origin)
			began := time.Now()
			status, body := takeUp(t, s, "2")
			if status != c.status || !strings.Contains(body, c.reason) {
				t.Errorf("response: got %d %q, want %d %s", status, body, c.status, c.reason)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("response: got it after %v, want within 1s", took)
			}
			if want := "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"; c.status == http.StatusOK && body != want {
				t.Errorf("events: got %q, want %q", body, want)
			}
			if got := len(backend.recordedRuns()); (got > 0) != (c.status == http.StatusOK) {
				t.Errorf("runs: got %d", got)
			}
		})
	}
}

// Guards against streams that are refused after an entry or a voter has forgotten where they began, or whose callers do not name
// the request that began them, though there is one service and one version where they can have begun.
func TestStreamOfForgottenOriginGoesOnAtTheOnlyVersion(t *testing.T) {
	long, short := time.Now().Add(-time.Minute), time.Now().Add(-time.Second)
	for name, c := range map[string]struct {
		routed, listed time.Time // since when the entry has known the table and the backend servers
		another        bool      // a backend server of another version was listed meanwhile
		status         int
	}{
		"known for long":       {long, long, false, http.StatusOK},
		"table is new":         {short, long, false, http.StatusServiceUnavailable},
		"list is new":          {long, short, false, http.StatusServiceUnavailable},
		"two versions of late": {long, long, true, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			backend := newFakeBackend(t, true, streamEvents(4, 0))
			table, _ := newTableAndFleet(t, route.Route{Kind: route.Streaming, Attempts: 2, Resumable: true}, backend)
			l := bamboostep.Listing{Instance: "i0", StartedMS: 1, Service: "s", Address: strings.TrimPrefix(backend.URL, "http://"), Domain: "a", Slots: 8, SoftwareVersion: `"v1"`}
			known := &fleet.Fleet{Domain: "a"}
			known.ApplyList([]bamboostep.Listing{l}, c.listed)
			if c.another {
				old := bamboostep.Listing{Instance: "i1", StartedMS: 1, Service: "s", Address: "10.0.0.1:1", Domain: "a", SoftwareVersion: `"v0"`}
				known.ApplyList([]bamboostep.Listing{l, old}, time.Now().Add(-2*time.Second))
			}
			known.ApplyList([]bamboostep.Listing{l}, time.Now())
			s := startGatewayWithOrigin(t, table.WithHistory(nil, c.routed), known, release.Origin{})
			status, body := takeUp(t, s, "2")
			if status != c.status {
				t.Errorf("status: got %d %q, want %d", status, body, c.status)
			}
			if want := "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"; c.status == http.StatusOK && body != want {
				t.Errorf("events: got %q, want %q", body, want)
			}
		})
	}
}

// startGatewayWithOrigin starts a gateway that knows where the stream of request a1 began.
func startGatewayWithOrigin(t *testing.T, table *route.Table, known *fleet.Fleet, origin release.Origin) *httptest.Server {
	t.Helper()
	tracker := &release.Tracker{Voters: func() ([]release.Voter, int) { return []release.Voter{emptyVoter{}}, 1 }}
	tracker.Note("a1", origin, time.Minute)
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
	g.Releases = tracker
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return s
}

// takeUp takes the stream of request a1 up after an event.
func takeUp(t *testing.T, s *httptest.Server, after string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, s.URL+"/p/x", strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header = http.Header{"X-Attempt-Id": {"a2"}, "Last-Event-Id": {after}, "Resumes": {"a1"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("body: got error %v after %q", err, data)
	}
	return resp.StatusCode, string(data)
}

// emptyVoter is a voter that knows no stream.
type emptyVoter struct{}

func (emptyVoter) Peer() wire.Hello                             { return wire.Hello{} }
func (emptyVoter) Send(string, any) error                       { return nil }
func (emptyVoter) Call(context.Context, string, any, any) error { return nil }
