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

// This file admits requests. A request is refused before its first offer when the
// backend server chosen for it would answer too late; the refusal says when to
// come back.
//
// What is refused teaches nothing, so a prediction that was true once could stand
// for ever. Every probeEvery-th refusal is therefore not made, and a request that
// finds no queue at all is never refused.

const probeEvery = 16

// received counts a request for a declared target.
func (x *exchange) recordReceived(j *job) {
	now := x.Clock.Now()
	x.retryBudget.Request(now)
	x.demand.recordRequest(x.target, now, j.work)
	x.recordEvent(timeline.Event{Kind: "request_received", Detail: string(x.class)})
}

// admit returns a place whose answer is not too late: p, or else one in another
// region. It leaves p otherwise, and refuses the request if there is none.
func (x *exchange) admit(ctx context.Context, j *job, asg *assignment) (*assignment, *bamboostep.RefusedError) {
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

// inTimeElsewhere looks for a place in another region whose answer is not too late.
// It waits for a search there to end while the answer can still be in time, and
// returns nil if there is none.
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

// predictLate says how long a request at a place would wait, when to come back, and
// whether that is too late.
func (x *exchange) predictLate(j *job, asg *assignment) (wait, retryAfter time.Duration, late bool) {
	if !j.retry.Fresh() || asg.queuedTokens == 0 {
		return 0, 0, false
	}
	wait, queued, known := x.predictWait(waitKey{j.place, x.class}, asg.queuedTokens)
	if !known {
		return 0, 0, false
	}
	retryAfter, ok := x.Admission.Admit(x.class, queued, j.startTarget)
	return wait, retryAfter, !ok
}

// refuseLate refuses a request whose answer would be too late.
func (x *exchange) refuseLate(j *job, asg *assignment) *bamboostep.RefusedError {
	wait, retryAfter, late := x.predictLate(j, asg)
	if !late || x.lateRefusalCount.Add(1)%probeEvery == 0 {
		return nil
	}
	x.demand.recordLate(x.target, x.Clock.Now())
	return j.retry.GiveUp(http.StatusServiceUnavailable, "overloaded", retryAfter,
		fmt.Sprintf("the answer would begin in %v, and its target is %v", wait.Round(time.Millisecond), j.startTarget))
}

// waitKey names what requests wait alike for: backend servers start the more
// important classes first.
type waitKey struct {
	place string
	class bamboostep.Class
}

// learnWait notes how long a request waited behind work of so many tokens.
func (c *callerHandler) observeWait(key waitKey, tokens float64, wait time.Duration) {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	if c.servers.waitPredictors == nil {
		c.servers.waitPredictors = make(map[waitKey]*dispatch.Wait)
	}
	predictor := c.servers.waitPredictors[key]
	if predictor == nil {
		predictor = &dispatch.Wait{}
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
