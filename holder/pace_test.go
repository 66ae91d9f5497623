package holder

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/pace"
)

// playReports lets a stream of the holder's engine make an event in each poll, from a time on.
func playReports(h *Holder, startedMS int64, from time.Time, polls int) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range polls {
		from = from.Add(pollInterval)
		h.applyReport(bamboostep.EngineReport{StartedMS: startedMS, Running: 1, Runs: []bamboostep.EngineRun{{ID: "r", Events: i}}}, from)
	}
	return from
}

// A holder learns the pace from reports and first events, tells a new subscriber, and starts anew with its engine.
func TestHolderTellsPace(t *testing.T) {
	h, _ := newTest(t)
	now := playReports(h, 1, h.reportAt, 9)
	first := fleet.FirstEventUpdate{StartedMS: 1, FirstEvents: make([]fleet.FirstEvent, 5)}
	for i := range first.FirstEvents {
		first.FirstEvents[i] = fleet.FirstEvent{Tokens: 3000, TookUS: 400_000}
	}
	h.observeFirstEvents(first, now)
	if p := h.currentPace(now); p == nil || p.EventGap() != pollInterval || p.Prefill(3000).Round(time.Millisecond) != 300*time.Millisecond {
		t.Errorf("got %+v, want an event in %v and 3000 tokens in 300ms", p, pollInterval)
	}
	now = playReports(h, 2, now, 1)
	h.observeFirstEvents(first, now)
	if p := h.currentPace(now); p != nil {
		t.Errorf("after a restart: got %+v, want nothing", p)
	}
}

// A change of the pace is pushed at most once in minPacePushInterval, and no change is.
func TestPaceIsPushedOnChange(t *testing.T) {
	h, _ := newTest(t)
	now := playReports(h, 1, h.reportAt, 9)
	h.push(now)
	pushed := h.pace.pushed
	if pushed.EventGap() != pollInterval {
		t.Fatalf("got %+v, want an event in %v", pushed, pollInterval)
	}
	h.pace.pushed = pace.Pace{EventGapUS: 1}
	h.push(now.Add(minPacePushInterval / 2))
	if h.pace.pushed.EventGapUS != 1 {
		t.Errorf("too soon: got %+v pushed, want nothing", h.pace.pushed)
	}
	h.push(now.Add(minPacePushInterval))
	if h.pace.pushed != pushed {
		t.Errorf("got %+v pushed, want %+v", h.pace.pushed, pushed)
	}
	at := h.pace.pushedAt
	h.push(now.Add(2 * minPacePushInterval))
	if h.pace.pushedAt != at {
		t.Error("pushed without a change")
	}
}
