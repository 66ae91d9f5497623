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

// This file runs one attempt of a request.
//
// An attempt is cancelled when its deadline passes, its answer stalls or the
// caller disconnects. Its backend server then reports whether it ran, but that
// report may never come, so it is awaited only for cancelReplyTimeout. Offer
// therefore runs in its own goroutine, and the attempt is closed before the
// request continues, so that late pieces reach neither the caller nor the next
// attempt.

// attemptResult describes how an attempt ended.
type attemptResult struct {
	complete bool
	passed   bool // a crash suspect got past the point of the crash and may run normally; not a failure
	failure  bamboostep.Failure
}

const (
	cancelReplyTimeout = 250 * time.Millisecond // for the report whether a cancelled attempt ran
	probeTokens        = 3                      // tokens after which a crash suspect has passed
)

var (
	errStalled       = errors.New("no piece of the answer came in time")
	errPassed        = errors.New("crash suspect got past the point of the crash")
	errAttemptClosed = errors.New("the attempt was given up")
)

// attempt is one attempt in progress.
type attempt struct {
	*exchange
	job        *job
	assignment *assignment
	id         bamboostep.AttemptID
	cancel     context.CancelCauseFunc
	yield      func(bamboostep.Answer) error
	stallTimer *time.Timer // cancels the attempt if no piece arrives in time

	mu             sync.Mutex
	closed         bool
	firstPieceSeen bool
	tokens         int
}

// runAttempt runs one attempt of j on the assigned backend server.
func (x *exchange) runAttempt(ctx context.Context, j *job, asg *assignment, yield func(bamboostep.Answer) error) attemptResult {
	n, err := j.retry.StartAttempt()
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

// sendOffer sends the offer and returns its error, or errAttemptClosed if none
// arrives within cancelReplyTimeout of the cancellation.
func (a *attempt) sendOffer(ctx context.Context, timeout time.Duration) error {
	offer := bamboostep.Offer{
		Attempt:    a.id,
		Request:    a.job.request,
		PriorText:  a.job.prior,
		RunAlone:   a.job.verdict.Alone,
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

// handlePiece processes one piece of the answer.
func (a *attempt) handlePiece(p bamboostep.Answer) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return errAttemptClosed
	}
	if !a.firstPieceSeen {
		a.recordFirstPiece()
	}
	a.stallTimer.Stop() // time spent writing to a slow caller does not count as a stall
	defer a.stallTimer.Reset(a.job.stallTime)
	a.assignment.recordProgress(p.Tokens)
	if a.job.resumable {
		a.job.prior = append(a.job.prior, p.Data...)
	}
	if err := a.job.retry.PieceReceived(); err != nil {
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

// hasPassed reports whether a crash suspect may from now on run next to other
// requests.
func (a *attempt) hasPassed(p bamboostep.Answer) bool {
	v := a.job.verdict
	return v.Alone && !v.ToEnd && a.job.resumable && !p.Last && a.tokens >= probeTokens
}

// recordFirstPiece updates metrics, demand and the deadline when the first piece
// of the attempt arrives.
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

// finishAttempt closes the attempt to further pieces and returns its result.
func (a *attempt) finishAttempt(ctx context.Context, err error) attemptResult {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	if err == nil {
		err = a.job.retry.Complete()
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
	var failed *bamboostep.AttemptError
	if errors.As(err, &failed) {
		f = failed.Failure
	}
	if errors.Is(context.Cause(ctx), errStalled) {
		f.Code = "stalled"
	}
	f.Attempt = a.id
	return f
}

// attemptID returns the ID of the nth attempt of a request.
func attemptID(id bamboostep.RequestID, n int) bamboostep.AttemptID {
	return bamboostep.AttemptID(fmt.Sprintf("%s.%d", id, n))
}
