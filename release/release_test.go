package release

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/internal/frames"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

var (
	older = Origin{"lm", `"v1"`}
	newer = Origin{"lm", `"v2"`}
)

func newTestRecorder() *timeline.Recorder {
	return &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
}

// fakeVoter is a voter that is asked without a network.
type fakeVoter struct {
	name     string
	registry *Registry
	err      error         // of each call
	delay    time.Duration // of each reply
	notes    int
}

func newFakeVoter(t *testing.T, name, path string) *fakeVoter {
	t.Helper()
	r := &Registry{Recorder: newTestRecorder()}
	if path != "" {
		r.File = &File{Path: path, Recorder: newTestRecorder()}
	}
	r.Register(&wire.Mux{})
	return &fakeVoter{name: name, registry: r}
}

func (v *fakeVoter) Peer() wire.Hello { return wire.Hello{Name: v.name} }

func (v *fakeVoter) Send(kind string, value any) error {
	v.notes++
	v.registry.take(value.(note), time.Now())
	return nil
}

func (v *fakeVoter) Call(ctx context.Context, kind string, value, reply any) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(v.delay):
	}
	if v.err != nil {
		return v.err
	}
	o, known := v.registry.table.get(streamID(value.(findRequest).Stream), time.Now())
	*reply.(*findReply) = findReply{known, o.Service, o.Version}
	return nil
}

func newTracker(all int, voters ...*fakeVoter) *Tracker {
	t := &Tracker{Voters: func() ([]Voter, int) {
		connected := make([]Voter, len(voters))
		for i, v := range voters {
			connected[i] = v
		}
		return connected, all
	}}
	t.init()
	return t
}

// TestTableKeepsAndForgets checks what a table holds, and that a stream for which two origins are named
// has none.
func TestTableKeepsAndForgets(t *testing.T) {
	start := time.Now()
	for name, c := range map[string]struct {
		fill  func(b *table)
		after time.Duration
		want  Origin
		known bool
	}{
		"kept":             {func(b *table) { b.put(1, older, 2, start) }, 0, older, true},
		"kept long enough": {func(b *table) { b.put(1, older, 2, start) }, 2 * keepStep, older, true},
		"expired":          {func(b *table) { b.put(1, older, 2, start) }, 4 * keepStep, Origin{}, false},
		"named again":      {func(b *table) { b.put(1, older, 2, start); b.put(1, older, 6, start) }, 4 * keepStep, older, true},
		"two origins":      {func(b *table) { b.put(1, older, 2, start); b.put(1, newer, 2, start) }, 0, Origin{}, false},
		"another":          {func(b *table) { b.put(2, older, 2, start) }, 0, Origin{}, false},
		"full": {func(b *table) {
			for id := range streamID(8) {
				b.put(id+10, older, 1, start)
			}
			b.put(1, older, 2, start)
		}, 0, Origin{}, false},
		"room after others expired": {func(b *table) {
			for id := range streamID(8) {
				b.put(id+10, older, 1, start)
			}
			b.put(1, older, 2, start.Add(3*keepStep))
		}, 3 * keepStep, older, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTable(8, start)
			c.fill(b)
			if got, known := b.get(1, start.Add(c.after)); got != c.want || known != c.known {
				t.Errorf("origin: got %v, %v, want %v, %v", got, known, c.want, c.known)
			}
		})
	}
}

