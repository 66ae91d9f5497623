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

const tellTime = 3 * time.Second // within which all entries must know

func testRecorder() *timeline.Recorder {
	return &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
}

func testNode(name string) *wire.Node {
	return &wire.Node{Hello: wire.Hello{Name: name, Incarnation: uint64(time.Now().UnixNano())}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, Redial: 20 * time.Millisecond}
}

// process ends all that it started when stop is called or the test ends.
type process struct {
	ctx  context.Context
	stop func()
	all  *sync.WaitGroup
}

func newProcess(t *testing.T) *process {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	p := &process{ctx: ctx, all: &all, stop: func() { cancel(); all.Wait() }}
	t.Cleanup(p.stop)
	return p
}

// testVoter is a voter's quarantine behind a real connection.
type testVoter struct {
	*process
	address string
	table   *Table
}

// startVoter starts a voter at an address, with a file unless that is empty.
func startVoter(t *testing.T, address, file string) *testVoter {
	t.Helper()
	nl, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	v := &testVoter{process: newProcess(t), address: nl.Addr().String(), table: &Table{}}
	board := &Board{Table: v.table, Recorder: testRecorder()}
	if file != "" {
		kept := &File{Name: file, Table: v.table, Recorder: testRecorder()}
		kept.Restore()
		board.Changed = kept.Changed
		v.all.Go(func() { _ = kept.Run(v.ctx) })
	}
	mux := &wire.Mux{}
	board.Register(mux)
	v.all.Go(func() { _ = (&wire.Listener{Node: testNode("voter"), Net: nl, Handler: mux}).Run(v.ctx) })
	return v
}

// testEntry is an entry's quarantine that follows voters.
type testEntry struct {
	*process
	guard    *Guard
	follower *Follower
}

func startEntry(t *testing.T, voters ...*testVoter) *testEntry {
	t.Helper()
	e := &testEntry{process: newProcess(t)}
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
	e.guard = &Guard{Table: table, Tell: e.follower.Tell, Try: e.follower.Try, Recorder: testRecorder()}
	node := testNode("entry")
	for _, v := range voters {
		links = append(links, &wire.Link{Node: node, Address: v.address, Handler: wire.HandlerFunc(func(*wire.Message) {}),
			Up: func(c *wire.Conn) { e.all.Go(func() { e.follower.Watch(e.ctx, c) }) }})
	}
	for _, l := range links {
		e.all.Go(func() { _ = l.Run(e.ctx) })
	}
	await(t, "an entry that knows what voters know", e.follower.Synced)
	return e
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(tellTime); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("got no %s within %v", what, tellTime)
}

// sees has an entry see a crash under a request, so many seconds ago.
func (e *testEntry) sees(content uint64, server string, ago int) {
	r := Record{Content: content, Crashes: []Crash{{Address: server, At: time.Now().Add(-time.Duration(ago) * time.Second).UnixMilli()}}}
	e.guard.Table.Note(time.Now(), []Record{r})
	e.guard.Tell([]Record{r})
}

func (e *testEntry) refuses(content uint64) func() bool {
	return func() bool { return e.guard.Judge(time.Now(), content).Refused }
}

// TestCrashesThatDifferentEntriesSaw guards against issue 20 at several entries: each of
// them saw one crash, and all refuse the request.
func TestCrashesThatDifferentEntriesSaw(t *testing.T) {
	a, b, c := startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", "")
	var entries []*testEntry
	for range 3 {
		entries = append(entries, startEntry(t, a, b, c))
	}
	for i, e := range entries {
		e.sees(7, fmt.Sprint("10.0.0.", i), 6-2*i)
	}
	for i, e := range entries {
		await(t, fmt.Sprintf("refusal by entry %d", i), e.refuses(7))
	}
	if entries[0].refuses(8)() {
		t.Error("another request: got it refused, want it served")
	}
}

// TestRefusalOutlivesRestarts restarts an entry, then a voter, then all processes at once.
func TestRefusalOutlivesRestarts(t *testing.T) {
	file := filepath.Join(t.TempDir(), "quarantine")
	v := startVoter(t, "127.0.0.1:0", file)
	e := startEntry(t, v)
	for i := range 3 {
		e.sees(7, fmt.Sprint("10.0.0.", i), 6-2*i)
	}
	other := startEntry(t, v)
	await(t, "refusal by an entry that started later", other.refuses(7))

	e.stop()
	e = startEntry(t, v)
	await(t, "refusal by an entry that started again", e.refuses(7))

	v.stop()
	v = startVoter(t, v.address, "")
	await(t, "refusal by a voter that lost its disk", func() bool { return v.table.Judge(time.Now(), 7).Refused })

	e.stop()
	other.stop()
	v.stop()
	v = startVoter(t, v.address, file)
	await(t, "refusal after all processes started again", startEntry(t, v).refuses(7))
}

// TestClearedIsClearedEverywhere has a request complete at one entry that others hold for
// a suspect.
func TestClearedIsClearedEverywhere(t *testing.T) {
	v := startVoter(t, "127.0.0.1:0", "")
	a, b := startEntry(t, v), startEntry(t, v)
	for i := range 3 {
		a.sees(7, fmt.Sprint("10.0.0.", i), 6-2*i)
	}
	await(t, "refusal by the other entry", b.refuses(7))
	b.guard.Passed(time.Now(), 7)
	await(t, "end of the refusal", func() bool { return a.guard.Judge(time.Now(), 7) == Verdict{} })
}

// TestTrialNeedsAMajority has two entries try a request whose refusal is over, first with
// all voters, then with one of three out of reach, then with two.
func TestTrialNeedsAMajority(t *testing.T) {
	voters := []*testVoter{startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", ""), startVoter(t, "127.0.0.1:0", "")}
	a, b := startEntry(t, voters...), startEntry(t, voters...)
	for content := range uint64(3) {
		for i := range 3 {
			a.sees(content, fmt.Sprint("10.0.0.", i), 3600-2*i)
		}
	}
	for _, e := range []*testEntry{a, b} {
		await(t, "trial of all", func() bool {
			n := 0
			for content := range uint64(3) {
				if v := e.guard.Judge(time.Now(), content); v.Trial && !v.Refused {
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
			if !e.guard.Admit(t.Context(), time.Now(), uint64(gone)).Refused {
				got++
			}
		}
		if got != want {
			t.Errorf("%d of 3 voters gone: got %d entries that may try, want %d", gone, got, want)
		}
	}
}
