package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep/route"
)

// A process that is told to shut down still receives new requests for some seconds, until
// the platform has noticed that it is not ready. It first accepts them, then rejects them
// as not run because they might not finish in time, and exits when none is left. Between the
// head of a request and the moment when it is passed on, its body may take seconds, and so may the
// wait for a backend server. So whether it would finish is asked again before each attempt and
// while it waits, and bodies are read until shortly before the exit only.
const (
	acceptPeriod    = 2800 * time.Millisecond // from the start of the shutdown, in which new requests are accepted
	minShutdownTime = 4 * time.Second         // until then new connections may still arrive
	killMargin      = 250 * time.Millisecond  // the process exits this long before it is killed
	slowTokenTime   = 12 * time.Millisecond   // time per token of a stream on an engine that is busy with long prompts
)

// ShutdownPlan is the plan for the shutdown of a process.
type ShutdownPlan struct {
	Grace     time.Duration // time from Since until the process is killed
	StartedAt time.Time     // when the shutdown began
}

// RejectsNew reports whether all new requests are rejected at the time elapsed after the
// start of the shutdown.
func (s ShutdownPlan) RejectsNew(elapsed time.Duration) bool { return elapsed >= acceptPeriod }

// CanFinish reports whether a stream of the given maximum number of tokens that starts at
// the time elapsed after the start of the shutdown is expected to finish before the process
// exits.
func (s ShutdownPlan) CanFinish(elapsed time.Duration, tokens int) bool {
	return s.finishes(elapsed, time.Duration(tokens)*slowTokenTime)
}

// finishes reports whether something that takes so long from the time elapsed after the start of
// the shutdown ends before the process exits.
func (s ShutdownPlan) finishes(elapsed, takes time.Duration) bool {
	return elapsed+takes < s.Grace-killMargin
}

// ExitAt returns when the process exits at the latest.
func (s ShutdownPlan) ExitAt() time.Time { return s.StartedAt.Add(s.Grace - killMargin) }

// bodyCutoff returns when the bodies of requests are no longer read, so that the callers can still
// be answered.
func (s ShutdownPlan) bodyCutoff() time.Time { return s.StartedAt.Add(s.Grace - 2*killMargin) }

// tooLateToRun reports whether the process is shutting down and the request would not finish if it
// were passed on after wait. A stream that the caller has a part of goes on all the same.
func (x *exchange) tooLateToRun(wait time.Duration) bool {
	s := x.g.shutdown.Load()
	if s == nil || x.stream.hasStarted() || x.pendingMove != nil {
		return false
	}
	now := time.Now()
	return !s.finishes(now.Sub(s.StartedAt), wait+x.expectedRunTime(now))
}

// expectedRunTime returns how long a backend server may take for the request, at most until the
// deadline. Nothing tells how long a stream of a plain service is, nor a run of a service of which none has ended here.
func (x *exchange) expectedRunTime(now time.Time) time.Duration {
	left := x.deadline.Sub(now)
	if x.call.Model != "" {
		return min(left, time.Duration(x.call.MaxAnswerTokens)*slowTokenTime)
	}
	if x.route.Kind == route.Streaming {
		return left
	}
	expected, known := x.g.runTimes.expected(x.service.Name, now)
	if !known {
		return left
	}
	return min(left, max(expected, x.route.LatencyTarget))
}

// ShouldExit reports whether the process exits at the time elapsed after the start of the
// shutdown, given the number of requests that are still running.
func (s ShutdownPlan) ShouldExit(elapsed time.Duration, running int64) bool {
	return elapsed >= minShutdownTime && running == 0 || elapsed >= s.Grace-killMargin
}

// watchBody makes reads of a request's body fail from the cutoff of a shutdown on, which may begin
// while the body is read. The caller must call the function that it returns.
func (x *exchange) watchBody() (stop func() bool) {
	if x.r.ContentLength == 0 {
		return func() bool { return true }
	}
	c := http.NewResponseController(x.w)
	return context.AfterFunc(x.g.bodyReadContext(), func() {
		_ = c.SetReadDeadline(time.Now()) // fails only on a connection that is closed
	})
}

// pastBodyCutoff reports whether the bodies of requests are no longer read.
func (g *Gateway) pastBodyCutoff() bool {
	return errors.Is(g.bodyReadContext().Err(), context.Canceled)
}

// bodyReadContext returns a context that ends when the bodies of requests are no longer read.
func (g *Gateway) bodyReadContext() context.Context {
	g.bodyOnce.Do(func() { g.bodyReads, g.endBodyReads = context.WithCancel(context.Background()) })
	return g.bodyReads
}
