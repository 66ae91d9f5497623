package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// startSmallGateway starts a gateway that may hold held bytes, for bodies of up to limit bytes that pause for idle at most.
func startSmallGateway(t *testing.T, held, limit int64, idle time.Duration) (*httptest.Server, *fakeBackend) {
	t.Helper()
	s := newFakeBackend(t, true, respondWith("ok"))
	table, known := newTableAndFleet(t, route.Route{Kind: route.NonIdempotent, Attempts: 1, Timeout: 20 * time.Second}, s)
	table.Limits.MaxBodyBytes, table.Limits.IdleTimeout = limit, idle
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
	g.Memory = memory.NewBudget(held)
	return startServer(t, g), s
}

func startServer(t *testing.T, g *Gateway) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return server
}

// sendRaw sends the bytes of a request, and returns its connection and what reads the response.
func sendRaw(t *testing.T, g *httptest.Server, request string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", strings.TrimPrefix(g.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(nc, request); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

const rawHead = "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\n"

// Guards against bodies that are held without a bound or a time, and against refusals that do not say in the promised way that nothing has run.
func TestBodiesThatAreNotTaken(t *testing.T) {
	const (
		held  = 200 << 10
		limit = 4 << 20
	)
	for name, c := range map[string]struct {
		request string
		want    int
	}{
		"over the limit, announced": {rawHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit+1), http.StatusRequestEntityTooLarge},
		"stops short":               {rawHead + "Content-Length: 9\r\n\r\nshort", http.StatusRequestTimeout},
		"stops at once":             {rawHead + "Content-Length: 9\r\n\r\n", http.StatusRequestTimeout},
		"stops inside chunks":       {rawHead + "Transfer-Encoding: chunked\r\n\r\n9\r\nshort", http.StatusRequestTimeout},
		"over the memory":           {rawHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", limit) + strings.Repeat("x", held+64<<10), http.StatusServiceUnavailable},
		"broken chunks":             {rawHead + "Transfer-Encoding: chunked\r\n\r\nno\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, s := startSmallGateway(t, held, limit, 100*time.Millisecond)
			_, r := sendRaw(t, g, c.request)
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != c.want || !resp.Close {
				t.Fatalf("response: got %+v, %v, want status %d and a connection that is closed", resp, err, c.want)
			}
			if hasRetry := resp.Header.Get("Retry-After") != ""; hasRetry != (c.want == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After: got %v with status %d", hasRetry, c.want)
			}
			if got := len(s.recordedRuns()); got != 0 {
				t.Errorf("runs: got %d, want none", got)
			}
		})
	}
}

// Guards against a pause of a body that counts from its beginning instead of its last bytes, and against a deadline of its read that
// outlives it.
func TestSlowBodyIsTaken(t *testing.T) {
	const idle = time.Second
	g, s := startSmallGateway(t, 1<<20, 1<<20, idle)
	s.Config.Handler = slowly(s.Config.Handler, 2*idle)
	nc, r := sendRaw(t, g, rawHead+"Content-Length: 4\r\n\r\n")
	for range 4 {
		time.Sleep(idle * 2 / 5)
		_, _ = io.WriteString(nc, "x")
	}
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.Header.Get("X-Response-Signature") == "" {
		t.Errorf("response: got %+v, %v, want that of the backend server", resp, err)
	}
}

// slowly serves a request after a delay.
func slowly(h http.Handler, delay time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		h.ServeHTTP(w, r)
	})
}

// Guards against bodies that stop short and keep the memory from others: they are refused as not run, and the other one is served.
func TestStalledBodyGoesForAnother(t *testing.T) {
	const size = 300 << 10
	g, s := startSmallGateway(t, size*5/2, size, time.Minute)
	_, r := sendRaw(t, g, rawHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", size)+strings.Repeat("x", size-1))
	status := 0
	for until := time.Now().Add(20 * time.Second); status != http.StatusOK && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		resp, _, err := send(t, g, "/p/x", strings.Repeat("y", size))
		if err != nil {
			t.Fatal(err)
		}
		status = resp.StatusCode
	}
	if status != http.StatusOK {
		t.Fatalf("another body: got status %d, want 200 in the end", status)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("stalled body: got %+v, %v, want status 503", resp, err)
	}
	if got := len(s.recordedRuns()); got != 1 {
		t.Errorf("runs: got %d, want 1", got)
	}
}
