package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/scenario/caller"
	"github.com/bamboostep/bamboostep/scenario/cluster"
	"github.com/bamboostep/bamboostep/standin/engine"
)

const (
	demoTimeout     = 55 * time.Second
	placedTimeout   = 20 * time.Second
	demoMaxTokens   = 12
	demoEntries     = 3
	demoEngines     = 3
	demoServices    = 2
	demoOrderName   = "canaleta-17"
	unknownModel    = "no-such-model"
	demoFirstPrompt = "How far apart do the brackets of a six metre gutter go?"
)

// demo is the demonstration. Set the exported fields before Run.
type demo struct {
	Bin     string
	Objects string
	Out     io.Writer

	cluster *cluster.Cluster
	set     *catalog.Set
	entry   string
	dir     string
	asked   []string // request IDs, for the time line
}

// Run runs the demonstration and returns an error unless every check held.
func (d *demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "bamboostep-demo-")
	if err != nil {
		return err
	}
	d.dir = dir
	d.cluster = &cluster.Cluster{Bin: d.Bin, Dir: dir, Entries: demoEntries, Engines: demoEngines, Services: demoServices}
	defer d.cluster.Stop()
	for _, step := range []func(context.Context) error{d.start, d.publish, d.requests, d.showTimeline} {
		if err := step(ctx); err != nil {
			return fmt.Errorf("%w (settings and logs are in %s)", err, dir)
		}
	}
	d.cluster.Stop()
	fmt.Fprintln(d.Out, "demo: ok")
	return os.RemoveAll(dir)
}

func (d *demo) start(ctx context.Context) error {
	set, err := catalog.Load(d.Objects)
	if err != nil {
		return err
	}
	d.set = set
	if err := d.cluster.Start(ctx); err != nil {
		return err
	}
	entries := d.cluster.EntryNames()
	d.entry = entries[0]
	fmt.Fprintf(d.Out, "started %s\n", strings.Join(d.cluster.Names(), " "))
	return d.cluster.WaitHealthy(entries...)
}

// publish publishes a copy of the objects, so that the folder in version control
// stays as it is.
func (d *demo) publish(ctx context.Context) error {
	objects := filepath.Join(d.dir, "objects")
	if err := os.CopyFS(objects, os.DirFS(d.Objects)); err != nil {
		return err
	}
	began := time.Now()
	if err := d.operate(ctx, "publish", objects); err != nil {
		return err
	}
	if err := d.cluster.WaitReady(d.cluster.EntryNames()...); err != nil {
		return err
	}
	if err := d.waitPlaced(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.Out, "published and placed in %v\n", time.Since(began).Round(time.Millisecond))
	return d.operate(ctx, "status")
}

func (d *demo) operate(ctx context.Context, args ...string) error {
	args = append(args[:1:1], append([]string{"--entry", d.cluster.OperatorsURL(d.entry)}, args[1:]...)...)
	cmd := exec.CommandContext(ctx, filepath.Join(d.Bin, "bamboostep"), args...)
	cmd.Stdout = d.Out
	cmd.Stderr = d.Out
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("bamboostep %s: %w", args[0], err)
	}
	return nil
}

// waitPlaced waits until every model and every service answers.
func (d *demo) waitPlaced(ctx context.Context) error {
	return cluster.Eventually(placedTimeout, "an answer of every model", func() error {
		for _, m := range d.set.Objects().Models {
			a, err := d.caller().Chat(ctx, m.Name, "ready?", 1)
			if err != nil {
				return err
			}
			if a.Status != http.StatusOK {
				return fmt.Errorf("model %q: %s", m.Name, a)
			}
		}
		return nil
	})
}

func (d *demo) caller() *caller.Caller {
	return &caller.Caller{BaseURL: d.cluster.CallersURL(d.entry)}
}

