package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/origin"
)

// Streams are passed on event by event. An event that a backend server did not
// finish is dropped, so that what the caller has always ends between two events,
// and the stream can go on at another backend server after the last of them.

const streamBuffer = 16 << 10 // bytes

// relay is what a caller has of a stream.
type relay struct {
	started bool   // the head was sent
	lastID  string // of the last event that was passed on
	events  int

	first  time.Duration // from the arrival of the request to the first event
	passed time.Time     // of the last event
	pause  time.Duration // the longest between two events
}

func (s *relay) begun() bool { return s != nil && s.started }

// resumeAfter returns the event after which an attempt goes on.
func (x *exchange) resumeAfter() string {
	if x.stream != nil && x.stream.lastID != "" {
		return x.stream.lastID
	}
	if x.route.Resumable {
		return x.call.ResumeAfter
	}
	return ""
}

// deliverStream passes on a stream until it is whole or breaks off.
func (x *exchange) deliverStream(ctx context.Context, run *fleet.Run, a *origin.Answer) result {
	if x.stream == nil {
		x.stream = &relay{}
	}
	m := x.followDeparture(ctx, run)
	err := x.relayEvents(run, a)
	moved := m.end()
	now := time.Now()
	var gone *callerError
	left := errors.As(err, &gone) || x.r.Context().Err() != nil
	switch {
	case moved && (err == nil || left || ctx.Err() != nil):
		m.drop()
	case moved:
		run.End(fleet.EndedByUs, now)
		x.moved = m
		return resultAgain
	}
	switch {
	case err == nil:
		x.passed()
		run.End(fleet.EndedWell, now)
		x.g.Metrics.longestPause(x.stream.pause)
		x.done(run.Address, http.StatusOK, nil)
		return resultDone
	case left:
		run.End(fleet.EndedByUs, now)
		x.left(run.Address)
		return resultDone
	case ctx.Err() != nil:
		run.End(fleet.EndedByUs, now)
		x.timeOut()
		return resultDone
	}
	x.brokeOff(run)
	return x.spoilt(run, "stream broke off: "+err.Error())
}

// callerError says that the caller takes no more.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "caller: " + e.cause.Error() }

// relayEvents passes on whole events. It returns nil when the stream is whole.
func (x *exchange) relayEvents(run *fleet.Run, a *origin.Answer) error {
	h := holding{total: &x.g.held}
	defer h.release()
	var held []byte
	chunk := make([]byte, streamBuffer)
	for {
		n, err := a.Read(chunk)
		held = append(held, chunk[:n]...)
		end := lastEventEnd(held)
		if err == io.EOF {
			end = len(held)
		}
		if end > 0 {
			run.Started()
			if werr := x.pass(a, held[:end]); werr != nil {
				return &callerError{werr}
			}
			held = append(held[:0], held[end:]...)
		}
		switch {
		case err == io.EOF:
			x.begin(a)
			return nil
		case err != nil:
			return err
		case len(held) > maxEventBytes:
			return errLongAnswer
		}
		if err := h.grow(len(held)); err != nil {
			return err
		}
	}
}

// begin sends the head of the stream, that of its first backend server.
func (x *exchange) begin(a *origin.Answer) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	after := time.Since(x.arrived)
	x.stream.first = after
	x.g.Metrics.firstEvent(after)
	if x.route.Target > 0 && after > x.route.Target {
		x.g.Fleet.NoteLate(x.name())
	}
	copyHeader(x.w.Header(), a.Header)
	x.w.WriteHeader(a.Status)
}

// pass sends whole events to the caller.
func (x *exchange) pass(a *origin.Answer, events []byte) error {
	x.begin(a)
	if id := lastEventID(events); id != "" {
		x.stream.lastID = id
	}
	x.stream.note(time.Now())
	if x.verdict.Crashes > 0 && x.stream.position() > x.verdict.Beyond {
		x.passed()
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// note counts events that are passed on at a time.
func (s *relay) note(now time.Time) {
	if s.events > 0 {
		s.pause = max(s.pause, now.Sub(s.passed))
	}
	s.events++
	s.passed = now
}

// position returns how many events of the answer the caller has, by their IDs where
// these are numbers.
func (s *relay) position() int {
	if s == nil {
		return 0
	}
	if n, err := strconv.Atoi(s.lastID); err == nil {
		return n
	}
	return s.events
}

// breakOff ends a stream so that it does not look whole.
func (x *exchange) breakOff(reason string) {
	x.g.Metrics.refused(http.StatusBadGateway, "stream_broken")
	x.record("stream_broken", "", reason+" after event "+x.stream.lastID)
	panic(http.ErrAbortHandler)
}

// lastEventEnd returns where the last whole event ends, 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

var idField = []byte("id:")

// lastEventID returns the ID of the last event that has one.
func lastEventID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
