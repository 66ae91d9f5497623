package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/bamboostep/bamboostep"
)

// Commands that bring trouble to processes, the network and VMs, and end it.

func (s *scenario) signal(name string, sig syscall.Signal) error {
	p, err := s.cluster.Process(name)
	if err != nil {
		return err
	}
	return p.Signal(sig)
}

func (s *scenario) sigkill(ts *testscript.TestScript, args []string) error {
	p, err := s.cluster.Process(args[0])
	if err != nil {
		return err
	}
	return p.Kill()
}

func (s *scenario) start(ts *testscript.TestScript, args []string) error {
	p, err := s.cluster.Process(args[0])
	if err != nil {
		return err
	}
	return p.Start()
}

func (s *scenario) freeze(ts *testscript.TestScript, args []string) error {
	return s.signal(args[0], syscall.SIGSTOP)
}

func (s *scenario) thaw(ts *testscript.TestScript, args []string) error {
	return s.signal(args[0], syscall.SIGCONT)
}

func (s *scenario) sigterm(ts *testscript.TestScript, args []string) error {
	p, err := s.cluster.Process(args[0])
	if err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !p.Exited(exitWithin) {
		return fmt.Errorf("%q still runs %v after SIGTERM", args[0], exitWithin)
	}
	if code := p.ExitCode(); code != 0 {
		return fmt.Errorf("%q ended with status %d, want 0", args[0], code)
	}
	return nil
}

// address puts the address at which the other entries reach an entry into the
// variable address.
func (s *scenario) address(ts *testscript.TestScript, args []string) error {
	address, err := s.cluster.EntryAddress(args[0])
	ts.Setenv("address", address)
	return err
}

func (s *scenario) wipe(ts *testscript.TestScript, args []string) error {
	return os.RemoveAll(s.cluster.DataDir(args[0]))
}

func (s *scenario) cut(ts *testscript.TestScript, args []string) error {
	return s.eachPair(args, s.cluster.Cut)
}

func (s *scenario) heal(ts *testscript.TestScript, args []string) error {
	return s.eachPair(args, s.cluster.Heal)
}

func (s *scenario) cutRegions(ts *testscript.TestScript, args []string) error {
	return s.cluster.CutRegions(args[0], args[1])
}

func (s *scenario) healRegions(ts *testscript.TestScript, args []string) error {
	return s.cluster.HealRegions(args[0], args[1])
}

func (s *scenario) silence(ts *testscript.TestScript, args []string) error {
	return s.eachPair(args, s.cluster.Silence)
}

// eachPair applies do to a pair of processes, or with * as the second name to
// every pair that the first is in.
func (s *scenario) eachPair(args []string, do func(a, b string) error) error {
	if args[1] != "*" {
		return do(args[0], args[1])
	}
	for _, name := range s.cluster.Names() {
		if name == args[0] || !strings.HasPrefix(name, "entry-") && !strings.HasPrefix(name, "agent-") {
			continue
		}
		if err := do(args[0], name); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) leaving(ts *testscript.TestScript, args []string) error {
	return s.cluster.SetVMState(args[0], bamboostep.VMLeaving)
}

func (s *scenario) live(ts *testscript.TestScript, args []string) error {
	return s.cluster.SetVMState(args[0], bamboostep.VMLive)
}
