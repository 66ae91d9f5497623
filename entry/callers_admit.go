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
func (x *exchange) received(j *job) {
	now := x.Clock.Now()
	x.budget.Request(now)
	x.demand.asked(x.target, now, j.work)
	x.note(timeline.Event{Kind: "request_received", Detail: string(x.class)})
}

// admit returns a place whose answer is not too late: p, or else one in another
// region. It leaves p otherwise, and refuses the request if there is none.
func (x *exchange) admit(ctx context.Context, j *job, p *slot) (*slot, *bamboostep.RefusedError) {
	_, _, late := x.predictLate(j, p)
	if !late {
		return p, nil
	}
	if far := x.inTimeElsewhere(ctx, j); far != nil {
		p.leave()
		return far, nil
	}
	if refused := x.refuseLate(j, p); refused != nil {
		p.leave()
		return nil, refused
	}
	return p, nil
}

// inTimeElsewhere looks for a place in another region whose answer is not too late.
// It waits for a search there to end while the answer can still be in time, and
// returns nil if there is none.
func (x *exchange) inTimeElsewhere(ctx context.Context, j *job) *slot {
	inTimeUntil := x.started.Add(j.startTarget)
	for {
		if p := x.chooseElsewhere(j); p != nil {
			if _, _, late := x.predictLate(j, p); !late {
				return p
			}
			p.leave()
		}
		if !x.seek(j) || !x.Clock.Now().Before(inTimeUntil) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(leastPause):
		}
	}
}

// predictLate says how long a request at a place would wait, when to come back, and
// whether that is too late.
func (x *exchange) predictLate(j *job, p *slot) (wait, after time.Duration, late bool) {
	if !j.course.Fresh() || p.queue == 0 {
		return 0, 0, false
	}
	wait, queued, known := x.predictWait(waitKey{j.place, x.class}, p.queue)
	if !known {
		return 0, 0, false
	}
	after, ok := x.Admission.Admit(x.class, queued, j.startTarget)
	return wait, after, !ok
}

// refuseLate refuses a request whose answer would be too late.
func (x *exchange) refuseLate(j *job, p *slot) *bamboostep.RefusedError {
	wait, after, late := x.predictLate(j, p)
	if !late || x.lateRefusals.Add(1)%probeEvery == 0 {
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
