package fleet

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

var start = time.Unix(1000, 0)

func engine(n int, domain string, models ...bamboostep.HeldModel) bamboostep.Listing {
	return bamboostep.Listing{
		Instance: fmt.Sprintf("i%d", n), Born: 1, Service: "llm", Address: fmt.Sprintf("10.0.0.%d:1", n),
		Domain: domain, Slots: 96, Models: models,
	}
}

func holding(model string, adapters ...string) bamboostep.HeldModel {
	return bamboostep.HeldModel{Name: model, Adapters: adapters}
}

func newFleet(listings ...bamboostep.Listing) *Fleet {
	f := &Fleet{Domain: "a"}
	f.NoteList(listings, start)
	return f
}

func want(model string) Want {
	return Want{Service: "llm", Name: ModelName{Model: model}, Tokens: 1000, Answer: 100}
}

func TestChoose(t *testing.T) {
	leaving := engine(1, "a", holding("m"))
	leaving.Leaving = true
	for name, c := range map[string]struct {
		listings []bamboostep.Listing
		want     Want
		instance string
		reason   Reason
	}{
		"holds the model":     {[]bamboostep.Listing{engine(1, "a"), engine(2, "b", holding("m"))}, want("m"), "i2", ""},
		"own domain first":    {[]bamboostep.Listing{engine(1, "b", holding("m")), engine(2, "a", holding("m"))}, want("m"), "i2", ""},
		"not one that leaves": {[]bamboostep.Listing{leaving, engine(2, "b", holding("m"))}, want("m"), "i2", ""},
		"adapter is there": {[]bamboostep.Listing{engine(1, "a", holding("m")), engine(2, "a", holding("m", "x"))},
			Want{Service: "llm", Name: ModelName{"m", "x"}}, "i2", ""},
		"nobody holds it": {[]bamboostep.Listing{engine(1, "a")}, want("m"), "", ReasonNoModel},
		"nobody is there": {nil, want("m"), "", ReasonNoServer},
		"all avoided": {[]bamboostep.Listing{engine(1, "a", holding("m"))},
			Want{Service: "llm", Name: ModelName{Model: "m"}, Avoid: []string{"10.0.0.1:1"}}, "", ReasonNoServer},
		"too long for its time": {[]bamboostep.Listing{engine(1, "a", holding("m"))},
			Want{Service: "llm", Name: ModelName{Model: "m"}, Tokens: 1 << 20, Longest: time.Second}, "", ReasonBusy},
	} {
		t.Run(name, func(t *testing.T) {
			run, err := newFleet(c.listings...).Choose(start, c.want)
			var none *NoServerError
			switch {
			case c.reason != "" && (!errors.As(err, &none) || none.Reason != c.reason):
				t.Errorf("error: got %v, want %s", err, c.reason)
			case c.reason == "" && err != nil:
				t.Errorf("error: got %v", err)
			case c.reason == "" && run.Instance != c.instance:
				t.Errorf("instance: got %s, want %s", run.Instance, c.instance)
			}
		})
	}
}

// TestBurstSpreads is a burst of large prompts at one entry between two reports:
// what it has sent itself counts, so that all holders get their part.
func TestBurstSpreads(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")), engine(2, "a", holding("m")), engine(3, "a", holding("m")))
	got := map[string]int{}
	for range 30 {
		run, err := f.Choose(start, want("m"))
		if err != nil {
			t.Fatal(err)
		}
		got[run.Instance]++
	}
	for instance, n := range got {
		if n < 8 || n > 12 {
			t.Errorf("requests at %s: got %d, want about 10", instance, n)
		}
	}
}

// TestOtherEntriesPrompts is an engine that reads prompts of other entries: it has no
// request waiting, and would still make a new one wait.
func TestOtherEntriesPrompts(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")), engine(2, "b", holding("m")))
	f.NoteReport(Report{
		Address: "10.0.0.1:1", Instance: "i1", Born: 1, Running: 4, Reading: 4, CacheTokens: 1 << 20,
		Models: []bamboostep.HeldModel{holding("m")},
	}, start)
	if run, err := f.Choose(start, want("m")); err != nil || run.Instance != "i2" {
		t.Errorf("got %v, %v, want i2", run, err)
	}
}

