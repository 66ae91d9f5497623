package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/pace"
)

const pauseTarget = 400 * time.Millisecond

var (
	fastPace = pace.Pace{PrefillPerMS: 40, EventGapUS: 20_000, PrefillGapUS: 200_000}
	slowPace = pace.Pace{PrefillPerMS: 20, EventGapUS: 40_000, PrefillGapUS: 600_000}
)

// paceReport is the report of an engine that runs some streams and prefills some prompts. Its pace is left out if it is zero.
func paceReport(address string, p pace.Pace, running, prefilling int) Report {
	r := Report{Instance: address, StartedMS: 1, Service: "llm", Address: address, Domain: "a",
		Running: running + prefilling, Prefilling: prefilling, CacheTokens: 1 << 20, Models: []bamboostep.LoadedModel{{Name: "m"}}}
	if p != (pace.Pace{}) {
		r.Pace = &p
	}
	return r
}

func promised(tokens, answer int) Requirements {
	return Requirements{Service: "llm", ModelName: ModelName{Model: "m"}, PromptTokens: tokens, MaxAnswerTokens: answer,
		Promise: Promise{FirstEvent: 800 * time.Millisecond, EventGap: pauseTarget}}
}

// TestSlowQuarterOfEngines plays long prompts beside short streams on four engines, of which one is half as fast as the others: a
// long prompt must not go beside the streams that it would bring over the pause promised, nor a short stream where long prompts would do that to it.
func TestSlowQuarterOfEngines(t *testing.T) {
	for name, c := range map[string]struct {
		slowStreams, slowPrefills int // at the slow engine
		fastStreams, fastPrefills int // at each of the others
		req                       Requirements
		avoidsSlow, wantSlow      bool
	}{
		"long prompt, streams run there":                 {slowStreams: 10, fastStreams: 10, req: promised(9000, 50), avoidsSlow: true},
		"long prompt, nothing runs there":                {fastStreams: 30, fastPrefills: 2, req: promised(9000, 50), wantSlow: true},
		"short stream, prompts are prefilled there":      {slowStreams: 1, slowPrefills: 1, fastStreams: 20, req: promised(700, 300), avoidsSlow: true},
		"short stream, nothing is ever prefilled there":  {fastStreams: 20, fastPrefills: 2, req: promised(700, 300), wantSlow: true},
		"short stream, prompts are prefilled everywhere": {slowPrefills: 2, fastStreams: 10, fastPrefills: 2, req: promised(700, 300), avoidsSlow: true},
	} {
		t.Run(name, func(t *testing.T) {
			f, now := newFleet(), start
			for range 40 {
				f.ApplyReport(paceReport("slow", slowPace, c.slowStreams, c.slowPrefills), now)
				for _, address := range []string{"f1", "f2", "f3"} {
					f.ApplyReport(paceReport(address, fastPace, c.fastStreams, c.fastPrefills), now)
				}
				now = now.Add(100 * time.Millisecond)
			}
			run, err := f.Choose(now, c.req)
			if err != nil {
				t.Fatal(err)
			}
			if slow := run.Address == "slow"; c.avoidsSlow && slow || c.wantSlow && !slow {
				t.Errorf("got %s", run.Address)
			}
		})
	}
}

// TestKeepsPromise checks what counts as a promise that is kept, of the only engine that there is, and in what time one that isn't would be.
func TestKeepsPromise(t *testing.T) {
	for name, c := range map[string]struct {
		pace             pace.Pace
		streams, waiting int
		tokens           int
		want             bool
	}{
		"long prompt at a fast engine with streams":  {fastPace, 10, 0, 9000, true},
		"long prompt at a slow engine with streams":  {slowPace, 10, 0, 9000, false},
		"short prompt at a slow engine with streams": {slowPace, 10, 0, 700, true},
		"long prompt at an empty slow engine":        {slowPace, 0, 0, 9000, true},
		"queue is too long for the first event":      {fastPace, 0, 4, 9000, false},
		"each event takes too long":                  {pace.Pace{PrefillPerMS: 20, EventGapUS: 500_000}, 1, 0, 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			r := paceReport("e", c.pace, c.streams, 0)
			r.Waiting = c.waiting
			f.ApplyReport(r, start)
			e := f.estimate(start, promised(c.tokens, 50), f.byAddress["e"], nil)
			if e.keepsPromise() != c.want || c.want && e.keptIn != 0 {
				t.Errorf("got %v in %v, want %v", e.keepsPromise(), e.keptIn, c.want)
			}
			if c.waiting > 0 && e.keptIn != e.wait-800*time.Millisecond {
				t.Errorf("kept in: got %v, want what the wait of %v is too long", e.keptIn, e.wait)
			}
		})
	}
}

