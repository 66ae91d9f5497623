// Command scenario runs the real programs together on loopback: the
// demonstration, and measurements of the whole path.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	cmd := &cli.Command{
		Name:     "scenario",
		Usage:    "run the programs together",
		Commands: []*cli.Command{demoCommand(), overheadCommand(), streamsCommand()},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "scenario:", err)
		os.Exit(1)
	}
}

func folderFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`FOLDER` of the built programs"},
		&cli.StringFlag{Name: "objects", Value: "examples/demo", Usage: "`FOLDER` of the objects to publish"},
	}, more...)
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start a small deployment, publish, send requests, show the time line",
		Flags: folderFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			d := &demo{Bin: cmd.String("bin"), Objects: cmd.String("objects"), Out: os.Stdout}
			return d.Run(ctx)
		},
	}
}

func overheadCommand() *cli.Command {
	return &cli.Command{
		Name:  "overhead",
		Usage: "measure what the path adds to a request over calling an engine directly",
		Flags: folderFlags(
			&cli.IntSliceFlag{Name: "rate", Value: []int{20, 1000}, Usage: "pairs of requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "time at each rate"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			o := &overhead{
				Bin:      cmd.String("bin"),
				Objects:  cmd.String("objects"),
				Rates:    cmd.IntSlice("rate"),
				Duration: cmd.Duration("duration"),
				Out:      os.Stdout,
			}
			return o.Run(ctx)
		},
	}
}

func streamsCommand() *cli.Command {
	return &cli.Command{
		Name:  "streams",
		Usage: "measure what open streams cost an entry in memory",
		Flags: folderFlags(&cli.IntFlag{Name: "count", Value: 1000, Usage: "streams open at once"}),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s := &streams{Bin: cmd.String("bin"), Objects: cmd.String("objects"), Count: cmd.Int("count"), Out: os.Stdout}
			return s.Run(ctx)
		},
	}
}
