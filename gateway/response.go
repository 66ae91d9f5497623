package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/origin"
	"github.com/bamboostep/bamboostep/pace"
	"github.com/bamboostep/bamboostep/quarantine"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
)

const (
	maxDiscardBytes     = 64 << 10               // read from a response that is not forwarded
	retryAfterShort     = 300 * time.Millisecond // for conditions that clear within a moment
	retryAfterBusy      = 700 * time.Millisecond
	retryAfterModelLoad = 1500 * time.Millisecond // about the load time of a model
	maxRetryAfter       = 30 * time.Second        // of what is estimated
)

// connectionHeaders are hop-by-hop headers of a backend server's response, and
// Content-Length, which the gateway sets itself.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Te", "Trailer", "Upgrade", "Proxy-Connection"}

// discardBody reads a short response that is not forwarded, so that its connection can
// be reused.
func discardBody(resp *origin.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDiscardBytes)) // on an error, Close closes the connection
}

// deliverBuffered forwards a response after reading all of it. A truncated response can
// then still be retried, and never looks complete to the caller.
func (x *exchange) deliverBuffered(ctx context.Context, run *fleet.Assignment, resp *origin.Response, success bool) attemptResult {
	body, err := x.readBuffered(ctx, run, resp)
	now := time.Now()
	if err != nil {
		if x.r.Context().Err() != nil {
			run.End(fleet.EndedCanceled, now)
			x.recordCallerLeft(run.Address)
			return attemptFinal
		}
		x.reportBroken(run)
		return x.rejectResponse(run, err.Error())
	}
	if success {
		x.reportAnswered()
	} else {
		x.reportPassed()
	}
	if !success && resp.Status >= http.StatusInternalServerError && x.mayRetryFailure() {
		return x.rejectResponse(run, "status "+strconv.Itoa(resp.Status))
	}
	if success {
		run.Started()
		run.End(fleet.EndedOK, now)
	} else {
		run.End(fleet.EndedFailed, now)
	}
	copyHeader(x.w.Header(), resp.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(resp.Status)
	if x.r.Method != http.MethodHead {
		err = x.writeWhole(body)
	}
	x.recordServed(run.Address, resp.Status, err)
	return attemptFinal
}

// mayRetryFailure reports whether an error response of a backend server may be
// retried.
func (x *exchange) mayRetryFailure() bool {
	return x.route.Repeatable() && x.possibleRuns < x.route.Attempts && time.Until(x.deadline) > route.MinAttemptTime
}

// copyHeader copies all headers except connectionHeaders. It keeps a Connection header
// that the gateway has set on to.
func copyHeader(to, from http.Header) {
	connection := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
	if connection != "" {
		to.Set("Connection", connection)
	}
}

// refuse responds with 503, which guarantees that the request has not run and never will.
// after is sent as Retry-After. It returns false.
func (x *exchange) refuse(reason string, after time.Duration) bool {
	return x.refuseWithDetail(reason, "", after)
}

// refuseWithDetail is refuse with a detail for the event log.
func (x *exchange) refuseWithDetail(reason, detail string, after time.Duration) bool {
	setRetryAfter(x.w, after)
	return x.fail(http.StatusServiceUnavailable, reason, detail)
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
}

// fail responds with an error that the gateway itself generates. reason is the response
// body and the metric label; detail goes to the event log only. It returns false.
func (x *exchange) fail(status int, reason, detail string) bool {
	http.Error(x.w, reason, status)
	x.g.Metrics.countFailure(status, reason)
	x.recordEvent("request_failed", "", reason+" "+strconv.Itoa(status)+" after "+formatMilliseconds(time.Since(x.arrived))+" "+detail)
	return false
}

// giveUp ends a request that no attempt has served: with an error response, or by
// aborting a stream that has started. It returns false.
func (x *exchange) giveUp(reason string) bool {
	if x.stream.hasStarted() {
		x.abortStream(reason)
		return false
	}
	if !x.provablyNotRun {
		return x.fail(http.StatusBadGateway, reason, x.versionDetail())
	}
	after := retryAfterBusy
	if x.noRoom != nil && x.noRoom.Room > 0 {
		after = min(max(retryAfterShort, x.noRoom.Room), maxRetryAfter)
	}
	switch reason {
	case string(fleet.ReasonNoModel), string(fleet.ReasonNoVersion):
		after = retryAfterModelLoad
	case string(fleet.ReasonNoServer), reasonVersionUnknown:
		after = retryAfterShort
	case reasonStopping:
		after = 0
	case string(fleet.ReasonLimited):
		after = max(retryAfterShort, x.limitWait)
	}
	return x.refuseWithDetail(reason, x.versionDetail()+roomDetail(x.noRoom), after)
}

// handleTimeout ends a request whose context has ended: its deadline has passed or its
// caller has disconnected.
func (x *exchange) handleTimeout() {
	switch {
	case x.r.Context().Err() != nil:
		x.recordCallerLeft("")
	case x.stream.hasStarted():
		x.abortStream("deadline")
	case x.provablyNotRun:
		x.refuse("deadline", 0)
	default:
		x.fail(http.StatusGatewayTimeout, "deadline", "")
	}
}

// recordServed records a response that was forwarded. err is the error of writing it to
// the caller, if any.
func (x *exchange) recordServed(address string, status int, err error) {
	took := time.Since(x.arrived)
	x.g.Metrics.observeRequest(x.route.Kind, status, took)
	detail := strconv.Itoa(status) + " in " + formatMilliseconds(took) + x.streamSummary()
	if x.framing == origin.Unframed {
		detail += ", framed by " + x.framing.String()
	}
	if err != nil {
		detail += ", not delivered: " + err.Error()
	}
	e := x.newEvent("request_served", address, detail)
	e.Routine = err == nil && status < http.StatusInternalServerError && !x.missedLatencyTarget()
	x.g.Recorder.Record(e)
}

// streamSummary formats the latencies of a stream and the expectation at the time when
// its backend server was selected, for the event log.
func (x *exchange) streamSummary() string {
	if !x.stream.hasStarted() {
		return ""
	}
	s := x.stream
	return fmt.Sprintf(", first event after %s (%s), longest pause %s, sends %d", formatMilliseconds(s.firstEventAfter), x.serverExpectation(), formatMilliseconds(s.longestPause), x.sentAttempts)
}

// serverExpectation formats the predicted wait of the latest attempt and the data that it
// was based on.
func (x *exchange) serverExpectation() string {
	basis := "no report"
	if x.serverRun.ReportAge >= 0 {
		basis = fmt.Sprintf("a report %s old, %d running, %d waiting", formatMilliseconds(x.serverRun.ReportAge), x.serverRun.Running, x.serverRun.Waiting)
	}
	if x.serverRun.OthersTokens >= 0 {
		basis += fmt.Sprintf(", %d prompt tokens of other entries", x.serverRun.OthersTokens)
	}
	promise := "kept"
	if !x.serverRun.KeepsPromise {
		promise = "not kept"
	}
	return "expected " + formatMilliseconds(x.serverRun.EstimatedWait) + ", pauses " + formatMilliseconds(x.serverRun.ExpectedPause) +
		", promise " + promise + ", from " + basis + x.paceBasis()
}

// paceBasis formats the pace of the engine that the expectation was based on, and its age.
func (x *exchange) paceBasis() string {
	p := x.serverRun.Pace
	if p == (pace.Pace{}) {
		return ""
	}
	age := "of its peers"
	if x.serverRun.PaceAge >= 0 {
		age = formatMilliseconds(x.serverRun.PaceAge) + " old"
	}
	return fmt.Sprintf(", %d tokens to prefill, pace %s: %.1f tokens/ms, gaps %s and %s", x.serverRun.Prefill, age, p.PrefillPerMS, formatMilliseconds(p.EventGap()), formatMilliseconds(p.PrefillGap()))
}

// recordCallerLeft records that the caller has disconnected, and what it had received
// until then.
func (x *exchange) recordCallerLeft(address string) {
	detail := "after " + formatMilliseconds(time.Since(x.arrived))
	switch {
	case x.stream.hasStarted():
		detail += x.streamSummary()
	case x.serverRun != nil:
		detail += ", no event (" + x.serverExpectation() + ")"
	}
	x.recordEvent("caller_left", address, detail)
}

func formatMilliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }

