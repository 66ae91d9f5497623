package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/pace"
)

// TestLimitedServerIsFallback guards against requests that wait for a server's limit, or are
// refused, while another server could serve them, and against a limited server that is left
// out when it is the one that could.
func TestLimitedServerIsFallback(t *testing.T) {
	now := start
	f := &Fleet{Domain: "a"}
	for _, instance := range []string{"free", "limited"} {
		f.ApplyReport(Report{Instance: instance, StartedMS: 1, Service: "s", Address: instance, Domain: "a", CacheTokens: 1000, Models: []bamboostep.LoadedModel{{Name: "m"}},
			Pace: &pace.Pace{PrefillPerMS: 10}}, now)
	}
	req := Requirements{Service: "s", ModelName: ModelName{Model: "m"}, PromptTokens: 100, MaxAnswerTokens: 10, MaxWait: 100 * time.Millisecond}
	choose := func(exclude ...string) (*Assignment, error) {
		r := req
		r.Exclude = exclude
		return f.Choose(now, r)
	}
	run, err := choose("free")
	if err != nil {
		t.Fatal(err)
	}
	run.Defer(50*time.Millisecond, now)
	for range 5 {
		if run, err = choose(); err != nil || run.Address != "free" {
			t.Fatalf("with a free server: got %+v, %v, want it", run, err)
		}
	}
	if run, err = choose("free"); err != nil || run.LimitWait != 50*time.Millisecond {
		t.Errorf("without a free server: got %+v, %v, want the limited one after 50ms", run, err)
	}
	f.ApplyLoad("free", LoadUpdate{Waiting: 10}, now)
	if run, err = choose(); err != nil || run.Address != "limited" {
		t.Errorf("with a free server that is too busy: got %+v, %v, want the limited one", run, err)
	}
	run.Defer(time.Minute, now)
	var noServer *NoServerError
	if _, err = choose("free"); !errors.As(err, &noServer) || noServer.Reason != ReasonLimited || noServer.EstimatedWait < maxLimitAvoidance {
		t.Errorf("without a free server and for a minute: got %v, want %s for at least %v", err, ReasonLimited, maxLimitAvoidance)
	}
}

// TestDeniedPermitsAreAskedForLessOften guards against many entries that keep asking for the
// permits of one low limit.
func TestDeniedPermitsAreAskedForLessOften(t *testing.T) {
	now := start
	f := &Fleet{Domain: "a"}
	f.ApplyList([]bamboostep.Listing{
		{Instance: "limited", StartedMS: 1, Service: "s", Address: "limited", Domain: "a", Slots: 8},
		{Instance: "free", StartedMS: 1, Service: "s", Address: "free", Domain: "b", Slots: 8},
	}, now)
	asked := 0
	for range 6000 {
		run, err := f.Choose(now, Requirements{Service: "s", DefaultSlots: 8})
		if err != nil {
			t.Fatal(err)
		}
		if run.Address == "limited" {
			asked++
			run.Defer(time.Second, now)
		}
		run.End(EndedOK, now)
		now = now.Add(10 * time.Millisecond)
	}
	if asked < 5 || asked > 20 {
		t.Errorf("permits asked for in a minute and denied: got %d, want about one in 6 s", asked)
	}
}