// requests sends one request of each kind and checks its answer.
func (d *demo) requests(ctx context.Context) error {
	model := d.set.Objects().Models[0].Name
	adapter := d.set.Objects().Adapters[0]
	orders, err := d.service(func(s bamboostep.Service) bool { return !s.Idempotent })
	if err != nil {
		return err
	}
	wantModel := engine.Reference(model, "", demoFirstPrompt, demoMaxTokens)
	wantAdapter := engine.Reference(adapter.Model, adapter.Name, demoFirstPrompt, demoMaxTokens)
	order := []byte(`{"order_id":"` + demoOrderName + `","sheets":4}`)
	var first caller.Answer
	steps := []struct {
		what  string
		send  func() (caller.Answer, error)
		check func(caller.Answer) error
	}{
		{"a plain answer", func() (caller.Answer, error) {
			return d.caller().Chat(ctx, model, demoFirstPrompt, demoMaxTokens)
		}, wantText(wantModel)},
		{"a streamed answer", func() (caller.Answer, error) {
			return d.caller().Stream(ctx, model, demoFirstPrompt, demoMaxTokens)
		}, wantText(wantModel)},
		{"an answer with an adapter", func() (caller.Answer, error) {
			return d.caller().Chat(ctx, adapter.Name, demoFirstPrompt, demoMaxTokens)
		}, wantText(wantAdapter)},
		{"an order", func() (caller.Answer, error) {
			return d.caller().Post(ctx, orders.PathPrefix, order)
		}, func(a caller.Answer) error { first = a; return wantStatus(http.StatusOK)(a) }},
		{"the same order again", func() (caller.Answer, error) {
			return d.caller().Post(ctx, orders.PathPrefix, order)
		}, func(a caller.Answer) error { return wantBody(first.Body)(a) }},
		{"a model that does not exist", func() (caller.Answer, error) {
			return d.caller().Chat(ctx, unknownModel, demoFirstPrompt, demoMaxTokens)
		}, wantStatus(http.StatusNotFound)},
	}
	for _, step := range steps {
		a, err := step.send()
		if err != nil {
			return fmt.Errorf("%s: %w", step.what, err)
		}
		fmt.Fprintf(d.Out, "%s: %s\n", step.what, a)
		if err := step.check(a); err != nil {
			return fmt.Errorf("%s: %w", step.what, err)
		}
		d.asked = append(d.asked, a.RequestID)
	}
	return d.checkRunOnce(ctx)
}

func (d *demo) service(match func(bamboostep.Service) bool) (bamboostep.Service, error) {
	for _, s := range d.set.Objects().Services {
		if match(s) {
			return s, nil
		}
	}
	return bamboostep.Service{}, fmt.Errorf("the objects in %q have no non-idempotent service", d.Objects)
}

// checkRunOnce asks the services themselves how often the order ran.
func (d *demo) checkRunOnce(ctx context.Context) error {
	runs := 0
	for i := range demoServices {
		n, err := d.cluster.Runs(ctx, fmt.Sprintf("service-%d", i+1), demoOrderName)
		if err != nil {
			return err
		}
		runs += n
	}
	fmt.Fprintf(d.Out, "the order ran %d time(s)\n", runs)
	if runs != 1 {
		return fmt.Errorf("order %q ran %d times, want 1", demoOrderName, runs)
	}
	return nil
}

func (d *demo) showTimeline(ctx context.Context) error {
	for _, id := range d.asked {
		if err := d.operate(ctx, "timeline", "--request", id); err != nil {
			return err
		}
	}
	return nil
}

func wantStatus(want int) func(caller.Answer) error {
	return func(a caller.Answer) error {
		if a.Status != want {
			return fmt.Errorf("got status %d, want %d", a.Status, want)
		}
		return nil
	}
}

func wantText(want string) func(caller.Answer) error {
	return func(a caller.Answer) error {
		if a.Status != http.StatusOK || a.Text != want {
			return fmt.Errorf("got status %d and %q, want 200 and %q", a.Status, a.Text, want)
		}
		return nil
	}
}

func wantBody(want string) func(caller.Answer) error {
	return func(a caller.Answer) error {
		if a.Status != http.StatusOK || a.Body != want {
			return fmt.Errorf("got status %d and %q, want 200 and %q", a.Status, a.Body, want)
		}
		return nil
	}
}
