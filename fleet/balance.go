package fleet

import "time"

// The work that a choice makes. An engine with a short queue that has to prefill the shared
// prefix of a prompt serves that prompt no later than one with a longer queue that has the
// prefix cached, but whoever comes after it waits for that prefill. If entries weigh only their
// own request, they move prompts to idle engines, which then prefill prefixes again and
// again: load evens out while it grows. The choice therefore counts a prefill twice, for
// the request itself and for the one behind it.

// followersDelayed is the number of requests that are taken to wait behind a request's prefill.
const followersDelayed = 1

// balancedEstimate returns the estimate of a request at s, with the cost to the requests
// behind it.
func (f *Fleet) balancedEstimate(now time.Time, req Requirements, s *server, affinity *server) estimate {
	e := f.estimate(now, req, s, affinity)
	e.cost += followersDelayed * prefillTime(f.medianPace(req.Service, now), e.uncachedTokens)
	return e
}

// affinityAnywhere reports whether all entries should send prompts with the shared prefix of req to
// the same server, in whatever failure domain: prefilling the prefix in each domain takes an engine longer than sending
// the prompt to another domain.
func (f *Fleet) affinityAnywhere(now time.Time, req Requirements) bool {
	crossing := crossDomainCost + crossDomainCost*time.Duration(req.BodyBytes/crossDomainBytes)
	return affinityCachedShare*float64(prefillTime(f.medianPace(req.Service, now), req.Prompt.shared.Tokens)) > minAffinityGain*float64(crossing)
}

// minAffinityGain is the time that a cached prefix must save, relative to that of crossing to another failure domain.
const minAffinityGain = 2
