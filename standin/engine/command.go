package engine

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bamboostep/bamboostep/standin/internal/listen"
)

// Command is the subcommand that runs one engine.
func Command() *cli.Command {
	e := &Engine{}
	return &cli.Command{
		Name:  "engine",
		Usage: "stand in for a model engine",
		Flags: e.flags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			h := e.Handler()
			defer e.Close()
			return listen.Serve(ctx, cmd.Root().Writer, cmd.String("listen"), h)
		},
	}
}

func (e *Engine) flags() []cli.Flag {
	return []cli.Flag{
		listen.Flag(),
		&cli.Int64Flag{Name: "memory_mib", Value: 16384, Destination: &e.MemoryMiB, Usage: "accelerator memory"},
		&cli.StringFlag{Name: "store", Destination: &e.Store, Usage: "base URL of the weight store"},
		&cli.DurationFlag{Name: "step", Value: 10 * time.Millisecond, Destination: &e.Step, Usage: "time of one step"},
		&cli.DurationFlag{Name: "step_per_sequence", Value: 500 * time.Microsecond, Destination: &e.StepPerSeq, Usage: "more for each running sequence"},
		&cli.DurationFlag{Name: "prefill_per_token", Value: 100 * time.Microsecond, Destination: &e.PrefillToken, Usage: "more for each prompt token not cached"},
		&cli.IntFlag{Name: "kv_bytes_per_token", Destination: &e.KVBytes, Usage: "size of an exported KV cache, for each token"},
		&cli.IntFlag{Name: "max_batch", Value: 16, Destination: &e.MaxBatch, Usage: "sequences that run at once"},
		&cli.IntFlag{Name: "max_waiting", Value: 256, Destination: &e.MaxWaiting, Usage: "sequences that wait"},
		&cli.IntFlag{Name: "cache_blocks", Value: 4096, Destination: &e.CacheBlocks, Usage: "blocks in the prefix cache"},
		&cli.DurationFlag{Name: "cache_lag", Value: 500 * time.Millisecond, Destination: &e.CacheLag, Usage: "delay of cache events"},
		&cli.IntFlag{Name: "cache_gap", Value: 7, Destination: &e.CacheGap, Usage: "every Nth cache event is lost"},
		&cli.DurationFlag{Name: "load_lag", Value: 200 * time.Millisecond, Destination: &e.LoadLag, Usage: "age of the reported load at most"},
		&cli.BoolFlag{Name: "fences", Destination: &e.FencesOrders, Usage: "refuse orders with an old fencing number"},
		&cli.BoolFlag{Name: "guards_memory", Destination: &e.GuardsMemory, Usage: "refuse loads that pass the memory"},
		&cli.StringFlag{Name: "crash_on", Destination: &e.CrashOn, Usage: "exit with status 3 at the first token of a prompt with this text"},
		&cli.IntFlag{Name: "lose_orders", Destination: &e.LoseOrders, Usage: "do not send every Nth answer to an order"},
		&cli.DurationFlag{Name: "order_delay", Destination: &e.OrderDelay, Usage: "wait before an order is carried out"},
		&cli.DurationFlag{Name: "load_time", Value: 50 * time.Millisecond, Destination: &e.LoadTime, Usage: "time of a load without a store"},
		&cli.DurationFlag{Name: "unload_time", Value: 20 * time.Millisecond, Destination: &e.UnloadTime, Usage: "time of an unload"},
	}
}
