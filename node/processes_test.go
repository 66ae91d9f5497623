package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

// Tests over real processes: the test binary starts itself as the program, so that processes can be
// killed without notice.

const (
	nodeVariable        = "BAMBOOSTEP_TEST_NODE"        // makes the test binary run as the program
	descriptorsVariable = "BAMBOOSTEP_TEST_DESCRIPTORS" // that the program may have open; no limit of its own if empty
)

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		limitDescriptors(os.Getenv(descriptorsVariable))
		main()
		return
	}
	os.Exit(m.Run())
}

// limitDescriptors lets this process have so many descriptors open.
func limitDescriptors(text string) {
	if text == "" {
		return
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "limit of descriptors:", err)
		os.Exit(1)
	}
}

// nodeProcess is a process of the system.
type nodeProcess struct {
	t        *testing.T
	role, ip string
	settings string // path
	logPath  string
	cmd      *exec.Cmd

	maxDescriptors int // 0 for no limit of its own
}

// start starts the process. Its output is appended to its log.
func (p *nodeProcess) start() {
	p.t.Helper()
	program, err := os.Executable()
	if err != nil {
		p.t.Fatal(err)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(program, p.role)
	p.cmd.Env = append(os.Environ(), nodeVariable+"=1", platform.SettingsVariable+"="+p.settings)
	if p.maxDescriptors > 0 {
		p.cmd.Env = append(p.cmd.Env, descriptorsVariable+"="+strconv.Itoa(p.maxDescriptors))
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

// kill ends the process without notice.
func (p *nodeProcess) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill() // fails if it has ended already
	_ = p.cmd.Wait()         // the error says that it was killed
	p.cmd = nil
}

// metric returns the value of a metric of the process, named without its prefix, or 0 if it has none yet. If
// there are several by label, it returns the last.
func (p *nodeProcess) metric(name string) float64 {
	resp, err := http.Get("http://" + net.JoinHostPort(p.ip, metricsPorts[p.role]) + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	value := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		full, number, _ := strings.Cut(lines.Text(), " ")
		if bare, _, _ := strings.Cut(full, "{"); bare == "bamboostep_"+name {
			value, _ = strconv.ParseFloat(number, 64)
		}
	}
	return value
}

// awaitMetric waits until a metric of the process satisfies a condition, and fails the test after waitTimeout.
func (p *nodeProcess) awaitMetric(name string, ok func(value float64) bool) {
	p.t.Helper()
	for until := time.Now().Add(waitTimeout); !ok(p.metric(name)); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			p.t.Fatalf("metric %s of %s %s: got %v after %v", name, p.role, p.ip, p.metric(name), waitTimeout)
		}
	}
}

// callerAddr returns the address for callers.
func (p *nodeProcess) callerAddr() string { return portOf(p.ip, 1) }

func portOf(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(testBasePort+port))
}

// nodeCluster is a set of voters and entries, each a process of its own.
type nodeCluster struct {
	t       *testing.T
	voters  []*nodeProcess
	entries []*nodeProcess
	others  []*nodeProcess // that were added later
}

// startCluster starts voters and entries on loopback addresses 127.0.SUBNET.x, publishes routes and
// waits until the entries are ready.
func startCluster(t *testing.T, subnet, voters, entries int, directory, routes string) *nodeCluster {
	t.Helper()
	c := &nodeCluster{t: t}
	var seeds []string
	for i := range voters {
		seeds = append(seeds, portOf(fmt.Sprintf("127.0.%d.%d", subnet, 1+i), 3))
	}
	for i := range voters {
		c.voters = append(c.voters, c.newProcess("voter", fmt.Sprintf("127.0.%d.%d", subnet, 1+i), directory, seeds))
	}
	for i := range entries {
		c.entries = append(c.entries, c.newProcess("entry", fmt.Sprintf("127.0.%d.%d", subnet, 11+i), directory, seeds))
	}
	t.Cleanup(func() {
		c.kill()
		if t.Failed() {
			t.Log(c.linesWith("msg=stream_", "msg=request_failed", "msg=server_rests"))
		}
	})
	c.start()
	awaitOK(t, "publication", http.MethodPut, portOf(c.voters[0].ip, 3), strings.TrimPrefix(platform.PatternPublishRoutes, "PUT "), routes)
	c.awaitReady()
	return c
}