// TestPromptsWithTheSameBeginning go where the beginning is kept, whichever entry
// takes them, until that backend server has too much to do.
func TestPromptsWithTheSameBeginning(t *testing.T) {
	listings := []bamboostep.Listing{engine(1, "a", holding("m")), engine(2, "a", holding("m")), engine(3, "a", holding("m"))}
	w := want("m")
	w.Tokens = 9000
	w.Prompt = []bamboostep.PromptPart{{ID: "system", Tokens: 2500}, {ID: "case", Tokens: 3800}, {ID: "own", Tokens: 2700}}
	first, second := newFleet(listings...), newFleet(listings...)
	a, err := first.Choose(start, w)
	if err != nil {
		t.Fatal(err)
	}
	b, err := second.Choose(start, w)
	if err != nil {
		t.Fatal(err)
	}
	if a.Instance != b.Instance {
		t.Errorf("entries disagree: got %s and %s", a.Instance, b.Instance)
	}
	elsewhere := false
	for range 10 {
		run, err := first.Choose(start, w)
		if err != nil {
			t.Fatal(err)
		}
		elsewhere = elsewhere || run.Instance != a.Instance
	}
	if !elsewhere {
		t.Error("a burst with one beginning stays on one backend server")
	}
}

// TestGreyServer is a backend server that fails what it is sent: it is passed over
// while others are there, and tried again later.
func TestGreyServer(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")), engine(2, "b", holding("m")))
	now := start
	for range 3 {
		run, err := f.Choose(now, want("m"))
		if err != nil {
			t.Fatal(err)
		}
		if run.Instance == "i1" {
			run.End(EndedFailed, now)
		} else {
			run.Started()
			run.End(EndedWell, now)
		}
	}
	run, err := f.Choose(now, want("m"))
	if err != nil || run.Instance != "i2" {
		t.Errorf("after failures: got %v, %v, want i2", run, err)
	}
	run.End(EndedWell, now)
	later := now.Add(10 * failureMemory)
	if run, err = f.Choose(later, want("m")); err != nil || run.Instance != "i1" {
		t.Errorf("later: got %v, %v, want i1 again", run, err)
	}
}

// TestListsOfSeveralVoters come out of order: an older one neither brings a backend
// server back nor hides a new one, and one that leaves never stays.
func TestListsOfSeveralVoters(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")))
	gone := engine(1, "a", holding("m"))
	gone.Leaving = true
	f.NoteList([]bamboostep.Listing{gone, engine(2, "b", holding("m"))}, start.Add(time.Second))
	f.NoteList([]bamboostep.Listing{engine(1, "a", holding("m"))}, start.Add(500*time.Millisecond))
	run, err := f.Choose(start, want("m"))
	if err != nil || run.Instance != "i2" {
		t.Fatalf("after an older list: got %v, %v, want i2", run, err)
	}
	f.NoteList([]bamboostep.Listing{engine(1, "a", holding("m"))}, start.Add(4*time.Second))
	if _, err := f.Choose(start, want("m")); err == nil {
		t.Error("a backend server that leaves is chosen again")
	}
}

// TestNewStartAtOneAddress is an engine that crashed and is back: the old start is
// not chosen, and its list entry, which lags, does not bring it back.
func TestNewStartAtOneAddress(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")))
	f.NoteReport(Report{Address: "10.0.0.1:1", Instance: "new", Born: 2, Service: "llm", Domain: "a", Models: []bamboostep.HeldModel{holding("m")}}, start)
	f.NoteList([]bamboostep.Listing{engine(1, "a", holding("m"))}, start.Add(time.Second))
	run, err := f.Choose(start, want("m"))
	if err != nil || run.Instance != "new" {
		t.Errorf("got %v, %v, want the new start", run, err)
	}
}

// TestReportWithoutName is a holder that does not know its engine's name yet: the
// report is of the start that the list shows, or of none.
func TestReportWithoutName(t *testing.T) {
	f := newFleet(engine(1, "a"))
	f.NoteReport(Report{Address: "10.0.0.1:1", Born: 1, Models: []bamboostep.HeldModel{holding("m")}}, start)
	if run, err := f.Choose(start, want("m")); err != nil || run.Instance != "i1" {
		t.Errorf("same start: got %v, %v, want i1", run, err)
	}
	r := Report{Address: "10.0.0.1:1", Born: 9, Service: "llm", Models: []bamboostep.HeldModel{holding("n")}}
	f.NoteReport(r, start)
	if _, err := f.Choose(start, want("n")); err == nil {
		t.Error("a start without a name was chosen")
	}
	if got := f.Reports("llm", start); len(got) != 1 || got[0].Born != 9 {
		t.Errorf("reports: got %+v, want that of the new start", got)
	}
	r.Instance = "i9"
	f.NoteReport(r, start)
	if run, err := f.Choose(start, want("n")); err != nil || run.Instance != "i9" {
		t.Errorf("named start: got %v, %v, want i9", run, err)
	}
}

