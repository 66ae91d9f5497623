package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

// Crowds of callers that flood one process, and stay. They are small, and the memory that the process is told to have is small too.
// What is checked depends on no speed: the process lives, its memory and descriptors stay under the bounds, and it answers an ordinary request
// afterwards.

const (
	floodMemoryMB    = 96               // that the process may use
	floodCrowd       = 24               // callers, where each sends much
	floodConnections = 600              // callers, where each sends little
	floodBody        = 4 << 20          // bytes; the largest that testRoutes allow
	floodAnswer      = 7 << 20          // bytes; more than the sockets hold for a caller that does not read
	floodShort       = 100              // bytes that a body stops short of its end
	floodReadBuffer  = 4 << 10          // bytes that a caller's socket holds
	floodChunk       = 64               // bytes of a small chunk
	floodSpare       = 200              // descriptors of a process besides one for each caller
	floodPatience    = 20 * time.Second // for one caller that is neither served nor refused
)

// flood is what each caller of a crowd sends.
type flood struct {
	callers int
	send    func(w net.Conn)
}

const floodHead = "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: f\r\nX-Request-Deadline: 60000\r\n"

// sendBytes sends bytes in pieces of at most 64 KB until one is not taken.
func sendBytes(w io.Writer, bytes int) {
	piece := make([]byte, 64<<10)
	for bytes > 0 {
		n, err := w.Write(piece[:min(bytes, len(piece))])
		if err != nil {
			return
		}
		bytes -= n
	}
}

// sendChunks sends a body in small chunks.
func sendChunks(w io.Writer, bytes int) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", floodChunk, strings.Repeat("x", floodChunk))
	buffered := bufio.NewWriterSize(w, 64<<10)
	for sent := 0; sent < bytes; sent += floodChunk {
		if _, err := buffered.WriteString(chunk); err != nil {
			return
		}
	}
	buffered.Flush()
}

// run starts the crowd against an address and returns once each caller has sent what it sends, or was refused. The callers stay
// until the test ends.
func (f flood) run(t *testing.T, address string) {
	t.Helper()
	var sent sync.WaitGroup
	for range f.callers {
		nc, err := net.DialTimeout("tcp", address, waitTimeout)
		if err != nil {
			t.Logf("a caller did not get a connection: %v", err)
			continue
		}
		t.Cleanup(func() { nc.Close() })
		_ = nc.SetDeadline(time.Now().Add(floodPatience))
		_ = nc.(*net.TCPConn).SetReadBuffer(floodReadBuffer)
		sent.Go(func() { f.send(nc) })
	}
	sent.Wait()
}

// heldBytes returns the most memory that the process ever had from the system, and what it has not read from its connections now.
func (p *nodeProcess) heldBytes() (memory, unread int64) {
	resp, err := http.Get("http://" + net.JoinHostPort(p.ip, metricsPorts[p.role]) + "/metrics")
	if err != nil {
		p.t.Fatalf("metrics of %s: %v", p.role, err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "go_memstats_sys_bytes "); found {
			bytes, _ := strconv.ParseFloat(value, 64)
			memory = int64(bytes)
		}
	}
	sockets, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		p.t.Fatal(err)
	}
	ip := net.ParseIP(p.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	for line := range strings.Lines(string(sockets)) {
		fields := strings.Fields(line)
		if len(fields) > 4 && strings.HasPrefix(fields[1], local) && fields[3] == "01" {
			_, queue, _ := strings.Cut(fields[4], ":")
			bytes, _ := strconv.ParseInt(queue, 16, 64)
			unread += bytes
		}
	}
	return memory, unread
}

// descriptors returns the number of open descriptors of the process.
func (p *nodeProcess) descriptors() int {
	open, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "fd"))
	if err != nil {
		p.t.Fatalf("%s has ended: %v", p.role, err)
	}
	return len(open)
}

