package fleet

import "time"

// Pacing. A prompt that is sent to an engine with a backlog waits there, where it can no longer go
// elsewhere and lengthens the pauses of the streams. Where its caller loses nothing by it, an entry
// therefore holds it back until some engine is about to run out of prompts. It is held only
// while every candidate has a backlog, by a fresh report: what is not known holds nothing.

// roomAhead is the work left at an engine at which it is sent the next prompt, so that it does not run out of work
// before the entry hears from it again.
const roomAhead = 150 * time.Millisecond

// pacing is what the candidates say about a request that may wait.
type pacing struct {
	room  time.Duration // until the first of them begins it
	taken bool          // half of their places are taken, or prompts wait at all of them
}

// pacingOf returns when one of the candidates begins a request, given the
// estimate of the best of them.
func (f *Fleet) pacingOf(now time.Time, req Requirements, candidates []*server, best estimate) pacing {
	p := pacing{room: max(0, best.wait-f.prefill(now, best))}
	used, places, backlogged := 0, 0, true
	affinity := f.affinityServer(now, candidates, req)
	for _, s := range candidates {
		own := s.ownBacklog()
		e := f.estimate(now, req, s, affinity)
		p.room = min(p.room, max(0, e.wait-f.prefill(now, e)))
		used += max(s.report.Running+s.report.Waiting, own.running+own.waiting)
		if s.listing.Slots > 0 {
			places += s.listing.Slots
		} else {
			places += req.DefaultSlots
		}
		backlogged = backlogged && s.pendingPrefills(now) > 0
	}
	p.taken = 2*used >= places || backlogged
	p.room = time.Duration(float64(p.room) * f.shareAhead(req, now))
	return p
}

// prefill returns how long the request's own prompt takes.
func (f *Fleet) prefill(now time.Time, e estimate) time.Duration {
	return prefillTime(f.paceOf(e.server, now), e.uncachedTokens)
}

// holdsBack reports whether a request waits at this entry rather than at the best candidate. It does if that one
// breaks the promise and has prompts to read for longer than roomAhead before it, and if the wait cannot be what
// breaks the promise of the first event.
func (req Requirements) holdsBack(best estimate, p pacing) bool {
	if p.room <= roomAhead || req.keptBy(best) {
		return false
	}
	lost := best.wait > req.Promise.FirstEvent
	return lost || best.wait+roomAhead <= req.Promise.FirstEvent
}

// keptBy reports whether the promise of the request is kept at e. Once its target has passed, it no longer is.
func (req Requirements) keptBy(e estimate) bool {
	return req.Promise.FirstEvent > 0 && e.keepsPromise()
}

// allReported reports whether each candidate has a fresh report.
func allReported(now time.Time, candidates []*server) bool {
	for _, s := range candidates {
		if !s.hasFreshReport(now) {
			return false
		}
	}
	return true
}

// priorityRates is the prompt tokens that an entry sends to a service, by priority.
type priorityRates map[int]*sentRate

// recordPriority adds uncached prompt tokens that this entry sends.
func (f *Fleet) recordPriority(req Requirements, tokens int, now time.Time) {
	rates := f.prioritySent[req.Service]
	if rates == nil {
		rates = make(priorityRates)
		f.prioritySent[req.Service] = rates
	}
	r := rates[req.Priority]
	if r == nil {
		r = &sentRate{}
		rates[req.Priority] = r
	}
	r.add(tokens, now)
}

// shareAhead returns the share of a backlog that engines run before a request: what has its priority or
// a higher one. The other entries' mix of priorities is taken to be like this one's.
func (f *Fleet) shareAhead(req Requirements, now time.Time) float64 {
	all, ahead := 0.0, 0.0
	for priority, r := range f.prioritySent[req.Service] {
		tokens := r.value(now)
		all += tokens
		if priority <= req.Priority {
			ahead += tokens
		}
	}
	if all == 0 {
		return 1
	}
	return ahead / all
}
