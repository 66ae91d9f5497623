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

// This file sheds load. Before its first attempt, a request is refused if the
// chosen backend server is predicted to answer too late; the refusal states when
// to retry.
//
// Refused requests yield no measurements, so an outdated prediction would never be
// corrected. Therefore every probeEvery-th late request is admitted, and a request
// that finds an empty queue is never refused.

const probeEvery = 16

// recordReceived counts a request for a declared target.
func (x *exchange) recordReceived(j *job) {
	now := x.Clock.Now()
	x.retryBudget.AddRequest(now)
	x.demand.recordRequest(x.target, now, j.work)
	x.recordEvent(timeline.Event{Kind: "request_received", Detail: string(x.class)})
}

// admit returns asg if its answer is predicted to be in time, or else an
// assignment in another region that is. If there is neither, it refuses the
// request, or returns asg if the request is admitted as a probe. Assignments that
// are not returned are released.
func (x *exchange) admit(ctx context.Context, j *job, asg *assignment) (*assignment, *bamboostep.RequestError) {
	_, _, late := x.predictLate(j, asg)
	if !late {
		return asg, nil
	}
	if other := x.chooseOnTimeInOtherRegion(ctx, j); other != nil {
		asg.release()
		return other, nil
	}
	if refused := x.refuseLate(j, asg); refused != nil {
		asg.release()
		return nil, refused
	}
	return asg, nil
}

// chooseOnTimeInOtherRegion returns an assignment in another region that is
// predicted to be in time, or nil. While other regions are being searched, it
// blocks as long as an answer could still be in time.
func (x *exchange) chooseOnTimeInOtherRegion(ctx context.Context, j *job) *assignment {
	onTimeUntil := x.started.Add(j.startTarget)
	for {
		if asg := x.chooseInOtherRegion(j); asg != nil {
			if _, _, late := x.predictLate(j, asg); !late {
				return asg
			}
			asg.release()
		}
		if !x.searchRegions(j) || !x.Clock.Now().Before(onTimeUntil) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minRetryPause):
		}
	}
}

// predictLate returns the predicted wait for an assignment, after what time to
// retry, and whether that wait is too long. Only first attempts that would be
// queued can be late.
func (x *exchange) predictLate(j *job, asg *assignment) (wait, retryAfter time.Duration, late bool) {
	if !j.retry.NoAttemptYet() || asg.queuedTokens == 0 {
		return 0, 0, false
	}
	wait, queued, known := x.predictWait(waitKey{j.place, x.class}, asg.queuedTokens)
	if !known {
		return 0, 0, false
	}
	retryAfter, ok := x.Admission.Admit(x.class, queued, j.startTarget)
	return wait, retryAfter, !ok
}

// refuseLate refuses a request that is predicted to be late, unless it is admitted
// as a probe.
func (x *exchange) refuseLate(j *job, asg *assignment) *bamboostep.RequestError {
	wait, retryAfter, late := x.predictLate(j, asg)
	if !late || x.lateRequestCount.Add(1)%probeEvery == 0 {
		return nil
	}
	x.demand.recordLate(x.target, x.Clock.Now())
	return j.retry.GiveUp(http.StatusServiceUnavailable, "overloaded", retryAfter,
		fmt.Sprintf("the answer would begin in %v, and its target is %v", wait.Round(time.Millisecond), j.startTarget))
}

// waitKey identifies requests with the same distribution of waiting times. Backend
// servers start requests of more important classes first, so classes are kept
// apart.
type waitKey struct {
	place string
	class bamboostep.Class
}

// observeWait records how long a request waited behind the given number of queued
// tokens.
func (c *callerHandler) observeWait(key waitKey, tokens float64, wait time.Duration) {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	if c.servers.waitPredictors == nil {
		c.servers.waitPredictors = make(map[waitKey]*dispatch.WaitPredictor)
	}
	predictor := c.servers.waitPredictors[key]
	if predictor == nil {
		predictor = &dispatch.WaitPredictor{}
		c.servers.waitPredictors[key] = predictor
	}
	predictor.Observe(tokens, wait)
}

func (c *callerHandler) predictWait(key waitKey, tokens float64) (wait, queued time.Duration, known bool) {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	predictor := c.servers.waitPredictors[key]
	if predictor == nil {
		return 0, 0, false
	}
	return predictor.Predict(tokens)
}
