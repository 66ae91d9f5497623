package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/scenario/caller"
	"github.com/bamboostep/bamboostep/scenario/cluster"
)

// The streams measurement: what open streams cost an entry in memory. The engine
// steps slowly, so that all streams are open at once, and the entry's resident
// memory is read before and while they are.

const (
	streamTokens   = 300
	streamsTimeout = 3 * time.Minute
	openTimeout    = time.Minute
)

var slowEngine = []string{
	"--step", "100ms", "--step_per_sequence", "0", "--prefill_per_token", "0", "--max_batch", "4096", "--max_waiting", "4096",
}

// streams is the measurement. Set the exported fields before Run.
type streams struct {
	Bin     string
	Objects string
	Count   int
	Out     io.Writer
}

// Run opens the streams and prints what they cost.
func (s *streams) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, streamsTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "bamboostep-streams-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o := &overhead{Bin: s.Bin, Objects: s.Objects, Out: s.Out}
	o.cluster = &cluster.Cluster{Bin: s.Bin, Dir: dir, Entries: 1, Engines: 3, Services: 2, EngineArgs: slowEngine,
		AgentLines: []string{"concurrency = 4096", "queue = 4096"}}
	defer o.cluster.Stop()
	if err := o.start(ctx, dir); err != nil {
		return err
	}
	return s.measure(ctx, o)
}

func (s *streams) measure(ctx context.Context, o *overhead) error {
	_, before, err := o.usage()
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(ctx)
	var all sync.WaitGroup
	defer all.Wait()
	defer end()
	c := &caller.Caller{BaseURL: o.cluster.CallersURL("entry-a"), Client: &http.Client{Transport: &http.Transport{}}}
	for i := range s.Count {
		all.Go(func() { _, _ = c.Stream(ctx, o.model, fmt.Sprint("stream ", i), streamTokens) })
	}
	err = cluster.Eventually(openTimeout, "open streams", func() error { return s.checkOpen(ctx, o) })
	if err != nil {
		return err
	}
	_, during, err := o.usage()
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%d open streams: entry's resident memory %d KiB before, %d KiB with them, %.1f MiB a thousand\n",
		s.Count, before, during, float64(during-before)/1024*1000/float64(s.Count))
	return nil
}

func (s *streams) checkOpen(ctx context.Context, o *overhead) error {
	running := 0
	for i := range o.cluster.Engines {
		stats, err := o.cluster.Stats(ctx, fmt.Sprintf("engine-%d", i+1))
		if err != nil {
			return err
		}
		running += stats.Running
	}
	if running < s.Count {
		return fmt.Errorf("engines run %d requests, want %d", running, s.Count)
	}
	return nil
}
