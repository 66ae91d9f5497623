package quarantine

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const awaitTimeout = 3 * time.Second // bounds the time until all entries have received a record

func testRecorder() *timeline.Recorder {
	return &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
}

func testNode(name string) *wire.Node {
	return &wire.Node{Hello: wire.Hello{Name: name, Incarnation: uint64(time.Now().UnixNano())}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, Redial: 20 * time.Millisecond}
}

// testProcess ends its goroutines when stop is called or the test ends.
type testProcess struct {
	ctx     context.Context
	stop    func()
	running *sync.WaitGroup
}

func newTestProcess(t *testing.T) *testProcess {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	p := &testProcess{ctx: ctx, running: &all, stop: func() { cancel(); all.Wait() }}
	t.Cleanup(p.stop)
	return p
}

// testVoter runs the Aggregator of a voter behind a network listener.
type testVoter struct {
	*testProcess
	address string
	table   *Table
}

// startVoter starts a voter at an address. It saves its table to file unless that is empty.
func startVoter(t *testing.T, address, file string) *testVoter {
	t.Helper()
	nl, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	v := &testVoter{testProcess: newTestProcess(t), address: nl.Addr().String(), table: &Table{}}
	board := &Aggregator{Table: v.table, Recorder: testRecorder()}
	if file != "" {
		kept := &File{Path: file, Table: v.table, Recorder: testRecorder()}
		kept.Restore()
		board.OnChange = kept.ScheduleSave
		v.running.Go(func() { _ = kept.Run(v.ctx) })
	}
	mux := &wire.Mux{}
	board.Register(mux)
	v.running.Go(func() { _ = (&wire.Listener{Node: testNode("voter"), Net: nl, Handler: mux}).Run(v.ctx) })
	return v
}

// testEntry runs the Guard and Follower of an entry.
type testEntry struct {
	*testProcess
	guard    *Guard
	follower *Follower
}

func startEntry(t *testing.T, voters ...*testVoter) *testEntry {
	t.Helper()
	e := &testEntry{testProcess: newTestProcess(t)}
	table := &Table{}
	var links []*wire.Link
	e.follower = &Follower{Table: table, Recorder: testRecorder(), Voters: func() (conns []*wire.Conn, all int) {
		for _, l := range links {
			if c := l.Conn(); c != nil {
				conns = append(conns, c)
			}
		}
		return conns, len(links)
	}}
	e.guard = &Guard{Table: table, Broadcast: e.follower.Broadcast, RequestTrial: e.follower.RequestTrial, Recorder: testRecorder()}
	node := testNode("entry")
	for _, v := range voters {
		links = append(links, &wire.Link{Node: node, Address: v.address, Handler: wire.HandlerFunc(func(*wire.Message) {}),
			Up: func(c *wire.Conn) { e.running.Go(func() { e.follower.Watch(e.ctx, c) }) }})
	}
	for _, l := range links {
		e.running.Go(func() { _ = l.Run(e.ctx) })
	}
	awaitCondition(t, "synced entry", e.follower.Synced)
	return e
}

func awaitCondition(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(awaitTimeout); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("no %s within %v", what, awaitTimeout)
}

// observeCrash makes an entry observe a crash under a request, that many seconds ago.
func (e *testEntry) observeCrash(fingerprint uint64, server string, ago int) {
	r := Record{Fingerprint: fingerprint, Crashes: []Crash{{Address: server, At: time.Now().Add(-time.Duration(ago) * time.Second).UnixMilli()}}}
	e.guard.Table.Merge(time.Now(), []Record{r})
	e.guard.Broadcast(Observations{Records: []Record{r}})
}

func (e *testEntry) refuses(fingerprint uint64) func() bool {
	return func() bool { return e.guard.Evaluate(time.Now(), Content{Fingerprint: fingerprint}).Refused }
}

// TestCrashesSeenByDifferentEntriesAddUp guards against a request that crashes a backend
// server through each of several entries without being refused: each entry observes one
// crash, and all must refuse the request (issue 20).
func TestCrashesSeenByDifferentEntriesAddUp(t *testing.T) {
	a, b, c := startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", "")
	var entries []*testEntry
	for range 3 {
		entries = append(entries, startEntry(t, a, b, c))
	}
	for i, e := range entries {
		e.observeCrash(7, fmt.Sprint("10.0.0.", i), 6-2*i)
	}
	for i, e := range entries {
		awaitCondition(t, fmt.Sprintf("refusal by entry %d", i), e.refuses(7))
	}
	if entries[0].refuses(8)() {
		t.Error("other request: got it refused, want it admitted")
	}
}

// TestRefusalSurvivesRestarts restarts an entry, then a voter without its disk, then all
// processes at once.
func TestRefusalSurvivesRestarts(t *testing.T) {
	file := filepath.Join(t.TempDir(), "quarantine")
	v := startVoter(t, "127.0.0.1:0", file)
	e := startEntry(t, v)
	for i := range 3 {
		e.observeCrash(7, fmt.Sprint("10.0.0.", i), 6-2*i)
	}
	other := startEntry(t, v)
	awaitCondition(t, "refusal by an entry started later", other.refuses(7))

	e.stop()
	e = startEntry(t, v)
	awaitCondition(t, "refusal by a restarted entry", e.refuses(7))

	v.stop()
	v = startVoter(t, v.address, "")
	awaitCondition(t, "refusal by a voter that lost its disk", func() bool { return v.table.Evaluate(time.Now(), 7).Refused })

	e.stop()
	other.stop()
	v.stop()
	v = startVoter(t, v.address, file)
	awaitCondition(t, "refusal after a restart of all processes", startEntry(t, v).refuses(7))
}

