package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Eight entries choose among six engines, one of which has a slightly lower load by its
// last report. All entries have the same reports, but they must not all choose that engine
// until the next one.
func TestLeastLoadedEngineIsNotOverrun(t *testing.T) {
	const (
		entries = 8
		engines = 6
		rounds  = 20
	)
	var listings []bamboostep.Listing
	for n := 1; n <= engines; n++ {
		listings = append(listings, engine(n, "a", holding("m")))
	}
	w := Requirements{Service: "llm", ModelName: ModelName{Model: "m"}, PromptTokens: 600, MaxAnswerTokens: 100}
	fleets := make([]*Fleet, entries)
	for i := range fleets {
		fleets[i] = &Fleet{Domain: "a", Seed: uint64(i)}
		fleets[i].ApplyList(listings, start)
		fleets[i].SetEntryCount(entries)
	}
	now := start
	most := 0
	for round := range rounds {
		leastLoaded := round%engines + 1
		got := make(map[string]int)
		for _, f := range fleets {
			reportAll(f, listings, leastLoaded, now)
		}
		for _, f := range fleets {
			at := now.Add(80 * time.Millisecond)
			run, err := f.Choose(at, w)
			if err != nil {
				t.Fatal(err)
			}
			got[run.Instance]++
			run.Started()
			run.End(EndedOK, at)
		}
		now = now.Add(100 * time.Millisecond)
		if round >= rounds/2 { // once the entries know the rate
			most += got[listings[leastLoaded-1].Instance]
		}
	}
	if mean := float64(most) / (rounds / 2); mean > entries/2 {
		t.Errorf("requests at the least loaded engine within 100 ms: got %.1f of %d, want at most half", mean, entries)
	}
}

func reportAll(f *Fleet, listings []bamboostep.Listing, leastLoaded int, now time.Time) {
	for i, l := range listings {
		running := 20
		if i+1 == leastLoaded {
			running = 15
		}
		f.ApplyReport(Report{Address: l.Address, Instance: l.Instance, StartedMS: 1, Running: running, CacheTokens: 1 << 20, Models: l.Models}, now)
	}
}
