// Command node runs one process of the system on the deployment platform. The first
// argument selects its role: an entry serves callers' requests, a voter keeps a replica of
// the ledger and serves operators, a holder sends orders to the model engine on its VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/platform"
)

const usage = "usage: node ROLE [--check-settings]; ROLE is entry, voter or holder; " +
	"the environment variable " + platform.SettingsVariable + " holds the path of the settings file"

// roles holds the main function of each role. It returns when the process ends.
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
	ctx, cancel := daemon.SignalContext(context.Background())
	defer cancel()
	p := newProcess(ctx, args[0], cfg)
	p.memory().LimitHeap()
	defer p.recorder.Flush()
	p.recordEvent("process_started", fmt.Sprintf("role %s, first start %v, seeds %v, %d descriptors", args[0], cfg.Bootstrap, cfg.Seeds, p.resources().Descriptors))
	defer p.recordEvent("process_stopped", "")
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
