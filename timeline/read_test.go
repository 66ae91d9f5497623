package timeline_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bamboostep/bamboostep/timeline"
)

// What a process logs is read back as the same events.
func TestLogIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out logText
		r := newLogged(&out)
		r.Log = r.Log.With("process", r.Process)
		r.Record(timeline.Event{Kind: "request_failed", Request: "r1", Attempt: "a1", Model: "m/a", VM: "10.0.0.1:80", Content: "9f3c", Revision: 7, Term: 3, Detail: `no "answer": x=1, 2 of 3`})
		r.Record(timeline.Event{Kind: "ledger_disk_failed", Detail: "sync /data: no space left"})
		time.Sleep(time.Second)
		text := strings.Join(out.lines(), "\n")
		got, skipped, err := timeline.ReadLog(strings.NewReader(text))
		if err != nil || skipped != 0 {
			t.Fatalf("got %d lines skipped and error %v, want none", skipped, err)
		}
		if want := r.Find(timeline.Query{}); !reflect.DeepEqual(got, want) {
			t.Errorf("got events %+v, want %+v", got, want)
		}
		if !strings.Contains(text, "level=error msg=ledger_disk_failed") {
			t.Errorf("got log %q, want the failed disk at level error", text)
		}
	})
}

// One process's clock is half a minute behind. What it does upon a message comes after
// the sending of that message all the same.
func TestLogsMergeByCauseNotByClock(t *testing.T) {
	ahead := `time=2026-01-31T12:00:30Z level=info msg=order_given process=voter model=m vm=e1 stamp=100001`
	behind := `time=2026-01-31T12:00:00Z level=info msg=order_taken_load process=holder vm=e1 detail=m/ stamp=100002`
	old := `time=1970-01-01T00:00:00.001Z level=info msg=process_started process=holder`
	var lists [][]timeline.Event
	for _, text := range []string{behind, ahead, old} {
		events, _, err := timeline.ReadLog(strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		lists = append(lists, events)
	}
	var got []string
	for _, e := range timeline.Merge(lists...) {
		got = append(got, e.Kind)
	}
	if want := []string{"process_started", "order_given", "order_taken_load"}; !reflect.DeepEqual(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

// Logs hold more than events: lines that a kill cut off, panics, other programs.
func TestLinesThatAreNoEventsAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		log     string
		events  int
		skipped int
	}{
		"empty":               {"", 0, 0},
		"an event":            {"time=2026-01-31T12:00:00Z level=info msg=stopped process=p stamp=zz", 1, 0},
		"before it a prefix":  {"  37.5 edge-a time=2026-01-31T12:00:00Z level=info msg=stopped process=p stamp=zz", 1, 0},
		"cut off":             {"time=2026-01-31T12:00:00Z level=info msg=st", 1, 0},
		"cut off in a quote":  {`time=2026-01-31T12:00:00Z msg=stopped detail="9 req`, 0, 1},
		"a panic":             {"panic: runtime error: index out of range\n\ngoroutine 1 [running]:", 0, 3},
		"a time that is none": {"time=yesterday msg=stopped", 0, 1},
		"a number too large":  {"time=2026-01-31T12:00:00Z msg=stopped revision=99999999999999999999", 0, 1},
		"no time, no stamp":   {"msg=stopped", 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			events, skipped, err := timeline.ReadLog(strings.NewReader(c.log))
			if err != nil || len(events) != c.events || skipped != c.skipped {
				t.Errorf("got %d events, %d skipped, error %v; want %d and %d", len(events), skipped, err, c.events, c.skipped)
			}
		})
	}
}

func TestBrokenLogIsAnError(t *testing.T) {
	broken := errors.New("disk failed")
	if _, _, err := timeline.ReadLog(failingReader{broken}); !errors.Is(err, broken) {
		t.Errorf("got error %v, want %v", err, broken)
	}
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

func FuzzReadLog(f *testing.F) {
	f.Add("time=2026-01-31T12:00:00Z level=info msg=stopped process=p stamp=zz detail=\"a b\"")
	f.Add("msg=\"\\u00")
	f.Add("= = =\"\n\x00")
	f.Fuzz(func(t *testing.T, text string) {
		events, skipped, err := timeline.ReadLog(strings.NewReader(text))
		if err != nil {
			return // a line that is too long
		}
		if n := strings.Count(text, "\n") + 1; len(events)+skipped > n {
			t.Errorf("got %d events and %d skipped of at most %d lines", len(events), skipped, n)
		}
	})
}