// TestFind checks whom an entry asks for a stream that another entry began, and that one that nobody
// is sure to know is unknown.
func TestFind(t *testing.T) {
	down := errors.New("connection closed")
	for name, c := range map[string]struct {
		all    int
		change func(v []*fakeVoter)
		known  bool
		within time.Duration
	}{
		"all voters":                {3, func([]*fakeVoter) {}, true, findTimeout},
		"one does not answer":       {3, func(v []*fakeVoter) { v[0].delay = time.Hour }, true, findTimeout},
		"two have failed":           {3, func(v []*fakeVoter) { v[0].err, v[1].err = down, down }, true, findTimeout},
		"one alone knows":           {3, func(v []*fakeVoter) { forget(v[0]); forget(v[1]) }, true, findTimeout},
		"nobody knows":              {3, func(v []*fakeVoter) { forget(v[0]); forget(v[1]); forget(v[2]) }, false, findTimeout},
		"the one that knows is cut": {3, func(v []*fakeVoter) { forget(v[0]); forget(v[1]); v[2].delay = time.Hour }, false, findTimeout + 200*time.Millisecond},
		"no majority":               {3, func(v []*fakeVoter) { forget(v[0]); v[1].delay, v[2].delay = time.Hour, time.Hour }, false, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			voters := []*fakeVoter{newFakeVoter(t, "a", ""), newFakeVoter(t, "b", ""), newFakeVoter(t, "c", "")}
			began := newTracker(c.all, voters...)
			began.Note("r1", older, 10*time.Second)
			began.flush()
			c.change(voters)
			start := time.Now()
			got, known := newTracker(c.all, voters...).Find(context.Background(), "r1")
			if known != c.known || known && got != older {
				t.Errorf("origin: got %v, %v, want known %v", got, known, c.known)
			}
			if took := time.Since(start); took > c.within {
				t.Errorf("search: got %v, want within %v", took, c.within)
			}
		})
	}
}

func forget(v *fakeVoter) { v.registry.table = newTable(8, time.Now()) }

// TestFindWaitsForKeepers guards against a stream that counts as unknown after a majority of seven voters has answered, of
// which none keeps it.
func TestFindWaitsForKeepers(t *testing.T) {
	var voters []*fakeVoter
	for i := range 7 {
		voters = append(voters, newFakeVoter(t, fmt.Sprint("v", i), ""))
	}
	began := newTracker(len(voters), voters...)
	began.Note("r1", older, 10*time.Second)
	began.flush()
	keep := 0
	for _, v := range voters {
		if v.notes > 0 {
			keep++
			v.delay = findTimeout + 100*time.Millisecond
		}
	}
	if keep != copies {
		t.Fatalf("voters that keep the stream: got %d, want %d", keep, copies)
	}
	if got, known := newTracker(len(voters), voters...).Find(context.Background(), "r1"); !known || got != older {
		t.Errorf("origin: got %v, %v, want %v", got, known, older)
	}
}

// TestFindWaitsForVoters checks that a search waits for voters that come back after a loss of power.
func TestFindWaitsForVoters(t *testing.T) {
	voter := newFakeVoter(t, "a", "")
	newTracker(1, voter).Note("r1", older, time.Second)
	voter.registry.table.put(streamIDOf("r1"), older, 2, time.Now())
	var mu sync.Mutex
	var connected []Voter
	time.AfterFunc(200*time.Millisecond, func() {
		mu.Lock()
		defer mu.Unlock()
		connected = append(connected, voter)
	})
	tracker := &Tracker{Voters: func() ([]Voter, int) {
		mu.Lock()
		defer mu.Unlock()
		return connected, 1
	}}
	if got, known := tracker.Find(context.Background(), "r1"); !known || got != older {
		t.Errorf("origin: got %v, %v, want %v", got, known, older)
	}
}

// TestUnknownVersionIsNotKept guards against streams of unknown versions that are taken for equal.
func TestUnknownVersionIsNotKept(t *testing.T) {
	voter := newFakeVoter(t, "a", "")
	tracker := newTracker(1, voter)
	tracker.Note("r1", Origin{"lm", ""}, time.Minute)
	tracker.flush()
	_ = voter.Send(kindNote, note{Groups: []group{{Service: "lm", Steps: 2, Streams: make([]byte, idBytes)}}})
	for _, id := range []string{"r1", ""} {
		if got, known := tracker.Find(context.Background(), id); known {
			t.Errorf("origin of %q: got %v, want none", id, got)
		}
	}
	if got := voter.registry.table.size(); got != 0 {
		t.Errorf("streams kept: got %d, want 0", got)
	}
}

