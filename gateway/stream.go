package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/internal/sse"
	"github.com/bamboostep/bamboostep/origin"
)

// Streams are forwarded in whole events. An incomplete event at the end of a broken
// stream is dropped, so the caller always has a whole number of events and the stream can
// be resumed on another backend server after the last one. Whether a stream that has ended is
// complete is decided in completeness.go.

const streamReadSize = 16 << 10 // bytes

// streamState is what the caller has received of a stream.
type streamState struct {
	started   bool   // the response head was sent
	status    int    // of that head
	mediaType string // of that head, "" for none

	lastID string // of the last forwarded event that has an ID
	events int    // forwarded writes, each of one or more events

	firstEventAfter time.Duration // from the arrival of the request to the first event
	lastEventAt     time.Time     // when the last events were forwarded
	longestPause    time.Duration // longest time between two events

	write callerWrite // of the attempt that goes on
}

func (s *streamState) hasStarted() bool { return s != nil && s.started }

// resumeEventID returns the ID of the event after which the next attempt resumes the
// stream, or "".
func (x *exchange) resumeEventID() string {
	if x.stream != nil && x.stream.lastID != "" {
		return x.stream.lastID
	}
	if x.route.Resumable {
		return x.call.ResumeAfter
	}
	return ""
}

// deliverStream forwards a stream until it is complete or breaks off.
func (x *exchange) deliverStream(ctx context.Context, run *fleet.Assignment, resp *origin.Response) attemptResult {
	if x.stream == nil {
		x.stream = &streamState{}
	}
	m := x.watchDeparture(ctx, run)
	err := x.forwardStream(ctx, run, resp)
	moved := m.finish()
	if err == nil && m.mayHaveStopped && resp.Framing == origin.Unframed {
		err = errStoppedForMove
	}
	now := time.Now()
	var writeErr *callerWriteError
	callerLeft := errors.As(err, &writeErr) || x.r.Context().Err() != nil
	switch {
	case moved && (err == nil || callerLeft || ctx.Err() != nil):
		m.discard()
	case moved:
		run.End(fleet.EndedCanceled, now)
		x.pendingMove = m
		return attemptRetryable
	}
	switch {
	case err == nil:
		x.reportAnswered()
		run.End(fleet.EndedOK, now)
		x.g.Metrics.observeLongestPause(x.stream.longestPause)
		x.recordServed(run.Address, http.StatusOK, nil)
		return attemptFinal
	case callerLeft:
		run.End(fleet.EndedCanceled, now)
		x.recordCallerLeft(run.Address)
		return attemptFinal
	case ctx.Err() != nil:
		run.End(fleet.EndedCanceled, now)
		x.handleTimeout()
		return attemptFinal
	}
	x.reportBroken(run)
	return x.rejectResponse(run, "stream ended early: "+err.Error())
}

// callerWriteError is a failed write to the caller.
type callerWriteError struct{ cause error }

func (e *callerWriteError) Error() string { return "write to caller: " + e.cause.Error() }

// forwardStream forwards complete events. It returns nil once the stream is complete, and
// a *callerWriteError if the caller cannot be written to.
func (x *exchange) forwardStream(ctx context.Context, run *fleet.Assignment, resp *origin.Response) error {
	call := x.held.Bytes()
	defer func() { _ = x.held.Resize(time.Now(), call) }() // less than before
	ahead := &readAhead{source: resp, held: x.g.budget().Open()}
	ahead.held.Owner = x
	defer ahead.close()
	x.watchWrite(&x.stream.write, ahead)
	defer x.g.writes.remove(&x.stream.write)
	order := sse.NewOrder(x.resumeEventID())
	var buffered []byte
	anyEvent := false
	chunk := make([]byte, streamReadSize)
	for {
		n, err := ahead.Read(chunk)
		buffered = append(buffered, chunk[:n]...)
		if end := sse.LastEnd(buffered); end > 0 {
			anyEvent = true
			if err := x.forwardInOrder(run, resp, order, buffered[:end]); err != nil {
				return err
			}
			buffered = append(buffered[:0], buffered[end:]...)
		}
		switch {
		case err != nil:
			return x.finishStream(ctx, run, resp, order, streamEnd{err, buffered, anyEvent})
		case len(buffered) > maxEventBytes:
			return errResponseTooLarge
		}
		if err := x.held.Resize(time.Now(), call+int64(len(buffered))); err != nil {
			return err
		}
	}
}

