package main

import (
	"context"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// This file chooses a backend server for an attempt: among those of the own region
// that hold the model, or else among those of other regions. Where there is none it
// waits a short while for one to come up, and has other regions searched.

// choose picks a backend server for the next attempt of j and enters the attempt
// in its lane. It returns nil when there is none now.
func (c *callers) choose(j *job) *slot {
	now := c.Clock.Now()
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	h := c.gather(j, now, false)
	if len(h.lanes) == 0 {
		h = c.gather(j, now, true)
	}
	return c.enterPick(j, now, h)
}

// enterPick picks one of the candidates and enters the attempt in its lane.
func (c *callers) enterPick(j *job, now time.Time, h *holders) *slot {
	i, ok := c.pick(j, now, h.candidates)
	if !ok {
		return nil
	}
	return c.lanes.enter(h.lanes[i], &h.candidates[i], j, now)
}

// chooseElsewhere is choose among the backend servers of other regions alone.
func (c *callers) chooseElsewhere(j *job) *slot {
	now := c.Clock.Now()
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	return c.enterPick(j, now, c.gather(j, now, true))
}

func (c *callers) pick(j *job, now time.Time, candidates []bamboostep.Candidate) (int, bool) {
	if j.verdict.Alone {
		return dispatch.PickSuspect(j.place, candidates)
	}
	return c.Router.Pick(now, j.request, candidates, c.Seed+c.picks.Add(1))
}

// gather returns the candidates for j that it has not tried, of the own region or
// elsewhere. They stay as they are until the next call.
func (c *callers) gather(j *job, now time.Time, elsewhere bool) *holders {
	h := c.view(j.place, now).holding(j.model, elsewhere)
	c.lanes.prefixes.Match(j.request.Prefix)
	h.update(j, now)
	if !j.course.TriedAny() {
		return h
	}
	u := &c.lanes.untried
	u.lanes = u.lanes[:0]
	u.candidates = u.candidates[:0]
	for i, n := range h.lanes {
		if !j.course.Tried(n.vm.Name) {
			u.add(n, h.candidates[i])
		}
	}
	return u
}

// slot is the place of one attempt in a lane.
type slot struct {
	lanes    *lanes
	lane     *lane
	server   server
	vm       string
	resident bool      // the adapter is there
	queue    float64   // estimated work before the attempt, tokens
	offered  time.Time // when it was entered
	left     float64   // remaining work of the attempt, tokens
	suspect  bool
}

// enter makes the slot of an attempt of j at the candidate.
func (l *lanes) enter(n *lane, at *bamboostep.Candidate, j *job, now time.Time) *slot {
	p := &slot{lanes: l, lane: n, server: n.server, vm: at.VM, resident: at.Resident,
		queue: dispatch.QueueTokens(at), offered: now, left: j.work, suspect: j.verdict.Alone}
	n.inFlight++
	n.work += j.work
	n.cache.Add(j.request.Prefix)
	if p.suspect {
		n.suspects++
	}
	return p
}

// progress takes generated tokens off the remaining work.
func (p *slot) progress(tokens int) {
	p.lanes.mu.Lock()
	defer p.lanes.mu.Unlock()
	done := min(float64(tokens), p.left)
	p.left -= done
	p.lane.work -= done
}

// leave takes the attempt out of its lane.
func (p *slot) leave() {
	p.lanes.mu.Lock()
	defer p.lanes.mu.Unlock()
	p.lane.inFlight--
	p.lane.work = max(p.lane.work-p.left, 0)
	if p.suspect {
		p.lane.suspects--
	}
}

const (
	leastPause = 10 * time.Millisecond // before all backend servers are tried again
	mostPause  = 200 * time.Millisecond

	restoreTime = 15 * time.Second // in which the only copy of a model, once lost, is back
)

// chooseWithin waits a while for a backend server. It returns nil when none came up
// or all queues are full.
func (c *callers) chooseWithin(ctx context.Context, j *job) *slot {
	for {
		if p := c.choose(j); p != nil {
			return p
		}
		now := c.Clock.Now()
		searching := c.seek(j) && now.Before(j.course.Deadline)
		if !searching && (j.course.Full() || !now.Before(c.waitEnd(j, now))) {
			return nil
		}
		if !searching || !j.course.Full() {
			j.course.Forget()
		}
		pause := min(leastPause<<min(j.rounds, 8), mostPause)
		j.rounds++
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// seeker is an optional capability of a fleet: it looks for backend servers in other
// regions.
type seeker interface {
	// Seek asks for backend servers that hold a model, or for those of a place if the
	// model is "", and reports whether more may come up soon.
	Seek(place, model string) bool
}

// seek looks for backend servers in other regions, and reports whether waiting for
// them makes sense.
func (c *callers) seek(j *job) bool {
	s, ok := c.Fleet.(seeker)
	return ok && s.Seek(j.place, j.model)
}

// waitEnd returns until when j may wait for a backend server. The wait counts from
// when the last one went, so in a long outage requests are refused at once. An
// answer that has begun cannot be refused any more, and waits for a lost model to be
// loaded again.
func (c *callers) waitEnd(j *job, now time.Time) time.Time {
	c.lanes.mu.Lock()
	defer c.lanes.mu.Unlock()
	v := c.view(j.place, now)
	if len(v.holding(j.model, false).lanes)+len(v.holding(j.model, true).lanes) > 0 {
		return j.course.Deadline
	}
	since, known := v.missing[j.model]
	if !known {
		since = now
		v.missing[j.model] = now
	}
	if len(j.prior) > 0 {
		return since.Add(restoreTime)
	}
	return since.Add(c.Limits.NoServerWait)
}
