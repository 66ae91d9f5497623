// Command node is one process of the system on the users' platform. Its first
// argument says which: an entry takes callers' requests, a voter keeps the ledger
// and serves operators, a holder orders the model engine on its VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/platform"
)

const usage = "usage: node ROLE [--check-settings]; ROLE is entry, voter or holder, and the settings " +
	"stand in the file that the environment variable " + platform.SettingsVariable + " names"

// memoryShare is the part of the memory limit that the heap may fill before the
// collector works harder.
const memoryShare = 0.6

var roles = map[string]func(*process) error{
	"entry":  runEntry,
	"voter":  runVoter,
	"holder": runHolder,
}

func main() {
	err := run(os.Args[1:])
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	fmt.Fprintln(os.Stderr, "node:", err)
	os.Exit(1)
}

func run(args []string) error {
	if len(args) == 0 || roles[args[0]] == nil {
		return errors.New(usage)
	}
	cfg, err := readSettings()
	if err != nil {
		return err
	}
	if err := checkSettings(args[0], cfg); err != nil {
		return err
	}
	if len(args) > 1 && args[1] == "--check-settings" {
		fmt.Println("ok")
		return nil
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryLimitMB) * (1 << 20)))
	ctx, cancel := daemon.Signals(context.Background())
	defer cancel()
	p := newProcess(ctx, args[0], cfg)
	defer p.recorder.Flush()
	p.event("process_started", fmt.Sprintf("role %s, first start %v, seeds %v", args[0], cfg.Bootstrap, cfg.Seeds))
	defer p.event("process_stopped", "")
	return roles[args[0]](p)
}

func readSettings() (platform.Settings, error) {
	file, err := os.Open(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return platform.Settings{}, err
	}
	defer file.Close()
	return platform.ParseSettings(file)
}
