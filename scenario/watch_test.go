package main

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/scenario/cluster"
)

// Commands that wait for something to show, or look at what has.

func (s *scenario) engineNames() []string {
	var names []string
	for i := range s.cluster.Engines {
		names = append(names, fmt.Sprintf("engine-%d", i+1))
	}
	return names
}

func (s *scenario) busy(ts *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	name := strings.Replace(args[0], "taller", "engine", 1)
	before, err := s.cluster.Stats(s.ctx, name)
	if err != nil {
		return err
	}
	return cluster.Eventually(span, "new work on "+name, func() error {
		now, err := s.cluster.Stats(s.ctx, name)
		if err != nil {
			return err
		}
		if now.Started == before.Started {
			return fmt.Errorf("%q has started nothing since", name)
		}
		return nil
	})
}

func (s *scenario) started(ts *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return cluster.Eventually(span, "a run of "+args[0], func() error {
		n, err := s.countRuns(args[0])
		if err != nil {
			return err
		}
		if n == 0 {
			return fmt.Errorf("order %q has not run", args[0])
		}
		return nil
	})
}

// begun waits until a stream has brought its first token.
func (s *scenario) begun(ts *testscript.TestScript, args []string) error {
	p, err := s.pending(args[0])
	if err != nil {
		return err
	}
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	select {
	case <-p.begun:
		return nil
	case <-time.After(span):
		return fmt.Errorf("stream %q has brought no token within %v", args[0], span)
	}
}

// underway waits until the engines together run n requests.
func (s *scenario) underway(ts *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	return cluster.Eventually(span, "requests in flight", func() error {
		running := 0
		for _, name := range s.engineNames() {
			stats, err := s.cluster.Stats(s.ctx, name)
			if err != nil {
				return err
			}
			running += stats.Running
		}
		if running < want {
			return fmt.Errorf("engines run %d requests, want %d", running, want)
		}
		return nil
	})
}

func (s *scenario) crashedEngines() ([]string, error) {
	var names []string
	for _, name := range s.engineNames() {
		p, err := s.cluster.Process(name)
		if err != nil {
			return nil, err
		}
		if p.ExitCode() == engineCrashStatus {
			names = append(names, name)
		}
	}
	return names, nil
}

// engineCrashStatus is the exit status of an engine stand-in that a request
// crashed.
const engineCrashStatus = 3

func (s *scenario) crashed(ts *testscript.TestScript, args []string) error {
	names, err := s.crashedEngines()
	if err != nil {
		return err
	}
	if got := strconv.Itoa(len(names)); got != args[0] {
		return fmt.Errorf("engines that crashed: %q, want %s", names, args[0])
	}
	return nil
}

func (s *scenario) restartCrashed(ts *testscript.TestScript, args []string) error {
	names, err := s.crashedEngines()
	if err != nil {
		return err
	}
	for _, name := range names {
		p, err := s.cluster.Process(name)
		if err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) killBusy(ts *testscript.TestScript, args []string) error {
	name, err := s.busiestEngine(ts)
	if err != nil {
		return err
	}
	return s.sigkill(ts, []string{name})
}

// busiest sets $vm to the VM whose engine runs most.
func (s *scenario) busiest(ts *testscript.TestScript, args []string) error {
	name, err := s.busiestEngine(ts)
	ts.Setenv("vm", strings.Replace(name, "engine", "taller", 1))
	return err
}

func (s *scenario) busiestEngine(ts *testscript.TestScript) (string, error) {
	busiest, most := "", -1
	for _, name := range s.engineNames() {
		stats, err := s.cluster.Stats(s.ctx, name)
		if err != nil {
			return "", err
		}
		if stats.Running > most {
			busiest, most = name, stats.Running
		}
	}
	ts.Logf("%s runs %d", busiest, most)
	return busiest, nil
}

func (s *scenario) healthy(ts *testscript.TestScript, args []string) error {
	return s.cluster.WaitHealthy(args...)
}

// leader names the ledger's leader as most entries see it.
func (s *scenario) leader(ts *testscript.TestScript, args []string) error {
	leader := ""
	err := cluster.Eventually(placedWithin, "a leader", func() error {
		var err error
		leader, err = s.agreedLeader(s.cluster.EntryNames())
		return err
	})
	if err != nil {
		return err
	}
	rest := slices.DeleteFunc(s.cluster.EntryNames(), func(name string) bool { return name == leader })
	ts.Setenv("leader", leader)
	ts.Setenv("follower", rest[0])
	ts.Setenv("other", rest[1])
	return nil
}

func (s *scenario) majority(ts *testscript.TestScript, args []string) error {
	rest := []string{ts.Getenv("follower"), ts.Getenv("other")}
	return cluster.Eventually(placedWithin, "a leader of the majority", func() error {
		leader, err := s.agreedLeader(rest)
		if err == nil && !slices.Contains(rest, leader) {
			err = fmt.Errorf("leader is still %q", leader)
		}
		return err
	})
}

func (s *scenario) agreedLeader(entries []string) (string, error) {
	leader := ""
	for _, name := range entries {
		got, err := s.cluster.Leader(s.ctx, name)
		if err != nil {
			return "", err
		}
		if got == "" || leader != "" && got != leader {
			return "", errors.New("entries do not agree on a leader")
		}
		leader = got
	}
	return leader, nil
}

// version waits until the model has as many copies as it wants and all are at the
// version.
func (s *scenario) version(ts *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	return cluster.Eventually(span, "version "+args[1], func() error {
		m, err := s.modelStatus(args[0])
		if err != nil {
			return err
		}
		for _, c := range m.Copies {
			if c.Version != args[1] {
				return fmt.Errorf("%q has version %q on %s", args[0], c.Version, c.VM)
			}
		}
		if got, want := m.Resident(), max(m.Wanted, 1); got < want {
			return fmt.Errorf("%q has %d resident copies, want %d", args[0], got, want)
		}
		return nil
	})
}

// modelStatus asks any entry that answers.
func (s *scenario) modelStatus(name string) (operator.ModelStatus, error) {
	var last error
	for _, entry := range s.cluster.EntryNames() {
		status, err := s.cluster.Status(s.ctx, entry)
		if err != nil {
			last = err
			continue
		}
		for _, m := range status.Models {
			if m.Name == name {
				return m, nil
			}
		}
		last = fmt.Errorf("%s knows no model %q", entry, name)
	}
	return operator.ModelStatus{}, last
}
