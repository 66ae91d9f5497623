package fleet

import "time"

// Estimates of the time until a request's first event at a backend server. An engine
// prefills prompts one after another between the decode steps of running requests, so the
// dominant terms are the prompt tokens queued ahead of a request and the part of its own
// prompt that is not cached.

// Terms of the estimated wait and cost of a request at a backend server.
const (
	prefillTokensPerMS  = 38.0                   // prompt tokens that an engine reads per millisecond
	stepCostMS          = 0.35                   // milliseconds added by each running request
	noCapacityCost      = 400 * time.Millisecond // no free slot or too little free KV cache
	crossDomainCost     = 2 * time.Millisecond   // for a server in another failure domain, plus the same per crossDomainBytes
	crossDomainBytes    = 1 << 10                // bytes of the request body
	adapterLoadCost     = 8 * time.Millisecond   // the adapter must be loaded first
	modelLoadCost       = 500 * time.Millisecond // an adapter load must wait for a model load in progress
	failureCost         = 4 * time.Second        // at a failure rate of 1; scales with the rate
	affinityCachedShare = 0.7                    // share of a prompt's shared prefix that its affinity server is assumed to have cached
	meanPromptTokens    = 1500                   // uncached tokens assumed for each pending request of other entries
)

// estimate is the expected cost of a request at one backend server.
type estimate struct {
	server         *server
	wait           time.Duration // until the first event
	limitWait      time.Duration // part of wait: until the server's limit allows a request
	cost           time.Duration // wait plus the penalties for failures, slowed streams and distance; the lowest is chosen
	uncachedTokens int           // prompt tokens that must be prefilled
	adapterReady   bool          // the adapter is loaded, or none is needed
	late           bool          // the first event comes later than promised
}

// keepsPromise reports whether no promise is expected to be broken.
func (e estimate) keepsPromise() bool { return !e.late }

// estimate computes the expected wait and cost of a request at s. affinity is the server
// that affinityServer chose for the prompt, or nil.
func (f *Fleet) estimate(now time.Time, req Requirements, s *server, affinity *server) estimate {
	e := estimate{server: s, adapterReady: true}
	if req.ModelName.Model == "" {
		e.wait = f.plainWait(now, s, req.DefaultSlots)
	} else {
		e.uncachedTokens = req.PromptTokens - s.cachedTokens(req.Prompt, s == affinity)
		e.wait = s.engineWait(now, req, e.uncachedTokens+f.unreportedTokens(now, s))
		if req.ModelName.Adapter != "" && !s.models[req.ModelName.Model].adapters[req.ModelName.Adapter] {
			e.adapterReady = false
			e.wait += adapterLoadCost
			if s.report.Busy {
				e.wait += modelLoadCost
			}
		}
	}
	e.limitWait = max(0, s.limitedUntil.Sub(now))
	e.wait += e.limitWait
	e.late = req.Promise.FirstEvent > 0 && e.wait > req.Promise.FirstEvent
	e.cost = e.wait + time.Duration(s.failureRate(now)*float64(failureCost))
	if req.ModelName.Model != "" {
		e.cost += s.interferenceCost(now, req, e.uncachedTokens)
	}
	if s.listing.Domain != f.Domain {
		e.cost += crossDomainCost + crossDomainCost*time.Duration(req.BodyBytes/crossDomainBytes)
	}
	return e
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

// engineWait estimates the wait for the first event at a model engine. uncached is the
// number of prompt tokens to prefill, including the estimate of unreported ones from other
// entries.
func (s *server) engineWait(now time.Time, req Requirements, uncached int) time.Duration {
	own := s.ownBacklog()
	backlog := own.tokens + max(0, s.pendingPrefills(now)-own.waiting)*meanPromptTokens
	running := own.running
	if s.hasFreshReport(now) {
		running = max(running, s.report.Running)
	}
	wait := time.Duration(float64(backlog+uncached) / prefillTokensPerMS * float64(time.Millisecond))
	wait += time.Duration(stepCostMS * float64(running) * float64(time.Millisecond))
	if s.hasFreshReport(now) && s.lacksCapacity(req, own) {
		wait += noCapacityCost
	}
	return wait
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

// lacksCapacity reports whether a request would have to wait for a slot or for KV cache.
func (s *server) lacksCapacity(req Requirements, own backlog) bool {
	if s.listing.Slots > 0 && max(s.report.Running+s.report.Waiting, own.running+own.waiting) >= s.listing.Slots {
		return true
	}
	need := req.PromptTokens + req.MaxAnswerTokens
	return s.report.CacheTokens > 0 && s.report.CacheUsed+own.unreportedCacheTokens+need > s.report.CacheTokens
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
