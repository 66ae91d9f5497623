package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	firstPort    = 17380 // of the ports for connections between the system's processes
	portFront    = 18149
	portReady    = 18141
	portControl  = 18144
	portApp      = 18145
	portList     = 18142
	listLag      = 800 * time.Millisecond // lag_ms
	restartDelay = 500 * time.Millisecond // until the platform starts a process again that has ended
	killTimeout  = 10 * time.Second
)

// record writes what happens, with the time since the start, to the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// process is a process of the system. The platform, which this type stands in for, starts it again when it ends.
type process struct {
	s        *system
	role, ip string
	settings string // path
	logPath  string
	dataDir  string // empty without a disk

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{} // closed when cmd has ended
	down     bool          // it is not started again
	ownEnds  int           // ends that nobody caused
	expected bool          // its next end is caused by the test
}

func (p *process) name() string { return p.role + " " + p.ip }

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startLocked()
}

func (p *process) startLocked() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.s.program, p.role)
	cmd.Dir = p.s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "BAMBOOSTEP_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.expected, p.down = cmd, done, false, false
	go p.wait(cmd, done)
	return nil
}

// wait starts the process again when it has ended by itself.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	close(done)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expected || p.s.ending() {
		return
	}
	p.ownEnds++
	p.s.record.printf("%s has ended by itself: %v%s", p.name(), err, p.panicLine())
	time.AfterFunc(restartDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.s.ending() && !p.down && p.cmd == cmd {
			p.s.record.printf("%s is started again by the platform", p.name())
			_ = p.startLocked()
		}
	})
}

// panicLine returns the last panic in the process's log and the frames of the project below it.
func (p *process) panicLine() string {
	log, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	i := bytes.LastIndex(log, []byte("panic: "))
	if i < 0 {
		return ""
	}
	var out []string
	for _, line := range strings.Split(string(log[i:]), "\n") {
		if strings.HasPrefix(line, "panic: ") || strings.HasPrefix(line, "[signal") || strings.Contains(line, "bamboostep") && strings.Contains(line, "(") {
			out = append(out, strings.TrimSpace(line))
		}
		if len(out) >= 5 {
			break
		}
	}
	return "\n            " + strings.Join(out, "\n            ")
}

// kill ends the process without notice. It is not started again until start is called.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.expected, p.down = true, true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails if it has ended already
	select {
	case <-done:
	case <-time.After(killTimeout):
	}
}

func (p *process) ends() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownEnds
}

// system is one deployment: its processes, and the platform's list.
type system struct {
	root, program, dir string
	subnet             string // first three numbers of all addresses
	record             *record
	seeds              []string
	settings           []string // lines that all processes have
	bootstrap          bool

	mu        sync.Mutex
	processes []*process
	stopped   bool
	list      func() []map[string]any
}

func (s *system) ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// address returns the n-th loopback address of the deployment.
func (s *system) address(n int) string { return s.subnet + "." + strconv.Itoa(n) }

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// checkPorts fails if a port that a case uses is taken.
func checkPorts(ips []string) error {
	for _, ip := range ips {
		for _, port := range []int{firstPort, portFront, portReady, portControl, 9100, 9101, 9102} {
			l, err := net.Listen("tcp", at(ip, port))
			if err != nil {
				return err
			}
			l.Close()
		}
	}
	return nil
}

// serveList serves the platform's list as it was listLag ago.
func (s *system) serveList() error {
	l, err := net.Listen("tcp", at(s.address(250), portList))
	if err != nil {
		return err
	}
	var mu sync.Mutex
	type snapshot struct {
		at      time.Time
		entries []map[string]any
	}
	snapshots := []snapshot{{time.Now(), s.list()}}
	go func() {
		for !s.ending() {
			time.Sleep(listLag / 16)
			mu.Lock()
			snapshots = append(snapshots, snapshot{time.Now(), s.list()})
			for len(snapshots) > 1 && time.Since(snapshots[1].at) >= listLag {
				snapshots = snapshots[1:]
			}
			mu.Unlock()
		}
	}()
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/instances" {
			http.NotFound(w, r)
			return
		}
		mu.Lock()
		entries := snapshots[0].entries
		mu.Unlock()
		if entries == nil {
			entries = []map[string]any{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
	}))
	return nil
}

