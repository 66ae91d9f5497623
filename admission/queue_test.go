package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

var start = time.Unix(1000, 0)

// testEntry is an entry whose requests wait in a queue for engines that the test plays.
type testEntry struct {
	Queue
	runs func(*Request) bool // takes a place for a request, if an engine has one
	sent []*Request
}

func newTestEntry(runs func(*Request) bool) *testEntry {
	return &testEntry{Queue: Queue{MaxRequests: 1000, MaxBytes: 1 << 20}, runs: runs}
}

// look plays the turns from r on until nobody has one.
func (e *testEntry) look(now time.Time, r *Request) {
	for r != nil {
		if e.runs(r) {
			e.sent = append(e.sent, r)
			r = e.Leave(now, r, true)
		} else {
			r = e.Missed(now, r)
		}
	}
}

// room plays the turns after an engine has got further.
func (e *testEntry) room(now time.Time) { e.look(now, e.Room(now)) }

// waitingSince returns a request that begins to wait at now.
func waitingSince(now time.Time, priority int, flow string) *Request {
	return &Request{Priority: priority, Flow: flow, Group: "m", Tokens: 100, Bytes: 1, Since: now, MaxWait: time.Second, Deadline: now.Add(4 * time.Second)}
}

// flows returns the workspaces of requests in order.
func flows(requests []*Request) []string {
	names := make([]string, len(requests))
	for i, r := range requests {
		names[i] = r.Flow
	}
	return names
}

// takeOne returns a function that runs one request for each call of the test to free.
func takeOne() (runs func(*Request) bool, free func()) {
	places := 0
	return func(*Request) bool { places--; return places >= 0 }, func() { places = 1 }
}

// TestOrderOfTurns lets requests wait together and gives them room one by one.
func TestOrderOfTurns(t *testing.T) {
	later := func(d time.Duration, r *Request) *Request { r.Deadline = r.Deadline.Add(d); return r }
	weighted := func(weight float64, r *Request) *Request { r.Weight = weight; return r }
	aged := func(r *Request) *Request { r.Since = r.Since.Add(-r.MaxWait / 2); return r }
	for name, c := range map[string]struct {
		waiting []*Request
		want    []string
	}{
		"burst of a low priority beside a high one": {
			[]*Request{waitingSince(start, 2, "low"), waitingSince(start, 2, "low"), waitingSince(start, 0, "high"), waitingSince(start, 0, "high")},
			[]string{"high", "high", "low", "low"}},
		"one workspace sends most": {
			[]*Request{waitingSince(start, 1, "a"), waitingSince(start, 1, "a"), waitingSince(start, 1, "a"), waitingSince(start, 1, "b"), waitingSince(start, 1, "c")},
			[]string{"a", "b", "c", "a", "a"}},
		"weights": {
			[]*Request{weighted(2, waitingSince(start, 1, "a")), weighted(2, waitingSince(start, 1, "a")), weighted(2, waitingSince(start, 1, "a")), waitingSince(start, 1, "b"), waitingSince(start, 1, "b")},
			[]string{"a", "b", "a", "a", "b"}},
		"deadlines": {
			[]*Request{later(time.Second, waitingSince(start, 1, "later")), waitingSince(start, 1, "sooner")},
			[]string{"sooner", "later"}},
		"one that has waited for half of its time": {
			[]*Request{waitingSince(start, 0, "high"), waitingSince(start, 1, "new"), aged(waitingSince(start, 1, "old"))},
			[]string{"old", "high", "new"}},
	} {
		t.Run(name, func(t *testing.T) {
			runs, free := takeOne()
			e := newTestEntry(runs)
			for _, r := range c.waiting {
				e.Enter(start, r)
			}
			for range c.waiting {
				free()
				e.room(start)
			}
			if got := flows(e.sent); !slices.Equal(got, c.want) {
				t.Errorf("order: got %v, want %v", got, c.want)
			}
		})
	}
}

// waitsBesideHot plays sixteen workspaces at four fifths of what an engine can run, one of which sends
// factor times its usual. It returns the mean wait of the others.
func waitsBesideHot(factor int) time.Duration {
	const serviceTime, interval, workspaces = 10 * time.Millisecond, 200 * time.Millisecond, 16
	busyUntil, now := start, start
	e := newTestEntry(func(*Request) bool {
		if now.Before(busyUntil) {
			return false
		}
		busyUntil = now.Add(serviceTime)
		return true
	})
	sum, n := time.Duration(0), 0
	for ; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
		for w := range workspaces {
			if (now.Sub(start)-time.Duration(w)*interval/workspaces)%interval != 0 {
				continue
			}
			sends := 1
			if w == 0 {
				sends = factor
			}
			for range sends {
				e.Enter(now, waitingSince(now, 1, fmt.Sprint(w)))
			}
		}
		before := len(e.sent)
		e.room(now)
		for _, r := range e.sent[before:] {
			if r.Flow != "0" {
				sum += now.Sub(r.Since)
				n++
			}
		}
	}
	return sum / time.Duration(n)
}

// TestHotWorkspaceCostsOthersNothing has one of sixteen workspaces send six times its usual. The others' requests may wait on
// average for one of its requests that runs when they come, and no longer.
func TestHotWorkspaceCostsOthersNothing(t *testing.T) {
	usual, beside := waitsBesideHot(1), waitsBesideHot(6)
	if got, want := beside-usual, 10*time.Millisecond; got > want {
		t.Errorf("wait beside a workspace that sends six times its usual: got %s more than %s, want at most %s more", got, usual, want)
	}
}

