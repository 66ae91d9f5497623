package fleet

import (
	"time"

	"github.com/bamboostep/bamboostep/pace"
)

// Estimates of what a request would meet at a backend server: the time until its first event, the pauses of its stream, and the promises
// to other streams that its prompt would break.
//
// An engine prefills prompts one after another between the decode steps of running requests, so the
// dominant terms are the prompt tokens queued ahead of a request and the part of its own
// prompt that is not cached, at the pace of that engine (pace.go). The lowest cost wins: the work before the first event at the
// median pace of the service, and the price of the promises that are likely to be broken.

// Terms of the estimated wait and cost of a request at a backend server.
const (
	crossDomainCost     = 2 * time.Millisecond   // for a server in another failure domain, plus the same per crossDomainBytes
	crossDomainBytes    = 1 << 10                // bytes of the request body
	adapterLoadCost     = 8 * time.Millisecond   // the adapter must be loaded first
	modelLoadCost       = 500 * time.Millisecond // an adapter load must wait for a model load in progress
	failureCost         = 4 * time.Second        // at a failure rate of 1; scales with the rate
	affinityCachedShare = 0.7                    // share of a prompt's shared prefix that its affinity server is assumed to have cached
	meanPartLeft        = 0.5                    // of a prompt that is being prefilled, and of an answer that is being generated
)

// estimate is the expected cost of a request at one backend server.
type estimate struct {
	server         *server
	wait           time.Duration // until the first event
	limitWait      time.Duration // part of wait: until the server's limit allows a request
	pause          time.Duration // longest time between two of its events
	broken         float64       // expected number of promises that are broken; those to streams that run there count little
	breaks         bool          // a promise is broken if all is as expected, its own or one to a stream that runs there
	keptIn         time.Duration // time after which none would be, as far as that depends on what is prefilled there; 0 if none is
	cost           time.Duration // wait plus the penalties for failures, slowed streams and distance
	uncachedTokens int           // prompt tokens that must be prefilled
	adapterReady   bool          // the adapter is loaded, or none is needed
	alone          bool          // nothing else waits or is prefilled there, as far as is known
}

// better reports whether a is to be chosen before b.
func better(a, b estimate) bool { return a.cost < b.cost }

// keepsPromise reports whether all promises are expected to be kept.
func (e estimate) keepsPromise() bool { return !e.breaks }

// breakFor records that a promise is expected to be broken, unless the choice is made later by a time.
func (e *estimate) breakFor(later time.Duration) {
	e.breaks = true
	e.keptIn = max(e.keptIn, later)
}

// estimate computes what a request is expected to meet at s. affinity is the server
// that affinityServer chose for the prompt, or nil.
func (f *Fleet) estimate(now time.Time, req Requirements, s *server, affinity *server) estimate {
	e := estimate{server: s, adapterReady: true}
	e.limitWait = max(0, s.limitedUntil.Sub(now))
	if req.ModelName.Model == "" {
		e.wait = f.plainWait(now, s, req.DefaultSlots) + e.limitWait
		e.cost = e.wait
	} else {
		f.estimateEngine(&e, now, req, affinity)
	}
	if req.Promise.FirstEvent > 0 {
		e.broken += missChance(e.wait, req.Promise.FirstEvent)
		if e.wait > req.Promise.FirstEvent {
			e.breakFor(e.wait - req.Promise.FirstEvent)
		}
	}
	e.cost += time.Duration(s.failureRate(now)*float64(failureCost)) + time.Duration(e.broken*float64(req.Promise.EventGap))
	if s.listing.Domain != f.Domain {
		e.cost += crossDomainCost + crossDomainCost*time.Duration(req.BodyBytes/crossDomainBytes)
	}
	return e
}

// estimateEngine fills in what depends on a model engine.
func (f *Fleet) estimateEngine(e *estimate, now time.Time, req Requirements, affinity *server) {
	s, own := e.server, e.server.ownBacklog()
	p := f.paceOf(s, now)
	u := f.usageOf(s.listing.Service)
	e.uncachedTokens = req.PromptTokens - s.cachedTokens(req.Prompt, s == affinity)
	reported := f.reportedBacklog(now, s, own, e.uncachedTokens)
	backlog := own.tokens + reported + f.unreportedTokens(now, s)
	e.alone = own.waiting == 0 && reported == 0
	e.wait = e.limitWait + prefillTime(p, backlog+e.uncachedTokens) + p.EventGap()
	e.cost = e.limitWait + prefillTime(f.medianPace(s.listing.Service, now), backlog+e.uncachedTokens) + p.EventGap()
	if s.hasFreshReport(now) && s.lacksCapacity(req, own, u) {
		turn := s.turnWait(f.meanAnswerTime(now, req, p), own)
		e.broken++
		e.breakFor(turn)
		e.wait += turn
		e.cost += turn
	}
	if req.ModelName.Adapter != "" && !s.models[req.ModelName.Model].adapters[req.ModelName.Adapter] {
		e.adapterReady = false
		load := adapterLoadCost
		if s.report.Busy {
			load += modelLoadCost
		}
		e.wait += load
		e.cost += load
	}
	f.estimateInterference(e, now, req, p, backlog)
}

