package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

var noon = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

// Fewer classes are admitted as the expected wait grows.
func ExampleAdmission_Admit() {
	for _, wait := range []time.Duration{500 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		fmt.Printf("%v:", wait)
		for _, class := range []bamboostep.Class{bamboostep.ClassWrite, bamboostep.ClassQuote, bamboostep.ClassQuestion} {
			after, ok := dispatch.Admission{}.Admit(class, wait, time.Second)
			fmt.Printf(" %s %v %v", class, ok, after)
		}
		fmt.Println()
	}
	// Output:
	// 500ms: write true 0s quote true 0s question true 0s
	// 900ms: write true 0s quote true 0s question false 1s
	// 3s: write true 0s quote false 2s question false 2s
}

// A WaitPredictor learns from observations how long requests wait once the batch of an engine is
// full, and follows changes.
func ExampleWaitPredictor() {
	var w dispatch.WaitPredictor
	_, _, known := w.Predict(100)
	fmt.Println("known", known)
	for _, full := range []time.Duration{time.Second, 3 * time.Second} {
		for range 200 {
			w.Observe(100, 20*time.Millisecond)
			w.Observe(2000, full)
		}
		fmt.Print("wait")
		for _, tokens := range []float64{100, 400, 2000, 9000} {
			wait, _, _ := w.Predict(tokens)
			fmt.Print(" ", wait.Round(10*time.Millisecond))
		}
		fmt.Println()
	}
	// Output:
	// known false
	// wait 20ms 20ms 1s 1s
	// wait 20ms 20ms 2.99s 2.99s
}

// TestWaitAttributesOnlyExcessToQueue checks that a long wait behind an empty queue, as
// while a lost copy is loaded, does not count as caused by the queue. Otherwise requests
// would be refused although no work is queued before them.
func TestWaitAttributesOnlyExcessToQueue(t *testing.T) {
	var w dispatch.WaitPredictor
	for i := range 100 {
		w.Observe(float64(i%3), 2*time.Second)
	}
	wait, queued, known := w.Predict(0)
	if !known || wait < time.Second {
		t.Errorf("got wait %v, known %v, want about 2s", wait, known)
	}
	if got, want := queued, time.Duration(0); got != want {
		t.Errorf("got %v of the wait from an empty queue, want %v", got, want)
	}
}

// TestBudgetBoundsRetries checks that the budget bounds the retries for any sequence of
// requests and retries.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := &dispatch.RetryBudget{Share: 0.1, PerSecond: 1, Burst: 5}
		now := noon
		requests, retries := 0, 0
		b.AddRequest(now)
		for range rapid.IntRange(0, 500).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "request") {
				b.AddRequest(now)
				requests++
			}
			if b.TakeRetry(now) {
				retries++
			}
		}
		limit := 5 + 0.1*float64(requests+1) + now.Sub(noon).Seconds() + 1e-6
		if float64(retries) > limit {
			rt.Errorf("%d retries were allowed for %d requests in %v, want at most %.1f", retries, requests, now.Sub(noon), limit)
		}
	})
}

