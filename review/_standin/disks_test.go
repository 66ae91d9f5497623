package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// boundsOfGrown are the settings of the sheet whose deployment bears the loss of two machines with a disk.
var boundsOfGrown = []string{
	"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
	"contracts=base,drain,config,cost,retry,recover,health,pool,fleet,stream,engine",
	"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.catch_up_s=6",
	"bounds.drain_ms=4000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2500", "bounds.rollback_slack_ms=250",
	"bounds.max_stretch_ms=6000", "bounds.retry_budget=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=106", "bounds.recover_s=15",
	"bounds.pass_ms=200", "bounds.retry_after_s=0", "bounds.fencing=true", "bounds.lease_ms=3000", "bounds.thaw_ms=300",
	"bounds.ceiling_window_s=5", "bounds.ceiling_over=1.1",
}

const (
	powerOffFor  = 1 * time.Second  // a machine that loses its disk is back after it
	recoverAfter = 15 * time.Second // recover_s
	readBackFor  = 15 * time.Second // more than contact_ms
)

// plainConfig is a configuration with one route to one plain service.
func plainConfig(version, timeoutMS int) map[string]any {
	return map[string]any{"version": version, "limits": limits,
		"routes": []any{map[string]any{"name": "r-ji9n73h", "hostname": "ficu95.example", "path_prefix": "/lohu930/", "route_type": "idempotent", "timeout_ms": timeoutMS,
			"target_latency_ms": 150, "priority": 2, "backend": "wuno96b", "attempts": 2}},
		"backends": []any{map[string]any{"name": "wuno96b", "health_check": "/health", "max_connections": 130, "protocol": "h1", "tls": false}}}
}

// twoDisks has two of the six machines with a disk lose it right after a configuration was acknowledged. They come back at
// their addresses, empty.
func twoDisks(s *system, trouble bool) error {
	s.settings = boundsOfGrown
	s.list = func() []map[string]any { return nil }
	d, err := s.start(6, nil)
	if err != nil {
		return err
	}
	if err := s.publish(d.voters, plainConfig(1, 1000), 10*time.Second); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(8 * time.Second) // longer than contact_ms and catch_up_s
	if err := s.publish(d.voters, plainConfig(2, 1200), 5*time.Second); err != nil {
		return err
	}
	if trouble {
		if err := s.loseDisks(d, 2); err != nil {
			return err
		}
	}
	time.Sleep(recoverAfter)
	newest, reads := 0, make(map[string]int)
	for until := time.Now().Add(readBackFor); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, v := range d.voters {
			status, version := readVersion(v)
			reads[fmt.Sprintf("%s: status %d, version %d", v.ip, status, version)]++
			if status == http.StatusOK {
				newest = max(newest, version)
			}
		}
	}
	for read, n := range reads {
		s.record.printf("operator: %d reads at %s", n, read)
	}
	for _, e := range d.entries {
		s.record.printf("ready: %s: %v", e.name(), awaitReady(e, 200*time.Millisecond) == nil)
	}
	err = s.publish(d.voters, plainConfig(3, 1400), 10*time.Second)
	s.record.printf("operator: configuration 3: %v", err)
	s.record.printf("acknowledged: 2; newest read back: %d", newest)
	if newest < 2 {
		return errBroken
	}
	return nil
}

// loseDisks ends all processes of the first n machines at once, and starts them again with empty disks.
func (s *system) loseDisks(d *deployment, n int) error {
	lost := append(append([]*process{}, d.voters[:n]...), d.entries[:n]...)
	done := make(chan struct{})
	for _, p := range lost {
		go func() {
			p.kill()
			done <- struct{}{}
		}()
	}
	for range lost {
		<-done
	}
	s.record.printf("machines %s and %s lose power and their disks", d.voters[0].ip, d.voters[1].ip)
	time.Sleep(powerOffFor)
	zones := []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}
	for i, p := range lost {
		if p.dataDir != "" {
			left, err := filepath.Glob(filepath.Join(p.dataDir, "*"))
			if err != nil {
				return err
			}
			for _, name := range left {
				if err := os.RemoveAll(name); err != nil {
					return err
				}
			}
		}
		if err := p.writeSettings(zones[i%n], false); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	s.record.printf("they are back with empty disks")
	return nil
}
