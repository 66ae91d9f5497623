package pace_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
	"github.com/bamboostep/bamboostep/pace"
)

func init() { seed.Rapid() }

const (
	poll      = 100 * time.Millisecond
	eventTime = 40 * time.Millisecond // of an event at the usual speed
	busyTimes = 6                     // an event takes so many times as long while prompts are prefilled
)

// fakeEngine makes events of running streams as time passes, and reports them.
type fakeEngine struct {
	report   bamboostep.EngineReport
	progress []float64 // events of each stream
	stalled  int       // streams, the first ones, that make no events
	slowness float64
}

func newEngine(streams int) *fakeEngine {
	return &fakeEngine{report: bamboostep.EngineReport{StartedMS: 1}, progress: make([]float64, streams), slowness: 1}
}

// run lets time pass with a report to e at each poll, and returns the time then.
func (g *fakeEngine) run(e *pace.Estimator, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(poll)
		g.pass(poll)
		e.Observe(g.report, now)
	}
	return now
}

func (g *fakeEngine) pass(d time.Duration) {
	gap := eventTime.Seconds() * g.slowness
	if g.report.Prefilling > 0 {
		gap *= busyTimes
	}
	g.report.Running = len(g.progress) + g.report.Prefilling
	g.report.Runs = nil
	for i := range g.progress {
		if i >= g.stalled {
			g.progress[i] += d.Seconds() / gap
		}
		g.report.Runs = append(g.report.Runs, bamboostep.EngineRun{ID: fmt.Sprint("r", i), Events: int(g.progress[i])})
	}
}

// alternate lets an engine prefill every other second.
func (g *fakeEngine) alternate(e *pace.Estimator, now time.Time, seconds int) time.Time {
	for s := range seconds {
		g.report.Prefilling = s % 2
		now = g.run(e, now, time.Second)
	}
	g.report.Prefilling = 0
	return now
}

// near reports whether got is within a fifth of want: two of these apart are the least that the loads below differ by.
func near(got, want time.Duration) bool { return got > want*4/5 && got < want*6/5 }

// An engine at half the speed of its peers for good is known as such, in all three figures.
func TestPaceOfSlowEngine(t *testing.T) {
	for _, slowness := range []float64{1, 2} {
		var e pace.Estimator
		g := newEngine(5)
		g.slowness = slowness
		now := g.alternate(&e, time.Unix(1000, 0), 10)
		for range 5 {
			e.ObserveFirstEvent(3000, time.Duration(slowness*float64(100*time.Millisecond+eventTime)), now)
		}
		p := e.Pace(now)
		scaled := func(d time.Duration) time.Duration { return time.Duration(slowness * float64(d)) }
		if !near(p.EventGap(), scaled(eventTime)) || !near(p.PrefillGap(), scaled(busyTimes*eventTime)) || !near(p.Prefill(3000), scaled(100*time.Millisecond)) {
			t.Errorf("slowness %v: got %+v", slowness, p)
		}
	}
}

// An engine that takes 3.5 times as long for 6 s is noticed within a second, also in what was not observed since, and trusted again
// two seconds after.
func TestPaceOfEngineThatTurnsSlow(t *testing.T) {
	var e pace.Estimator
	g := newEngine(5)
	now := g.alternate(&e, time.Unix(1000, 0), 20)
	usual := e.Pace(now)
	g.slowness = 3.5
	now = g.run(&e, now, time.Second)
	if p := e.Pace(now); p.EventGap() < 3*usual.EventGap() || p.PrefillGap() < 3*usual.PrefillGap() {
		t.Errorf("after a second: got %+v, want more than three times of %+v", p, usual)
	}
	now = g.run(&e, now, 5*time.Second)
	g.slowness = 1
	now = g.run(&e, now, 2*time.Second)
	if p := e.Pace(now); !near(p.EventGap(), usual.EventGap()) || !near(p.PrefillGap(), usual.PrefillGap()) {
		t.Errorf("two seconds after the end: got %+v, want about %+v", p, usual)
	}
}

