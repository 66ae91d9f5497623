package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/pace"
)

const (
	shortTokens = 800
	longTokens  = 9000
)

// mixedLoad sends n pairs of a short and a long prompt, each served before the next, and returns the engines that each kind went to in the
// second half, when the entry knows its load.
func mixedLoad(t *testing.T, f *Fleet, n int) (short, long map[string]int) {
	t.Helper()
	short, long = make(map[string]int), make(map[string]int)
	for i := range 2 * n {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		req, to := want("m"), short
		req.Promise = Promise{FirstEvent: time.Second, EventGap: 400 * time.Millisecond}
		req.PromptTokens = shortTokens
		if i%2 == 1 {
			req.PromptTokens, to = longTokens, long
		}
		r, err := f.Choose(now, req)
		if err != nil {
			t.Fatal(err)
		}
		if i >= n {
			to[r.Instance]++
		}
		r.FirstEvent(now)
		r.End(EndedOK, now)
	}
	return short, long
}

// lanesFleet returns the view of an entry on engines that hold a model. The first slow of them pause streams for long.
func lanesFleet(domain string, seed uint64, engines, slow int) *Fleet {
	f := &Fleet{Domain: domain, Seed: seed}
	var listings []bamboostep.Listing
	for i := range engines {
		listings = append(listings, engine(i+1, "a", holding("m")))
	}
	f.ApplyList(listings, start)
	for i, l := range listings {
		p := pace.Pace{PrefillPerMS: 40, EventGapUS: 25_000, PrefillGapUS: 250_000}
		if i < slow {
			p.PrefillGapUS = 500_000
		}
		f.ApplyReport(Report{Address: l.Address, Instance: l.Instance, StartedMS: 1, Models: l.Models, Pace: &p}, start)
	}
	return f
}

// Prompts of very different length for one model, beside streams with a target for their pauses.
func TestLongAndShortPromptsGoToDifferentEngines(t *testing.T) {
	const engines = 20
	short, long := mixedLoad(t, lanesFleet("a", 1, engines, 1), 400)
	for instance := range long {
		if short[instance] > 0 {
			t.Errorf("%s: got %d short and %d long prompts, want one kind", instance, short[instance], long[instance])
		}
	}
	otherShort, _ := mixedLoad(t, lanesFleet("b", 2, engines, 1), 400)
	for instance := range otherShort {
		if long[instance] > 0 {
			t.Errorf("%s: got the short prompts of one entry and the long ones of another", instance)
		}
	}
}

// Engines at which a prefill pauses streams for longer than promised get the short prompts.
func TestSlowEnginesTakeShortPrompts(t *testing.T) {
	const slow = 1
	_, long := mixedLoad(t, lanesFleet("a", 1, 20, slow), 400)
	if long["i1"] > 0 {
		t.Errorf("long prompts at the slow engine: got %d, want none", long["i1"])
	}
}

// Two copies are both needed for the long prompts, so no engine is set aside.
func TestFewCopiesHaveNoLanes(t *testing.T) {
	f := lanesFleet("a", 1, 2, 1)
	mixedLoad(t, f, 100)
	req := want("m")
	req.Promise.EventGap = 400 * time.Millisecond
	if lane := f.lane(req); lane != nil {
		t.Errorf("got a lane of %d engines, want none", len(lane))
	}
}

// Where no engine pauses its streams for longer than promised, all engines take both kinds.
func TestNoLanesWhereNoStreamPausesTooLong(t *testing.T) {
	f := lanesFleet("a", 1, 20, 0)
	mixedLoad(t, f, 100)
	req := want("m")
	req.Promise.EventGap = 400 * time.Millisecond
	if lane := f.lane(req); lane != nil {
		t.Errorf("got a lane of %d engines, want none", len(lane))
	}
}

// A request leaves its lane where that saves it more than the pause that its route promises.
func TestFullLaneIsLeft(t *testing.T) {
	f := lanesFleet("a", 1, 20, 1)
	_, long := mixedLoad(t, f, 400)
	for _, s := range f.servers {
		if long[s.listing.Instance] == 0 {
			s.report.Waiting = 0
			continue
		}
		s.report.Waiting = 40 // prompts
	}
	now := start.Add(8 * time.Second)
	for _, s := range f.servers {
		s.reportAt = now
	}
	req := want("m")
	req.PromptTokens, req.Promise = longTokens, Promise{FirstEvent: time.Second, EventGap: 400 * time.Millisecond}
	r, err := f.Choose(now, req)
	if err != nil {
		t.Fatal(err)
	}
	if long[r.Instance] > 0 {
		t.Errorf("got the full lane, want an idle engine of the other one")
	}
}