// newProcess writes the settings of a process in a zone.
func (s *system) newProcess(role, ip, zone string, extra ...string) (*process, error) {
	dir := filepath.Join(s.dir, role+"-"+ip)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	p := &process{s: s, role: role, ip: ip, settings: filepath.Join(dir, "node.conf"), logPath: filepath.Join(dir, "log")}
	if role == "voter" {
		p.dataDir = filepath.Join(dir, "data")
		if err := os.MkdirAll(p.dataDir, 0o700); err != nil {
			return nil, err
		}
	}
	if err := p.writeSettings(zone, s.bootstrap, extra...); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

func (p *process) writeSettings(zone string, bootstrap bool, extra ...string) error {
	s := p.s
	lines := append([]string{
		"node=" + p.role + "-" + p.ip, "role=" + p.role, "ip=" + p.ip, "zone=" + zone, "region=uy-sur",
		fmt.Sprintf("port_range=%d,%d", firstPort, firstPort+15),
		"seeds=" + strings.Join(s.seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap),
		"limits.cpu_share=0.72", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"discovery=cloud_api", "entry=vip", "heartbeat_ms=1200", "config_mode=highest",
		"cloud_api.address=" + at(s.address(250), portList), "cloud_api.rate_per_s=47.0", "cloud_api.duties=", "cloud_api.lag_ms=800",
	}, s.settings...)
	switch p.role {
	case "entry":
		lines = append(lines, "machine_class=edge", "serves=edge", "listen.front="+at(p.ip, portFront), "listen.ready_addr="+at(p.ip, portReady))
	case "voter":
		lines = append(lines, "machine_class=edge", "serves=control", "counts_as_loss=true", "limits.disk_mb=64", "listen.control="+at(p.ip, portControl), "data_dir="+p.dataDir)
	case "holder":
		lines = append(lines, "machine_class=side", "serves=side", "app="+at(p.ip, portApp))
	}
	lines = append(lines, extra...)
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// boundsOfSmall are the bounds of the sheet of cobreplata, whose deployment bears the loss of one machine with a disk.
var boundsOfSmall = []string{
	"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
	"contracts=base,drain,config,cost,retry,recover,fleet,stream,engine",
	"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
	"bounds.drain_ms=3000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
	"bounds.max_stretch_ms=5000", "bounds.retry_budget=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=64", "bounds.recover_s=12",
	"bounds.pass_ms=120", "bounds.retry_after_s=0", "bounds.fencing=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300",
	"bounds.ceiling_window_s=5", "bounds.ceiling_over=1.1",
}

// stop ends all processes.
func (s *system) stop() {
	s.mu.Lock()
	s.stopped = true
	all := s.processes
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range all {
		wg.Go(p.kill)
	}
	wg.Wait()
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// publish sends a configuration as an operator does: to one voter after the other until one acknowledges it.
func (s *system) publish(voters []*process, config map[string]any, within time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	until := time.Now().Add(within)
	for n := 0; time.Now().Before(until); n++ {
		v := voters[n%len(voters)]
		req, err := http.NewRequest(http.MethodPut, "http://"+at(v.ip, portControl)+"/-/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := operatorClient.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.record.printf("operator: configuration %v acknowledged by %s", config["version"], v.ip)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("configuration %v was not acknowledged within %v", config["version"], within)
}

// readVersion reads the configuration at a voter. It returns the status, 0 if there is no answer, and the version.
func readVersion(v *process) (status, version int) {
	resp, err := operatorClient.Get("http://" + at(v.ip, portControl) + "/-/config")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var d struct{ Version int }
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&d) != nil {
		return 0, 0
	}
	return resp.StatusCode, d.Version
}

// awaitReady waits until an entry is ready.
func awaitReady(e *process, within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := operatorClient.Get("http://" + at(e.ip, portReady) + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name(), within)
}
