package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
)

const propertyRuns = "300" // per property

func init() {
	seed.Rapid()
	if err := flag.Set("rapid.checks", propertyRuns); err != nil {
		panic(err)
	}
}

// testCluster simulates an application that counts its runs, a ledger, and entries
// that are killed and restarted. The script is a random sequence of faults; every
// step takes the next one.
type testCluster struct {
	mu       sync.Mutex
	script   []int
	ledger   fakeLedger
	entries  [2]*testEntry
	runCount map[string]int // by order
	ranIDs   map[bamboostep.RequestID]bool
	problems []string
}

type testEntry struct {
	*callerHandler
	dead chan struct{}
}

func (w *testCluster) nextFault() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.script) == 0 {
		return 0
	}
	f := w.script[0]
	w.script = w.script[1:]
	return f
}

func (w *testCluster) start(i int) {
	e := &testEntry{dead: make(chan struct{})}
	f := newTestFleet(2, nil, nil)
	for _, s := range f.servers["apps"] {
		s.offer = func(o bamboostep.Offer, yield func(bamboostep.Answer) error) error { return w.offer(e, i, o, yield) }
	}
	e.callerHandler = newTestHandler(f, &faultyLedger{cluster: w, entry: e, index: i})
	e.Limits = callerLimits{MinDeadline: time.Second, DeadlineFactor: 1}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[i] = e
}

// restartEntry kills an entry and starts a new one in its place. If two goroutines
// kill the same entry, it is restarted once.
func (w *testCluster) restartEntry(e *testEntry, i int) {
	if w.markDead(e) {
		w.start(i)
	}
}

// markDead marks the entry as dead. It returns false if it already was.
func (w *testCluster) markDead(e *testEntry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isDead(e) {
		return false
	}
	close(e.dead)
	return true
}

func (w *testCluster) isDead(e *testEntry) bool {
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
}

func (w *testCluster) runOrder(o bamboostep.Offer) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	order := string(o.Request.Body)
	w.runCount[order]++
	w.ranIDs[o.Request.ID] = true
	return fmt.Appendf(nil, "%s run %d", order, w.runCount[order])
}

// offer simulates an agent and its application.
func (w *testCluster) offer(e *testEntry, i int, o bamboostep.Offer, yield func(bamboostep.Answer) error) error {
	if w.isDead(e) {
		return failure(bamboostep.NotRun, "entry_dead")
	}
	fault := w.nextFault()
	switch fault {
	case 3:
		return failure(bamboostep.NotRun, "queue_full")
	case 4:
		return failure(bamboostep.Unknown, "connection_lost")
	case 5: // runs long after the entry was told that the outcome is unknown
		time.AfterFunc(413*time.Millisecond, func() { w.runOrder(o) })
		return failure(bamboostep.Unknown, "connection_lost")
	case 6:
		w.restartEntry(e, i)
		return failure(bamboostep.NotRun, "entry_dead")
	}
	time.Sleep(53 * time.Millisecond)
	answer := w.runOrder(o)
	switch fault {
	case 7:
		return failure(bamboostep.Ran, "crashed")
	case 8:
		w.restartEntry(e, i)
	case 9:
		time.Sleep(3 * time.Second) // longer than the deadline
		return failure(bamboostep.Ran, "cancelled")
	}
	return yield(bamboostep.Answer{Attempt: o.Attempt, Status: 200, Data: answer, Last: true})
}

// faultyLedger is the connection of one entry to the ledger.
type faultyLedger struct {
	bamboostep.Ledger
	cluster *testCluster
	entry   *testEntry
	index   int
}

var errReplyLost = errors.New("answer lost")

// execute applies a command, unless the next fault or the death of the entry
// prevents it.
func (l *faultyLedger) execute(ctx context.Context, apply func()) error {
	time.Sleep(2 * time.Millisecond)
	if l.cluster.isDead(l.entry) {
		<-ctx.Done()
		return &bamboostep.UnavailableError{Cause: ctx.Err()}
	}
	switch l.cluster.nextFault() {
	case 3:
		return &bamboostep.UnavailableError{NotApplied: true, Cause: errReplyLost}
	case 4:
		apply()
		return &bamboostep.UnavailableError{Cause: errReplyLost}
	case 5:
		time.AfterFunc(307*time.Millisecond, apply)
		return &bamboostep.UnavailableError{Cause: errReplyLost}
	case 6:
		l.cluster.restartEntry(l.entry, l.index)
		<-ctx.Done()
		return &bamboostep.UnavailableError{Cause: errReplyLost}
	case 7:
		apply()
		l.cluster.restartEntry(l.entry, l.index)
		<-ctx.Done()
		return &bamboostep.UnavailableError{Cause: errReplyLost}
	}
	apply()
	return nil
}

