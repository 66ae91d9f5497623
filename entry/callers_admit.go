package main

import (
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
func (x *exchange) received(j *job) {
	now := x.Clock.Now()
	x.budget.Request(now)
	x.demand.asked(x.target, now, j.work)
	x.note(timeline.Event{Kind: "request_received", Detail: string(x.class)})
}

// refuseLate refuses a request whose answer would be too late.
func (x *exchange) refuseLate(j *job, p *slot) *bamboostep.RefusedError {
	if !j.course.Fresh() || p.queue == 0 {
		return nil
	}
	wait, queued, known := x.predictWait(waitKey{j.place, x.class}, p.queue)
	if !known {
		return nil
	}
	after, ok := x.Admission.Admit(x.class, queued, j.startTarget)
	if ok || x.lateRefusals.Add(1)%probeEvery == 0 {
		return nil
	}
	x.demand.missed(x.target, x.Clock.Now())
	return j.course.GiveUp(http.StatusServiceUnavailable, "overloaded", after,
		fmt.Sprintf("the answer would begin in %v, and its target is %v", wait.Round(time.Millisecond), j.startTarget))
}

// waitKey names what requests wait alike for: backend servers start the more
// important classes first.
type waitKey struct {
	place string
	class bamboostep.Class
}

// learnWait notes how long a request waited behind work of so many tokens.
func (c *callers) learnWait(key waitKey, tokens float64, wait time.Duration) {
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	if c.lanes.waits == nil {
		c.lanes.waits = make(map[waitKey]*dispatch.Wait)
	}
	w := c.lanes.waits[key]
	if w == nil {
		w = &dispatch.Wait{}
		c.lanes.waits[key] = w
	}
	w.Observe(tokens, wait)
}

func (c *callers) predictWait(key waitKey, tokens float64) (wait, queued time.Duration, known bool) {
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	w := c.lanes.waits[key]
	if w == nil {
		return 0, 0, false
	}
	return w.Predict(tokens)
}
