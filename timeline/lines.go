package timeline

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// This file writes the log line of each event.
//
// Formatting and writing a line takes longer than all else that recording does,
// and a request records several events before it is answered. Lines are therefore
// written a moment later, in the order of the events and with the events' times.
// A process that is killed loses the lines of that moment. One whose log takes
// lines too slowly waits for it, so the memory of waiting lines is bounded.

const (
	lineDelay = 5 * time.Millisecond // before the lines of new events are written
	maxLines  = 4096                 // waiting, before Record writes them itself
)

// line is one event that waits for its log line.
type line struct {
	event Event
	at    time.Time
}

// lines is the log of a Recorder.
type lines struct {
	mu      sync.Mutex
	waiting []line
	spare   []line // memory for the next waiting lines
	due     bool   // a write is on its way

	writing sync.Mutex
	log     *log.Logger // takes the time of its lines from at; guarded by writing
	at      time.Time   // guarded by writing
}

// add takes the line of e in, to be written to target.
func (l *lines) add(target *log.Logger, e Event) {
	l.mu.Lock()
	l.waiting = append(l.waiting, line{e, time.Now()})
	full := len(l.waiting) >= maxLines
	first := !l.due
	l.due = true
	l.mu.Unlock()
	switch {
	case full:
		l.write(target)
	case first:
		time.AfterFunc(lineDelay, func() { l.write(target) })
	}
}

// write writes the lines that wait.
func (l *lines) write(target *log.Logger) {
	l.writing.Lock()
	defer l.writing.Unlock()
	if l.log == nil {
		l.log = target.With()
		l.log.SetTimeFunction(func(time.Time) time.Time { return l.at })
	}
	batch := l.take()
	for _, n := range batch {
		l.at = n.at
		l.log.Info(n.event.Kind, keyValues(n.event)...)
	}
	l.giveBack(batch)
}

func (l *lines) take() []line {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.waiting
	l.waiting = l.spare
	l.spare = nil
	l.due = false
	return batch
}

// giveBack keeps the memory of a batch that was written.
func (l *lines) giveBack(batch []line) {
	clear(batch)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spare = batch[:0]
}

// Flush writes the log lines that wait. Call it before the process ends.
func (r *Recorder) Flush() {
	if r.Log != nil {
		r.lines.write(r.Log)
	}
}
