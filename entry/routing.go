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
func (c *callerHandler) choose(j *job) *assignment {
	now := c.Clock.Now()
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	h := c.candidates(j, now, false)
	if len(h.states) == 0 {
		h = c.candidates(j, now, true)
	}
	return c.pickAndAssign(j, now, h)
}

// enterPick picks one of the candidates and enters the attempt in its lane.
func (c *callerHandler) pickAndAssign(j *job, now time.Time, h *holders) *assignment {
	i, ok := c.pick(j, now, h.candidates)
	if !ok {
		return nil
	}
	return c.servers.assign(h.states[i], &h.candidates[i], j, now)
}

// chooseElsewhere is choose among the backend servers of other regions alone.
func (c *callerHandler) chooseInOtherRegion(j *job) *assignment {
	now := c.Clock.Now()
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	return c.pickAndAssign(j, now, c.candidates(j, now, true))
}

func (c *callerHandler) pick(j *job, now time.Time, candidates []bamboostep.Candidate) (int, bool) {
	if j.verdict.Alone {
		return dispatch.PickSuspect(j.place, candidates)
	}
	return c.Router.Pick(now, j.request, candidates, c.Seed+c.pickCount.Add(1))
}

// gather returns the candidates for j that it has not tried, of the own region or
// elsewhere. They stay as they are until the next call.
func (c *callerHandler) candidates(j *job, now time.Time, otherRegion bool) *holders {
	h := c.refreshedView(j.place, now).holdersOf(j.model, otherRegion)
	c.servers.prefixIndex.Match(j.request.Prefix)
	h.update(j, now)
	if !j.retry.TriedAny() {
		return h
	}
	untried := &c.servers.untried
	untried.states = untried.states[:0]
	untried.candidates = untried.candidates[:0]
	for i, state := range h.states {
		if !j.retry.Tried(state.vm.Name) {
			untried.add(state, h.candidates[i])
		}
	}
	return untried
}

// slot is the place of one attempt in a lane.
type assignment struct {
	table         *serverTable
	state         *serverState
	server        backendServer
	vm            string
	resident      bool      // the adapter is there
	queuedTokens  float64   // estimated work before the attempt, tokens
	assignedAt    time.Time // when it was entered
	remainingWork float64   // remaining work of the attempt, tokens
	suspect       bool
}

// enter makes the slot of an attempt of j at the candidate.
func (l *serverTable) assign(state *serverState, candidate *bamboostep.Candidate, j *job, now time.Time) *assignment {
	asg := &assignment{table: l, state: state, server: state.server, vm: candidate.VM, resident: candidate.Resident,
		queuedTokens: dispatch.QueueTokens(candidate), assignedAt: now, remainingWork: j.work, suspect: j.verdict.Alone}
	state.inFlight++
	state.inFlightWork += j.work
	state.cache.Add(j.request.Prefix)
	if asg.suspect {
		state.inFlightSuspects++
	}
	return asg
}

// progress takes generated tokens off the remaining work.
func (asg *assignment) recordProgress(tokens int) {
	asg.table.mu.Lock()
	defer asg.table.mu.Unlock()
	done := min(float64(tokens), asg.remainingWork)
	asg.remainingWork -= done
	asg.state.inFlightWork -= done
}

// leave takes the attempt out of its lane.
func (asg *assignment) release() {
	asg.table.mu.Lock()
	defer asg.table.mu.Unlock()
	asg.state.inFlight--
	asg.state.inFlightWork = max(asg.state.inFlightWork-asg.remainingWork, 0)
	if asg.suspect {
		asg.state.inFlightSuspects--
	}
}

const (
	minRetryPause = 10 * time.Millisecond // before all backend servers are tried again
	maxRetryPause = 200 * time.Millisecond

	modelRestoreTime = 15 * time.Second // in which the only copy of a model, once lost, is back
)

// chooseWithin waits a while for a backend server. It returns nil when none came up
// or all queues are full.
func (c *callerHandler) chooseOrWait(ctx context.Context, j *job) *assignment {
	for {
		if asg := c.choose(j); asg != nil {
			return asg
		}
		now := c.Clock.Now()
		searching := c.searchRegions(j) && now.Before(j.retry.Deadline)
		if !searching && (j.retry.Full() || !now.Before(c.waitDeadline(j, now))) {
			return nil
		}
		if !searching || !j.retry.Full() {
			j.retry.Forget()
		}
		pause := min(minRetryPause<<min(j.retryRounds, 8), maxRetryPause)
		j.retryRounds++
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// seeker is an optional capability of a fleet: it looks for backend servers in other
// regions.
type regionSearcher interface {
	// Seek asks for backend servers that hold a model, or for those of a place if the
	// model is "", and reports whether more may come up soon.
	SearchRegions(place, model string) bool
}

// seek looks for backend servers in other regions, and reports whether waiting for
// them makes sense.
func (c *callerHandler) searchRegions(j *job) bool {
	s, ok := c.Fleet.(regionSearcher)
	return ok && s.SearchRegions(j.place, j.model)
}

// waitEnd returns until when j may wait for a backend server. The wait counts from
// when the last one went, so in a long outage requests are refused at once. An
// answer that has begun cannot be refused any more, and waits for a lost model to be
// loaded again.
func (c *callerHandler) waitDeadline(j *job, now time.Time) time.Time {
	c.servers.mu.Lock()
	defer c.servers.mu.Unlock()
	v := c.refreshedView(j.place, now)
	if len(v.holdersOf(j.model, false).states)+len(v.holdersOf(j.model, true).states) > 0 {
		return j.retry.Deadline
	}
	since, known := v.missingSince[j.model]
	if !known {
		since = now
		v.missingSince[j.model] = now
	}
	if len(j.prior) > 0 {
		return since.Add(modelRestoreTime)
	}
	return since.Add(c.Limits.NoServerWait)
}
