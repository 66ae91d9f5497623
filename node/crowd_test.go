package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/internal/flood"
	"github.com/bamboostep/bamboostep/platform"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Crowds of connections against a process that may have few descriptors, on each port that it listens on. What is checked depends on no speed: while the
// crowd is there and after it has left, the process lives, has no more descriptors than it may have, and still serves what comes to each of its other ports and to this one.

const (
	crowdDescriptors = 200 // that the process may have
	crowdClients     = 400
	crowdReserved    = 200 // descriptors that the platform counts apart; see limits.max_fds
)

// limitDescriptors starts the process again with crowdDescriptors.
func (p *nodeProcess) limitDescriptors() {
	p.t.Helper()
	p.maxDescriptors = crowdDescriptors
	p.addSettings(fmt.Sprintf("limits.max_fds=%d", crowdDescriptors+crowdReserved))
	p.kill()
	p.start()
}

// addSettings appends lines to the settings file.
func (p *nodeProcess) addSettings(lines ...string) {
	p.t.Helper()
	settings, err := os.ReadFile(p.settings)
	if err != nil {
		p.t.Fatal(err)
	}
	settings = append(settings, "\n"+strings.Join(lines, "\n")+"\n"...)
	if err := os.WriteFile(p.settings, settings, 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// checkDescriptors fails the test unless the process lives within crowdDescriptors.
func (p *nodeProcess) checkDescriptors() {
	p.t.Helper()
	if got := p.measured().Descriptors(p.t); got > crowdDescriptors {
		p.t.Errorf("descriptors: got %d, want at most %d", got, crowdDescriptors)
	}
}

// Paths of the users' platform.
var (
	publishPath = strings.TrimPrefix(platform.PatternPublishRoutes, "PUT ")
	routesPath  = strings.TrimPrefix(platform.PatternReadRoutes, "GET ")
	readyPath   = strings.TrimPrefix(platform.PatternReady, "GET ")
)

// awaitServing fails the test unless the process serves what comes to each of its ports.
func (c *nodeCluster) awaitServing(p *nodeProcess, when string) {
	c.t.Helper()
	awaitOK(c.t, "metrics of the "+p.role+" "+when, http.MethodGet, p.metricsAddr(), "/metrics", "")
	switch p.role {
	case "entry":
		awaitOK(c.t, "readiness "+when, http.MethodGet, portOf(p.ip, 2), readyPath, "")
		c.awaitServed(p, when)
	case "voter":
		awaitOK(c.t, "routes "+when, http.MethodGet, portOf(p.ip, 3), routesPath, "")
		c.awaitLink(p, when)
	case "holder":
		c.awaitLink(p, when)
	}
	p.checkDescriptors()
}

func (p *nodeProcess) metricsAddr() string { return net.JoinHostPort(p.ip, metricsPorts[p.role]) }

// awaitServed fails the test unless an entry serves an ordinary request.
func (c *nodeCluster) awaitServed(entry *nodeProcess, when string) {
	c.t.Helper()
	c.awaitServedAt(entry, "/p/x", when)
}

func (c *nodeCluster) awaitServedAt(entry *nodeProcess, path, when string) {
	c.t.Helper()
	for until := time.Now().Add(waitTimeout); sendRequest(http.MethodPost, entry.callerAddr(), path, "body", "o") != http.StatusOK; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			c.t.Fatalf("an ordinary request %s was not answered", when)
		}
	}
}

// awaitLink fails the test unless another process of the system gets a connection to p.
func (c *nodeCluster) awaitLink(p *nodeProcess, when string) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	up := false
	n := &wire.Node{Hello: wire.Hello{Name: "peer"}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, Redial: redialDelay}
	link := &wire.Link{Node: n, Address: portOf(p.ip, 0), Handler: &wire.Mux{}, Up: func(*wire.Conn) { up = true; cancel() }}
	_ = link.Run(ctx) // ends with ctx
	if !up {
		c.t.Fatalf("another process got no connection to the %s %s", p.role, when)
	}
}

// addProcess adds a process to the cluster and starts it.
func (c *nodeCluster) addProcess(role, ip, directory string) *nodeProcess {
	c.t.Helper()
	p := c.newProcess(role, ip, directory, []string{portOf(c.voters[0].ip, 3)})
	c.others = append(c.others, p)
	p.start()
	return p
}

// startTarget returns a cluster, and its process of a role with few descriptors.
func startTarget(t *testing.T, role string) (*nodeCluster, *nodeProcess) {
	t.Helper()
	directory := floodService(t)
	cluster := startCluster(t, 63, 1, 1, directory, testRoutes)
	var p *nodeProcess
	switch role {
	case "entry":
		p = cluster.entries[0]
	case "voter":
		p = cluster.voters[0]
	default:
		p = cluster.addProcess(role, "127.0.63.21", directory)
	}
	p.limitDescriptors()
	cluster.awaitReady()
	cluster.awaitServing(p, "before the crowd")
	return cluster, p
}

