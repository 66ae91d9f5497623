package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file runs the attempts of one request. The decisions are those of
// dispatch.Course; the code here chooses, offers and passes the answer on.

// job is a request on its way through its attempts.
type job struct {
	request     bamboostep.Request
	place       string
	model       string           // that must be resident; empty for a service
	load        bamboostep.Order // how to load the adapter
	work        float64          // expected work, tokens
	startTarget time.Duration    // target for the first piece of the answer
	course      dispatch.Course
	suspect     bool
	resumable   bool   // an answer that broke off is continued elsewhere
	prior       []byte // answer text that came so far
}

// run makes attempts until one has brought the whole answer through yield, or
// returns the final refusal.
func (x *exchange) run(ctx context.Context, j *job, yield func(bamboostep.Answer) error) *bamboostep.RefusedError {
	ctx, cancel := context.WithDeadline(ctx, j.course.Deadline)
	defer cancel()
	for {
		p, refused := x.place(ctx, j)
		if refused != nil {
			return refused
		}
		failure := x.attempt(ctx, j, p, yield)
		if failure == nil {
			return nil
		}
		if refused := j.course.Failed(x.Clock.Now(), p.vm, *failure); refused != nil {
			return refused
		}
		x.metrics.retries.Inc()
		x.note(timeline.Event{Kind: "retry", Attempt: failure.Attempt, VM: p.vm, Detail: failure.Code})
	}
}

// place chooses a backend server for the next attempt.
func (x *exchange) place(ctx context.Context, j *job) (*slot, *bamboostep.RefusedError) {
	wait := x.Clock.Now().Add(x.Limits.NoServerWait)
	if wait.After(j.course.Deadline) {
		wait = j.course.Deadline
	}
	p := x.chooseWithin(ctx, j, wait)
	if p == nil {
		return nil, j.course.GiveUp(http.StatusServiceUnavailable, "no_backend_server", noServerRetryAfter,
			fmt.Sprintf("no backend server of place %q can take the request", j.place))
	}
	return p, nil
}

const noServerRetryAfter = 3 * time.Second

// attempt makes one attempt and returns how it failed, or nil.
func (x *exchange) attempt(ctx context.Context, j *job, p *slot, yield func(bamboostep.Answer) error) *bamboostep.Failure {
	defer p.leave()
	n, err := j.course.Offered()
	if err != nil {
		return &bamboostep.Failure{Outcome: bamboostep.NotRun, Code: "internal", Message: err.Error()}
	}
	offer := bamboostep.Offer{Attempt: attemptID(x.id, n), Request: j.request, Prior: j.prior, Alone: j.suspect}
	if !p.resident {
		offer.Load = j.load
	}
	x.note(timeline.Event{Kind: "offer_sent", Attempt: offer.Attempt, VM: p.vm})
	began := x.Clock.Now()
	first := true
	err = p.server.Offer(ctx, offer, j.course.Deadline.Sub(began), func(a bamboostep.Answer) error {
		if first {
			first = false
			x.noteFirst(j, offer.Attempt, p.vm)
		}
		p.progress(a.Tokens)
		if j.resumable {
			j.prior = append(j.prior, a.Data...)
		}
		if err := j.course.Piece(); err != nil {
			return err
		}
		return yield(a)
	})
	if err == nil {
		return x.whole(j, offer.Attempt, p.vm)
	}
	return x.failed(err, offer.Attempt, p.vm)
}

func (x *exchange) noteFirst(j *job, attempt bamboostep.AttemptID, vm string) {
	x.metrics.firstPiece.WithLabelValues(string(x.class)).Observe(x.Clock.Now().Sub(x.started).Seconds())
	x.note(timeline.Event{Kind: "first_token", Attempt: attempt, VM: vm})
	if x.Clock.Now().Sub(x.started) > j.startTarget {
		x.demand.missed(x.target, x.Clock.Now())
	}
}

func (x *exchange) whole(j *job, attempt bamboostep.AttemptID, vm string) *bamboostep.Failure {
	if err := j.course.Whole(); err != nil {
		return &bamboostep.Failure{Attempt: attempt, Outcome: bamboostep.Unknown, Code: "empty_answer", Message: err.Error()}
	}
	x.note(timeline.Event{Kind: "answered", Attempt: attempt, VM: vm})
	return nil
}

func (x *exchange) failed(err error, attempt bamboostep.AttemptID, vm string) *bamboostep.Failure {
	f := &bamboostep.Failure{Outcome: bamboostep.Unknown, Code: "attempt_failed", Message: err.Error()}
	var failed *bamboostep.FailedError
	if errors.As(err, &failed) {
		*f = failed.Failure
	}
	f.Attempt = attempt
	x.note(timeline.Event{Kind: "failed", Attempt: attempt, VM: vm, Detail: f.Code + " " + string(f.Outcome)})
	return f
}

// attemptID names the nth attempt of a request.
func attemptID(id bamboostep.RequestID, n int) bamboostep.AttemptID {
	return bamboostep.AttemptID(fmt.Sprintf("%s.%d", id, n))
}
