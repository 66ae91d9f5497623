package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// fleetWithBacklogs returns a fleet that knows, for each engine of a model, how many prompts wait there. A negative number is no
// report.
func fleetWithBacklogs(waiting []int, slots int, reportedAt time.Time) *Fleet {
	var listings []bamboostep.Listing
	for i := range waiting {
		l := engine(i+1, "a", holding("m"))
		l.Slots = slots
		listings = append(listings, l)
	}
	f := newFleet(listings...)
	for i, n := range waiting {
		if n >= 0 {
			l := listings[i]
			f.ApplyReport(Report{Instance: l.Instance, StartedMS: 1, Service: "llm", Address: l.Address, Domain: "a", Waiting: n, Models: l.Models}, reportedAt)
		}
	}
	return f
}

// TestRequestIsHeldBackOnlyWhereItLosesNothing sends a request that may wait to engines with and without a
// backlog.
func TestRequestIsHeldBackOnlyWhereItLosesNothing(t *testing.T) {
	const full = 100 // prompts, for a second and more
	for name, c := range map[string]struct {
		waiting    []int
		reportedAt time.Time
		promise    time.Duration
		mayNotWait bool
		lowerSent  bool // this entry has sent nearly all tokens at a lower priority
		reason     Reason
	}{
		"backlogs everywhere, promise lost":     {waiting: []int{full, full}, reportedAt: start, promise: 600 * time.Millisecond, reason: ReasonPaced},
		"backlogs everywhere, target passed":    {waiting: []int{full, full}, reportedAt: start, reason: ReasonPaced},
		"backlogs everywhere, promise kept":     {waiting: []int{full, full}, reportedAt: start, promise: 5 * time.Second},
		"one engine is free":                    {waiting: []int{full, 0}, reportedAt: start, promise: 600 * time.Millisecond},
		"it would be next":                      {waiting: []int{2, 2}, reportedAt: start},
		"no report of one engine":               {waiting: []int{full, -1}, reportedAt: start, promise: 600 * time.Millisecond},
		"reports are old":                       {waiting: []int{full, full}, reportedAt: start.Add(-2 * reportMaxAge), promise: 600 * time.Millisecond},
		"it does not wait":                      {waiting: []int{full, full}, reportedAt: start, promise: 600 * time.Millisecond, mayNotWait: true},
		"the backlog is of a lower priority":    {waiting: []int{full, full}, reportedAt: start, promise: 600 * time.Millisecond, lowerSent: true},
		"no engine is left":                     {reason: ReasonNoServer},
		"no engine is left, it has been waited": {reason: ReasonNoServer, mayNotWait: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleetWithBacklogs(c.waiting, 1000, c.reportedAt)
			req := want("m")
			if c.lowerSent {
				lower := req
				lower.Priority, lower.PromptTokens = 1, 50
				if _, err := f.Choose(start, lower); err != nil {
					t.Fatal(err)
				}
			}
			req.MayWait, req.MaxWait, req.Promise.FirstEvent = !c.mayNotWait, 6*time.Second, c.promise
			_, err := f.Choose(start, req)
			var noServer *NoServerError
			switch {
			case c.reason == "" && err != nil:
				t.Errorf("error: got %v, want none", err)
			case c.reason != "" && (!errors.As(err, &noServer) || noServer.Reason != c.reason):
				t.Errorf("error: got %v, want %s", err, c.reason)
			case c.reason == ReasonPaced && (noServer.Room <= roomAhead || noServer.EstimatedWait <= noServer.Room):
				t.Errorf("room in %s, first event in %s: want more than %s, and the first event later", noServer.Room, noServer.EstimatedWait, roomAhead)
			}
		})
	}
}

// TestLateRequestIsRefusedOnlyIfEnginesAreLoaded asks for a first event sooner than any engine is expected to have one.
func TestLateRequestIsRefusedOnlyIfEnginesAreLoaded(t *testing.T) {
	for name, c := range map[string]struct {
		waiting []int
		slots   int
		own     int // requests in flight of this entry at the second engine
		refused bool
	}{
		"half of the places are taken":              {[]int{20, 0}, 20, 15, true},
		"prompts wait at all engines":               {[]int{20, 20}, 96, 0, true},
		"free places, no prompt waits at an engine": {[]int{20, 0}, 96, 15, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleetWithBacklogs(c.waiting, c.slots, start)
			req := want("m")
			for range c.own {
				req.Exclude = []string{"10.0.0.1:1"}
				if _, err := f.Choose(start, req); err != nil {
					t.Fatal(err)
				}
			}
			req.Exclude, req.MaxWait = nil, 100*time.Millisecond
			_, err := f.Choose(start, req)
			var noServer *NoServerError
			if refused := errors.As(err, &noServer) && noServer.Reason == ReasonBusy; refused != c.refused {
				t.Fatalf("error: got %v, want refused %v", err, c.refused)
			}
			if c.refused && (noServer.Room <= req.MaxWait || noServer.Room > time.Second) {
				t.Errorf("room: got in %s, want it when the backlog of some tenths of a second is over", noServer.Room)
			}
		})
	}
}

// TestRoomAfterBackoff has all servers ask for a pause: the first of them that takes requests again is when there is room.
func TestRoomAfterBackoff(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")), engine(2, "a", holding("m")))
	for i, pause := range []time.Duration{5 * time.Second, 3 * time.Second} {
		req := want("m")
		req.Exclude = []string{engine(2-i, "a").Address}
		run, err := f.Choose(start, req)
		if err != nil {
			t.Fatal(err)
		}
		run.ObserveHeader(bamboostep.AnswerInfo{RetryAfter: pause}, start)
	}
	_, err := f.Choose(start, want("m"))
	var noServer *NoServerError
	if !errors.As(err, &noServer) || noServer.Reason != ReasonBackoff || noServer.Room != 3*time.Second {
		t.Errorf("got %v %+v, want %s with room in 3s", err, noServer, ReasonBackoff)
	}
}
