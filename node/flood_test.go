package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/internal/flood"
	"github.com/bamboostep/bamboostep/platform"
)

// Crowds of callers that flood one process, and stay. They are small, and the memory that the process is told to have is small too.
// What is checked depends on no speed: the process lives, its memory and descriptors stay under the bounds, and it answers an ordinary request
// afterwards.

const (
	floodMemoryMB    = 96       // that the process may use
	floodCrowd       = 24       // callers, where each sends much
	floodConnections = 600      // callers, where each sends little
	floodBody        = 4 << 20  // bytes; the largest that testRoutes allow
	floodAnswer      = 7 << 20  // bytes; more than the sockets hold for a caller that does not read
	floodShort       = 100      // bytes that a body stops short of its end
	floodRequests    = 250      // of each caller, one after the other
	floodID          = 48 << 10 // bytes of a long ID or path; over the limit on a head, but read
	floodReaders     = 60       // clients who ask for a large answer on the port of metrics, within its limit on connections
	floodFields      = 15 << 10 // bytes of many short fields, within the limit on a head
	floodManyFields  = 56 << 10 // the same, over the limit, but read
	floodSpare       = 200      // descriptors of a process besides one for each caller
)

const floodHead = "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: f\r\nX-Request-Deadline: 60000\r\n"

// measured returns the measures of the process.
func (p *nodeProcess) measured() flood.Process { return flood.Process{ID: p.cmd.Process.Pid} }

// systemMemory returns the most memory that the process ever had from the system, in bytes. It asks until it is answered, for waitTimeout at most.
func (p *nodeProcess) systemMemory() int64 {
	p.t.Helper()
	for until := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		bytes, err := readSystemMemory("http://" + p.metricsAddr() + "/metrics")
		if err == nil {
			return bytes
		}
		if time.Now().After(until) {
			p.t.Fatalf("metrics of the %s: %v", p.role, err)
		}
	}
}

