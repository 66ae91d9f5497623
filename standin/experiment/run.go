package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/dghubble/sling"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/scenario/cluster"
	"github.com/bamboostep/bamboostep/standin/load"
)

// Config says how to run. All runs of one experiment share it.
type Config struct {
	Bin        string // folder of the built programs
	Dir        string // folder for settings, data and logs
	Duration   time.Duration
	ShiftEvery time.Duration
	RateFactor float64 // of the deployment's usual rate
	Keep       bool    // also the folders of runs that ended well
}

const (
	entries         = 2
	placedTimeout   = 120 * time.Second
	quietTime       = 2 * time.Second // without an order, after which placement has settled
	requestTimeout  = 30 * time.Second
	setupSpeed      = 0.02 // of the store's load times, while the first copies are loaded
	slowedStore     = 3.0  // of the store's load times, during a fault
	faultShare      = 0.5  // of the run, after which the fault comes
	killedEngine    = "engine-1"
	pollInterval    = 200 * time.Millisecond
	modelKind       = "model"
	requestsFile    = "requests.log" // one line for each request of the schedule
	warmUpTime      = 3 * time.Second
	warmUpSeedShift = 1 << 32
)

// Run is what one system did on one seed.
type Run struct {
	Deployment string
	Seed       uint64
	Fault      bool
	System     string
	Workers    int
	Models     int // orders for models
	Adapters   int // orders for adapters
	Overcommit bool
	Result     *load.Result
}

// PerAccelerator is the attainment for each worker.
func (r Run) PerAccelerator() float64 { return r.Result.Attainment() / float64(r.Workers) }

// Moves is the number of models and adapters loaded or unloaded.
func (r Run) Moves() int { return r.Models + r.Adapters }

// bench is one running deployment.
type bench struct {
	cfg     Config
	d       *deployment
	cluster *cluster.Cluster
	killed  orderCount
}

type orderCount struct{ models, adapters int }

func (c orderCount) plus(o orderCount) orderCount {
	return orderCount{c.models + o.models, c.adapters + o.adapters}
}

// measure runs one system on one seed.
func measure(ctx context.Context, cfg Config, d *deployment, system System, seed uint64, fault bool) (Run, error) {
	run := Run{Deployment: d.name, Seed: seed, Fault: fault, System: system.Name, Workers: d.place.Workers}
	dir, err := os.MkdirTemp(cfg.Dir, fmt.Sprintf("%s-%s-%d-", d.name, system.Name, seed))
	if err != nil {
		return run, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := &bench{cfg: cfg, d: d, cluster: &cluster.Cluster{
		Bin: cfg.Bin, Dir: dir, Entries: entries, Engines: d.place.Workers, Direct: true,
		Deployment: d.name, EnginePlace: d.place, EngineArgs: engineArgs,
		EntryLines: []string{
			fmt.Sprintf("router = %q", system.Router),
			fmt.Sprintf("placer = %q", system.Placer),
			fmt.Sprintf("admission = %q", system.Admission),
		},
	}}
	defer b.cluster.Stop()
	if err := b.start(ctx); err != nil {
		return run, fmt.Errorf("%w (settings and logs are in %s)", err, dir)
	}
	before, _, err := b.orders()
	if err != nil {
		return run, err
	}
	if fault {
		stop := b.breakAt(time.Duration(float64(cfg.Duration) * faultShare))
		defer stop()
	}
	g := b.generator()
	if cfg.Keep {
		lines, err := os.Create(filepath.Join(dir, requestsFile))
		if err != nil {
			return run, err
		}
		defer lines.Close()
		g.Log = lines
	}
	run.Result = g.Run(ctx, d.plan(seed, cfg).Draw())
	after, over, err := b.orders()
	if err != nil {
		return run, err
	}
	run.Models = after.models - before.models
	run.Adapters = after.adapters - before.adapters
	run.Overcommit = over
	if cfg.Keep {
		return run, nil
	}
	return run, os.RemoveAll(dir)
}

// start starts the processes, publishes the objects, waits until the first copies
// are placed and warms the system up with a short, even load.
func (b *bench) start(ctx context.Context) error {
	if err := b.cluster.Start(ctx); err != nil {
		return err
	}
	if err := b.cluster.WaitHealthy(b.cluster.EntryNames()...); err != nil {
		return err
	}
	if err := b.setStore(setupSpeed); err != nil {
		return err
	}
	if err := b.publish(ctx); err != nil {
		return err
	}
	if err := b.waitPlaced(ctx); err != nil {
		return err
	}
	if err := b.setStore(1); err != nil {
		return err
	}
	plan := b.d.plan(warmUpSeedShift, b.cfg)
	plan.Duration = warmUpTime
	plan.ShiftEvery = 0
	b.generator().Run(ctx, plan.Draw())
	return nil
}

func (b *bench) generator() *load.Generator {
	g := &load.Generator{Timeout: requestTimeout}
	for _, name := range b.cluster.EntryNames() {
		g.Entries = append(g.Entries, b.cluster.CallersURL(name))
	}
	return g
}

func (b *bench) publish(ctx context.Context) error {
	objects := filepath.Join(b.cluster.Dir, "objects")
	if err := os.CopyFS(objects, os.DirFS(b.d.objects)); err != nil {
		return err
	}
	var out bytes.Buffer
	url := b.cluster.OperatorsURL(b.cluster.EntryNames()[0])
	cmd := exec.CommandContext(ctx, filepath.Join(b.cfg.Bin, "bamboostep"), "publish", "--entry", url, objects)
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("publish: %w: %s", err, &out)
	}
	return nil
}

