package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/internal/flood"
	"github.com/bamboostep/bamboostep/scenario/cluster"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Crowds of badly behaved clients against the programs of our own interface, one entry and one agent beside an application, as package node has them for the
// users' platform. What is checked depends on no speed: the processes live, their memory and descriptors stay under the bounds, and an ordinary request is answered. Here the crowd takes connections.

const (
	floodWait = 15 * time.Second

	crowdDescriptors = 200 // that a process may have
	crowdClients     = 400

	floodEntry = "entry-a"
	floodAgent = "agent-libro-1"
)

const floodObjects = `
[[place]]
name = "libro"
kind = "application"
workers = 1
failure_domains = ["uy-sur-a"]

[[service]]
name = "quotations"
place = "libro"
path_prefix = "/quotations"
class = "quote"
idempotent = true
answer_ms = 2000

[[service]]
name = "orders"
place = "libro"
path_prefix = "/orders"
class = "write"
idempotent = false
name_header = "X-Order-Id"
name_field = "order_id"
name_window_s = 600
answer_ms = 2000
`

// floodedCluster is one entry and one agent beside an application.
type floodedCluster struct {
	*cluster.Cluster
	t *testing.T
}

// startFloodedCluster starts c with one entry and one application, publishes floodObjects and waits until a request is answered.
func startFloodedCluster(t *testing.T, c *cluster.Cluster) floodedCluster {
	t.Helper()
	c.Bin, c.Dir, c.Entries, c.Services, c.Direct = builtPrograms, t.TempDir(), 1, 1, true
	f := floodedCluster{c, t}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(c.Stop)
	if err := c.Start(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitHealthy(floodEntry); err != nil {
		t.Fatal(err)
	}
	objects := t.TempDir()
	if err := os.WriteFile(filepath.Join(objects, "objects.toml"), []byte(floodObjects), 0o600); err != nil {
		t.Fatal(err)
	}
	publish := exec.Command(filepath.Join(c.Bin, "bamboostep"), "publish", "--entry", c.OperatorsURL(floodEntry), objects)
	if out, err := publish.CombinedOutput(); err != nil {
		t.Fatalf("publication: %v\n%s", err, out)
	}
	f.awaitServed("before the crowd")
	return f
}

// await repeats a request until its status is 200, and fails the test after floodWait.
func (f floodedCluster) await(what, method, url, body string) {
	f.t.Helper()
	client := http.Client{Timeout: floodWait, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for until := time.Now().Add(floodWait); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		if err != nil {
			f.t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, %v", resp.StatusCode, err)
	}
	f.t.Fatalf("%s: got no status 200 within %v, at last %s", what, floodWait, last)
}

func (f floodedCluster) awaitServed(when string) {
	f.t.Helper()
	f.await("an ordinary request "+when, http.MethodPost, f.CallersURL(floodEntry)+"/quotations", "body")
}

// awaitLink fails the test unless another process of the system gets a connection to the named one.
func (f floodedCluster) awaitLink(name, when string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), floodWait)
	defer cancel()
	up := false
	n := &wire.Node{Hello: wire.Hello{Name: "peer"}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, Redial: 200 * time.Millisecond}
	link := &wire.Link{Node: n, Address: f.ListenAddress(name), Handler: &wire.Mux{}, Up: func(*wire.Conn) { up = true; cancel() }}
	_ = link.Run(ctx) // ends with ctx
	if !up {
		f.t.Fatalf("another process got no connection to %s %s", name, when)
	}
}

func (f floodedCluster) measured(name string) flood.Process {
	f.t.Helper()
	p, err := f.Process(name)
	if err != nil {
		f.t.Fatal(err)
	}
	return flood.Process{ID: p.PID()}
}

// adminURL returns the URL of the metrics and health checks of a process.
func (f floodedCluster) adminURL(name string) string {
	if name == floodAgent {
		return "http://" + f.AdminAddress(name)
	}
	return f.OperatorsURL(name)
}

// Guards against an entry or an agent that no longer accepts or opens connections since a crowd has taken its descriptors.
func TestFloodOfConnections(t *testing.T) {
	for name, c := range map[string]struct {
		process string
		ports   []string
		returns bool
	}{
		"entry, port for callers":            {floodEntry, []string{"callers"}, false},
		"entry, port for operators":          {floodEntry, []string{"admin"}, false},
		"entry, port for processes":          {floodEntry, []string{"listen"}, false},
		"entry, all ports":                   {floodEntry, []string{"callers", "admin", "listen"}, false},
		"entry, port for callers, returning": {floodEntry, []string{"callers"}, true},
		"entry, all ports, returning":        {floodEntry, []string{"callers", "admin", "listen"}, true},
		"agent, port for processes":          {floodAgent, []string{"listen"}, false},
		"agent, admin port":                  {floodAgent, []string{"admin"}, false},
		"agent, all ports":                   {floodAgent, []string{"admin", "listen"}, false},
		"agent, all ports, returning":        {floodAgent, []string{"admin", "listen"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := startFloodedCluster(t, &cluster.Cluster{Descriptors: crowdDescriptors})
			addresses := map[string]string{
				"callers": strings.TrimPrefix(f.CallersURL(floodEntry), "http://"),
				"admin":   strings.TrimPrefix(f.adminURL(c.process), "http://"),
				"listen":  f.ListenAddress(c.process),
			}
			var crowds []*flood.Crowd
			for _, port := range c.ports {
				crowd := &flood.Crowd{Clients: crowdClients, Returns: c.returns}
				crowd.Start(t, addresses[port])
				crowds = append(crowds, crowd)
			}
			if !c.returns {
				f.measured(c.process).AwaitAccepted(t, crowdDescriptors)
			}
			f.awaitServing(c.process, "beside the crowd")
			for _, crowd := range crowds {
				crowd.Leave()
			}
			f.awaitServing(c.process, "after the crowd")
		})
	}
}

// awaitServing fails the test unless the named process serves what comes to each of its ports.
func (f floodedCluster) awaitServing(name, when string) {
	f.t.Helper()
	f.await("health of "+name+" "+when, http.MethodGet, f.adminURL(name)+"/healthz", "")
	f.await("metrics of "+name+" "+when, http.MethodGet, f.adminURL(name)+"/metrics", "")
	f.awaitLink(name, when)
	f.awaitServed(when)
	if got := f.measured(name).Descriptors(f.t); got > crowdDescriptors {
		f.t.Errorf("descriptors of %s: got %d, want at most %d", name, got, crowdDescriptors)
	}
}
