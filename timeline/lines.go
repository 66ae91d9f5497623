package timeline

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// This file writes the log line of each event.
//
// Formatting and writing a line takes longer than all else that recording does,
// and a request records several events before it is answered. Lines are therefore
// written a moment later, in the order of the events and with the events' times.
// A process that is killed loses the lines of that moment.
//
// The hard point is a log whose reader stands still, or a load that brings more
// lines than the log may have. Recording never waits for either. The lines that wait
// are bounded, and so are those of routine events in a second; what does not fit is
// left out, routine events first, and counted. The next line that is written says how
// many. The events themselves stay in the Recorder's ring.

const (
	lineDelay     = 5 * time.Millisecond // before the lines of new events are written
	maxLines      = 4096                 // waiting
	maxRoutine    = maxLines / 2         // waiting, beyond which routine events are left out
	routineRate   = 400                  // lines of routine events a second
	routineBurst  = 2 * routineRate      // saved up at most
	flushPatience = time.Second          // that Flush waits for a log that takes no lines
	droppedKind   = "log_lines_dropped"
)

// line is one event that waits for its log line.
type line struct {
	event Event
	at    time.Time
}

// lines is the log of a Recorder.
type lines struct {
	mu       sync.Mutex
	waiting  []line
	spare    []line    // memory for the next waiting lines
	due      bool      // a write is on its way
	routine  float64   // lines of routine events that may be written now
	filledAt time.Time // when routine was last filled

	dropped atomic.Uint64 // lines left out since the start

	writing sync.Mutex
	log     *log.Logger // takes the time of its lines from at; guarded by writing
	at      time.Time   // guarded by writing
	told    uint64      // dropped lines that were told of; guarded by writing
}

// add takes the line of e in, to be written to target. It never waits.
func (l *lines) add(target *log.Logger, e Event) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admits(e, now) {
		l.dropped.Add(1)
		return
	}
	l.waiting = append(l.waiting, line{e, now})
	if !l.due {
		l.due = true
		time.AfterFunc(lineDelay, func() { l.write(target) })
	}
}

// admits reports whether e gets a line. mu is held.
func (l *lines) admits(e Event, now time.Time) bool {
	if !e.Routine {
		return len(l.waiting) < maxLines
	}
	if l.filledAt.IsZero() {
		l.routine, l.filledAt = routineBurst, now
	}
	if passed := now.Sub(l.filledAt); passed > 0 {
		l.routine = min(l.routine+passed.Seconds()*routineRate, routineBurst)
		l.filledAt = now
	}
	if len(l.waiting) >= maxRoutine || l.routine < 1 {
		return false
	}
	l.routine--
	return true
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
		l.log.Log(levelOf(n.event.Kind), n.event.Kind, keyValues(n.event)...)
	}
	l.tellDropped()
	l.giveBack(batch)
}

// levels are those of the events that an on-call engineer looks for first: what was
// lost or damaged. All others are for information.
var levels = map[string]log.Level{
	"ledger_disk_failed":   log.ErrorLevel,
	"ledger_disk_refused":  log.ErrorLevel,
	"ledger_voter_stopped": log.ErrorLevel,
	"routes_invalid":       log.ErrorLevel,
	"routes_unreadable":    log.ErrorLevel,
	"agent_lost":           log.WarnLevel,
	"backend_down":         log.WarnLevel,
	"engine_lost":          log.WarnLevel,
	"holder_lost":          log.WarnLevel,
	"list_lost":            log.WarnLevel,
	"list_read_directly":   log.WarnLevel,
	"list_unreadable":      log.WarnLevel,
	"metrics_not_served":   log.WarnLevel,
	"platform_list_lost":   log.WarnLevel,
	"quorum_lost":          log.WarnLevel,
	"voter_lost":           log.WarnLevel,
}

func levelOf(kind string) log.Level {
	if l, ok := levels[kind]; ok {
		return l
	}
	return log.InfoLevel
}

// tellDropped says how many lines were left out since it last did. writing is held.
func (l *lines) tellDropped() {
	dropped := l.dropped.Load()
	if dropped == l.told {
		return
	}
	l.at = time.Now()
	l.log.Warn(droppedKind, "detail", fmt.Sprintf("%d lines, %d since the start", dropped-l.told, dropped))
	l.told = dropped
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

// Flush writes the log lines that wait, for a second at most. Call it before the
// process ends.
func (r *Recorder) Flush() {
	if r.Log == nil {
		return
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		r.lines.write(r.Log)
	}()
	t := time.NewTimer(flushPatience)
	defer t.Stop()
	select {
	case <-written:
	case <-t.C:
	}
}

// Dropped returns how many log lines were left out.
func (r *Recorder) Dropped() uint64 { return r.lines.dropped.Load() }
