package main

import (
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/scenario/caller"
	"github.com/bamboostep/bamboostep/scenario/cluster"
)

// Commands about whole failure domains.

// soleCopy chooses a model whose only copy goes with its failure domain.
func (s *scenario) soleCopy(ts *testscript.TestScript, args []string) error {
	return cluster.Eventually(placedWithin, "a placed fleet with a model of one copy", func() error {
		leader, err := s.agreedLeader(s.cluster.EntryNames())
		if err != nil {
			return err
		}
		model, domain, err := s.findSoleCopy(leader)
		if err != nil {
			return err
		}
		ts.Setenv("model", model)
		ts.Setenv("domain", domain)
		s.nameEntries(ts, domain)
		ts.Logf("only copy of %s in %s, leader %s", model, domain, leader)
		return nil
	})
}

func (s *scenario) findSoleCopy(leader string) (model, domain string, err error) {
	status, err := s.cluster.Status(s.ctx, leader)
	if err != nil {
		return "", "", err
	}
	for _, m := range status.Models {
		for _, c := range m.Copies {
			if c.State != bamboostep.ReplicaResident {
				return "", "", fmt.Errorf("copy of %q on %s is %s", m.Name, c.VM, c.State)
			}
		}
		if m.Wanted > 0 && m.Resident() < m.Wanted {
			return "", "", fmt.Errorf("%q has %d copies, want %d", m.Name, m.Resident(), m.Wanted)
		}
		if m.Wanted == 0 || len(m.Copies) != 1 {
			continue
		}
		if at := m.Copies[0].FailureDomain; domain == "" || at == s.cluster.Domain(leader) {
			model, domain = m.Name, at
		}
	}
	if model == "" {
		return "", "", errors.New("every model has several copies")
	}
	return model, domain, nil
}

// nameEntries sets $lost to the entry, $vm to a VM and $engine to its engine in the
// domain, $follower and $other to the two other entries.
func (s *scenario) nameEntries(ts *testscript.TestScript, domain string) {
	var rest []string
	for _, name := range s.cluster.InDomain(domain) {
		if number, ok := strings.CutPrefix(name, "engine-"); ok {
			ts.Setenv("engine", name)
			ts.Setenv("vm", "taller-"+number)
		}
	}
	for _, name := range s.cluster.EntryNames() {
		if s.cluster.Domain(name) == domain {
			ts.Setenv("lost", name)
			continue
		}
		rest = append(rest, name)
	}
	ts.Setenv("follower", rest[0])
	ts.Setenv("other", rest[1])
}

// leaderDomain chooses the failure domain of the ledger's leader.
func (s *scenario) leaderDomain(ts *testscript.TestScript, args []string) error {
	return cluster.Eventually(placedWithin, "a leader", func() error {
		leader, err := s.agreedLeader(s.cluster.EntryNames())
		if err != nil {
			return err
		}
		ts.Setenv("domain", s.cluster.Domain(leader))
		s.nameEntries(ts, s.cluster.Domain(leader))
		return nil
	})
}

func (s *scenario) isolate(ts *testscript.TestScript, args []string) error {
	return s.eachBorder(args[0], s.cluster.Cut)
}

func (s *scenario) rejoin(ts *testscript.TestScript, args []string) error {
	return s.eachBorder(args[0], s.cluster.Heal)
}

// eachBorder applies do to every pair of processes of which just one is in the
// domain.
func (s *scenario) eachBorder(domain string, do func(a, b string) error) error {
	for _, inside := range s.listening() {
		for _, outside := range s.listening() {
			if s.cluster.Domain(inside) != domain || s.cluster.Domain(outside) == domain {
				continue
			}
			if err := do(inside, outside); err != nil {
				return err
			}
		}
	}
	return nil
}

// listening returns the processes that others dial, the entries and agents.
func (s *scenario) listening() []string {
	return slices.DeleteFunc(s.cluster.Names(), func(name string) bool {
		return !strings.HasPrefix(name, "entry-") && !strings.HasPrefix(name, "agent-")
	})
}

