package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// TestLongPromptsAndLongAnswersAreKeptApart is a busy model on two engines: one runs many
// streams and reads hardly any prompts, the other reads prompts all the time.
func TestLongPromptsAndLongAnswersAreKeptApart(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &Fleet{Domain: "a"}
	report := func(address string, running, reading int) Report {
		return Report{Instance: address, Born: 1, Service: "llm", Address: address, Domain: "a",
			Running: running, Reading: reading, CacheTokens: 200000, Models: []bamboostep.HeldModel{{Name: "m"}}}
	}
	for range 40 {
		f.NoteReport(report("streams", 12, 0), now)
		f.NoteReport(report("reads", 2, 1), now)
		now = now.Add(100 * time.Millisecond)
	}
	for name, c := range map[string]struct {
		reading int // prompts at the engine that reads, right now
		tokens  int
		answer  int
		want    string
	}{
		"long prompt, short answer": {1, 9000, 50, "reads"},
		"short prompt, long answer": {0, 600, 300, "streams"},
	} {
		t.Run(name, func(t *testing.T) {
			f.NoteReport(report("reads", 2, c.reading), now)
			r, err := f.Choose(now, Want{Service: "llm", Name: ModelName{Model: "m"}, Tokens: c.tokens, Answer: c.answer, Slots: 96})
			if err != nil {
				t.Fatal(err)
			}
			r.End(EndedByUs, now)
			if r.Address != c.want {
				t.Errorf("got engine %q, want %q", r.Address, c.want)
			}
		})
	}
}

func TestReadingShareFollowsReports(t *testing.T) {
	now := time.Unix(1000, 0)
	var r readingShare
	if got := r.now(now); got != 0 {
		t.Errorf("before any report: got %v, want 0", got)
	}
	r.note(true, now)
	now = now.Add(10 * readingFade)
	if got := r.now(now); got < 0.99 {
		t.Errorf("after reading for long: got %v, want about 1", got)
	}
	r.note(false, now)
	now = now.Add(readingFade)
	if got := r.now(now); got < 0.35 || got > 0.38 {
		t.Errorf("one fade after it ended: got %v, want about 0.37", got)
	}
}