// TestNothingStarves keeps an engine busy with requests of a higher priority: one of a lower priority gets its turn before its time is over.
func TestNothingStarves(t *testing.T) {
	runs, free := takeOne()
	e := newTestEntry(runs)
	low := waitingSince(start, 1, "low")
	e.Enter(start, low)
	for now := start; now.Before(start.Add(low.MaxWait)); now = now.Add(10 * time.Millisecond) {
		e.Enter(now, waitingSince(now, 0, "high"))
		free()
		e.room(now)
	}
	if !slices.Contains(e.sent, low) {
		t.Error("the request of the lower priority had no turn")
	}
}

// TestFullQueue lets one more request wait than the queue takes.
func TestFullQueue(t *testing.T) {
	for name, c := range map[string]struct {
		waiting []*Request
		enters  *Request
		want    string // workspace of the request that is evicted
	}{
		"the lowest priority":       {[]*Request{waitingSince(start, 2, "low"), waitingSince(start, 0, "high")}, waitingSince(start, 1, "new"), "low"},
		"the new one":               {[]*Request{waitingSince(start, 0, "a"), waitingSince(start, 0, "b")}, waitingSince(start, 1, "new"), "new"},
		"most over its share":       {[]*Request{waitingSince(start, 1, "hot"), waitingSince(start, 1, "hot")}, waitingSince(start, 1, "new"), "hot"},
		"not the one that may look": {[]*Request{waitingSince(start, 2, "looks"), waitingSince(start, 0, "high")}, waitingSince(start, 1, "new"), "new"},
	} {
		t.Run(name, func(t *testing.T) {
			q := Queue{MaxRequests: 2, MaxBytes: 1 << 20}
			for i, r := range c.waiting {
				q.Enter(start, r)
				if i == 0 && r.Flow == "looks" {
					q.Room(start)
				}
			}
			if got := flows(q.Enter(start, c.enters)); !slices.Equal(got, []string{c.want}) {
				t.Errorf("evicted: got %v, want %s", got, c.want)
			}
		})
	}
}

// TestTurnOfRequestThatLeaves has the request whose turn it is leave, as when its caller disconnects or the process shuts down:
// the turn must pass on.
func TestTurnOfRequestThatLeaves(t *testing.T) {
	var q Queue
	q.MaxRequests, q.MaxBytes = 10, 10
	first, second := waitingSince(start, 0, "a"), waitingSince(start, 1, "b")
	q.Enter(start, first)
	q.Enter(start, second)
	if got := q.Room(start); got != first {
		t.Fatalf("turn: got %v, want the first", got)
	}
	if got := q.Leave(start, first, false); got != second {
		t.Errorf("turn after it left: got %v, want the second", got)
	}
	if got := q.Missed(start, first); got != nil {
		t.Errorf("turn after a miss of one that has left: got %v, want none", got)
	}
	q.Leave(start, second, false)
	if q.Len() != 0 || q.Bytes() != 0 || q.HasGroup("m") {
		t.Errorf("queue: got %d requests, %d bytes, want none", q.Len(), q.Bytes())
	}
}

// TestFreeEngineIsNeverLeftIdle plays random arrivals, ends and departures: after each event and its turns, no request waits that a free
// engine could run, the queue is within its bounds, and none is lost.
func TestFreeEngineIsNeverLeftIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		free := make([]bool, rapid.IntRange(1, 4).Draw(t, "engines"))
		canRun := make(map[*Request][]int)
		freeFor := func(r *Request) int {
			return slices.IndexFunc(canRun[r], func(engine int) bool { return free[engine] })
		}
		e := newTestEntry(func(r *Request) bool {
			i := freeFor(r)
			if i >= 0 {
				free[canRun[r][i]] = false
			}
			return i >= 0
		})
		e.MaxRequests, e.MaxBytes = 5, 12
		entered, gone := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				r := waitingSince(now, rapid.IntRange(0, 3).Draw(t, "priority"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "flow"))
				r.Bytes = int64(rapid.IntRange(0, 5).Draw(t, "bytes"))
				canRun[r] = rapid.SliceOfNDistinct(rapid.IntRange(0, len(free)-1), 1, len(free), rapid.ID[int]).Draw(t, "engines")
				entered++
				gone += len(e.Enter(now, r))
				e.room(now)
			},
			"end": func(t *rapid.T) {
				free[rapid.IntRange(0, len(free)-1).Draw(t, "engine")] = true
				e.room(now)
			},
			"leave": func(t *rapid.T) {
				if e.Len() > 0 {
					e.look(now, e.Leave(now, e.waiting[rapid.IntRange(0, e.Len()-1).Draw(t, "request")], false))
					gone++
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, r := range e.waiting {
					if freeFor(r) >= 0 {
						t.Errorf("engines %v of a waiting request: free are %v, want none", canRun[r], free)
					}
				}
				if e.Len() > e.MaxRequests || e.Bytes() > e.MaxBytes {
					t.Errorf("queue: got %d requests, %d bytes", e.Len(), e.Bytes())
				}
				if got := e.Len() + len(e.sent) + gone; got != entered {
					t.Errorf("waiting, sent and gone: got %d, want %d", got, entered)
				}
			},
		})
	})
}
