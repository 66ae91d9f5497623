package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/pace"
)

// Two engines hold a model: one runs many streams with few prefills, the other prefills
// constantly. Long prompts must go to the latter and long answers to the former.
func TestLongPromptsAndLongAnswersAreSeparated(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFleet()
	report := func(address string, running, prefilling int) Report {
		return Report{Instance: address, StartedMS: 1, Service: "llm", Address: address, Domain: "a",
			Running: running, Prefilling: prefilling, CacheTokens: 200000, Models: []bamboostep.LoadedModel{{Name: "m"}},
			Pace: &pace.Pace{PrefillPerMS: 38, EventGapUS: 8000, PrefillGapUS: 62000}}
	}
	f.usageOf("llm").promptTokens = 1500
	for range 40 {
		f.ApplyReport(report("streams", 12, 0), now)
		f.ApplyReport(report("reads", 2, 1), now)
		now = now.Add(100 * time.Millisecond)
	}
	for name, c := range map[string]struct {
		prefilling int // prompts that the engine "reads" currently prefills
		tokens     int
		answer     int
		want       string
	}{
		"long prompt, short answer": {1, 9000, 50, "reads"},
		"short prompt, long answer": {0, 600, 300, "streams"},
	} {
		t.Run(name, func(t *testing.T) {
			f.ApplyReport(report("reads", 2, c.prefilling), now)
			r, err := f.Choose(now, Requirements{Service: "llm", ModelName: ModelName{Model: "m"}, PromptTokens: c.tokens, MaxAnswerTokens: c.answer, DefaultSlots: 96})
			if err != nil {
				t.Fatal(err)
			}
			r.End(EndedCanceled, now)
			if r.Address != c.want {
				t.Errorf("got engine %q, want %q", r.Address, c.want)
			}
		})
	}
}

func TestPrefillShare(t *testing.T) {
	now := time.Unix(1000, 0)
	var r prefillShare
	if got := r.value(now); got != 0 {
		t.Errorf("before any report: got %v, want 0", got)
	}
	r.observe(true, now)
	now = now.Add(10 * prefillDecay)
	if got := r.value(now); got < 0.99 {
		t.Errorf("after prefilling for long: got %v, want about 1", got)
	}
	r.observe(false, now)
	now = now.Add(prefillDecay)
	if got := r.value(now); got < 0.35 || got > 0.38 {
		t.Errorf("one decay period after it ended: got %v, want about 0.37", got)
	}
}
