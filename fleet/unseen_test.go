package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// TestManyEntriesAndOneIdlestEngine is a steady load over eight entries and six engines
// of which one has a little less to do by its last report. All entries have the same
// reports; that one engine must not get all that comes until the next.
func TestManyEntriesAndOneIdlestEngine(t *testing.T) {
	const (
		entries = 8
		engines = 6
		rounds  = 20
	)
	var listings []bamboostep.Listing
	for n := 1; n <= engines; n++ {
		listings = append(listings, engine(n, "a", holding("m")))
	}
	w := Want{Service: "llm", Name: ModelName{Model: "m"}, Tokens: 600, Answer: 100}
	fleets := make([]*Fleet, entries)
	for i := range fleets {
		fleets[i] = &Fleet{Domain: "a", Seed: uint64(i)}
		fleets[i].NoteList(listings, start)
		fleets[i].NoteEntries(entries)
	}
	now := start
	most := 0
	for round := range rounds {
		idlest := round%engines + 1
		got := make(map[string]int)
		for _, f := range fleets {
			reportAll(f, listings, idlest, now)
		}
		for _, f := range fleets {
			at := now.Add(80 * time.Millisecond)
			run, err := f.Choose(at, w)
			if err != nil {
				t.Fatal(err)
			}
			got[run.Instance]++
			run.Started()
			run.End(EndedWell, at)
		}
		now = now.Add(100 * time.Millisecond)
		if round >= rounds/2 { // once the entries know the rate
			most += got[listings[idlest-1].Instance]
		}
	}
	if mean := float64(most) / (rounds / 2); mean > entries/2 {
		t.Errorf("requests at the idlest engine in a tenth of a second: got %.1f of %d, want at most half", mean, entries)
	}
}

func reportAll(f *Fleet, listings []bamboostep.Listing, idlest int, now time.Time) {
	for i, l := range listings {
		running := 20
		if i+1 == idlest {
			running = 15
		}
		f.NoteReport(Report{Address: l.Address, Instance: l.Instance, Born: 1, Running: running, CacheTokens: 1 << 20, Models: l.Models}, now)
	}
}