// TestCourseRespectsOutcomes checks that a request which is not repeatable is retried
// only after "not run", that none is retried after its deadline, and that the final
// outcome is "not run" only if no attempt may have run.
func TestCourseRespectsOutcomes(t *testing.T) {
	outcomes := []bamboostep.Outcome{bamboostep.NotRun, bamboostep.Ran, bamboostep.Unknown}
	rapid.Check(t, func(rt *rapid.T) {
		c := dispatch.RequestState{Repeatable: rapid.Bool().Draw(rt, "repeatable"), Deadline: noon.Add(time.Second)}
		now := noon
		ran := false
		for {
			if _, err := c.StartAttempt(); err != nil {
				rt.Fatal(err)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			o := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
			refused := c.AttemptFailed(now, "vm", bamboostep.Failure{Outcome: o})
			ran = ran || o != bamboostep.NotRun
			if refused == nil {
				if ran && !c.Repeatable {
					rt.Fatal("a request that may have run is offered again")
				}
				if !now.Before(c.Deadline) {
					rt.Fatal("a request is offered after its deadline")
				}
				continue
			}
			if got, want := refused.Outcome == bamboostep.NotRun, !ran; got != want {
				rt.Errorf("told not run: %v, want %v", got, want)
			}
			return
		}
	})
}

// TestRefusalOfSuspectExpiresAndDoubles checks that a refused request may run alone when
// its refusal expires, and that its next refusal lasts twice as long.
func TestRefusalOfSuspectExpiresAndDoubles(t *testing.T) {
	s := &dispatch.CrashSuspects{FirstRefusal: time.Minute}
	now := noon
	crash := func(i int) {
		s.RecordCrash(now, []bamboostep.Suspect{{Fingerprint: 7, Attempt: bamboostep.AttemptID(fmt.Sprint(i)), VM: "vm"}})
	}
	crash(1)
	if got, want := s.VerdictFor(now, 7), (dispatch.SuspectVerdict{Alone: true}); got != want {
		t.Errorf("after one crash verdict = %+v, want %+v", got, want)
	}
	crash(1)
	crash(2)
	for _, want := range []time.Duration{time.Minute, 2 * time.Minute} {
		if got := s.VerdictFor(now, 7); !got.Refused || got.RetryAfter != want {
			t.Errorf("verdict = %+v, want refused for %v", got, want)
		}
		now = now.Add(want)
		if got := s.VerdictFor(now, 7); got.Refused || !got.Alone {
			t.Errorf("after the refusal verdict = %+v, want alone", got)
		}
		crash(int(want))
	}
	if got, want := s.UnexpectedEvents(), uint64(0); got != want {
		t.Errorf("strays = %d, want %d", got, want)
	}
}

func TestPrefixCacheMatchesAndDrops(t *testing.T) {
	prompt := make([]byte, 1000)
	hashes := dispatch.PrefixHashes("model", prompt)
	var p dispatch.PrefixCache
	p.Add(hashes)
	if got, want := p.Match(hashes), 3; got != want {
		t.Errorf("matched %d blocks, want %d", got, want)
	}
	if got, want := p.Match(dispatch.PrefixHashes("other", prompt)), 0; got != want {
		t.Errorf("another model matched %d blocks, want %d", got, want)
	}
	p.Drop(hashes[1:2])
	if got, want := p.Match(hashes), 1; got != want {
		t.Errorf("after a drop matched %d blocks, want %d", got, want)
	}
}

// TestPrefixIndexAgreesWithCaches checks that the index finds the same matches as each
// cache by itself after any sequence of additions and removals.
func TestPrefixIndexAgreesWithCaches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index dispatch.PrefixIndex
		caches := make([]*dispatch.PrefixCache, 5)
		for i := range caches {
			caches[i] = &dispatch.PrefixCache{Limit: 4, Index: &index}
		}
		prompt := rapid.SliceOfN(rapid.Uint64Range(1, 8), 0, 6)
		cache := rapid.SampledFrom(caches)
		t.Repeat(map[string]func(*rapid.T){
			"add":   func(t *rapid.T) { cache.Draw(t, "cache").Add(prompt.Draw(t, "prompt")) },
			"drop":  func(t *rapid.T) { cache.Draw(t, "cache").Drop(prompt.Draw(t, "blocks")) },
			"clear": func(t *rapid.T) { cache.Draw(t, "cache").Clear() },
			"": func(t *rapid.T) {
				asked := prompt.Draw(t, "asked")
				index.Match(asked)
				for i, p := range caches {
					if got, want := p.Matched(), p.Match(asked); got != want {
						t.Fatalf("cache %d holds %d leading blocks of %v, want %d", i, got, asked, want)
					}
				}
			},
		})
	})
}
