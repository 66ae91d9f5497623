// Command scenario runs the demonstration: the real programs on loopback, a
// publish, and real requests through an entry.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:  "scenario",
		Usage: "run the programs together",
		Commands: []*cli.Command{{
			Name:  "demo",
			Usage: "start a small deployment, publish, send requests, show the time line",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`FOLDER` of the built programs"},
				&cli.StringFlag{Name: "objects", Value: "examples/demo", Usage: "`FOLDER` of the objects to publish"},
			},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				d := &demo{Bin: cmd.String("bin"), Objects: cmd.String("objects"), Out: os.Stdout}
				return d.Run(ctx)
			},
		}},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "scenario:", err)
		os.Exit(1)
	}
}
