package gateway

import (
	"sync"
	"time"
)

// runTimes estimates how long backend servers of plain services take for a request: the slowest
// of late, which fades, or one that still goes on. The zero value knows none.
type runTimes struct {
	mu        sync.Mutex
	byService map[string]*serviceRuns
}

// serviceRuns is what is known of the runs of a service.
type serviceRuns struct {
	slowest slowestRun
	running map[*startedRun]bool
}

type slowestRun struct {
	took time.Duration
	at   time.Time
}

// startedRun is a run that has not ended.
type startedRun struct{ at time.Time }

const (
	runTimeHalfLife = 30 * time.Second // in which the slowest run counts half
	runTimeMargin   = 2                // factor on the slowest run
)

// faded returns what r counts for at now.
func (r slowestRun) faded(now time.Time) time.Duration {
	return time.Duration(float64(r.took) / (1 + now.Sub(r.at).Seconds()/runTimeHalfLife.Seconds()))
}

// begin notes that a run of a service begins, and returns the function that notes its end. That must be called once.
func (t *runTimes) begin(service string, now time.Time) (end func(now time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = make(map[string]*serviceRuns)
	}
	runs := t.byService[service]
	if runs == nil {
		runs = &serviceRuns{running: make(map[*startedRun]bool)}
		t.byService[service] = runs
	}
	run := &startedRun{now}
	runs.running[run] = true
	return func(now time.Time) {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(runs.running, run)
		if took := now.Sub(run.at); took >= runs.slowest.faded(now) {
			runs.slowest = slowestRun{took, now}
		}
	}
}

// expected returns how long a run of a service may take, and false if no run of it has ended here.
func (t *runTimes) expected(service string, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := t.byService[service]
	if runs == nil || runs.slowest.at.IsZero() {
		return 0, false
	}
	longest := runs.slowest.faded(now)
	for run := range runs.running {
		longest = max(longest, now.Sub(run.at))
	}
	return runTimeMargin * longest, true
}