// limitMemory starts the process again with floodMemoryMB.
func (p *nodeProcess) limitMemory() {
	p.t.Helper()
	settings, err := os.ReadFile(p.settings)
	if err != nil {
		p.t.Fatal(err)
	}
	settings = append(settings, fmt.Sprintf("\nlimits.memory_mb=%d\n", floodMemoryMB)...)
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.kill()
	p.start()
}

// check fails the test unless the process has stayed within its bounds against a crowd.
func (p *nodeProcess) check(callers int) {
	p.t.Helper()
	memory, unread := p.heldBytes()
	p.t.Logf("memory %.1f MB, unread %.1f MB, descriptors %d", float64(memory)/1e6, float64(unread)/1e6, p.descriptors())
	if memory > floodMemoryMB<<20 {
		p.t.Errorf("memory: got %d bytes, want at most %d", memory, floodMemoryMB<<20)
	}
	if got := p.descriptors(); got > callers+floodSpare {
		p.t.Errorf("descriptors: got %d, want at most %d", got, callers+floodSpare)
	}
}

// floodService is a service whose answers are large for paths that ask for that, and that reads whole bodies.
func floodService(t *testing.T) (directory string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "s")
		if r.URL.Path == "/p/large" {
			w.Header().Set("Content-Length", strconv.Itoa(floodAnswer))
			sendBytes(w, floodAnswer)
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
	for name, f := range map[string]flood{
		"large bodies that stop short": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", floodHead, floodBody)
			sendBytes(w, floodBody-floodShort)
		}},
		"one large chunk that stops short": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", floodHead, floodBody)
			sendBytes(w, floodBody-floodShort)
		}},
		"small chunks that stop short": {floodCrowd, func(w net.Conn) {
			fmt.Fprint(w, floodHead+"Transfer-Encoding: chunked\r\n\r\n")
			sendChunks(w, floodBody-floodShort)
		}},
		"whole bodies": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", floodHead, floodBody)
			sendBytes(w, floodBody)
		}},
		"far over the limit, announced": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", floodHead, 16*floodBody)
			sendBytes(w, 16*floodBody)
		}},
		"far over the limit, sent": {floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", floodHead, 16*floodBody)
			sendBytes(w, 16*floodBody)
		}},
		"large answers that are not read": {floodCrowd, func(w net.Conn) {
			fmt.Fprint(w, strings.Replace(floodHead, "/p/x", "/p/large", 1)+"Content-Length: 0\r\n\r\n")
			_, _ = w.Read(make([]byte, 1))
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
			f.run(t, entry.callerAddr())
			for until := time.Now().Add(waitTimeout); sendRequest(http.MethodPost, entry.callerAddr(), "/p/x", "body", "o") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
				if time.Now().After(until) {
					t.Fatal("an ordinary request was not answered")
				}
			}
			entry.check(f.callers)
		})
	}
}

// Guards against a voter that ends, or exceeds its memory, since its ports for operators and for other processes are flooded.
func TestFloodedVoter(t *testing.T) {
	publish := strings.TrimPrefix(platform.PatternPublishRoutes, "PUT ")
	for name, c := range map[string]struct {
		port int
		flood
	}{
		"configurations that stop short": {3, flood{floodCrowd, func(w net.Conn) {
			fmt.Fprintf(w, "PUT %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", publish, floodBody)
			sendBytes(w, floodBody-floodShort)
		}}},
		"frames that stop short": {0, flood{floodCrowd, func(w net.Conn) {
			_, _ = w.Write([]byte{0, 0x7f, 0xff, 0xff})
			sendBytes(w, 0x7fffff-floodShort)
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, 62, 1, 1, floodService(t), testRoutes)
			voter := cluster.voters[0]
			voter.limitMemory()
			read := strings.TrimPrefix(platform.PatternReadRoutes, "GET ")
			awaitOK(t, "routes before the flood", http.MethodGet, portOf(voter.ip, 3), read, "")
			c.run(t, portOf(voter.ip, c.port))
			awaitOK(t, "routes after the flood", http.MethodGet, portOf(voter.ip, 3), read, "")
			voter.check(c.callers)
		})
	}
}