// missedLatencyTarget reports whether a stream missed a latency target of its route.
func (x *exchange) missedLatencyTarget() bool {
	if !x.stream.hasStarted() {
		return false
	}
	r := x.route
	return r.LatencyTarget > 0 && x.stream.firstEventAfter > r.LatencyTarget || r.EventGapTarget > 0 && x.stream.longestPause > r.EventGapTarget
}

// Bounds of a prompt in one log line.
const (
	maxLoggedParts  = 8  // parts
	maxLoggedPartID = 32 // bytes of each ID
)

// promptSummary formats the IDs of the prompt's parts, in order, for the event log.
func (x *exchange) promptSummary() string {
	parts := x.call.Prompt
	if len(parts) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteString(", prompt parts")
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		b.WriteString(" " + p.ID[:min(len(p.ID), maxLoggedPartID)])
	}
	if more := len(parts) - maxLoggedParts; more > 0 {
		fmt.Fprintf(&b, " and %d more", more)
	}
	return b.String()
}

// recordEvent records an event of the request in the event log.
func (x *exchange) recordEvent(kind, address, detail string) {
	e := x.newEvent(kind, address, detail)
	if x.content.Fingerprint != 0 {
		e.Content = quarantine.FormatFingerprint(x.content.Fingerprint)
	}
	x.g.Recorder.Record(e)
}

// newEvent returns an event with the identifiers of the request filled in.
func (x *exchange) newEvent(kind, address, detail string) timeline.Event {
	e := timeline.Event{Kind: kind, VM: address, Detail: detail}
	e.Request = bamboostep.RequestID(x.call.ID)
	if x.service != nil {
		e.Model = x.service.Name
	}
	if x.call.Model != "" {
		e.Model = x.call.Model
		if x.call.Adapter != "" {
			e.Model += "/" + x.call.Adapter
		}
	}
	if x.table != nil {
		e.Revision = x.table.Revision
	}
	return e
}
