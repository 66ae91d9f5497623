package release

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/internal/measure"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// An entry at the size to design for begins 17 streams a second, and here has three voters.
const (
	benchStreamRate = 17 // streams a second
	benchSpan       = 10 * time.Second
	benchVoters     = 3
)

func newBenchNode(name string) (*wire.Node, *prometheus.Registry) {
	r := prometheus.NewRegistry()
	return &wire.Node{Hello: wire.Hello{Name: name}, Clock: &timeline.Clock{Wall: daemon.SystemClock{}}, Metrics: wire.NewMetrics(r)}, r
}

// startBenchVoter starts a voter with a file, and returns a connection of an entry to it.
func startBenchVoter(b *testing.B, ctx context.Context, entry *wire.Node, name string) *wire.Conn {
	b.Helper()
	node, _ := newBenchNode(name)
	mux := &wire.Mux{}
	r := &Registry{File: &File{Path: filepath.Join(b.TempDir(), "streams"), Recorder: newTestRecorder()}, Recorder: newTestRecorder()}
	r.Register(mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go (&wire.Listener{Node: node, Net: l, Handler: mux}).Run(ctx)
	go r.File.Run(ctx)
	up := make(chan *wire.Conn, 1)
	go (&wire.Link{
		Node: entry, Address: l.Addr().String(), Handler: wire.HandlerFunc(func(*wire.Message) {}),
		Up: func(c *wire.Conn) { up <- c }, Down: func(*wire.Conn) {},
	}).Run(ctx)
	return <-up
}

// BenchmarkEntry reports what the streams of one entry cost it and its voters together, beyond connections
// that are idle: bytes that the entry writes, messages, and processor time. It reports how long the search for
// a stream of another entry takes, too.
func BenchmarkEntry(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	node, registry := newBenchNode("entry")
	var voters []Voter
	for i := range benchVoters {
		voters = append(voters, startBenchVoter(b, ctx, node, fmt.Sprint("voter", i)))
	}
	all := func() ([]Voter, int) { return voters, benchVoters }
	tracker := &Tracker{Voters: all, Metrics: NewMetrics(registry)}
	go tracker.Run(ctx)
	spend := func(streams int) (bytes float64, cpu time.Duration) {
		bytes, cpu = measure.SentBytes(b, registry), measure.CPUTime(b)
		for i := range streams {
			if tracker != nil {
				tracker.Note(fmt.Sprintf("%016x", i), older, 10*time.Second)
			}
			time.Sleep(time.Second / benchStreamRate)
		}
		return measure.SentBytes(b, registry) - bytes, measure.CPUTime(b) - cpu
	}
	const streams = int(benchStreamRate * benchSpan / time.Second)
	for b.Loop() {
		running := tracker
		tracker = nil
		idleBytes, idleCPU := spend(streams)
		tracker = running
		bytes, cpu := spend(streams)
		b.ReportMetric((bytes-idleBytes)/float64(streams), "B/stream")
		b.ReportMetric(measure.Counter(b, registry, "bamboostep_release_notes_total")/float64(streams), "messages/stream")
		b.ReportMetric(float64((cpu-idleCPU).Microseconds())/float64(streams), "us/stream")
		another := &Tracker{Voters: all}
		began := time.Now()
		for i := range streams {
			if _, known := another.Find(ctx, fmt.Sprintf("%016x", i)); !known {
				b.Fatal("a stream is unknown")
			}
		}
		b.ReportMetric(float64(time.Since(began).Microseconds())/float64(streams), "us/search")
	}
}

// BenchmarkNote measures what a request waits for when its stream begins.
func BenchmarkNote(b *testing.B) {
	tracker := newTracker(0)
	ids := make([]string, 1<<12)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i*7919)
	}
	b.ResetTimer()
	for i := range b.N {
		tracker.Note(ids[i%len(ids)], older, 15*time.Second)
		if i%len(ids) == 0 {
			tracker.flush()
		}
	}
}

// BenchmarkMemory reports the heap of a full voter, and the bytes of its file.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := newTable(maxVoterStreams, time.Now())
		for id := range streamID(maxVoterStreams) {
			t.put(id*0x9e3779b97f4a7c15, older, 3, t.start)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxVoterStreams, "B/stream")
		kept := make(noteBuilder)
		t.forEach(t.start, kept.add)
		data, err := appendRecord(nil, kept.note())
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/maxVoterStreams, "B/stream_on_disk")
	}
}
