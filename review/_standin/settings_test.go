package main

import (
	"fmt"
	"syscall"
	"time"
)

const graceTime = 8 * time.Second // grace_s

// terminate stops the process as planned: SIGTERM, and SIGKILL after graceTime.
func (p *process) terminate() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.expected, p.down = true, true
	p.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(graceTime):
		p.kill()
	}
}

// emptyKey restarts two of three machines as planned, one after the other, after the settings files have got a key that the
// pages do not explain, without a value.
func emptyKey(s *system, trouble bool) error {
	s.list = func() []map[string]any { return nil }
	d, err := s.start(3, nil)
	if err != nil {
		return err
	}
	if err := s.publish(d.voters, plainConfig(1, 1000), 10*time.Second); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var added []string
	if trouble {
		added = []string{"bounds.revoke_ms="}
	}
	zones := []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}
	for i := range d.voters {
		for _, p := range []*process{d.voters[i], d.entries[i]} {
			if err := p.writeSettings(zones[i], false, added...); err != nil {
				return err
			}
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	s.record.printf("the settings files have changed; added: %q; SIGHUP to all processes", added)
	time.Sleep(2 * time.Second)
	for i := range 2 {
		s.record.printf("machine %s: SIGTERM", d.voters[i].ip)
		stopped := make(chan struct{})
		machine := []*process{d.voters[i], d.entries[i]}
		for _, p := range machine {
			go func() {
				p.terminate()
				stopped <- struct{}{}
			}()
		}
		for range machine {
			<-stopped
		}
		for _, p := range machine {
			if err := p.start(); err != nil {
				return err
			}
		}
		s.record.printf("machine %s: started again", d.voters[i].ip)
		time.Sleep(8 * time.Second) // more than contact_ms and catch_up_s
	}
	machines := 0
	for i := range d.voters {
		v, e := d.voters[i], d.entries[i]
		s.record.printf("machine %s: voter ended by itself %d times, entry %d times; entry ready: %v", v.ip, v.ends(), e.ends(), awaitReady(e, 200*time.Millisecond) == nil)
		if v.ends() >= 3 || e.ends() >= 3 {
			machines++
		}
	}
	err = s.publish(d.voters, plainConfig(2, 1200), 5*time.Second)
	s.record.printf("operator: configuration 2: %v", err)
	s.record.printf("machines whose processes ended by themselves three times: %d of 3", machines)
	if machines >= 2 {
		return errBroken
	}
	if err != nil {
		return fmt.Errorf("configuration 2: %w", err)
	}
	return nil
}