func readSystemMemory(url string) (int64, error) {
	client := http.Client{Timeout: waitTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return flood.SystemMemory(resp.Body)
}

// limitMemory starts the process again with floodMemoryMB.
func (p *nodeProcess) limitMemory() {
	p.t.Helper()
	p.addSettings(fmt.Sprintf("limits.memory_mb=%d", floodMemoryMB))
	p.kill()
	p.start()
}

// check fails the test unless the process has stayed within its bounds against a crowd, since when no more than unread bytes waited for it.
func (p *nodeProcess) check(callers int, unread int64) {
	p.t.Helper()
	memory, descriptors := p.systemMemory(), p.measured().Descriptors(p.t)
	p.t.Logf("memory %.1f MB, unread %.1f MB, descriptors %d", float64(memory)/1e6, float64(unread)/1e6, descriptors)
	if memory+unread > floodMemoryMB<<20 {
		p.t.Errorf("memory: got %d bytes and %d that were not read, want at most %d", memory, unread, floodMemoryMB<<20)
	}
	if descriptors > callers+floodSpare {
		p.t.Errorf("descriptors: got %d, want at most %d", descriptors, callers+floodSpare)
	}
}

// floodService is a service whose answers are large, or do not come, for paths that ask for that, and that reads whole bodies.
func floodService(t *testing.T) (directory string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "s")
		if r.URL.Path == "/p/slow" {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/p/large" {
			w.Header().Set("Content-Length", strconv.Itoa(floodAnswer))
			flood.SendBytes(w, floodAnswer)
		}
	}))
	t.Cleanup(s.Close)
	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"next":null,"instances":[{"id":"i","born":1,"backend":"orders","address":%q,"zone":"z","slots":99,"state":"ready"}]}`, strings.TrimPrefix(s.URL, "http://"))
	}))
	t.Cleanup(list.Close)
	return strings.TrimPrefix(list.URL, "http://")
}

// Guards against an entry that ends, or exceeds its memory, since callers flood it.
func TestFloodedEntry(t *testing.T) {
	for name, f := range map[string]struct {
		clients int
		send    func(w net.Conn)
	}{
		"large bodies that stop short": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", floodHead, floodBody)
			flood.SendBytes(w, floodBody-floodShort)
		}},
		"one large chunk that stops short": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", floodHead, floodBody)
			flood.SendBytes(w, floodBody-floodShort)
		}},
		"small chunks that stop short": {floodCrowd, func(w net.Conn) {
			fmt.Fprint(w, floodHead+"Transfer-Encoding: chunked\r\n\r\n")
			flood.SendChunks(w, floodBody-floodShort)
		}},
		"whole bodies": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", floodHead, floodBody)
			flood.SendBytes(w, floodBody)
		}},
		"far over the limit, announced": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", floodHead, 16*floodBody)
			flood.SendBytes(w, 16*floodBody)
		}},
		"far over the limit, sent": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", floodHead, 16*floodBody)
			flood.SendBytes(w, 16*floodBody)
		}},
		"large answers that are not read": {floodCrowd, func(w net.Conn) {
			fmt.Fprint(w, strings.Replace(floodHead, "/p/x", "/p/large", 1)+"Content-Length: 0\r\n\r\n")
			_, _ = w.Read(make([]byte, 1))
		}},
		"requests with long IDs": {floodCrowd, func(w net.Conn) {
			flood.SendRequests(w, floodRequests, strings.Replace(floodHead, "Id: f", "Id: "+strings.Repeat("f", floodID), 1)+"Content-Length: 0\r\n\r\n")
		}},
		"requests with long paths": {floodCrowd, func(w net.Conn) {
			flood.SendRequests(w, floodRequests, strings.Replace(floodHead, "/p/x", "/"+strings.Repeat("x", floodID), 1)+"Content-Length: 0\r\n\r\n")
		}},
		"heads of many fields": {floodConnections, func(w net.Conn) {
			fmt.Fprintf(w, "%s%sContent-Length: %d\r\n\r\n", floodHead, flood.Fields(floodFields), floodBody)
		}},
		"heads of more fields than allowed": {floodConnections, func(w net.Conn) {
			fmt.Fprintf(w, "%s%sContent-Length: %d\r\n\r\n", floodHead, flood.Fields(floodManyFields), floodBody)
		}},
		"heads that stop short": {floodConnections, func(w net.Conn) {
			fmt.Fprint(w, floodHead+"X-More: "+strings.Repeat("x", 12<<10))
		}},
		"idle connections": {floodConnections, func(net.Conn) {}},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, 61, 1, 1, floodService(t), testRoutes)
			entry := cluster.entries[0]
			entry.limitMemory()
			cluster.awaitReady()
			unread := entry.measured().WatchUnread(t)
			defer unread()
			(&flood.Crowd{Clients: f.clients, Send: f.send}).Start(t, entry.callerAddr())
			for until := time.Now().Add(waitTimeout); sendRequest(http.MethodPost, entry.callerAddr(), "/p/x", "body", "o") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("an ordinary request was not answered")
				}
			}
			entry.check(f.clients, unread())
		})
	}
}

// Guards against a voter that ends, or exceeds its memory, since its ports for operators and for other processes are flooded.
func TestFloodedVoter(t *testing.T) {
	publish := strings.TrimPrefix(platform.PatternPublishRoutes, "PUT ")
	for name, c := range map[string]struct {
		port    int
		clients int
		send    func(w net.Conn)
	}{
		"configurations that stop short": {3, floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", publish, floodBody)
			flood.SendBytes(w, floodBody-floodShort)
		}},
		"configurations of empty routes": {3, floodCrowd, func(w net.Conn) {
			body := `{"version":2,"routes":[{}` + strings.Repeat(",{}", floodBody/3-20) + "]}"
			fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", publish, len(body), body)
			_, _ = w.Read(make([]byte, 1))
		}},
		"configurations of nested brackets": {3, floodCrowd, func(w net.Conn) {
			body := `{"version":2,"x":` + strings.Repeat("[", floodBody-40)
			fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", publish, len(body), body)
			_, _ = w.Read(make([]byte, 1))
		}},
		"heads of many fields": {3, floodConnections, func(w net.Conn) {
			fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", publish, flood.Fields(floodManyFields), floodBody)
		}},
		"heads of many fields, unknown path": {3, floodConnections, func(w net.Conn) {
			fmt.Fprintf(w, "POST /x HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", flood.Fields(floodManyFields), floodShort)
		}},
		"frames that stop short": {0, floodCrowd, func(w net.Conn) {
			_, _ = w.Write([]byte{0, 0x7f, 0xff, 0xff})
			flood.SendBytes(w, 0x7fffff-floodShort)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, 62, 1, 1, floodService(t), testRoutes)
			voter := cluster.voters[0]
			voter.limitMemory()
			read := strings.TrimPrefix(platform.PatternReadRoutes, "GET ")
			awaitOK(t, "routes before the flood", http.MethodGet, portOf(voter.ip, 3), read, "")
			unread := voter.measured().WatchUnread(t)
			defer unread()
			(&flood.Crowd{Clients: c.clients, Send: c.send}).Start(t, portOf(voter.ip, c.port))
			awaitOK(t, "routes after the flood", http.MethodGet, portOf(voter.ip, 3), read, "")
			voter.check(c.clients, unread())
		})
	}
}

// Guards against an entry that ends, or exceeds its memory, since clients send its ports of readiness and metrics heads of many fields, and no bodies.
func TestFloodedSmallPorts(t *testing.T) {
	for name, address := range map[string]func(p *nodeProcess) string{
		"readiness": func(p *nodeProcess) string { return portOf(p.ip, 2) },
		"metrics":   (*nodeProcess).metricsAddr,
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, 66, 1, 1, floodService(t), testRoutes)
			entry := cluster.entries[0]
			entry.limitMemory()
			cluster.awaitReady()
			unread := entry.measured().WatchUnread(t)
			defer unread()
			(&flood.Crowd{Clients: floodConnections, Send: func(w net.Conn) {
				fmt.Fprintf(w, "POST /x HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", flood.Fields(floodManyFields), floodShort)
			}}).Start(t, address(entry))
			cluster.awaitReady()
			cluster.awaitServed(entry, "after the crowd has sent")
			entry.check(floodConnections, unread())
		})
	}
}

// Guards against an entry that ends, or exceeds its memory, since clients ask its port of metrics for large answers and do not read them.
func TestFloodedMetricsPort(t *testing.T) {
	for name, path := range map[string]string{"metrics": "/metrics", "time lines": "/timeline"} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, 65, 1, 1, floodService(t), testRoutes)
			entry := cluster.entries[0]
			entry.limitMemory()
			cluster.awaitReady()
			unread := entry.measured().WatchUnread(t)
			defer unread()
			(&flood.Crowd{Clients: floodCrowd, Send: func(w net.Conn) { // fills the time line
				flood.SendRequests(w, floodRequests, strings.Replace(floodHead, "/p/x", "/"+strings.Repeat("x", floodID), 1)+"Content-Length: 0\r\n\r\n")
			}}).Start(t, entry.callerAddr())
			(&flood.Crowd{Clients: floodReaders, Send: func(w net.Conn) {
				fmt.Fprintf(w, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
				_, _ = w.Read(make([]byte, 1))
			}}).Start(t, entry.metricsAddr())
			cluster.awaitServed(entry, "after the crowd has sent")
			entry.check(floodCrowd+floodReaders, unread())
		})
	}
}
