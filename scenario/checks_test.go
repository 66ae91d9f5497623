package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/scenario/cluster"
)

// Commands that check counts and states of services, entries and engines.

func (s *scenario) runs(ts *testscript.TestScript, args []string) error {
	most, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	n, err := s.countRuns(args[0])
	if err != nil {
		return err
	}
	ts.Logf("order %s ran %d times", args[0], n)
	if n > most {
		return fmt.Errorf("order %q ran %d times, want at most %d", args[0], n, most)
	}
	return nil
}

// countRuns counts what the services know and what lost ones had begun.
func (s *scenario) countRuns(order string) (int, error) {
	total := s.lost[order]
	for i := range s.cluster.Services {
		n, err := s.serviceRuns(fmt.Sprintf("service-%d", i+1), order)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

func (s *scenario) serviceRuns(service, order string) (int, error) {
	p, err := s.cluster.Process(service)
	if err != nil || s.downed[service] && !p.Running() {
		return 0, err
	}
	return s.cluster.Runs(s.ctx, service, order)
}

// answering waits until a stand-in that was started again answers.
func (s *scenario) answering(ts *testscript.TestScript, args []string) error {
	return cluster.Eventually(placedWithin, "an answer of "+args[0], func() error {
		if strings.HasPrefix(args[0], "service-") {
			_, err := s.cluster.Runs(s.ctx, args[0], "")
			return err
		}
		_, err := s.cluster.Stats(s.ctx, args[0])
		return err
	})
}

// runsMatch checks the answers to one order against the services' own count: if
// every answer said not_run, the order did not run; if one was whole, it ran.
func (s *scenario) runsMatch(ts *testscript.TestScript, args []string) error {
	n, err := s.countRuns(args[0])
	if err != nil {
		return err
	}
	allNotRun, anyWhole := true, false
	for _, name := range args[1:] {
		p, err := s.pending(name)
		if err != nil {
			return err
		}
		allNotRun = allNotRun && p.err == nil && p.answer.Outcome == string(bamboostep.NotRun)
		anyWhole = anyWhole || p.err == nil && p.answer.Status == http.StatusOK
	}
	if n > 1 || allNotRun && n != 0 || anyWhole && n != 1 {
		return fmt.Errorf("order %q ran %d times, but all answers said not_run: %v, one was whole: %v", args[0], n, allNotRun, anyWhole)
	}
	return nil
}

func (s *scenario) revision(ts *testscript.TestScript, args []string) error {
	want, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return err
	}
	span, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	return cluster.Eventually(span, "revision "+args[1]+" on "+args[0], func() error {
		got, err := s.cluster.Revision(s.ctx, args[0])
		if err != nil {
			return err
		}
		if got < want {
			return fmt.Errorf("got revision %d, want %d", got, want)
		}
		return nil
	})
}

func (s *scenario) peak(ts *testscript.TestScript, args []string) error {
	for i := range s.cluster.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		p, err := s.cluster.Process(name)
		if err != nil {
			return err
		}
		if !p.Running() {
			ts.Logf("%s does not run any more", name)
			continue
		}
		stats, err := s.cluster.Stats(s.ctx, name)
		if err != nil {
			return err
		}
		ts.Logf("%s held %d of %d MiB at its peak", name, stats.PeakMiB, stats.MemoryMiB)
		if stats.PeakMiB > stats.MemoryMiB {
			return fmt.Errorf("%q held %d MiB at its peak, want at most %d", name, stats.PeakMiB, stats.MemoryMiB)
		}
	}
	return nil
}

// idle checks that from the span on, the named VM's engine starts nothing new
// while the load goes on.
func (s *scenario) idle(ts *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	name := strings.Replace(args[0], "taller", "engine", 1)
	began := time.Now()
	allowed := 0
	for time.Since(began) < span+idleWindow {
		late := time.Since(began) > span
		stats, err := s.cluster.Stats(s.ctx, name)
		if err != nil {
			return err
		}
		if !late {
			allowed = stats.Started
		}
		if stats.Started > allowed {
			return fmt.Errorf("%q started %d requests after %v, want none", name, stats.Started-allowed, span)
		}
	}
	return nil
}

// idleWindow is how long a leaving VM is watched for new work.
const idleWindow = 2 * time.Second
