package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/platform"
)

// applyBound is bounds.config_apply_ms of the tests: how long after its acknowledgement a route may be unknown to entries.
const applyBound = 2 * time.Second

// routesTest publishes routes to a cluster, one more each time, and checks when entries have them.
type routesTest struct {
	t       *testing.T
	cluster *nodeCluster
	version int
}

// routesOf returns a set of routes with prefixes /p/, /p2/ and so on up to a version.
func routesOf(version int) string {
	var more strings.Builder
	for v := 2; v <= version; v++ {
		fmt.Fprintf(&more, `{"name":"r%d","hostname":"h.example","path_prefix":"/p%d/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":500,"priority":1,"backend":"orders","attempts":1},`, v, v)
	}
	set := strings.Replace(oldCallerRoutes, `"version":1,"routes":[`, fmt.Sprintf(`"version":%d,"routes":[`, version)+more.String(), 1)
	return set
}

// publish publishes the next version through a voter or observer.
func (r *routesTest) publish(through *nodeProcess) (acknowledged time.Time) {
	r.t.Helper()
	r.version++
	awaitOK(r.t, fmt.Sprint("publication of version ", r.version), http.MethodPut, portOf(through.ip, 3), strings.TrimPrefix(platform.PatternPublishRoutes, "PUT "), routesOf(r.version))
	return time.Now()
}

// checkInForce sends requests for the newest route to all entries until these know it. It fails the test if a
// request that was sent later than applyBound after the acknowledgement is answered 404.
func (r *routesTest) checkInForce(what string, acknowledged time.Time) {
	var all sync.WaitGroup
	for _, e := range r.cluster.entries {
		all.Go(func() {
			for i := 0; ; i++ {
				sent := time.Now()
				req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/p%d/x", e.callerAddr(), r.version), strings.NewReader("{}"))
				status := statusOf(req, fmt.Sprintf("%s-%d-%d", e.ip, r.version, i))
				if after := sent.Sub(acknowledged); status == http.StatusNotFound && after > applyBound {
					r.t.Errorf("%s, entry %s: status 404 for a route that was acknowledged %v before", what, e.ip, after)
					return
				}
				if status != http.StatusNotFound && status != http.StatusServiceUnavailable {
					return
				}
				if time.Since(acknowledged) > waitTimeout {
					r.t.Errorf("%s, entry %s: got status %d for %v, want the new route served", what, e.ip, status, waitTimeout)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// leader returns the voter that leads.
func (r *routesTest) leader() *nodeProcess {
	r.t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, v := range r.cluster.voters {
			if v.metric("ledger_leader") == 1 {
				return v
			}
		}
	}
	r.t.Fatalf("got no leader within %v", waitTimeout)
	return nil
}

// depose makes another voter lead if v does.
func (r *routesTest) depose(v *nodeProcess) {
	r.t.Helper()
	for r.leader() == v {
		stopProcess(r.t, v)
		time.Sleep(time.Second) // longer than an election
		continueProcess(r.t, v)
	}
}

func stopProcess(t *testing.T, p *nodeProcess) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
}

func continueProcess(t *testing.T, p *nodeProcess) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// settleTime is long enough for entries to have chosen whom they follow, and for a voter that stood still to catch up.
const settleTime = 3 * time.Second

// Guards against routes that were acknowledged and are refused with 404 for longer than the bound, because the voter that an
// entry follows stands still while the others go on (issue 44).
func TestStoppedVoterKeepsNoEntryBehind(t *testing.T) {
	directory := startEventServer(t, func(http.ResponseWriter, *http.Request) {})
	r := &routesTest{t: t, cluster: startCluster(t, 44, 3, 4, directory, oldCallerRoutes), version: 1}
	for _, v := range r.cluster.voters {
		r.depose(v)
		time.Sleep(settleTime)
		through := r.leader()
		stopProcess(t, v)
		r.checkInForce("voter "+v.ip+" stands still", r.publish(through))
		continueProcess(t, v)
	}
}

// Guards against the same where an entry follows an observer, which settings may name like a voter (issue 44).
func TestStoppedObserverKeepsNoEntryBehind(t *testing.T) {
	directory := startEventServer(t, func(http.ResponseWriter, *http.Request) {})
	r := &routesTest{t: t, cluster: startCluster(t, 45, 3, 4, directory, oldCallerRoutes), version: 1}
	observer := r.cluster.newProcess("voter", "127.0.45.31", directory, []string{portOf(r.cluster.voters[0].ip, 3), portOf(r.cluster.voters[1].ip, 3)})
	observer.replaceSettings([]string{"bootstrap=false"}, "data_dir")
	observer.start()
	t.Cleanup(observer.kill)
	awaitOK(t, "publication through the observer", http.MethodPut, portOf(observer.ip, 3), strings.TrimPrefix(platform.PatternPublishRoutes, "PUT "), routesOf(1))
	for _, e := range r.cluster.entries {
		e.kill()
		e.replaceSettings([]string{"seeds=" + portOf(observer.ip, 3), "bootstrap=false"})
		e.start()
	}
	r.cluster.awaitReady()
	for range 3 {
		time.Sleep(settleTime)
		stopProcess(t, observer)
		r.checkInForce("the observer stands still", r.publish(r.leader()))
		continueProcess(t, observer)
	}
}