// TestFileSurvivesLossOfPower checks that what was written is known after a restart, and after a second one, and
// that the end of a batch that was not synced hides nothing that was.
func TestFileSurvivesLossOfPower(t *testing.T) {
	for name, damage := range map[string]func(data []byte) []byte{
		"whole":           func(data []byte) []byte { return data },
		"cut off":         func(data []byte) []byte { return append(data, 0, 0, 0, 200, 1, 2) },
		"garbage behind":  func(data []byte) []byte { return append(data, make([]byte, 64)...) },
		"huge length":     func(data []byte) []byte { return append(data, 255, 255, 255, 255, 1, 2, 3, 4, 5, 6, 7, 8, 9) },
		"only a checksum": func(data []byte) []byte { return append(data, 0, 0, 0, 4) },
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "streams")
			writeStreams(t, path, "r1", "r2")
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(data), 0o600); err != nil {
				t.Fatal(err)
			}
			writeStreams(t, path, "r3")
			voter := newFakeVoter(t, "a", path)
			for _, id := range []string{"r1", "r2", "r3"} {
				if got, known := voter.registry.table.get(streamIDOf(id), time.Now()); !known || got != older {
					t.Errorf("origin of %s: got %v, %v, want %v", id, got, known, older)
				}
			}
		})
	}
}

// writeStreams starts a voter that has a file, and notes streams one after the other.
func writeStreams(t *testing.T, path string, ids ...string) {
	t.Helper()
	voter := newFakeVoter(t, "a", path)
	tracker := newTracker(1, voter)
	for _, id := range ids {
		tracker.Note(id, older, time.Minute)
		tracker.flush()
		voter.registry.File.write()
	}
}

// TestFileIsBounded checks that the file does not grow with the number of notes, but with what is kept.
func TestFileIsBounded(t *testing.T) {
	const rounds, streams, limit = 200, 500, 2 * minRewrite
	path := filepath.Join(t.TempDir(), "streams")
	voter := newFakeVoter(t, "a", path)
	tracker := newTracker(1, voter)
	for range rounds {
		for i := range streams {
			tracker.Note(fmt.Sprint("r", i), older, time.Minute)
		}
		tracker.flush()
		voter.registry.File.write()
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	if info.Size() > limit {
		t.Errorf("file after %d notes of the same %d streams: got %d bytes, want %d at most", rounds, streams, info.Size(), limit)
	}
}

// TestFileRecoversFromFailedWrites checks that nothing is missing once the disk takes bytes again.
func TestFileRecoversFromFailedWrites(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	path := filepath.Join(folder, "streams")
	voter := newFakeVoter(t, "a", path)
	tracker := newTracker(1, voter)
	tracker.Note("r1", older, time.Minute)
	tracker.flush()
	voter.registry.File.write() // fails, there is no folder
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	tracker.Note("r2", newer, time.Minute)
	tracker.flush()
	voter.registry.File.write()
	voter = newFakeVoter(t, "a", path)
	for id, want := range map[string]Origin{"r1": older, "r2": newer} {
		if got, known := voter.registry.table.get(streamIDOf(id), time.Now()); !known || got != want {
			t.Errorf("origin of %s: got %v, %v, want %v", id, got, known, want)
		}
	}
}

// TestResend checks that a voter that has lost everything has an entry's streams once it is connected.
func TestResend(t *testing.T) {
	tracker := newTracker(0)
	tracker.Note("r1", older, time.Minute)
	tracker.flush()
	voter := newFakeVoter(t, "a", "")
	tracker.Resend(voter)
	if got, known := voter.registry.table.get(streamIDOf("r1"), time.Now()); !known || got != older {
		t.Errorf("origin: got %v, %v, want %v", got, known, older)
	}
}

// TestKeepersSpread checks that each stream has its copies, and that the voters share the streams.
func TestKeepersSpread(t *testing.T) {
	const streams, voters = 7000, 7
	var connected []Voter
	for i := range voters {
		connected = append(connected, &fakeVoter{name: fmt.Sprint("v", i)})
	}
	count := make([]int, voters)
	for id := range streamID(streams) {
		chosen := keepers(connected, id)
		if len(chosen) != copies {
			t.Fatalf("copies of stream %d: got %d, want %d", id, len(chosen), copies)
		}
		for _, i := range chosen {
			count[i]++
		}
	}
	for i, n := range count {
		if mean := streams * copies / voters; n < mean*8/10 || n > mean*12/10 {
			t.Errorf("streams of voter %d: got %d, want about %d", i, n, mean)
		}
	}
}

// TestFrames guards against a message or stored record that an earlier build can't read.
func TestFrames(t *testing.T) {
	frames.Check(t, "testdata/frames-first.txt", map[string]any{"note": note{}, "group": group{}, "find_request": findRequest{}, "find_reply": findReply{}})
}
