package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file runs the attempts of one request. The decisions are those of
// dispatch.Course and dispatch.Suspects; the code here chooses, offers and passes
// the answer on.

// job is a request on its way through its attempts.
type job struct {
	request     bamboostep.Request
	place       string
	model       string           // that must be resident; empty for a service
	adapterLoad bamboostep.Order // how to load the adapter
	work        float64          // expected work, tokens
	startTarget time.Duration    // target for the first piece of the answer
	answerTime  time.Duration    // limit of the whole answer once it has begun
	stallTime   time.Duration    // limit between two pieces
	retry       dispatch.Course
	verdict     dispatch.Verdict
	resumable   bool           // an answer that broke off is continued elsewhere
	prior       []byte         // answer text that came so far
	kv          *bamboostep.KV // of the attempt that was handed over last, or nil
	retryRounds int            // times that every backend server had been tried
}

// run makes attempts until one has brought the whole answer through yield, or
// returns the final refusal.
func (x *exchange) runAttempts(ctx context.Context, j *job, yield func(bamboostep.Answer) error) *bamboostep.RefusedError {
	for {
		if refused := x.checkSuspect(j); refused != nil {
			return refused
		}
		asg, refused := x.assign(ctx, j)
		if refused != nil {
			return refused
		}
		result := x.runAttempt(ctx, j, asg, yield)
		if result.complete {
			x.Suspects.Completed(j.request.Fingerprint)
			return nil
		}
		if refused := x.prepareRetry(ctx, j, asg, result); refused != nil {
			return refused
		}
	}
}

// judge refuses a request that crashes backend servers.
func (x *exchange) checkSuspect(j *job) *bamboostep.RefusedError {
	j.verdict = x.Suspects.Judge(x.Clock.Now(), j.request.Fingerprint)
	if !j.verdict.Refused {
		return nil
	}
	return j.retry.GiveUp(http.StatusServiceUnavailable, "crashes_backend_servers", j.verdict.RetryAfter,
		"backend servers crashed while they ran this request")
}

// assign chooses a backend server for the next attempt.
func (x *exchange) assign(ctx context.Context, j *job) (*assignment, *bamboostep.RefusedError) {
	asg := x.chooseOrWait(ctx, j)
	switch {
	case asg == nil && ctx.Err() != nil:
		return nil, callerGoneRefusal(j)
	case asg == nil && j.retry.Full():
		return nil, j.retry.GiveUpFull()
	case asg == nil:
		return nil, j.retry.GiveUp(http.StatusServiceUnavailable, "no_backend_server", noServerRetryAfter,
			fmt.Sprintf("no backend server of place %q can take the request", j.place))
	}
	return x.admit(ctx, j, asg)
}

const noServerRetryAfter = 3 * time.Second

// next decides what follows an attempt that did not bring the whole answer.
func (x *exchange) prepareRetry(ctx context.Context, j *job, asg *assignment, result attemptResult) *bamboostep.RefusedError {
	if result.passed {
		x.Suspects.Passed(j.request.Fingerprint)
		x.recordEvent(timeline.Event{Kind: "suspect_passed", Attempt: result.failure.Attempt, VM: asg.vm})
		if err := j.retry.Moved(); err != nil {
			return j.retry.GiveUp(http.StatusInternalServerError, "internal", 0, err.Error())
		}
		return nil
	}
	if result.failure.Outcome != bamboostep.NotRun {
		j.kv = result.failure.KV
	}
	if result.failure.Crashed {
		x.recordCrash(j, asg, result.failure)
	}
	if refused := j.retry.Failed(x.Clock.Now(), asg.vm, result.failure); refused != nil {
		return refused
	}
	if ctx.Err() != nil {
		return callerGoneRefusal(j)
	}
	x.metrics.retries.Inc()
	x.recordEvent(timeline.Event{Kind: "retry", Attempt: result.failure.Attempt, VM: asg.vm, Detail: result.failure.Code})
	return nil
}

// statusCallerGone is counted for requests whose caller is gone; nobody reads it.
const statusCallerGone = 499

func callerGoneRefusal(j *job) *bamboostep.RefusedError {
	return j.retry.GiveUp(statusCallerGone, "caller_gone", 0, "the caller closed its connection")
}

// noteCrash suspects a request whose backend server crashed while it ran.
func (x *exchange) recordCrash(j *job, asg *assignment, f bamboostep.Failure) {
	suspect := bamboostep.Suspect{Fingerprint: j.request.Fingerprint, Attempt: f.Attempt, VM: asg.vm}
	suspect, refused := x.Suspects.Crashed(x.Clock.Now(), suspect, asg.assignedAt, j.verdict.Alone)
	x.recordEvent(timeline.Event{Kind: "crash_suspected", Attempt: f.Attempt, VM: asg.vm, Detail: fmt.Sprintf("crashes %d", suspect.Crashes)})
	if refused && x.ShareSuspects != nil {
		x.ShareSuspects([]bamboostep.Suspect{suspect})
	}
}
