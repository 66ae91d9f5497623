package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestOddListEntriesStopNoProcess guards against processes that end, or cease to follow the list, since another writer
// has left entries in it that cannot be read (issue 34). A backend server that is listed behind them is used, and
// another that comes later.
func TestOddListEntriesStopNoProcess(t *testing.T) {
	service := startVersionedService(t, 1, "v1", "v2")
	deep := strings.Repeat("[", 300000) + strings.Repeat("]", 300000)
	odd := []string{
		deep,
		`{"id":"o1","backend":"lm","address":"10.9.9.9:1","state":"ready","models":` + deep + `}`,
		`{"id":"o2","backend":"lm","address":"127.0.0.1:1","state":"ready","version":` + deep + `}`,
		`{"id":"o3","backend":"lm","address":"10.9.9.9:99999","state":"ready"}`,
		`{"id":"o4","backend":"lm","address":"10.9.9.9:1","state":"ready","slots":1e400}`,
		`{"id":"o5","backend":"lm","address":"10.9.9.9:1","state":"ready","slots":9223372036854775807}`,
		`{"id":"o6","backend":"lm","address":"10.9.9.9:1","state":"ready","born":1e300}`,
		`{"id":"` + strings.Repeat("x", 3<<20) + `","backend":"lm","address":"10.9.9.9:1","state":"ready"}`,
		`{"id":"o9","backend":"lm","address":"10.9.9.9:1","state":"ready","models":[{"name":"m","adapters":[` + strings.Repeat(`"`+strings.Repeat("x", 200)+`",`, 50000) + `"a1"]}]}`,
		`{"id":"o8","backend":"lm","address":"10.9.9.9:-7","state":"ready"}`,
		"{\"id\":\"\xff\x00\"}", `{"id":}`, `7`, `null`,
	}
	listed := func(servers []map[string]any) string {
		var entries []string
		for _, s := range servers {
			entries = append(entries, fmt.Sprintf(`{"id":%q,"born":1,"backend":"lm","address":%q,"zone":"z","slots":64,"state":"ready","version":%q}`, s["id"], s["address"], s["version"]))
		}
		return `{"instances":[` + strings.Join(odd, ",") + "," + strings.Join(entries, ",") + `],"next":null}`
	}
	body := make(chan string, 1)
	body <- listed(service.servers[:1])
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := <-body
		body <- now
		_, _ = w.Write([]byte(now))
	}))
	t.Cleanup(list.Close)
	cluster := startCluster(t, 41, 3, 2, strings.TrimPrefix(list.URL, "http://"), streamRoutes)
	for i, e := range cluster.entries {
		awaitVersion(t, e.callerAddr(), fmt.Sprint("a", i), `"v1"`)
	}
	<-body
	body <- listed(service.servers[1:])
	for i, e := range cluster.entries {
		awaitVersion(t, e.callerAddr(), fmt.Sprint("b", i), `"v2"`)
	}
	for _, p := range cluster.processes() {
		if err := p.cmd.Process.Signal(syscall.Signal(0)); err != nil {
			t.Errorf("process %s at %s: got %v, want it to run", p.role, p.ip, err)
		}
	}
	if lost := cluster.linesWith("msg=list_lost", "msg=list_read_directly", "msg=report_unreadable"); lost != "" {
		t.Errorf("the list was not followed: %.2000s", lost)
	}
}

// awaitVersion sends requests until a stream comes from a software version.
func awaitVersion(t *testing.T, address, id, version string) {
	t.Helper()
	until := time.Now().Add(waitTimeout)
	for i := 0; ; i++ {
		s := &callerStream{}
		s.read(t, address, fmt.Sprint(id, "-", i), 1)
		if len(s.versions) > 0 && s.versions[0] == version {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("entry %s: got status %d and events of %q, want version %s", address, s.status, s.versions, version)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
