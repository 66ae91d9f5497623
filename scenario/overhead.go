package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/scenario/cluster"
)

// The overhead measurement: what the path through an entry and an agent adds to a
// request, over calling the engine stand-in directly. Both kinds of request are
// sent in turn, open loop, in one run, so that both meet the same machine. The
// engine steps fast and each answer is one token, since what is measured is the
// path and not the engine. Both kinds go through the same client, which does the
// same work for both while the clock runs. No relay stands between the processes, as the relays of
// the scenarios would add a hop to the path that no deployment has.

const (
	maxLatencyMicros  = 60_000_000
	histogramDigits   = 3
	overheadPrompt    = "bracket spacing"
	overheadWarmUp    = 200
	overheadTimeout   = 5 * time.Minute
	clockTicksASecond = 100 // of utime and stime in /proc
)

var overheadEngine = []string{
	"--step", "1ms", "--step_per_sequence", "0", "--prefill_per_token", "0", "--max_batch", "512", "--max_waiting", "4096",
}

// overhead is the measurement. Set the exported fields before Run.
type overhead struct {
	Bin      string
	Objects  string
	Rates    []int // pairs of requests a second
	Duration time.Duration
	Out      io.Writer

	cluster *cluster.Cluster
	model   string
	client  *http.Client
}

// Run measures at each rate and prints a line for each.
func (o *overhead) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, overheadTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "bamboostep-overhead-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	o.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	o.cluster = &cluster.Cluster{Bin: o.Bin, Dir: dir, Entries: 1, Engines: 3, Services: 2, EngineArgs: overheadEngine,
		AgentLines: []string{"concurrency = 512", "queue = 4096"}, Direct: true}
	defer o.cluster.Stop()
	if err := o.start(ctx, dir); err != nil {
		return err
	}
	if _, err := o.measure(ctx, overheadWarmUp, time.Second); err != nil {
		return err
	}
	for _, rate := range o.Rates {
		r, err := o.measure(ctx, rate, o.Duration)
		if err != nil {
			return err
		}
		fmt.Fprintln(o.Out, r)
	}
	return nil
}

func (o *overhead) start(ctx context.Context, dir string) error {
	set, err := catalog.Load(o.Objects)
	if err != nil {
		return err
	}
	o.model = set.Objects().Models[0].Name
	if err := o.cluster.Start(ctx); err != nil {
		return err
	}
	if err := o.cluster.WaitHealthy("entry-a"); err != nil {
		return err
	}
	d := &demo{Bin: o.Bin, Objects: o.Objects, Out: io.Discard, cluster: o.cluster, set: set, entry: "entry-a", dir: dir}
	return d.publish(ctx)
}

// overheadResult is what one rate gave.
type overheadResult struct {
	rate        int
	direct      *hdrhistogram.Histogram // microseconds
	through     *hdrhistogram.Histogram
	failed      int
	entryCores  float64
	entryMemory int64 // resident set, KiB
}

// String shows the result in one line.
func (r *overheadResult) String() string {
	d50, t50 := r.direct.ValueAtQuantile(50), r.through.ValueAtQuantile(50)
	d99, t99 := r.direct.ValueAtQuantile(99), r.through.ValueAtQuantile(99)
	return fmt.Sprintf("rate %d/s: direct p50 %dus p99 %dus; through p50 %dus p99 %dus; added p50 %dus p99 %dus; n %d, failed %d; entry %.2f cores, %.0f requests/s/core, %d MiB",
		r.rate, d50, d99, t50, t99, t50-d50, t99-d99, r.through.TotalCount(), r.failed,
		r.entryCores, float64(r.rate)/r.entryCores, r.entryMemory/1024)
}

// measure sends rate pairs a second for a while.
func (o *overhead) measure(ctx context.Context, rate int, span time.Duration) (*overheadResult, error) {
	r := &overheadResult{rate: rate, direct: newHistogram(), through: newHistogram()}
	engineURL, err := o.holder(ctx)
	if err != nil {
		return nil, err
	}
	entryURL := o.cluster.CallersURL("entry-a") + "/v1/chat/completions"
	var mu sync.Mutex
	var all sync.WaitGroup
	send := func(h *hdrhistogram.Histogram, url string, body []byte) {
		all.Go(func() {
			took, err := o.post(ctx, url, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.failed++
				return
			}
			_ = h.RecordValue(took.Microseconds())
		})
	}
	cpuBefore, _, err := o.usage()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	half := time.Second / time.Duration(2*rate)
	for i := range rate * int(span.Seconds()) {
		prompt := fmt.Sprintf("%s %d", overheadPrompt, i)
		direct, through := o.directBody(prompt), o.throughBody(prompt)
		pauseUntil(began.Add(time.Duration(2*i) * half))
		send(r.direct, engineURL, direct)
		pauseUntil(began.Add(time.Duration(2*i+1) * half))
		send(r.through, entryURL, through)
	}
	all.Wait()
	cpuAfter, memory, err := o.usage()
	r.entryCores = (cpuAfter - cpuBefore) / time.Since(began).Seconds()
	r.entryMemory = memory
	return r, err
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
}

func pauseUntil(t time.Time) {
	if d := time.Until(t); d > 0 {
		time.Sleep(d)
	}
}

// holder returns the URL to generate at of an engine that holds the model.
func (o *overhead) holder(ctx context.Context) (string, error) {
	for i := range o.cluster.Engines {
		url := o.cluster.BackendURL(fmt.Sprintf("engine-%d", i+1)) + "/generate"
		if _, err := o.post(ctx, url, o.directBody(overheadPrompt)); err == nil {
			return url, nil
		}
	}
	return "", fmt.Errorf("no engine holds model %q", o.model)
}

// directBody is the body of a request to an engine.
func (o *overhead) directBody(prompt string) []byte {
	return fmt.Appendf(nil, `{"attempt":%q,"model":%q,"request":{"messages":[{"role":"user","content":%q}],"max_tokens":1}}`,
		"direct "+prompt, o.model, prompt)
}

// throughBody is the body of a request to an entry.
func (o *overhead) throughBody(prompt string) []byte {
	return fmt.Appendf(nil, `{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":1}`, o.model, prompt)
}

// post sends a request and returns how long it took until the whole answer had come.
func (o *overhead) post(ctx context.Context, url string, body []byte) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	began := time.Now()
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	took := time.Since(began)
	if resp.StatusCode != http.StatusOK {
		return took, fmt.Errorf("%s answered with status %d", url, resp.StatusCode)
	}
	return took, nil
}

// usage returns the processor time that the entry has used, in seconds, and its
// resident memory in KiB.
func (o *overhead) usage() (cpu float64, memoryKiB int64, err error) {
	p, err := o.cluster.Process("entry-a")
	if err != nil {
		return 0, 0, err
	}
	return processUsage(p.PID())
}

// processUsage reads what the kernel counted for a process.
func processUsage(pid int) (cpu float64, memoryKiB int64, err error) {
	proc := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(proc, "stat"))
	if err != nil {
		return 0, 0, err
	}
	// The fields after the program's name in parentheses; utime and stime are the
	// 12th and 13th of them.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	memory, err := residentKiB(filepath.Join(proc, "status"))
	return (user + system) / clockTicksASecond, memory, err
}

func residentKiB(statusFile string) (int64, error) {
	status, err := os.ReadFile(statusFile)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("%s names no VmRSS", statusFile)
}