func (s *scenario) lose(ts *testscript.TestScript, args []string) error {
	names := s.cluster.InDomain(args[0])
	if err := s.noteLostRuns(names, args[1:]); err != nil {
		return err
	}
	for _, name := range names {
		s.downed[name] = true
	}
	return s.each(names, (*cluster.Process).Kill)
}

// noteLostRuns keeps how often the services among the processes began the orders.
func (s *scenario) noteLostRuns(names, orders []string) error {
	for _, name := range names {
		if !strings.HasPrefix(name, "service-") {
			continue
		}
		for _, order := range orders {
			n, err := s.cluster.Runs(s.ctx, name, order)
			if err != nil {
				return err
			}
			s.lost[order] += n
		}
	}
	return nil
}

func (s *scenario) regain(ts *testscript.TestScript, args []string) error {
	return s.each(s.cluster.InDomain(args[0]), (*cluster.Process).Start)
}

// each does the same to all named processes at once.
func (s *scenario) each(names []string, do func(*cluster.Process) error) error {
	errs := make([]error, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		p, err := s.cluster.Process(name)
		if err != nil {
			return err
		}
		all.Go(func() { errs[i] = do(p) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (s *scenario) beginPublish(ts *testscript.TestScript, args []string) error {
	line := append([]string{"publish", "--entry", s.cluster.OperatorsURL(args[1])}, args[2:]...)
	cmd := exec.CommandContext(s.ctx, filepath.Join(builtPrograms, "bamboostep"), line...)
	cmd.Dir = ts.MkAbs(".")
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	s.publish[args[0]] = ended
	s.waiting.Go(func() { ended <- cmd.Wait() })
	return nil
}

// endPublish waits for a publish and sends it again, under its ID, if it was not
// answered.
func endPublish(ts *testscript.TestScript, neg bool, args []string) {
	s := ts.Value(scenarioKey{}).(*scenario)
	ended := s.publish[args[0]]
	if ended == nil {
		ts.Fatalf("no publish is named %q", args[0])
	}
	err := <-ended
	ts.Logf("publish %s: %v", args[0], err)
	switch {
	case neg && err == nil:
		ts.Fatalf("publish %s was accepted, want a failure", args[0])
	case !neg && err != nil:
		publishWithin(ts, neg, args[1:])
	}
}

// reachable checks that models answer through entries within a span from now.
func (s *scenario) reachable(ts *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	began := time.Now()
	for _, model := range strings.Split(args[0], ",") {
		for _, entry := range strings.Split(args[2], ",") {
			if err := s.awaitAnswer(model, entry, span-time.Since(began)); err != nil {
				return err
			}
		}
	}
	ts.Logf("all were reachable after %v", time.Since(began))
	return nil
}

func (s *scenario) awaitAnswer(model, entry string, within time.Duration) error {
	c := &caller.Caller{BaseURL: s.cluster.CallersURL(entry)}
	return cluster.Eventually(within, "an answer of "+model+" through "+entry, func() error {
		a, err := c.Chat(s.ctx, model, "ready?", 1)
		if err == nil && a.Status != http.StatusOK {
			err = fmt.Errorf("model %q: %s", model, a)
		}
		return err
	})
}

// holds waits until a VM holds copies of the models.
func (s *scenario) holds(ts *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return cluster.Eventually(span, "copies on "+args[0], func() error {
		held, err := s.heldBy(args[0])
		if err != nil {
			return err
		}
		for _, model := range args[2:] {
			if !slices.Contains(held, model) {
				return fmt.Errorf("%s holds %q, want %q too", args[0], held, model)
			}
		}
		if len(held) == 0 {
			return fmt.Errorf("%s holds no model", args[0])
		}
		return nil
	})
}

// heldBy returns the models that a VM holds.
func (s *scenario) heldBy(vm string) ([]string, error) {
	status, err := s.cluster.Status(s.ctx, s.cluster.EntryNames()[0])
	if err != nil {
		return nil, err
	}
	var held []string
	for _, m := range status.Models {
		for _, c := range m.Copies {
			if c.VM == vm && c.State == bamboostep.ReplicaResident {
				held = append(held, m.Name)
			}
		}
	}
	return held, nil
}
