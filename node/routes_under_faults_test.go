package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/internal/seed"
	"github.com/bamboostep/bamboostep/platform"
)

// routesUnderFaults publishes a route after the other while single processes stand still or are killed, and asks every entry for those that must
// be in force.
type routesUnderFaults struct {
	routesTest
	rand      *rand.Rand
	observers []*nodeProcess

	mu     sync.Mutex
	acked  []ackedRoutes // oldest first
	paused map[*nodeProcess]bool
}

// ackedRoutes is a version of the routes and when it was acknowledged.
type ackedRoutes struct {
	version int
	at      time.Time
}

// mustHave returns the newest version that must be in force now, 0 for none.
func (r *routesUnderFaults) mustHave() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := 0
	for _, a := range r.acked {
		if time.Since(a.at) > applyBound {
			newest = a.version
		}
	}
	return newest
}

func (r *routesUnderFaults) setPaused(p *nodeProcess, paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused[p] = paused
}

// publishOnce publishes the next version through a process that runs, and notes it if it is acknowledged.
func (r *routesUnderFaults) publishOnce() {
	var through []*nodeProcess
	r.mu.Lock()
	for _, p := range append(append([]*nodeProcess(nil), r.cluster.voters...), r.observers...) {
		if !r.paused[p] {
			through = append(through, p)
		}
	}
	r.version++
	version := r.version
	r.mu.Unlock()
	p := through[version%len(through)]
	path := strings.TrimPrefix(platform.PatternPublishRoutes, "PUT ")
	if sendRequest(http.MethodPut, portOf(p.ip, 3), path, routesOf(version), "") != http.StatusOK {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acked = append(r.acked, ackedRoutes{version, time.Now()})
}

// probe asks an entry for the newest route that it must have, until done is closed. It returns how often it was served.
func (r *routesUnderFaults) probe(e *nodeProcess, done <-chan struct{}) (served int) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return served
		case <-time.After(20 * time.Millisecond):
		}
		version := r.mustHave()
		if version == 0 {
			continue
		}
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/p%d/x", e.callerAddr(), version), strings.NewReader("{}"))
		switch status := statusOf(req, fmt.Sprintf("%s-%d", e.ip, i)); status {
		case http.StatusOK:
			served++
		case http.StatusNotFound:
			r.t.Errorf("entry %s: status 404 for version %d, which was acknowledged over %v before", e.ip, version, applyBound)
		}
	}
}

// fault lets one process stand still or be killed for a while. No voter that leads is hit, so that the others go on.
func (r *routesUnderFaults) fault() {
	targets := []*nodeProcess{r.observers[r.rand.IntN(len(r.observers))], r.cluster.entries[0]}
	leader := r.leader()
	for _, v := range r.cluster.voters {
		if v != leader {
			targets = append(targets, v)
		}
	}
	p := targets[r.rand.IntN(len(targets))]
	lasts := time.Duration(2500+r.rand.IntN(1500)) * time.Millisecond
	r.setPaused(p, true)
	if r.rand.IntN(3) == 0 {
		p.kill()
		time.Sleep(lasts / 2)
		p.start()
	} else {
		stopProcess(r.t, p)
		time.Sleep(lasts)
		continueProcess(r.t, p)
	}
	time.Sleep(time.Duration(r.rand.IntN(int(time.Second))))
	r.setPaused(p, false)
}

// Guards against entries that refuse acknowledged routes while single processes stand still or are killed: observers, voters that do not lead,
// and an entry (issue 44).
func TestRoutesInForceUnderFaults(t *testing.T) {
	const (
		duration        = 25 * time.Second
		publishInterval = 100 * time.Millisecond
		leastServed     = 20 // requests to each entry, or the test shows little
	)
	directory := startEventServer(t, func(http.ResponseWriter, *http.Request) {})
	r := &routesUnderFaults{rand: rand.New(rand.NewPCG(seed.Value(), 44)), paused: make(map[*nodeProcess]bool)}
	r.routesTest = routesTest{t: t, cluster: startCluster(t, 46, 3, 4, directory, oldCallerRoutes), version: 1}
	var seeds []string
	for _, v := range r.cluster.voters {
		seeds = append(seeds, portOf(v.ip, 3))
	}
	for i := range 2 {
		observer := r.cluster.newProcess("voter", fmt.Sprintf("127.0.46.%d", 31+i), directory, seeds)
		observer.replaceSettings([]string{"bootstrap=false"}, "data_dir")
		observer.start()
		t.Cleanup(observer.kill)
		r.observers = append(r.observers, observer)
	}
	r.cluster.entries[0].replaceSettings([]string{"seeds=" + portOf(r.observers[0].ip, 3) + "," + portOf(r.observers[1].ip, 3), "bootstrap=false"})
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, e := range r.cluster.entries {
		all.Go(func() {
			if served := r.probe(e, done); served < leastServed {
				t.Errorf("entry %s: got %d requests served, want %d or more", e.ip, served, leastServed)
			}
		})
	}
	all.Go(func() {
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(publishInterval) {
			r.publishOnce()
		}
	})
	for until := time.Now().Add(duration); time.Now().Before(until); {
		r.fault()
	}
	close(done)
	all.Wait()
}