// TestEngineThatTurnsSlowAndRecovers checks that an engine is avoided as soon as its holder tells that it has turned slow, and used again
// once it tells otherwise.
func TestEngineThatTurnsSlowAndRecovers(t *testing.T) {
	f := newFleet()
	f.ApplyReport(paceReport("a", fastPace, 5, 0), start)
	f.ApplyReport(paceReport("b", fastPace, 7, 0), start)
	slow := pace.Pace{PrefillPerMS: fastPace.PrefillPerMS / 3.5, EventGapUS: fastPace.EventGapUS * 7 / 2, PrefillGapUS: fastPace.PrefillGapUS * 7 / 2}
	for i, c := range []struct {
		pace pace.Pace
		want string
	}{{fastPace, "a"}, {slow, "b"}, {fastPace, "a"}} {
		f.ApplyPace("a", PaceUpdate{StartedMS: 1, Pace: c.pace}, start)
		run, err := f.Choose(start, promised(9000, 50))
		if err != nil || run.Address != c.want || !run.KeepsPromise {
			t.Errorf("step %d: got %+v, %v, want %s and its promise kept", i, run, err, c.want)
		}
		run.End(EndedCanceled, start)
	}
}

// TestPaceThatIsNotKnown checks what stands for the pace of an engine whose holder has told none, or has gone.
func TestPaceThatIsNotKnown(t *testing.T) {
	half := pace.Pace{EventGapUS: slowPace.EventGapUS}
	garbage := pace.Pace{PrefillPerMS: -1, EventGapUS: 1 << 62}
	for name, c := range map[string]struct {
		apply func(f *Fleet)
		want  pace.Pace
	}{
		"nothing is known of any":             {func(*Fleet) {}, pace.Pace{}},
		"peers are known":                     {reportPeers, fastPace},
		"the holder has gone":                 {func(f *Fleet) { f.ApplyPace("e", PaceUpdate{StartedMS: 1, Pace: slowPace}, start.Add(-time.Hour)) }, slowPace},
		"the holder tells of another start":   {func(f *Fleet) { f.ApplyPace("e", PaceUpdate{StartedMS: 2, Pace: slowPace}, start) }, pace.Pace{}},
		"the holder tells garbage":            {func(f *Fleet) { f.ApplyPace("e", PaceUpdate{StartedMS: 1, Pace: garbage}, start) }, pace.Pace{}},
		"the engine has started anew":         {restartKnownEngine, pace.Pace{}},
		"it decodes at half the peers' speed": {func(f *Fleet) { reportPeers(f); f.ApplyPace("e", PaceUpdate{StartedMS: 1, Pace: half}, start) }, pace.Pace{PrefillPerMS: 20, EventGapUS: 40_000, PrefillGapUS: 400_000}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			f.ApplyReport(paceReport("e", pace.Pace{}, 0, 0), start)
			c.apply(f)
			if got := f.paceOf(f.byAddress["e"], start); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			if run, err := f.Choose(start, promised(9000, 50)); err != nil || !run.KeepsPromise {
				t.Errorf("got %+v, %v, want an engine that keeps its promise", run, err)
			}
		})
	}
}

func reportPeers(f *Fleet) {
	for _, address := range []string{"peer1", "peer2"} {
		f.ApplyReport(paceReport(address, fastPace, 0, 0), start)
	}
}

func restartKnownEngine(f *Fleet) {
	f.ApplyPace("e", PaceUpdate{StartedMS: 1, Pace: slowPace}, start)
	r := paceReport("e", pace.Pace{}, 0, 0)
	r.Instance, r.StartedMS = "e2", 2
	f.ApplyReport(r, start)
}

// TestFirstEventsAreTold checks that a holder is told of the first events of requests that had its engine to themselves, and of no others.
func TestFirstEventsAreTold(t *testing.T) {
	f := newFleet()
	f.ApplyReport(paceReport("e", pace.Pace{}, 0, 0), start)
	choose := func() *Assignment {
		run, err := f.Choose(start, promised(3000, 50))
		if err != nil {
			t.Fatal(err)
		}
		return run
	}
	alone := choose()
	alone.FirstEvent(start.Add(100 * time.Millisecond))
	alone.FirstEvent(start.Add(200 * time.Millisecond)) // of a later event
	first, second := choose(), choose()
	first.FirstEvent(start.Add(time.Second))
	second.FirstEvent(start.Add(time.Second))
	got := f.TakeFirstEvents()["e"]
	if len(got.FirstEvents) != 1 || got.StartedMS != 1 || got.FirstEvents[0].Tokens != 3000 || got.FirstEvents[0].TookUS != 100_000 {
		t.Errorf("got %+v, want 3000 tokens in 100ms", got)
	}
	if again := f.TakeFirstEvents(); len(again) > 0 {
		t.Errorf("taken again: got %v, want none", again)
	}
}
