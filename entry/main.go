// Command entry serves the inference API to callers and the administration API to
// operators. With a data directory it also is a voting member of the ledger, and
// while it is the ledger's leader it decides which VM loads which model and
// adapter.
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
		Usage: "serve callers' requests and operators' commands",
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
	ctx, stop := daemon.SignalContext(ctx)
	defer stop()
	e, err := newEntry(cfg)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
