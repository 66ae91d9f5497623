// Command agent connects entries to one model engine or application on the same VM.
// It is the only process that sends orders and requests to that backend server.
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
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "agent",
		Usage: "serve requests and orders for a model engine or application on the same VM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings file and exit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg := defaultConfig()
			if err := settings.Load(c.String("settings"), &cfg); err != nil {
				return err
			}
			if c.Bool("check-settings") {
				fmt.Fprintln(c.Root().Writer, "ok")
				return nil
			}
			ctx, stop := daemon.SignalContext(ctx)
			defer stop()
			return run(ctx, cfg)
		},
	}
}