// An engine that got no streams any more since it turned slow is trusted again.
func TestPaceOfAvoidedEngine(t *testing.T) {
	var e pace.Estimator
	g := newEngine(5)
	now := g.run(&e, time.Unix(1000, 0), 5*time.Second)
	usual := e.Pace(now)
	g.slowness = 3.5
	now = g.run(&e, now, time.Second)
	g.progress = nil
	now = g.run(&e, now, 3*time.Second)
	if p := e.Pace(now); !near(p.EventGap(), usual.EventGap()) {
		t.Errorf("got %v, want about %v", p.EventGap(), usual.EventGap())
	}
}

// Spoilt samples do not change the pace, or not beyond what can be told apart.
func TestSpoiltSamples(t *testing.T) {
	garbage := bamboostep.EngineReport{StartedMS: 1, Running: -5, Runs: []bamboostep.EngineRun{{ID: "r0", Events: 0}, {ID: "r1", Events: 1 << 40}}}
	for name, spoil := range map[string]func(g *fakeEngine, e *pace.Estimator, now time.Time) time.Time{
		"a stream stands still": func(g *fakeEngine, e *pace.Estimator, now time.Time) time.Time {
			g.stalled = 1
			return g.run(e, now, 3*time.Second)
		},
		"the holder stood still": func(g *fakeEngine, e *pace.Estimator, now time.Time) time.Time {
			g.pass(poll)
			now = now.Add(20 * time.Second)
			e.Observe(g.report, now)
			return now
		},
		"the engine stood still for a moment": func(g *fakeEngine, e *pace.Estimator, now time.Time) time.Time {
			e.Observe(g.report, now.Add(poll))
			return g.run(e, now.Add(poll), time.Second)
		},
		"the holder's clock went back": func(g *fakeEngine, e *pace.Estimator, now time.Time) time.Time {
			return g.run(e, now.Add(-time.Minute), 3*time.Second)
		},
		"counts are garbage": func(g *fakeEngine, e *pace.Estimator, now time.Time) time.Time {
			e.Observe(garbage, now.Add(poll))
			return g.run(e, now.Add(poll), time.Second)
		},
		"first events are garbage": func(_ *fakeEngine, e *pace.Estimator, now time.Time) time.Time {
			for _, tokens := range []int{-1, 0, 1 << 60} {
				e.ObserveFirstEvent(tokens, -time.Second, now)
				e.ObserveFirstEvent(tokens, 1, now)
				e.ObserveFirstEvent(tokens, 1<<62, now)
			}
			return now
		},
	} {
		t.Run(name, func(t *testing.T) {
			var e pace.Estimator
			g := newEngine(5)
			now := g.alternate(&e, time.Unix(1000, 0), 10)
			want := e.Pace(now)
			if got := e.Pace(spoil(g, &e, now)); !near(got.EventGap(), want.EventGap()) || !near(got.PrefillGap(), want.PrefillGap()) || got.PrefillPerMS != 0 {
				t.Errorf("got %+v, want about %+v", got, want)
			}
		})
	}
}

// An engine that has started anew is unknown.
func TestPaceAfterRestart(t *testing.T) {
	var e pace.Estimator
	g := newEngine(5)
	now := g.alternate(&e, time.Unix(1000, 0), 4)
	g.report.StartedMS = 2
	now = g.run(&e, now, poll)
	if got := e.Pace(now); got != (pace.Pace{}) {
		t.Errorf("got %+v, want nothing", got)
	}
}

// Whatever is reported, the pace is one that an engine can have.
func TestPaceIsAlwaysValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e pace.Estimator
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.Int64Range(-int64(poll), int64(3*poll)).Draw(t, "passed")))
			r := bamboostep.EngineReport{StartedMS: rapid.Int64Range(1, 2).Draw(t, "start"), Prefilling: rapid.IntRange(-1, 1).Draw(t, "prefilling"), Running: rapid.Int().Draw(t, "running")}
			for i := range rapid.IntRange(0, 4).Draw(t, "runs") {
				r.Runs = append(r.Runs, bamboostep.EngineRun{ID: fmt.Sprint(i), Events: rapid.Int().Draw(t, "events")})
			}
			e.Observe(r, now)
			e.ObserveFirstEvent(rapid.Int().Draw(t, "tokens"), time.Duration(rapid.Int64().Draw(t, "took")), now)
			if p := e.Pace(now); !p.Valid() {
				t.Fatalf("got %+v", p)
			}
		}
	})
}
