package fleet

import (
	"testing"
	"time"
)

// An entry announces the prompts that wait at an engine when they begin, when they end, and
// again when its holder has been away.
func TestAnnouncedPrompts(t *testing.T) {
	const address = "10.0.0.1:1"
	long, short := want("m"), want("m")
	long.PromptTokens, short.PromptTokens = 5000, 100
	f := newFleet(engine(1, "a", holding("m")))
	expect := func(event string, want ...int) {
		t.Helper()
		got, ok := f.TakeAnnouncements()[address]
		if ok != (len(want) > 0) || ok && got.Tokens != want[0] {
			t.Errorf("after %s: got %v, %v, want %v", event, got, ok, want)
		}
	}
	choose := func(req Requirements) *Assignment {
		r, err := f.Choose(start, req)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	choose(short)
	expect("a short prompt")
	first := choose(long)
	expect("a long prompt", 5100)
	expect("nothing")
	f.ResetSent(address)
	expect("the holder was away", 5100)
	first.Started()
	expect("its first event", 100)
	first.End(EndedOK, start)
	expect("its end")
	choose(long).End(EndedCanceled, start)
	expect("a prompt that is canceled at once")
}

// The announced prompts of other entries count while the holder is heard of. Without it, a random share of what they are
// expected to have sent does.
func TestUnreportedTokens(t *testing.T) {
	const announced, meanPrompt = 6000, 1500
	for name, c := range map[string]struct {
		pending int           // prompts in the last report
		age     time.Duration // of it
		away    bool          // the connection to the holder has ended
		want    int           // -1 for a draw
	}{
		"not yet reported":     {0, 0, false, announced},
		"in part reported":     {2, 0, false, announced - 2*meanPrompt},
		"all reported":         {9, 0, false, 0},
		"old report":           {0, 500 * time.Millisecond, false, announced},
		"holder silent":        {0, 2 * time.Second, false, -1},
		"holder away":          {0, 0, true, -1},
		"holder away for long": {0, 2 * reportMaxAge, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := engine(1, "a", holding("m"))
			f := newFleet(l)
			f.SetEntryCount(10)
			f.ApplyReport(Report{Address: l.Address, Instance: l.Instance, StartedMS: 1, Prefilling: c.pending, Models: l.Models}, start)
			f.ApplySent(l.Address, SentUpdate{Tokens: announced})
			if c.away {
				f.ResetSent(l.Address)
			}
			now := start.Add(c.age + time.Millisecond)
			f.recordSent(l.Service, 1_000_000, now)
			f.usageOf(l.Service).promptTokens = meanPrompt
			s := f.byAddress[l.Address]
			switch got := f.unreportedTokens(now, s); {
			case c.want >= 0 && got != c.want:
				t.Errorf("got %d tokens, want %d", got, c.want)
			case c.want < 0 && (got == announced || got == 0):
				t.Errorf("got %d tokens, want a draw", got)
			}
		})
	}
}