// waitPlaced waits until every model has its copies and no order was given for a
// while.
func (b *bench) waitPlaced(ctx context.Context) error {
	last, since := orderCount{}, time.Now()
	return cluster.Eventually(placedTimeout, "placement", func() error {
		n, _, err := b.orders()
		if err != nil {
			return err
		}
		if n != last {
			last, since = n, time.Now()
		}
		if err := b.checkCopies(ctx); err != nil {
			return err
		}
		if time.Since(since) < quietTime {
			return fmt.Errorf("%d orders, the last just now", n.models)
		}
		return nil
	})
}

func (b *bench) checkCopies(ctx context.Context) error {
	var s operator.Status
	if err := getJSON(b.cluster.OperatorsURL(b.cluster.EntryNames()[0])+"/operator/v1/status", &s); err != nil {
		return err
	}
	for _, m := range s.Models {
		resident := 0
		for _, c := range m.Copies {
			if c.State == bamboostep.ReplicaResident {
				resident++
			}
		}
		if string(m.Kind) == modelKind && resident < m.Wanted {
			return fmt.Errorf("model %q has %d copies", m.Name, resident)
		}
	}
	return nil
}

type engineStats struct {
	Orders    int   `json:"orders"`
	Models    int   `json:"models"`
	PeakMiB   int64 `json:"peak_mib"`
	MemoryMiB int64 `json:"memory_mib"`
}

// orders counts the orders that all engines took, those of a killed one up to its
// death, and tells whether any engine's memory was passed.
func (b *bench) orders() (sum orderCount, overcommitted bool, err error) {
	sum = b.killed
	for i := range b.d.place.Workers {
		name := fmt.Sprintf("engine-%d", i+1)
		if name == killedEngine && b.killed != (orderCount{}) {
			continue
		}
		var s engineStats
		if err := getJSON(b.cluster.BackendURL(name)+"/stats", &s); err != nil {
			return sum, false, err
		}
		sum = sum.plus(orderCount{s.Models, s.Orders - s.Models})
		overcommitted = overcommitted || s.PeakMiB > s.MemoryMiB
	}
	return sum, overcommitted, nil
}

// breakAt kills a worker and slows the store after a while. The returned function
// gives it up if it has not begun.
func (b *bench) breakAt(after time.Duration) func() bool {
	t := time.AfterFunc(after, func() {
		b.setStore(slowedStore)
		var s engineStats
		if getJSON(b.cluster.BackendURL(killedEngine)+"/stats", &s) == nil {
			b.killed = orderCount{s.Models, s.Orders - s.Models}
		}
		for _, name := range []string{killedEngine, fmt.Sprintf("agent-%s-1", b.d.place.Name)} {
			if p, err := b.cluster.Process(name); err == nil {
				p.Kill()
			}
		}
	})
	return t.Stop
}

type slowRequest struct {
	Factor float64 `json:"factor"`
}

func (b *bench) setStore(factor float64) error {
	_, err := sling.New().Post(b.cluster.StoreURL() + "/slow").BodyJSON(slowRequest{factor}).ReceiveSuccess(nil)
	return err
}

func getJSON(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	defer io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}
