package timeline_test

import (
	"fmt"
	"testing"
	"time"

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