// newProcess writes the settings of a process.
func (c *nodeCluster) newProcess(role, ip, directory string, seeds []string) *nodeProcess {
	c.t.Helper()
	dir := c.t.TempDir()
	lines := []string{
		"node=" + role + "-" + ip, "ip=" + ip, "zone=z-" + ip, "bootstrap=true", "limits.memory_mb=284",
		fmt.Sprintf("port_range=%d,%d", testBasePort, testBasePort+9),
		"seeds=" + strings.Join(seeds, ","), "cloud_api.address=" + directory,
		"bounds.contact_ms=3000", "bounds.config_apply_ms=2000", "bounds.drain_ms=3000", "bounds.grace_s=1", "bounds.retry_budget=10", "bounds.budget_window_s=10", "bounds.budget_extra=1000",
	}
	switch role {
	case "entry":
		lines = append(lines, "listen.front="+portOf(ip, 1), "listen.ready_addr="+portOf(ip, 2))
	case "holder":
		lines = append(lines, "app="+portOf(ip, 1), "backend=orders")
	case "voter":
		lines = append(lines, "listen.control="+portOf(ip, 3), "data_dir="+filepath.Join(dir, "data"))
		if err := os.Mkdir(filepath.Join(dir, "data"), 0o700); err != nil {
			c.t.Fatal(err)
		}
	}
	p := &nodeProcess{t: c.t, role: role, ip: ip, settings: filepath.Join(dir, "settings"), logPath: filepath.Join(dir, "log")}
	if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return p
}

// processes returns all processes.
func (c *nodeCluster) processes() []*nodeProcess {
	return slices.Concat(c.voters, c.entries, c.others)
}

func (c *nodeCluster) start() {
	for _, p := range c.processes() {
		p.start()
	}
}

// kill ends all processes at once, without notice.
func (c *nodeCluster) kill() {
	var killed sync.WaitGroup
	for _, p := range c.processes() {
		killed.Go(p.kill)
	}
	killed.Wait()
}

// restart kills all processes at once, starts them again and waits until the entries are ready.
func (c *nodeCluster) restart() {
	c.t.Helper()
	c.kill()
	c.start()
	c.awaitReady()
}

func (c *nodeCluster) awaitReady() {
	c.t.Helper()
	for _, e := range c.entries {
		awaitOK(c.t, "readiness of "+e.ip, http.MethodGet, portOf(e.ip, 2), strings.TrimPrefix(platform.PatternReady, "GET "), "")
	}
}

// awaitStreamsOnDisk waits until the file of each voter holds the origins of at least so many streams.
func (c *nodeCluster) awaitStreamsOnDisk(streams int) {
	c.t.Helper()
	const bytesPerStream = 8 // and more for what they share
	for _, v := range c.voters {
		path := filepath.Join(filepath.Dir(v.settings), "data", releaseFileName)
		for until := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
			info, err := os.Stat(path)
			if err == nil && info.Size() > int64(streams*bytesPerStream) && v.metric("release_streams") >= float64(streams) {
				break
			}
			if time.Now().After(until) {
				c.t.Fatalf("file of voter %s: got %+v, %v, with %v streams known, want more than %d bytes and %d streams",
					v.ip, info, err, v.metric("release_streams"), streams*bytesPerStream, streams)
			}
		}
	}
}

// linesWith returns the lines of all logs that contain any of some texts.
func (c *nodeCluster) linesWith(texts ...string) string {
	var found strings.Builder
	for _, p := range c.processes() {
		log, err := os.ReadFile(p.logPath)
		if err != nil {
			return err.Error()
		}
		for line := range strings.Lines(string(log)) {
			if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) }) {
				found.WriteString(line)
			}
		}
	}
	return found.String()
}
