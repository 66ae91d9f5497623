// The stand-in of the review plays its cases: it starts the project's programs as processes, stands in for the platform, its
// workers, clients and the operator, and says whether a rule was kept. It is a test program, since only tests and package
// platform use the platform's names; review/build.sh builds it.
//
//	standin CASE ROOT FOLDER
//
// ROOT is the repository, FOLDER the folder of the case, into which record.txt is written. The exit status is 0 if the rule
// was kept, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	exitKept   = 0
	exitBroken = 1
	exitNotRun = 2

	maxCaseTime = 110 * time.Second
)

// errBroken says that a rule was broken.
var errBroken = errors.New("rule broken")

// cases are the cases by name. A case returns nil if its rule was kept, errBroken if it was broken, and another error if it could not run.
var cases = map[string]func(s *system, trouble bool) error{
	"replaced-model":   replacedModel,
	"withdrawn-model":  withdrawnModel,
	"two-disks":        twoDisks,
	"capital-host":     capitalHost,
	"long-histories":   longHistories,
	"restarted-worker": restartedWorker,
	"empty-key":        emptyKey,
}

// TestMain plays the case that the arguments name, instead of tests.
func TestMain(*testing.M) {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return exitNotRun
	}
	play, root, folder := cases[os.Args[1]], os.Args[2], os.Args[3]
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s := &system{root: root, program: filepath.Join(root, "target", "node"), record: r, bootstrap: true, settings: boundsOfSmall}
	if s.dir, err = os.MkdirTemp("", "case"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	pid := os.Getpid()
	s.subnet = fmt.Sprintf("127.%d.%d", 64+pid%100, pid/100%250)
	defer func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(s.dir)
		} else {
			fmt.Println(s.dir)
		}
	}()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	r.printf("case %s, TROUBLE=%v", os.Args[1], trouble)
	result := make(chan error, 1)
	go func() { result <- play(s, trouble) }()
	select {
	case err = <-result:
	case <-ctx.Done():
		err = errors.New("interrupted")
	case <-time.After(maxCaseTime):
		err = errors.New("the case took too long")
	}
	s.stop()
	switch {
	case err == nil:
		r.printf("result: the rule was kept")
		return exitKept
	case errors.Is(err, errBroken):
		r.printf("result: the rule was broken")
		return exitBroken
	}
	r.printf("result: could not run: %v", err)
	return exitNotRun
}

// deployment is the processes and workers of a small deployment.
type deployment struct {
	voters  []*process
	entries []*process
	holders []*process
	engines []*engine
}

// start starts voters and entries on edge machines in three zones, and a holder beside each engine.
func (s *system) start(edges int, engines []*engine) (*deployment, error) {
	d := &deployment{engines: engines}
	zones := []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}
	var ips []string
	for i := range edges {
		ips = append(ips, s.address(1+i))
	}
	for _, e := range engines {
		ips = append(ips, e.ip)
	}
	if err := checkPorts(ips); err != nil {
		return nil, err
	}
	for i := range zones {
		s.seeds = append(s.seeds, at(s.address(1+i), portControl))
	}
	if err := s.serveList(); err != nil {
		return nil, err
	}
	for i := range edges {
		zone := zones[i%len(zones)]
		if i < len(zones) {
			v, err := s.newProcess("voter", s.address(1+i), zone)
			if err != nil {
				return nil, err
			}
			d.voters = append(d.voters, v)
		}
		e, err := s.newProcess("entry", s.address(1+i), zone)
		if err != nil {
			return nil, err
		}
		d.entries = append(d.entries, e)
	}
	for _, e := range engines {
		h, err := s.newProcess("holder", e.ip, e.zone, "backend="+e.service)
		if err != nil {
			return nil, err
		}
		d.holders = append(d.holders, h)
	}
	for _, p := range s.processes {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) awaitReady() error {
	for _, e := range d.entries {
		if err := awaitReady(e, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// route returns a streaming route as the configuration lists it.
func route(name, prefix, service string, timeoutMS, attempts int, resumable bool) map[string]any {
	return map[string]any{"name": name, "hostname": "ficu95.example", "path_prefix": prefix, "route_type": "streaming", "timeout_ms": timeoutMS, "target_latency_ms": 800,
		"priority": 1, "backend": service, "attempts": attempts, "session_affinity": true, "resumable": resumable, "gap_aim_ms": 400}
}

var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// engineConfig is a configuration with one route to one service of model workers.
func engineConfig(version, timeoutMS int, models ...modelSpec) map[string]any {
	var listed []map[string]any
	for _, m := range models {
		listed = append(listed, m.document())
	}
	return map[string]any{"version": version, "limits": limits,
		"routes": []any{route("r-h2b9wu3", "/pufi791/", "huvo11a", timeoutMS, 1, false)},
		"backends": []any{map[string]any{"name": "huvo11a", "health_check": "/health", "max_connections": 520, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": workerSlots, "kv_capacity": 207195, "kv_token_bytes": 131072, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 4,
				"max_count": 12, "host_mb": 53000.0, "disk_mb": 160000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": listed,
				"weights_mb": 83000.0, "adapter_slots": 8, "loads_per_s": 1.1}}}}
}

func (s *system) newEngine(n int, zone string, models map[string]modelSpec) *engine {
	return &engine{s: s, ip: s.address(n), zone: zone, service: "huvo11a", version: "v1", weightsMB: 83000, adapterSlots: 8, catalog: models}
}

// listEngines has the platform's list show workers.
func (s *system) listEngines(engines []*engine) {
	s.list = func() []map[string]any {
		var entries []map[string]any
		for _, e := range engines {
			entries = append(entries, e.listing())
		}
		return entries
	}
}
