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

// This file runs the attempts of one request. dispatch.RequestState decides on retries
// and dispatch.CrashSuspects on requests that crash backend servers; this code selects
// a backend server, sends the attempt and passes the answer on.

// job is a request and the state of its attempts.
type job struct {
	request     bamboostep.Request
	place       string
	model       string           // model that must be resident; empty for a service
	adapterLoad bamboostep.Order // order to load the adapter where it is missing
	work        float64          // expected work in tokens
	startTarget time.Duration    // target for the first piece of the answer
	answerTime  time.Duration    // limit for the complete answer, once it has begun
	stallTime   time.Duration    // limit between two pieces
	retry       dispatch.RequestState
	verdict     dispatch.SuspectVerdict
	resumable   bool           // an interrupted answer can be continued by another backend server
	prior       []byte         // answer received so far
	kv          *bamboostep.KV // KV cache handed over by the last attempt that ran, or nil
	retryRounds int            // times that no backend server could be chosen, for the backoff
}

// runAttempts makes attempts until one completes the answer. Pieces of the answer
// are passed to yield. It returns the refusal if the request is given up.
func (x *exchange) runAttempts(ctx context.Context, j *job, yield func(bamboostep.Answer) error) *bamboostep.RequestError {
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

// checkSuspect refuses a request that is known to crash backend servers.
func (x *exchange) checkSuspect(j *job) *bamboostep.RequestError {
	j.verdict = x.Suspects.VerdictFor(x.Clock.Now(), j.request.Fingerprint)
	if !j.verdict.Refused {
		return nil
	}
	return j.retry.GiveUp(http.StatusServiceUnavailable, "crashes_backend_servers", j.verdict.RetryAfter,
		"backend servers crashed while they ran this request")
}

// assign chooses a backend server for the next attempt and checks admission.
func (x *exchange) assign(ctx context.Context, j *job) (*assignment, *bamboostep.RequestError) {
	asg := x.chooseOrWait(ctx, j)
	switch {
	case asg == nil && ctx.Err() != nil:
		return nil, callerGoneRefusal(j)
	case asg == nil && j.retry.QueueWasFull():
		return nil, j.retry.GiveUpFull()
	case asg == nil:
		return nil, j.retry.GiveUp(http.StatusServiceUnavailable, "no_backend_server", noServerRetryAfter,
			fmt.Sprintf("no backend server of place %q can take the request", j.place))
	}
	return x.admit(ctx, j, asg)
}

const noServerRetryAfter = 3 * time.Second

// prepareRetry handles an attempt that did not complete the answer. It returns nil
// if another attempt may follow.
func (x *exchange) prepareRetry(ctx context.Context, j *job, asg *assignment, result attemptResult) *bamboostep.RequestError {
	if result.passed {
		x.Suspects.Passed(j.request.Fingerprint)
		x.recordEvent(timeline.Event{Kind: "suspect_passed", Attempt: result.failure.Attempt, VM: asg.vm})
		if err := j.retry.AttemptMoved(); err != nil {
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
	if refused := j.retry.AttemptFailed(x.Clock.Now(), asg.vm, result.failure); refused != nil {
		return refused
	}
	if ctx.Err() != nil {
		return callerGoneRefusal(j)
	}
	x.metrics.retries.Inc()
	x.recordEvent(timeline.Event{Kind: "retry", Attempt: result.failure.Attempt, VM: asg.vm, Detail: result.failure.Code})
	return nil
}

// statusCallerGone is used in metrics for requests whose caller disconnected. It
// is never received by anyone.
const statusCallerGone = 499

func callerGoneRefusal(j *job) *bamboostep.RequestError {
	return j.retry.GiveUp(statusCallerGone, "caller_gone", 0, "the caller closed its connection")
}

// recordCrash marks a request as a suspect because its backend server crashed
// while running it.
func (x *exchange) recordCrash(j *job, asg *assignment, f bamboostep.Failure) {
	suspect := bamboostep.Suspect{Fingerprint: j.request.Fingerprint, Attempt: f.Attempt, VM: asg.vm}
	suspect, refused := x.Suspects.Crashed(x.Clock.Now(), suspect, asg.assignedAt, j.verdict.Alone)
	x.recordEvent(timeline.Event{Kind: "crash_suspected", Attempt: f.Attempt, VM: asg.vm, Detail: fmt.Sprintf("crashes %d", suspect.Crashes)})
	if refused && x.ShareSuspects != nil {
		x.ShareSuspects([]bamboostep.Suspect{suspect})
	}
}