// cachedTokens estimates how many prompt tokens are in the server's prefix cache. affinity
// says whether s is the affinity server of the prompt.
func (s *server) cachedTokens(p Prompt, affinity bool) int {
	cached := s.prefixes.cachedTokens(p)
	if !affinity {
		return cached
	}
	return max(cached, int(affinityCachedShare*float64(p.shared.Tokens)))
}

// reportedBacklog estimates the prompt tokens that an engine must still prefill for other entries, by its last report. Each prompt counts
// as the mean of this entry's own, before the first of them as uncached.
func (f *Fleet) reportedBacklog(now time.Time, s *server, own backlog, uncached int) int {
	others := float64(max(0, s.pendingPrefills(now)-own.waiting))
	if others > 0 && s.report.Prefilling > 0 {
		others -= meanPartLeft
	}
	mean := f.usageOf(s.listing.Service).promptTokens
	if mean == 0 {
		mean = float64(uncached)
	}
	return int(others * mean)
}

// hasFreshReport reports whether the last report is recent enough to be used.
func (s *server) hasFreshReport(now time.Time) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) <= reportMaxAge
}

// reportAge returns the age of the last report, or -1 if there is none.
func (s *server) reportAge(now time.Time) time.Duration {
	if s.reportAt.IsZero() {
		return -1
	}
	return now.Sub(s.reportAt)
}

// pendingPrefills returns the number of requests at an engine that are queued or in
// prefill, by its last report; 0 if the report is too old.
func (s *server) pendingPrefills(now time.Time) int {
	if !s.hasFreshReport(now) {
		return 0
	}
	return s.report.Waiting + s.report.Prefilling
}

// lacksCapacity reports whether a request would have to wait for a slot or for KV cache, which is counted as it will be once
// the answers that are being generated are half as long again as they can still get.
func (s *server) lacksCapacity(req Requirements, own backlog, u *usage) bool {
	if s.listing.Slots > 0 && max(s.report.Running+s.report.Waiting, own.running+own.waiting) >= s.listing.Slots {
		return true
	}
	need := req.PromptTokens + req.MaxAnswerTokens
	growth := int(meanPartLeft * u.answerTokens * float64(s.report.Running))
	return s.report.CacheTokens > 0 && s.report.CacheUsed+growth+own.unreportedCacheTokens+need > s.report.CacheTokens
}

// turnWait estimates the time until an engine without capacity has room for another request: until the answers that it generates have half
// ended, and more for each request that waits already. answer is the time that an answer takes.
func (s *server) turnWait(answer time.Duration, own backlog) time.Duration {
	running := max(1, s.report.Running, own.running)
	ahead := float64(max(s.report.Waiting, own.waiting)) / float64(running)
	return time.Duration((meanPartLeft + ahead) * float64(answer))
}

// answerTime estimates the time that the answer of a request takes at an engine of pace p after its first event: as that of
// earlier answers, at the pace of the engine; before the first of them as if each token were an event.
func (f *Fleet) answerTime(now time.Time, req Requirements, p pace.Pace) time.Duration {
	perToken := f.usageOf(req.Service).runTime * float64(time.Millisecond)
	peers := f.medianPace(req.Service, now)
	switch {
	case perToken == 0:
		perToken = float64(max(p.EventGap(), unitPrefillTime))
	case peers.EventGapUS > 0:
		perToken *= float64(p.EventGapUS) / float64(peers.EventGapUS)
	}
	return time.Duration(perToken * float64(req.MaxAnswerTokens))
}

// meanAnswerTime is answerTime for an answer of the mean length, or that of the request before the first.
func (f *Fleet) meanAnswerTime(now time.Time, req Requirements, p pace.Pace) time.Duration {
	if mean := f.usageOf(req.Service).answerTokens; mean > 0 {
		req.MaxAnswerTokens = int(mean)
	}
	return f.answerTime(now, req, p)
}

// backlog is the load that this entry's own requests in flight put on an engine.
type backlog struct {
	tokens                int // prompt tokens not yet prefilled
	waiting               int // requests without a first event
	running               int // requests with a first event
	unreportedCacheTokens int // KV cache of requests assigned after the last report
}

// ownBacklog sums up this entry's requests in flight at the server.
func (s *server) ownBacklog() backlog {
	var b backlog
	for r := range s.inFlight {
		if r.firstEventSeen {
			b.running++
			continue
		}
		b.waiting++
		b.tokens += r.uncachedTokens
		if r.assignedAt.After(s.reportAt) {
			b.unreportedCacheTokens += r.cacheTokens
		}
	}
	return b
}
