package fleet

import (
	"math"
	"time"

	"github.com/bamboostep/bamboostep/pace"
)

// Interference between prefill and decode. An engine prefills prompts in chunks between
// the decode steps of running requests. During prefill a decode step takes many times
// as long, so a long prompt slows all streams of its engine, and a long answer takes long
// on an engine that prefills constantly. Where several engines hold a model,
// estimateInterference therefore separates long prompts from long answers. How long the steps get is a matter of the engine
// and of how much there is to prefill: at a fast one a stream may never pause for longer than its route promises, at a slow one
// a single long prompt may be too much.

const (
	prefillDecay = 2 * time.Second // time constant of the moving average of the prefill share

	streamDelayWeight = 0.05 // weight of delay to a running stream, relative to waiting for the first event
	answerDelayWeight = 0.02 // weight of delay to the request's own answer, relative to waiting for the first event
	othersWeight      = 0.01 // weight of a promise to a running stream, relative to the one of the request: most of them would be broken by another prompt
	likelyPause       = 0.5  // risk from which a pause is expected
)

// prefillShare is an exponential moving average of the share of time that an engine spends
// on prefill.
type prefillShare struct {
	share      float64   // as of at
	prefilling bool      // at the last observation
	at         time.Time // of the last observation; zero before the first
}

// observe records whether the engine has prompts to prefill as of now.
func (r *prefillShare) observe(prefilling bool, now time.Time) {
	r.share = r.value(now)
	r.prefilling, r.at = prefilling, now
}

// value returns the average at now, assuming that the last observation still holds.
func (r *prefillShare) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	weight := math.Exp(-now.Sub(r.at).Seconds() / prefillDecay.Seconds())
	if r.prefilling {
		return r.share*weight + 1 - weight
	}
	return r.share * weight
}

// estimateInterference adds what the request's prefill does to the running streams of an engine, and what the engine's
// prefills do to the request's own stream: the promises that are broken, and the weighted delays. backlog is the number of prompt tokens that the engine
// prefills before the request's.
func (f *Fleet) estimateInterference(e *estimate, now time.Time, req Requirements, p pace.Pace, backlog int) {
	s := e.server
	e.pause = p.EventGap()
	if !s.hasFreshReport(now) {
		return
	}
	peers := f.medianPace(s.listing.Service, now)
	streams := float64(max(0, s.report.Running-s.report.Prefilling))
	share := s.prefillShare.value(now)
	answer := f.answerTime(now, req, p)
	if p.PrefillGapUS > 0 {
		slowdown := max(0, float64(p.PrefillGapUS)/float64(max(1, p.EventGapUS))-1)
		e.cost += time.Duration(answerDelayWeight * share * slowdown * float64(answer))
	}
	e.cost += time.Duration(streamDelayWeight * streams * float64(prefillTime(peers, e.uncachedTokens)))
	if req.Promise.EventGap <= 0 {
		return
	}
	risk := pauseRisk(p, share, answer, req.Promise.EventGap)
	before, after := p.LongestGap(backlog), p.LongestGap(backlog+e.uncachedTokens)
	added := missChance(after, req.Promise.EventGap) - missChance(before, req.Promise.EventGap)
	e.broken += risk + othersWeight*streams*(1-risk)*max(0, added)
	if risk >= likelyPause {
		e.pause = max(p.EventGap(), p.PrefillGap())
	}
	if e.pause > req.Promise.EventGap || streams > 0 && after > req.Promise.EventGap && before <= req.Promise.EventGap {
		e.breakFor(prefillTime(p, backlog))
	}
}

// pauseRisk returns the probability that a stream which takes a time pauses for longer than promised, at an engine that prefills for a share
// of the time.
func pauseRisk(p pace.Pace, share float64, answer, promised time.Duration) float64 {
	pauses := missChance(p.PrefillGap(), promised) * share * float64(answer) / float64(max(1, p.PrefillGap()))
	return max(missChance(p.EventGap(), promised), 1-math.Exp(-pauses))
}

// missChance returns the probability that a time which is expected to be d turns out to be longer than what was promised. Expectations are rough:
// the probability grows from 0 at a quarter of it to 1 at a quarter beyond it.
func missChance(d, promised time.Duration) float64 {
	return min(max(float64(d)/float64(promised)-0.25, 0), 1)
}
