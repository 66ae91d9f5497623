package timeline_test

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bamboostep/bamboostep/timeline"
)

type wall struct{ at time.Time }

func (w *wall) Now() time.Time { return w.at }

// An event that a message caused sorts after the sending, though the receiver's
// host is an hour behind.
func ExampleMerge() {
	noon := time.UnixMilli(1_780_000_000_000)
	entry := &timeline.Recorder{Process: "entry-a", Clock: &timeline.Clock{Wall: &wall{noon}}}
	agent := &timeline.Recorder{Process: "agent-1", Clock: &timeline.Clock{Wall: &wall{noon.Add(-time.Hour)}}}

	entry.Record(timeline.Event{Kind: "offer_sent", Request: "r1"})
	agent.Clock.Observe(entry.Clock.Now())
	agent.Record(timeline.Event{Kind: "started", Request: "r1"})
	entry.Clock.Observe(agent.Clock.Now())
	entry.Record(timeline.Event{Kind: "answered", Request: "r1"})

	q := timeline.Query{Request: "r1"}
	for _, e := range timeline.Merge(agent.Find(q), entry.Find(q)) {
		fmt.Println(e.Process, e.Kind)
	}
	// Output:
	// entry-a offer_sent
	// agent-1 started
	// entry-a answered
}

func TestRecorderKeepsTheLastEvents(t *testing.T) {
	r := &timeline.Recorder{Process: "p", Clock: &timeline.Clock{Wall: &wall{time.UnixMilli(1)}}, Size: 3}
	for i := range 5 {
		r.Record(timeline.Event{Kind: fmt.Sprint(i)})
	}
	var got string
	for _, e := range r.Find(timeline.Query{}) {
		got += e.Kind
	}
	if want := "234"; got != want {
		t.Errorf("kept events = %q, want %q", got, want)
	}
}

// logText is the target of a logger.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (t *logText) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.text.Write(p)
}

func (t *logText) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Split(strings.TrimSuffix(t.text.String(), "\n"), "\n")
}

func newLogged(t *logText) *timeline.Recorder {
	l := log.NewWithOptions(t, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter})
	return &timeline.Recorder{Process: "p", Clock: &timeline.Clock{Wall: &wall{time.UnixMilli(1)}}, Log: l}
}

// Lines come by themselves, in the order of the events and with their times.
func TestLinesFollowEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out logText
		r := newLogged(&out)
		var want []string
		for i := range 3 {
			want = append(want, fmt.Sprintf("time=%s level=info msg=event_%d vm=vm-1 stamp=%s", time.Now().Format(time.RFC3339Nano), i, strconv.FormatInt(1<<16+int64(i), 36)))
			r.Record(timeline.Event{Kind: fmt.Sprint("event_", i), VM: "vm-1"})
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		got := out.lines()
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("log = %q, want %q", got, want)
		}
	})
}

// No line is lost or swapped as long as no more wait than may. Beyond that each event
// has its line or is counted as left out, and the lines keep their order.
func TestEveryEventHasItsLine(t *testing.T) {
	for name, c := range map[string]struct {
		each int
		all  bool // no line may be left out
	}{
		"as many as may wait": {1000, true},
		"more":                {3000, false},
	} {
		t.Run(name, func(t *testing.T) {
			const writers = 4
			var out logText
			r := newLogged(&out)
			var all sync.WaitGroup
			for w := range writers {
				all.Go(func() {
					for i := range c.each {
						r.Record(timeline.Event{Kind: "event", VM: fmt.Sprint(w), Revision: uint64(i + 1)})
					}
				})
			}
			all.Wait()
			r.Flush()
			got := checkOrder(t, out.lines(), !c.all) + int(r.Dropped())
			if want := writers * c.each; got != want {
				t.Fatalf("lines and dropped lines: got %d, want %d", got, want)
			}
			if c.all && r.Dropped() > 0 {
				t.Errorf("dropped lines: got %d, want 0", r.Dropped())
			}
		})
	}
}

// checkOrder checks that the lines of each writer follow each other, and returns how
// many there are. Gaps are allowed where lines may be left out.
func checkOrder(t *testing.T, lines []string, gaps bool) int {
	t.Helper()
	count := 0
	last := make(map[string]int)
	for _, line := range lines {
		if strings.Contains(line, "msg=log_lines_dropped") {
			continue
		}
		count++
		_, fields, _ := strings.Cut(line, " vm=")
		var vm string
		var n int
		if _, err := fmt.Sscanf(fields, "%s revision=%d", &vm, &n); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if n != last[vm]+1 && !(gaps && n > last[vm]) {
			t.Fatalf("line %d of vm %s follows line %d", n, vm, last[vm])
		}
		last[vm] = n
	}
	return count
}