func (l *faultyLedger) Claim(ctx context.Context, c bamboostep.Claim) (bamboostep.ClaimResult, error) {
	answer := make(chan bamboostep.ClaimResult, 1)
	err := l.execute(ctx, func() {
		r, _ := l.cluster.ledger.Claim(ctx, c)
		answer <- r
	})
	if err != nil {
		return bamboostep.ClaimResult{}, err
	}
	return <-answer, nil
}

func (l *faultyLedger) Settle(ctx context.Context, s bamboostep.Settlement) error {
	return l.execute(ctx, func() { l.cluster.ledger.Settle(ctx, s) })
}

// submission is one sending of an order by its caller.
type submission struct {
	Order string
	Named bool
	Entry int
	At    time.Duration
}

func (w *testCluster) submit(s submission) {
	time.Sleep(s.At)
	w.mu.Lock()
	e := w.entries[s.Entry]
	w.mu.Unlock()
	r := httptest.NewRequest("POST", "/orders", strings.NewReader(s.Order))
	if s.Named {
		r.Header.Set("X-Order", s.Order)
	}
	rec := httptest.NewRecorder()
	e.ServeHTTP(rec, r)
	if !w.isDead(e) {
		w.check(s, rec)
	}
}

func (w *testCluster) check(s submission, rec *httptest.ResponseRecorder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if rec.Code == 200 {
		if got, want := rec.Body.String(), s.Order+" run 1"; got != want {
			w.problems = append(w.problems, fmt.Sprintf("%+v got answer %q, want %q", s, got, want))
		}
		return
	}
	var e errorResponse
	if err := json.Unmarshal(rec.Body.Bytes(), &e); err != nil {
		w.problems = append(w.problems, fmt.Sprintf("%+v got %q: %v", s, rec.Body, err))
		return
	}
	if e.Error.Outcome != bamboostep.NotRun {
		return
	}
	if n := w.runCount[s.Order]; n > 0 {
		w.problems = append(w.problems, fmt.Sprintf("%+v was told %q (not run) after %d runs", s, e.Error.Code, n))
	}
	id := bamboostep.RequestID(e.Error.RequestID)
	time.AfterFunc(time.Minute, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.ranIDs[id] {
			w.problems = append(w.problems, fmt.Sprintf("%+v was told not run and ran later", s))
		}
	})
}

// Entries, agents and the ledger may fail at any step, and the caller may resend
// its order to any entry. The application still runs the order at most once, a
// complete answer is that of the single run, and outcome not_run is true when it
// is reported and stays true.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 0, 3, 4, 5, 6, 7, 8, 9}), 0, 40).Draw(rt, "script")
		sendings := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) submission {
			order := rapid.IntRange(0, 1).Draw(rt, "order")
			return submission{
				Order: fmt.Sprint("order ", order),
				Named: order == 0,
				Entry: rapid.IntRange(0, 1).Draw(rt, "entry"),
				At:    time.Duration(rapid.IntRange(0, 3000).Draw(rt, "at")) * time.Millisecond,
			}
		}), 1, 6).Draw(rt, "sendings")
		// Submissions without a key straddle the end of a deduplication window.
		beforeWindowEnd := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "before_window_end")) * time.Millisecond
		w := &testCluster{script: script, runCount: make(map[string]int), ranIDs: make(map[bamboostep.RequestID]bool)}
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(defaultDedupWindow - beforeWindowEnd)
			w.start(0)
			w.start(1)
			var all sync.WaitGroup
			for i, s := range sendings {
				s.At += time.Duration(i) * time.Microsecond // so that no two steps coincide
				all.Go(func() { w.submit(s) })
			}
			all.Wait()
			time.Sleep(3 * time.Minute)
		})
		for order, n := range w.runCount {
			if n > 1 {
				rt.Errorf("%s ran %d times", order, n)
			}
		}
		for _, p := range w.problems {
			rt.Error(p)
		}
	})
}
