package gateway

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/memory"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

// sourceStream is a backend server's stream. Each read takes one of its pieces.
type sourceStream struct {
	pieces  chan string
	aborted chan struct{}
}

func newSourceStream(pieces int) *sourceStream {
	return &sourceStream{make(chan string, pieces), make(chan struct{})}
}

func (s *sourceStream) Read(p []byte) (int, error) {
	select {
	case piece, ok := <-s.pieces:
		if !ok {
			return 0, io.EOF
		}
		return copy(p, piece), nil
	case <-s.aborted:
		return 0, errors.New("aborted")
	}
}

func (s *sourceStream) Abort() { close(s.aborted) }

// Guards against a stream that its backend server cuts off since nothing reads it while its caller is slow, and against events that are lost or
// change places on the way through memory.
func TestStreamIsReadAheadWhileItsCallerIsSlow(t *testing.T) {
	const pieces = 20
	source := newSourceStream(0)
	a := &readAhead{source: source}
	w := &callerWrite{ahead: a, patience: time.Hour, caller: memory.OwnerFunc(func() { t.Error("the caller was cut off") })}
	start := time.Unix(100, 0)
	var watch writeWatch
	watch.running = true // by this test
	watch.add(w)
	w.begin(start)
	watch.check(start.Add(watchInterval))
	for i := range pieces {
		select {
		case source.pieces <- strconv.Itoa(i) + " ": // taken only if somebody reads
		case <-time.After(20 * time.Second):
			t.Fatal("nobody reads the stream")
		}
	}
	w.end()
	go func() {
		source.pieces <- "20"
		close(source.pieces)
	}()
	var got strings.Builder
	chunk := make([]byte, 2)
	for {
		n, err := a.Read(chunk)
		got.Write(chunk[:n])
		if err != nil {
			break
		}
	}
	want := ""
	for i := range pieces {
		want += strconv.Itoa(i) + " "
	}
	if got := got.String(); got != want+"20" {
		t.Errorf("stream: got %q, want %q", got, want+"20")
	}
	a.close()
	watch.remove(w)
	if watch.check(start) {
		t.Error("the loop goes on without a write")
	}
}

// Guards against a slow caller's stream that takes more memory than there is, and against bytes that stay counted after it has ended halfway.
func TestReadingAheadStopsAtTheBudget(t *testing.T) {
	const pieces = 10
	budget := &memory.Budget{Total: 5 * readAheadSize, Stall: time.Hour}
	source := newSourceStream(pieces)
	for range pieces {
		source.pieces <- strings.Repeat("x", readAheadSize)
	}
	a := &readAhead{source: source, held: budget.Open()}
	for a.readOnce() {
	}
	if got := len(source.pieces); got != pieces-4 {
		t.Errorf("pieces that were not read: got %d, want %d", got, pieces-4)
	}
	a.busy.Store(true)
	a.close()
	if got := budget.State().Used; got != 0 {
		t.Errorf("bytes held after the end: got %d, want 0", got)
	}
	if _, err := source.Read(nil); len(source.pieces) == 0 && err == nil {
		t.Error("source: want it aborted")
	}
}

// Guards against a caller that reads nothing and holds its answer for ever, and against one that is cut off although it has time or reads.
func TestWhenACallerIsCutOff(t *testing.T) {
	start := time.Unix(100, 0)
	const patience = 15 * time.Second
	for name, c := range map[string]struct {
		deadline time.Duration // after the write began
		after    time.Duration
		ended    bool
		want     bool
	}{
		"within its time":         {time.Minute, 30 * time.Second, false, false},
		"just after its time":     {time.Second, 2 * time.Second, false, false},
		"long after its time":     {time.Second, patience, false, true},
		"reads":                   {time.Second, time.Hour, true, false},
		"at the end of its time":  {patience, patience, false, false},
		"after it, and patience":  {patience, patience + 1, false, true},
		"its time was over early": {-time.Minute, patience - 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			cut := false
			w := &callerWrite{deadline: start.Add(c.deadline), patience: patience, caller: memory.OwnerFunc(func() { cut = true })}
			w.begin(start)
			if c.ended {
				w.end()
			}
			w.check(start.Add(c.after))
			if cut != c.want {
				t.Errorf("cut off: got %v, want %v", cut, c.want)
			}
		})
	}
}

// Guards against a backend server that is not read while the caller of its stream is slow.
func TestSlowCallerDoesNotHoldItsBackendServer(t *testing.T) {
	const events = 400 // of 64 KB, more than the sockets hold
	sent := make(chan struct{})
	s := newFakeBackend(t, true, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Response-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i+1)+"\ndata: "+strings.Repeat("x", 64<<10)+"\n\n")
		}
		close(sent)
	})
	table, known := newTableAndFleet(t, route.Route{Kind: route.Streaming, Attempts: 1, Timeout: time.Minute}, s)
	recorder := &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}}
	g := newGateway(newSingleEntryGuard(recorder), &dispatch.RetryBudget{}, recorder, table, known)
	g.Memory = memory.NewBudget(2 * events * 64 << 10)
	server := startServer(t, g)
	_, r := sendRaw(t, server, rawHead+"Content-Length: 0\r\nX-Request-Deadline: 60000\r\n\r\n")
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-sent:
	case <-time.After(20 * time.Second):
		t.Fatal("the backend server could not send its stream while the caller did not read")
	}
	got := 0
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			got++
			if lines.Text() != "id: "+strconv.Itoa(got) {
				t.Fatalf("event %d: got %q", got, lines.Text())
			}
		}
	}
	if got != events || lines.Err() != nil {
		t.Errorf("events: got %d, %v, want %d", got, lines.Err(), events)
	}
	if used := g.Memory.State().Used; used != 0 {
		t.Errorf("bytes held after the end: got %d, want 0", used)
	}
}