// finishStream ends the caller's stream if that of the backend server is complete, and else
// returns why it is not.
func (x *exchange) finishStream(ctx context.Context, run *fleet.Assignment, resp *origin.Response, order *sse.Order, end streamEnd) error {
	if err := x.checkStreamEnd(ctx, run, resp, end); err != nil {
		return err
	}
	if len(end.rest) == 0 {
		x.sendStreamHead(resp)
		return nil
	}
	return x.forwardInOrder(run, resp, order, end.rest)
}

// forwardInOrder forwards events up to the first that does not follow on those before. The error is errEventsOutOfOrder if there is one,
// and a *callerWriteError if the caller cannot be written to.
func (x *exchange) forwardInOrder(run *fleet.Assignment, resp *origin.Response, order *sse.Order, events []byte) error {
	accepted := order.Accept(events)
	if accepted > 0 {
		run.FirstEvent(time.Now())
		if x.stream.events == 0 {
			x.g.waiting.room() // its prompt has been prefilled
		}
		x.noteOrigin(run)
		if err := x.forwardEvents(resp, events[:accepted], order.LastID()); err != nil {
			return &callerWriteError{err}
		}
	}
	if accepted < len(events) {
		return errEventsOutOfOrder
	}
	return nil
}

// sendStreamHead sends the response head, unless an earlier attempt has sent its own.
func (x *exchange) sendStreamHead(resp *origin.Response) {
	if x.stream.started {
		return
	}
	x.stream.started = true
	after := time.Since(x.arrived)
	x.stream.firstEventAfter = after
	x.g.Metrics.observeFirstEvent(after)
	if x.route.LatencyTarget > 0 && after > x.route.LatencyTarget {
		x.g.Fleet.CountLate(x.modelName())
	}
	x.stream.status, x.stream.mediaType = resp.Status, mediaType(resp.Header)
	copyHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.Status)
}

// forwardEvents sends complete events to the caller and flushes them. lastID is the ID of the last event that has one.
func (x *exchange) forwardEvents(resp *origin.Response, events []byte, lastID string) error {
	x.sendStreamHead(resp)
	x.stream.lastID = lastID
	now := time.Now()
	x.stream.countEvents(now)
	if x.quarantineVerdict.Crashes > 0 && x.stream.position() > x.quarantineVerdict.ClearAfterEvents {
		x.reportPassed()
	}
	x.stream.write.begin(now)
	defer x.stream.write.end()
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(x.w).Flush()
}

// countEvents counts one write of events to the caller.
func (s *streamState) countEvents(now time.Time) {
	if s.events > 0 {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.events++
	s.lastEventAt = now
}

// position returns how many events the caller has: the last event ID if that is a number,
// else the number of writes. s may be nil.
func (s *streamState) position() int {
	if s == nil {
		return 0
	}
	if n, err := strconv.Atoi(s.lastID); err == nil {
		return n
	}
	return s.events
}

// abortStream closes the caller's connection, so that a stream that was cut short does
// not look complete. It panics with http.ErrAbortHandler.
func (x *exchange) abortStream(reason string) {
	x.g.Metrics.countFailure(http.StatusBadGateway, "stream_broken")
	x.recordEvent("stream_broken", "", reason+" after event "+x.stream.lastID+" "+x.versionDetail())
	panic(http.ErrAbortHandler)
}
