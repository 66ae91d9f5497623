// Command entry takes callers' requests and operators' publishes. With a data
// folder it is also a voter of the ledger, and while it leads, it places models
// and adapters on the VMs.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/settings"
)

func main() {
	cmd := &cli.Command{
		Name:  "entry",
		Usage: "take callers' requests and operators' publishes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings and end"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	cfg := defaultSettings()
	if err := settings.Load(cmd.String("settings"), &cfg); err != nil {
		return err
	}
	if cmd.Bool("check-settings") {
		fmt.Println("ok")
		return nil
	}
	ctx, stop := daemon.Signals(ctx)
	defer stop()
	e, err := newEntry(cfg)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
