package timeline

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// TestStalledLog is a log whose reader stands still: recording does not wait, the
// memory of waiting lines is bounded, and once the reader goes on it is told what is
// missing.
func TestStalledLog(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	recorder := &Recorder{Clock: &Clock{Wall: wall{}}, Log: log.New(w)}
	const events = 3 * maxLines
	began := time.Now()
	for range events {
		recorder.Record(Event{Kind: "something"})
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("recording took %v beside a log that takes nothing", took)
	}
	if got := recorder.Dropped(); got == 0 || got > events-maxLines {
		t.Errorf("lines left out: got %d of %d", got, events)
	}
	recorder.Flush() // must not wait for ever
	var mu sync.Mutex
	var text bytes.Buffer
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := r.Read(b)
			mu.Lock()
			text.Write(b[:n])
			mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		recorder.Flush()
		mu.Lock()
		told := strings.Contains(text.String(), droppedKind)
		mu.Unlock()
		if told {
			return
		}
	}
	t.Error("lines were left out and nothing said so")
}

// TestRoutineLinesAreBounded is a load that brings more lines than the log may have:
// those of routine events are left out, all others are there.
func TestRoutineLinesAreBounded(t *testing.T) {
	var l lines
	now := time.Unix(1000, 0)
	routine, others := 0, 0
	for ms := range 10000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		for range 2 {
			if l.admits(Event{Kind: "served", Routine: true}, at) {
				routine++
			}
		}
		if l.admits(Event{Kind: "failed"}, at) {
			others++
		}
	}
	if limit := routineBurst + 10*routineRate; routine > limit || routine < limit*9/10 {
		t.Errorf("routine lines in 10 s: got %d, want about %d", routine, limit)
	}
	if others != 10000 {
		t.Errorf("other lines: got %d, want all 10000", others)
	}
}

type wall struct{}

func (wall) Now() time.Time { return time.Now() }
