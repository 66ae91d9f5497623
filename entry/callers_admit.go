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

// runAdmitted counts a request for a declared target and runs it.
func (x *exchange) runAdmitted(ctx context.Context, j *job, yield func(bamboostep.Answer) error) *bamboostep.RefusedError {
	now := x.Clock.Now()
	x.budget.Request(now)
	x.demand.asked(x.target, now, j.work)
	x.note(timeline.Event{Kind: "request_received", Detail: string(x.class)})
	return x.run(ctx, j, yield)
}

// refuseLate refuses a request whose answer would be too late.
func (x *exchange) refuseLate(j *job, p *slot) *bamboostep.RefusedError {
	if !j.course.Fresh() {
		return nil
	}
	wait, queued, known := x.predictWait(j.place, p.queue)
	if !known {
		return nil
	}
	after, ok := x.Admission.Admit(x.class, queued, j.startTarget)
	if ok {
		return nil
	}
	x.demand.missed(x.target, x.Clock.Now())
	return j.course.GiveUp(http.StatusServiceUnavailable, "overloaded", after,
		fmt.Sprintf("the answer would begin in %v, and its target is %v", wait.Round(time.Millisecond), j.startTarget))
}

// learnWait notes how long a request waited at a place.
func (c *callers) learnWait(place string, tokens float64, wait time.Duration) {
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	if c.lanes.waits == nil {
		c.lanes.waits = make(map[string]*dispatch.Wait)
	}
	w := c.lanes.waits[place]
	if w == nil {
		w = &dispatch.Wait{}
		c.lanes.waits[place] = w
	}
	w.Observe(tokens, wait)
}

func (c *callers) predictWait(place string, tokens float64) (wait, queued time.Duration, known bool) {
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	w := c.lanes.waits[place]
	if w == nil {
		return 0, 0, false
	}
	return w.Predict(tokens)
}
