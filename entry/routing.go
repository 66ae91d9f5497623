package main

import (
	"context"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
)

// This file chooses a backend server for an attempt. Servers of the own region
// that hold the model are preferred to those of other regions. If there is none,
// the request waits a short while for one, and other regions are searched.

// choose assigns the next attempt of j to a backend server. It returns nil if none
// is available.
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

// pickAndAssign lets the router pick one of the candidates and assigns the attempt
// to it.
func (c *callerHandler) pickAndAssign(j *job, now time.Time, h *holders) *assignment {
	i, ok := c.pick(j, now, h.candidates)
	if !ok {
		return nil
	}
	return c.servers.assign(h.states[i], &h.candidates[i], j, now)
}

// chooseInOtherRegion is like choose, but considers other regions only.
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

// candidates returns the backend servers of the own region or of the other regions
// that hold the model of j and have not failed j. The result is valid until the
// next call.
func (c *callerHandler) candidates(j *job, now time.Time, otherRegion bool) *holders {
	h := c.refreshedView(j.place, now).holdersOf(j.model, otherRegion)
	c.servers.prefixIndex.Match(j.request.Prefix)
	h.update(j, now)
	if !j.retry.AnyAttemptFailed() {
		return h
	}
	untried := &c.servers.untried
	untried.states = untried.states[:0]
	untried.candidates = untried.candidates[:0]
	for i, state := range h.states {
		if !j.retry.FailedOn(state.vm.Name) {
			untried.add(state, h.candidates[i])
		}
	}
	return untried
}

// assignment is an attempt's share in the load of a backend server. It must be
// released.
type assignment struct {
	table         *serverTable
	state         *serverState
	server        backendServer
	vm            string
	resident      bool      // the adapter is already loaded
	queuedTokens  float64   // estimated work queued ahead of the attempt
	assignedAt    time.Time // when the backend server was chosen
	remainingWork float64   // of the attempt, in tokens
	suspect       bool
}

// assign adds an attempt of j to the load of the candidate.
func (t *serverTable) assign(state *serverState, candidate *bamboostep.Candidate, j *job, now time.Time) *assignment {
	asg := &assignment{table: t, state: state, server: state.server, vm: candidate.VM, resident: candidate.Resident,
		queuedTokens: dispatch.QueuedTokens(candidate), assignedAt: now, remainingWork: j.work, suspect: j.verdict.Alone}
	state.inFlight++
	state.inFlightWork += j.work
	state.cache.Add(j.request.Prefix)
	if asg.suspect {
		state.inFlightSuspects++
	}
	return asg
}

// recordProgress subtracts generated tokens from the remaining work.
func (asg *assignment) recordProgress(tokens int) {
	asg.table.mu.Lock()
	defer asg.table.mu.Unlock()
	done := min(float64(tokens), asg.remainingWork)
	asg.remainingWork -= done
	asg.state.inFlightWork -= done
}

// release removes the attempt from the load of its backend server.
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

	modelRestoreTime = 15 * time.Second // within which a model that lost its only copy is loaded again
)

// chooseOrWait is like choose, but waits for a backend server to become available.
// It returns nil if none does in time, if all queues are full or if ctx ends.
func (c *callerHandler) chooseOrWait(ctx context.Context, j *job) *assignment {
	for {
		if asg := c.choose(j); asg != nil {
			return asg
		}
		now := c.Clock.Now()
		searching := c.searchRegions(j) && now.Before(j.retry.Deadline)
		if !searching && (j.retry.QueueWasFull() || !now.Before(c.waitDeadline(j, now))) {
			return nil
		}
		if !searching || !j.retry.QueueWasFull() {
			j.retry.ResetFailedVMs()
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

// regionSearcher is an optional interface of a fleet that can look for backend
// servers in other regions.
type regionSearcher interface {
	// SearchRegions starts a search for backend servers that hold the model, or
	// for all servers of the place if the model is "". It reports whether the
	// search may still find any.
	SearchRegions(place, model string) bool
}

// searchRegions searches other regions for backend servers for j, and reports
// whether it makes sense to wait for the result.
func (c *callerHandler) searchRegions(j *job) bool {
	s, ok := c.Fleet.(regionSearcher)
	return ok && s.SearchRegions(j.place, j.model)
}

// waitDeadline returns until when j may wait for a backend server. The wait counts
// from when the last holder of the model disappeared, so that in a long outage
// requests are refused at once. An answer that has begun can no longer be refused,
// so it waits until a lost model has been loaded again.
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