// Guards against a process that no longer accepts or opens connections since a crowd has taken its descriptors.
func TestCrowdOfConnections(t *testing.T) {
	const metrics = -1
	for name, c := range map[string]struct {
		role    string
		ports   []int // of the process; metrics for that of the metrics
		returns bool
	}{
		"voter, port for operators":            {"voter", []int{3}, false},
		"voter, port for processes":            {"voter", []int{0}, false},
		"voter, port of metrics":               {"voter", []int{metrics}, false},
		"voter, all ports":                     {"voter", []int{3, 0, metrics}, false},
		"voter, port for operators, returning": {"voter", []int{3}, true},
		"voter, port for processes, returning": {"voter", []int{0}, true},
		"voter, all ports, returning":          {"voter", []int{3, 0, metrics}, true},
		"entry, port for callers":              {"entry", []int{1}, false},
		"entry, port of readiness":             {"entry", []int{2}, false},
		"entry, port of metrics":               {"entry", []int{metrics}, false},
		"entry, all ports":                     {"entry", []int{1, 2, metrics}, false},
		"entry, port for callers, returning":   {"entry", []int{1}, true},
		"entry, all ports, returning":          {"entry", []int{1, 2, metrics}, true},
		"holder, port for processes":           {"holder", []int{0}, false},
		"holder, port of metrics":              {"holder", []int{metrics}, false},
		"holder, all ports":                    {"holder", []int{0, metrics}, false},
		"holder, all ports, returning":         {"holder", []int{0, metrics}, true},
	} {
		t.Run(name, func(t *testing.T) {
			cluster, p := startTarget(t, c.role)
			var crowds []*flood.Crowd
			for _, port := range c.ports {
				address := portOf(p.ip, port)
				if port == metrics {
					address = p.metricsAddr()
				}
				crowd := &flood.Crowd{Clients: crowdClients, Returns: c.returns}
				crowd.Start(t, address)
				crowds = append(crowds, crowd)
			}
			if !c.returns {
				p.measured().AwaitAccepted(t, crowdDescriptors)
			}
			cluster.awaitServing(p, "beside the crowd")
			for _, crowd := range crowds {
				crowd.Leave()
			}
			cluster.awaitServing(p, "after the crowd")
		})
	}
}

// withRoute returns routes as a version that has a further route, whose path contains the version.
func withRoute(routes string, version int) string {
	begin, end := strings.Index(routes, `{"name":"r"`), strings.Index(routes, `],"backends"`)
	further := strings.NewReplacer(`"name":"r"`, fmt.Sprintf(`"name":"r%d"`, version), "/p/", fmt.Sprintf("/p%d/", version)).Replace(routes[begin:end])
	return strings.Replace(routes[:end], `"version":1`, fmt.Sprintf(`"version":%d`, version), 1) + "," + further + routes[end:]
}

// Guards against changes of the configuration, restarts of voters and changes of the leader that fail since a crowd has taken the descriptors of voters and entries, also
// those that they need for files, for backend servers and for each other.
func TestChangesBesideCrowds(t *testing.T) {
	for name, send := range map[string]func(w net.Conn){
		"silent clients": nil,
		"clients whose requests take long": func(w net.Conn) {
			fmt.Fprint(w, strings.Replace(floodHead, "/p/x", "/p/slow", 1)+"Content-Length: 0\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, 64, 3, 1, floodService(t), testRoutes)
			for _, p := range cluster.processes() {
				p.limitDescriptors()
			}
			cluster.awaitReady()
			entry := cluster.entries[0]
			crowds := []*flood.Crowd{{Clients: crowdClients, Send: send, Returns: true}}
			crowds[0].Start(t, entry.callerAddr())
			for _, v := range cluster.voters {
				for _, port := range []int{0, 3} {
					crowd := &flood.Crowd{Clients: crowdClients / 4, Returns: true}
					crowd.Start(t, portOf(v.ip, port))
					crowds = append(crowds, crowd)
				}
			}
			for i, v := range cluster.voters { // one of them leads
				awaitOK(t, "publication beside the crowds", http.MethodPut, portOf(v.ip, 3), publishPath, withRoute(testRoutes, i+2))
				v.kill()
				v.start()
				awaitOK(t, "routes after a restart", http.MethodGet, portOf(v.ip, 3), routesPath, "")
			}
			for _, crowd := range crowds {
				crowd.Leave()
			}
			cluster.awaitServedAt(entry, "/p4/x", "under the last configuration")
			for _, p := range cluster.processes() {
				p.checkDescriptors()
			}
		})
	}
}
