// Package timeline holds the time line of events over all processes; the field
// would call it a distributed trace log.
//
// Every process keeps its last events in a ring of fixed size and writes each as
// one key=value log line, off the path of requests. An operator's query is sent to all processes and the
// answers are merged by a hybrid logical clock, which rides on every frame
// between processes. That clock is the hard point: hosts' wall clocks may be off
// by seconds, yet an event must never sort before the event that caused it.
package timeline

import (
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bamboostep/bamboostep"
)

// Event is one thing that happened in one process. Empty fields do not apply.
type Event struct {
	Stamp    Stamp                `msgpack:"stamp" json:"stamp"`
	Process  string               `msgpack:"process" json:"process"`
	Kind     string               `msgpack:"kind" json:"kind"` // snake case, e.g. "offer_sent"
	Request  bamboostep.RequestID `msgpack:"request" json:"request,omitempty"`
	Attempt  bamboostep.AttemptID `msgpack:"attempt" json:"attempt,omitempty"`
	Model    string               `msgpack:"model" json:"model,omitempty"` // model, adapter or service
	VM       string               `msgpack:"vm" json:"vm,omitempty"`
	Content  string               `msgpack:"content" json:"content,omitempty"` // of a request: the same each time it is sent
	Revision uint64               `msgpack:"revision" json:"revision,omitempty"`
	Term     uint64               `msgpack:"term" json:"term,omitempty"`
	Detail   string               `msgpack:"detail" json:"detail,omitempty"`

	// Routine events are those of a request that goes well. They are the first whose
	// log lines are left out under load.
	Routine bool `msgpack:"-" json:"-"`
}

// Query selects events. Empty fields select all.
type Query struct {
	Request bamboostep.RequestID `msgpack:"request"`
	Model   string               `msgpack:"model"`
	VM      string               `msgpack:"vm"`
	Content string               `msgpack:"content"`
	Since   time.Time            `msgpack:"since"`
	Until   time.Time            `msgpack:"until"`
}

// Matches reports whether q selects e.
func (q Query) Matches(e Event) bool {
	if q.Request != "" && q.Request != e.Request {
		return false
	}
	if q.Model != "" && q.Model != e.Model {
		return false
	}
	if q.VM != "" && q.VM != e.VM {
		return false
	}
	if q.Content != "" && q.Content != e.Content {
		return false
	}
	at := e.Stamp.Time()
	if !q.Since.IsZero() && at.Before(q.Since) {
		return false
	}
	return q.Until.IsZero() || !at.After(q.Until)
}

// Select returns the events that q selects, in their order.
func (q Query) Select(events []Event) []Event {
	var found []Event
	for _, e := range events {
		if q.Matches(e) {
			found = append(found, e)
		}
	}
	return found
}

// defaultEvents is the number of events that a Recorder keeps.
const defaultEvents = 4096

// Recorder keeps the last events of one process. Set the exported fields before
// the first call; all methods may then be used by many goroutines.
type Recorder struct {
	Process string
	Clock   *Clock
	Log     *log.Logger // may be nil
	Size    int         // events kept; 4096 if 0

	mu       sync.Mutex
	events   []Event // the event with number n at n modulo the size
	recorded uint64  // events so far; their numbers begin at 0
	lines    lines
}

// Record stamps e, keeps it and logs it, the last a moment later. Long texts are clipped.
func (r *Recorder) Record(e Event) {
	e = e.clipped()
	e.Stamp = r.Clock.Now()
	e.Process = r.Process
	r.keep(e)
	if r.Log != nil {
		r.lines.add(r.Log, e)
	}
}

// Find returns the kept events that q selects, oldest first.
func (r *Recorder) Find(q Query) []Event {
	q = q.clipped()
	r.mu.Lock()
	defer r.mu.Unlock()
	found, _ := r.findFrom(q, 0, len(r.events))
	return found
}

// findFrom returns the kept events with a number of at least from that q selects, but no more than max of them, oldest first, and the number after the last that it looked at. mu must
// be held, and q be clipped.
func (r *Recorder) findFrom(q Query, from uint64, max int) (found []Event, next uint64) {
	kept := uint64(len(r.events))
	if from+kept < r.recorded {
		from = r.recorded - kept
	}
	for ; from < r.recorded && len(found) < max; from++ {
		e := r.events[from%kept]
		if q.Matches(e) {
			found = append(found, e)
		}
	}
	return found, from
}

// pageEvents is the number of events that Write holds at a time.
const pageEvents = 64

// Write writes the kept events that q selects to w as a list in JSON, oldest first, and null if there are none. It holds few of them at a time, however slowly w takes them; events
// that are no longer kept when it is their turn are missing. The error is that of w.
func (r *Recorder) Write(w io.Writer, q Query) error {
	q = q.clipped()
	r.mu.Lock()
	end := r.recorded
	r.mu.Unlock()
	separator := "["
	for next := uint64(0); next < end; {
		r.mu.Lock()
		var page []Event
		page, next = r.findFrom(q, next, pageEvents)
		r.mu.Unlock()
		for _, e := range page {
			if err := writeEvent(w, separator, e); err != nil {
				return err
			}
			separator = ","
		}
	}
	rest := "]\n"
	if separator == "[" {
		rest = "null\n"
	}
	_, err := io.WriteString(w, rest)
	return err
}

func writeEvent(w io.Writer, separator string, e Event) error {
	text, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(w, separator); err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

func (r *Recorder) keep(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := r.Size
	if size == 0 {
		size = defaultEvents
	}
	if len(r.events) < size {
		r.events = append(r.events, e)
	} else {
		r.events[r.recorded%uint64(size)] = e
	}
	r.recorded++
}

// Merge orders the events of several processes into one time line.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Event) int {
		if a.Stamp < b.Stamp {
			return -1
		}
		if a.Stamp > b.Stamp {
			return 1
		}
		return 0
	})
	return all
}

// maxFields is the number of fields that a log line may have.
const maxFields = 8

func keyValues(e Event) []any {
	kv := make([]any, 0, 2*maxFields)
	add := func(key string, value any, set bool) {
		if set {
			kv = append(kv, key, value)
		}
	}
	add(fieldRequest, e.Request, e.Request != "")
	add(fieldAttempt, e.Attempt, e.Attempt != "")
	add(fieldModel, e.Model, e.Model != "")
	add(fieldVM, e.VM, e.VM != "")
	add(fieldContent, e.Content, e.Content != "")
	add(fieldRevision, e.Revision, e.Revision != 0)
	add(fieldTerm, e.Term, e.Term != 0)
	add(fieldDetail, e.Detail, e.Detail != "")
	add(fieldStamp, strconv.FormatUint(uint64(e.Stamp), stampBase), true)
	return kv
}