// observePartCrashes makes an entry observe crashes of three backend servers under prompts with
// the given parts, while others are answered well.
func (e *testEntry) observePartCrashes(parts ...uint64) {
	e.guard.ClearParts(time.Now(), []uint64{9})
	for i := range refuseThreshold {
		at := time.Now().Add(time.Duration(2*i-6) * time.Second)
		o := e.guard.Table.crashObservations(time.Now(), fmt.Sprint("10.0.0.", i), at, []interruption{{content: Content{Fingerprint: uint64(100 + i), Parts: parts}}})
		e.guard.Table.Merge(time.Now(), o.Records)
		e.guard.Table.MergeParts(time.Now(), o.Parts)
		e.guard.Broadcast(o)
	}
}

func (e *testEntry) refusesPart(parts ...uint64) func() bool {
	return func() bool { return e.guard.Evaluate(time.Now(), Content{Fingerprint: 1, Parts: parts}).Refused }
}

// TestPartRefusalSurvivesRestarts guards against a part of prompts that crashes backend servers
// again once processes have restarted (issue 31): an entry, a voter without its disk, then all at
// once. A harmless prompt clears the part that it shares, at all entries.
func TestPartRefusalSurvivesRestarts(t *testing.T) {
	const shared, crashing = 7, 8
	file := filepath.Join(t.TempDir(), "quarantine")
	v := startVoter(t, "127.0.0.1:0", file)
	e := startEntry(t, v)
	e.observePartCrashes(shared, crashing)
	other := startEntry(t, v)
	awaitCondition(t, "records of both parts", func() bool { return len(withCrashes(other.guard.Table.PartRecords(), refuseThreshold)) == 2 })
	if other.refusesPart(shared)() {
		t.Error("harmless prompt: got it refused, want it admitted")
	}
	other.guard.ClearParts(time.Now(), []uint64{shared})
	awaitCondition(t, "clearing at another entry", func() bool { return len(withCrashes(e.guard.Table.PartRecords(), 1)) == 1 })
	awaitCondition(t, "refusal by an entry started later", other.refusesPart(shared, crashing))

	e.stop()
	e = startEntry(t, v)
	awaitCondition(t, "refusal by a restarted entry", e.refusesPart(shared, crashing))

	v.stop()
	v = startVoter(t, v.address, "")
	awaitCondition(t, "records at a voter that lost its disk", func() bool { return len(withCrashes(v.table.PartRecords(), refuseThreshold)) == 1 })

	e.stop()
	other.stop()
	v.stop()
	v = startVoter(t, v.address, file)
	e = startEntry(t, v)
	awaitCondition(t, "refusal after a restart of all processes", e.refusesPart(shared, crashing))
	if e.refusesPart(shared)() {
		t.Error("harmless prompt after a restart of all processes: got it refused, want it admitted")
	}
	e.guard.ClearParts(time.Now(), []uint64{crashing})
	awaitCondition(t, "end of the refusal", func() bool { return !e.refusesPart(shared, crashing)() })
}

// TestClearingReachesAllEntries clears a request at one entry that others refuse.
func TestClearingReachesAllEntries(t *testing.T) {
	v := startVoter(t, "127.0.0.1:0", "")
	a, b := startEntry(t, v), startEntry(t, v)
	for i := range 3 {
		a.observeCrash(7, fmt.Sprint("10.0.0.", i), 6-2*i)
	}
	awaitCondition(t, "refusal by the other entry", b.refuses(7))
	b.guard.Clear(time.Now(), 7)
	awaitCondition(t, "end of the refusal", func() bool { return a.guard.Evaluate(time.Now(), Content{Fingerprint: 7}) == Verdict{} })
}

// TestTrialRequiresMajority requests a trial at two entries, first with all three voters,
// then with two, then with one.
func TestTrialRequiresMajority(t *testing.T) {
	voters := []*testVoter{startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", "")}
	a, b := startEntry(t, voters...), startEntry(t, voters...)
	for fingerprint := range uint64(3) {
		for i := range 3 {
			a.observeCrash(fingerprint, fmt.Sprint("10.0.0.", i), 3600-2*i)
		}
	}
	for _, e := range []*testEntry{a, b} {
		awaitCondition(t, "expiry of all refusals", func() bool {
			n := 0
			for fingerprint := range uint64(3) {
				if v := e.guard.Evaluate(time.Now(), Content{Fingerprint: fingerprint}); v.Trial && !v.Refused {
					n++
				}
			}
			return n == 3
		})
	}
	for gone, want := range []int{1, 1, 0} {
		if gone > 0 {
			voters[gone].stop()
		}
		got := 0
		for _, e := range []*testEntry{a, b} {
			if !e.guard.Admit(t.Context(), time.Now(), Content{Fingerprint: uint64(gone)}).Refused {
				got++
			}
		}
		if got != want {
			t.Errorf("%d of 3 voters stopped: got %d entries with a trial, want %d", gone, got, want)
		}
	}
}
