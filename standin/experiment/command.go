package experiment

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/bamboostep/bamboostep/daemon"
)

// Command is the subcommand that runs an experiment.
func Command() *cli.Command {
	cfg := Config{}
	return &cli.Command{
		Name:  "experiment",
		Usage: "measure the policy against the plain ways, on the same seeds",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "canaletas", Usage: "canaletas or campanas"},
			&cli.StringFlag{Name: "objects", Usage: "folder of the objects; examples/DEPLOYMENT if not set"},
			&cli.StringFlag{Name: "bin", Value: "bin", Destination: &cfg.Bin, Usage: "folder of the built programs"},
			&cli.StringFlag{Name: "dir", Destination: &cfg.Dir, Usage: "folder for logs of failed runs"},
			&cli.Uint64Flag{Name: "first_seed", Value: 1, Usage: "seed of the first run"},
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds"},
			&cli.DurationFlag{Name: "duration", Value: 24 * time.Second, Destination: &cfg.Duration, Usage: "time of one run"},
			&cli.DurationFlag{Name: "shift_every", Value: 12 * time.Second, Destination: &cfg.ShiftEvery, Usage: "time between two shifts of demand"},
			&cli.FloatFlag{Name: "rate_factor", Value: 1, Destination: &cfg.RateFactor, Usage: "of the usual rate of requests"},
			&cli.StringFlag{Name: "fault", Value: "both", Usage: "without, with or both"},
			&cli.StringSliceFlag{Name: "system", Usage: "only this system, the product first; may be repeated; plain_round_robin, plain_least_load and plain_static run only when named"},
			&cli.BoolFlag{Name: "keep", Destination: &cfg.Keep, Usage: "keep the folder of every run, with its logs and one line for each request"},
			&cli.StringFlag{Name: "plot", Usage: "PNG file to write"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, stop := daemon.SignalContext(ctx)
			defer stop()
			return runAll(ctx, cmd, cfg)
		},
	}
}

func runAll(ctx context.Context, cmd *cli.Command, cfg Config) error {
	name := cmd.String("deployment")
	objects := cmd.String("objects")
	if objects == "" {
		objects = filepath.Join("examples", name)
	}
	d, err := loadDeployment(name, objects)
	if err != nil {
		return err
	}
	w := cmd.Root().Writer
	var runs []Run
	for _, fault := range faults(cmd.String("fault")) {
		for i := range cmd.Int("seeds") {
			seed := cmd.Uint64("first_seed") + uint64(i)
			group, err := measureAll(ctx, cfg, d, chosenSystems(cmd.StringSlice("system")), seed, fault)
			if err != nil {
				return err
			}
			for _, run := range group {
				printRun(w, run)
			}
			runs = append(runs, group...)
		}
	}
	printComparison(w, runs)
	if file := cmd.String("plot"); file != "" {
		return writePlot(file, fmt.Sprintf("%s, %d workers", name, d.place.Workers), runs)
	}
	return nil
}

// measureAll runs the systems side by side, so that they have the same machine to
// themselves at the same time.
func measureAll(ctx context.Context, cfg Config, d *deployment, systems []System, seed uint64, fault bool) ([]Run, error) {
	runs := make([]Run, len(systems))
	g, ctx := errgroup.WithContext(ctx)
	for i, s := range systems {
		g.Go(func() error {
			run, err := measure(ctx, cfg, d, s, seed, fault)
			runs[i] = run
			return err
		})
	}
	err := g.Wait()
	return runs, err
}

func faults(choice string) []bool {
	switch choice {
	case "without":
		return []bool{false}
	case "with":
		return []bool{true}
	}
	return []bool{false, true}
}

func chosenSystems(names []string) []System {
	if len(names) == 0 {
		return Systems
	}
	return slices.DeleteFunc(slices.Concat(Systems, PlainSystems), func(s System) bool { return !slices.Contains(names, s.Name) })
}
