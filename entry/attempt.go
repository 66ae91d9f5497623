package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file makes one attempt.
//
// An attempt that is given up (the deadline passed, the answer stalled, the caller
// left) is cancelled, and its backend server tells whether it ran. That answer may
// not come either, so it is waited for only a moment: the caller gets its final
// answer at once. The offer therefore runs in a goroutine of its own, behind a
// gate that is shut before the request goes on, so that no late piece of an
// attempt that was given up reaches the caller or the next attempt.

// attemptEnd says how an attempt ended.
type attemptResult struct {
	complete bool
	passed   bool // a crash suspect got far enough; not a failure
	failure  bamboostep.Failure
}

const (
	cancelReplyTimeout = 250 * time.Millisecond // wait to hear whether a cancelled attempt ran
	probeTokens        = 3                      // a crash suspect has passed after so many
)

var (
	errStalled       = errors.New("no piece of the answer came in time")
	errPassed        = errors.New("crash suspect got further than where it was at the crash")
	errAttemptClosed = errors.New("the attempt was given up")
)

// attempt is one offer under way.
type attempt struct {
	*exchange
	job        *job
	assignment *assignment
	id         bamboostep.AttemptID
	cancel     context.CancelCauseFunc
	yield      func(bamboostep.Answer) error
	stallTimer *time.Timer // cancels the attempt when it stalls

	mu             sync.Mutex
	closed         bool
	firstPieceSeen bool
	tokens         int
}

// attempt makes one attempt of j at the place p.
func (x *exchange) runAttempt(ctx context.Context, j *job, asg *assignment, yield func(bamboostep.Answer) error) attemptResult {
	n, err := j.retry.Offered()
	if err != nil {
		asg.release()
		return attemptResult{failure: bamboostep.Failure{Outcome: bamboostep.NotRun, Code: "internal", Message: err.Error()}}
	}
	a := &attempt{exchange: x, job: j, assignment: asg, id: attemptID(x.id, n), yield: yield}
	ctx, a.cancel = context.WithCancelCause(ctx)
	defer a.cancel(nil)
	x.recordEvent(timeline.Event{Kind: "routed", Attempt: a.id, VM: asg.vm})
	x.metrics.observeOverhead(x)
	timeout := j.retry.Deadline.Sub(x.Clock.Now())
	a.stallTimer = time.AfterFunc(timeout, func() { a.cancel(errStalled) })
	defer a.stallTimer.Stop()
	err = a.sendOffer(ctx, timeout)
	return a.finishAttempt(ctx, err)
}

// offer runs the offer and returns its error, or errShut if that does not come
// soon after the attempt was given up.
func (a *attempt) sendOffer(ctx context.Context, timeout time.Duration) error {
	offer := bamboostep.Offer{
		Attempt:    a.id,
		Request:    a.job.request,
		Prior:      a.job.prior,
		Alone:      a.job.verdict.Alone,
		KV:         a.job.kv,
		Repeatable: a.job.retry.Repeatable,
	}
	if !a.assignment.resident {
		offer.Load = a.job.adapterLoad
	}
	done := make(chan error, 1)
	a.workers.Go(func() {
		defer a.assignment.release()
		done <- a.assignment.server.Offer(ctx, offer, timeout, a.handlePiece)
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	timer := time.NewTimer(cancelReplyTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return errAttemptClosed
	}
}

// piece takes one piece of the answer.
func (a *attempt) handlePiece(p bamboostep.Answer) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return errAttemptClosed
	}
	if !a.firstPieceSeen {
		a.recordFirstPiece()
	}
	a.stallTimer.Stop() // a slow caller is not a slow backend server
	defer a.stallTimer.Reset(a.job.stallTime)
	a.assignment.recordProgress(p.Tokens)
	if a.job.resumable {
		a.job.prior = append(a.job.prior, p.Data...)
	}
	if err := a.job.retry.Piece(); err != nil {
		return err
	}
	if err := a.yield(p); err != nil {
		return err
	}
	a.tokens += p.Tokens
	if a.hasPassed(p) {
		a.cancel(errPassed)
		return errPassed
	}
	return nil
}

// hasPassed reports whether a crash suspect may go on among other requests.
func (a *attempt) hasPassed(p bamboostep.Answer) bool {
	v := a.job.verdict
	return v.Alone && !v.ToEnd && a.job.resumable && !p.Last && a.tokens >= probeTokens
}

// begin notes the first piece.
func (a *attempt) recordFirstPiece() {
	a.firstPieceSeen = true
	now := a.Clock.Now()
	first := len(a.job.prior) == 0
	a.recordEvent(timeline.Event{Kind: "first_token", Attempt: a.id, VM: a.assignment.vm})
	a.job.retry.Deadline = a.started.Add(a.job.answerTime)
	if !first {
		return
	}
	a.metrics.firstPiece.WithLabelValues(string(a.class)).Observe(now.Sub(a.started).Seconds())
	if now.Sub(a.started) > a.job.startTarget {
		a.demand.recordLate(a.target, now)
	}
	if a.assignment.resident && !a.job.verdict.Alone {
		a.observeWait(waitKey{a.job.place, a.class}, a.assignment.queuedTokens, now.Sub(a.assignment.assignedAt))
	}
}

// end shuts the gate and says how the attempt ended.
func (a *attempt) finishAttempt(ctx context.Context, err error) attemptResult {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	if err == nil {
		err = a.job.retry.Whole()
	}
	if err == nil {
		a.recordEvent(timeline.Event{Kind: "answered", Attempt: a.id, VM: a.assignment.vm})
		return attemptResult{complete: true}
	}
	f := a.failure(ctx, err)
	if !f.Crashed && errors.Is(context.Cause(ctx), errPassed) {
		return attemptResult{passed: true, failure: f}
	}
	a.recordEvent(timeline.Event{Kind: "failed", Attempt: a.id, VM: a.assignment.vm, Detail: f.Code + " " + string(f.Outcome)})
	return attemptResult{failure: f}
}

func (a *attempt) failure(ctx context.Context, err error) bamboostep.Failure {
	f := bamboostep.Failure{Outcome: bamboostep.Unknown, Code: "attempt_failed", Message: err.Error()}
	var failed *bamboostep.FailedError
	if errors.As(err, &failed) {
		f = failed.Failure
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		f.Code = "stalled"
	}
	f.Attempt = a.id
	return f
}

// attemptID names the nth attempt of a request.
func attemptID(id bamboostep.RequestID, n int) bamboostep.AttemptID {
	return bamboostep.AttemptID(fmt.Sprintf("%s.%d", id, n))
}
