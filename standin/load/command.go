package load

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/daemon"
)

// Command is the subcommand that runs the load generator.
func Command() *cli.Command {
	plan := Plan{BurstSwing: 0.5}
	return &cli.Command{
		Name:  "load",
		Usage: "send an open-loop load of bursty models and check every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "base URL of an entry; may be repeated", Required: true},
			&cli.StringSliceFlag{Name: "model", Usage: "model to ask for, or ADAPTER=MODEL; may be repeated", Required: true},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &plan.Seed, Usage: "seed of the schedule"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Destination: &plan.Duration, Usage: "time in which requests are sent"},
			&cli.IntFlag{Name: "requests", Value: 100000, Destination: &plan.MaxCount, Usage: "requests at most"},
			&cli.FloatFlag{Name: "rate", Value: 20, Destination: &plan.Rate, Usage: "requests a second, on average"},
			&cli.IntFlag{Name: "hot_models", Value: 2, Destination: &plan.HotModels, Usage: "models that are hot at one time"},
			&cli.FloatFlag{Name: "hot_factor", Value: 10, Destination: &plan.HotFactor, Usage: "share of a hot model, in shares of another one"},
			&cli.DurationFlag{Name: "shift_every", Value: 5 * time.Second, Destination: &plan.ShiftEvery, Usage: "time between two shifts of demand"},
			&cli.DurationFlag{Name: "burst", Value: time.Second, Destination: &plan.Burst, Usage: "mean length of a burst"},
			&cli.IntFlag{Name: "max_tokens", Value: 32, Destination: &plan.MaxTokens, Usage: "longest answer"},
			&cli.IntFlag{Name: "prefixes", Value: 4, Destination: &plan.Prefixes, Usage: "shared prompt beginnings of each model"},
			&cli.DurationFlag{Name: "first_token", Value: 390 * time.Millisecond, Usage: "target of the first token"},
			&cli.DurationFlag{Name: "between_tokens", Value: 71 * time.Millisecond, Usage: "target of the time between tokens"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "of one request"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := daemon.SignalContext(ctx)
			defer stop()
			for _, name := range cmd.StringSlice("model") {
				t := Target{FirstToken: cmd.Duration("first_token"), BetweenTokens: cmd.Duration("between_tokens")}
				t.Name, t.Model, _ = strings.Cut(name, "=")
				if t.Model == "" {
					t.Model = t.Name
				}
				plan.Targets = append(plan.Targets, t)
			}
			g := &Generator{Entries: cmd.StringSlice("entry"), Timeout: cmd.Duration("timeout")}
			result := g.Run(ctx, plan.Draw())
			result.Print(cmd.Root().Writer)
			if n := result.Count(Wrong); n > 0 {
				return fmt.Errorf("%d answers differ from the reference", n)
			}
			return nil
		},
	}
}