// TestUsedAdaptersAreTold is an adapter that was loaded long ago and is used all the
// time: its holder must hear of that, or it makes room first.
func TestUsedAdaptersAreTold(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m", "x")))
	for range 3 {
		if _, err := f.Choose(start, Want{Service: "llm", Name: ModelName{"m", "x"}}); err != nil {
			t.Fatal(err)
		}
	}
	got := f.TakeUsed()["10.0.0.1:1"]
	if len(got) != 1 || got[0] != (AdapterCall{"m", "x"}) {
		t.Errorf("used: got %v, want m/x once", got)
	}
	if again := f.TakeUsed(); len(again) != 0 {
		t.Errorf("used again: got %v", again)
	}
}

func TestDemandIsTakenOnce(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")))
	f.NoteAsked(ModelName{Model: "m"})
	f.NoteAbsent(ModelName{Model: "n"})
	select {
	case <-f.Urgent():
	default:
		t.Error("urgent: got nothing")
	}
	got := f.TakeDemand()
	if len(got) != 2 || got[0].Asked != 1 || got[1].Late != 1 {
		t.Errorf("demand: got %+v", got)
	}
	if again := f.TakeDemand(); len(again) != 0 {
		t.Errorf("demand again: got %+v", again)
	}
}

// TestRunsEndOnce draws requests and endings: what is counted at backend servers is
// never below nothing, and nothing is left at the end.
func TestRunsEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(engine(1, "a", holding("m")), engine(2, "b", holding("m")))
		var runs []*Run
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			run, err := f.Choose(now, want("m"))
			if err != nil {
				t.Fatal(err)
			}
			runs = append(runs, run)
			ended := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "which")]
			ended.End(Ending(rapid.IntRange(0, int(EndedByUs)).Draw(t, "ending")), now)
		}
		for _, r := range runs {
			r.End(EndedWell, now)
		}
		for _, s := range f.servers {
			if len(s.runs) != 0 {
				t.Fatalf("requests left: got %d, want 0", len(s.runs))
			}
		}
	})
}

// TestAnswerOfAServerThatLeaves ends new requests to it at once, though the list and
// its report, both older, still call it ready.
func TestAnswerOfAServerThatLeaves(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")))
	run, err := f.Choose(start, want("m"))
	if err != nil {
		t.Fatal(err)
	}
	run.Answered(bamboostep.AnswerMark{Leaving: true}, start)
	f.NoteList([]bamboostep.Listing{engine(1, "a", holding("m"))}, start.Add(time.Second))
	f.NoteReport(Report{Address: "10.0.0.1:1", Instance: "i1", Born: 1, Models: []bamboostep.HeldModel{holding("m")}}, start.Add(time.Second))
	if run, err := f.Choose(start.Add(time.Second), want("m")); err == nil {
		t.Errorf("got %s, want none", run.Instance)
	}
}

// TestServerThatRests gets nothing before its time, not even as the last that is left.
func TestServerThatRests(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")))
	run, err := f.Choose(start, want("m"))
	if err != nil {
		t.Fatal(err)
	}
	run.Answered(bamboostep.AnswerMark{NotRun: true, Rest: 2 * time.Second}, start)
	run.End(EndedFull, start)
	var none *NoServerError
	if _, err := f.Choose(start.Add(1900*time.Millisecond), want("m")); !errors.As(err, &none) || none.Reason != ReasonResting {
		t.Errorf("within its time: got %v, want %s", err, ReasonResting)
	}
	if _, err := f.Choose(start.Add(2100*time.Millisecond), want("m")); err != nil {
		t.Errorf("after its time: got %v", err)
	}
}

// TestLongerRestHolds is a server that has asked for a long rest, and then for a short one
// in the answer to a request that it had already.
func TestLongerRestHolds(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")))
	run, err := f.Choose(start, want("m"))
	if err != nil {
		t.Fatal(err)
	}
	run.Answered(bamboostep.AnswerMark{NotRun: true, Rest: 5 * time.Second}, start)
	run.Answered(bamboostep.AnswerMark{NotRun: true, Rest: time.Second}, start)
	if run, err := f.Choose(start.Add(4*time.Second), want("m")); err == nil {
		t.Errorf("within the longer time: got %s, want none", run.Instance)
	}
}
