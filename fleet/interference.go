package fleet

import (
	"math"
	"time"
)

// Interference between prefill and decode. An engine prefills prompts in chunks between
// the decode steps of running requests. During prefill a decode step takes about ten times
// as long, so a long prompt slows all streams of its engine, and a long answer takes long
// on an engine that prefills constantly. Where several engines hold a model,
// interferenceCost therefore separates long prompts from long answers.

const (
	prefillDecay     = 2 * time.Second       // time constant of the moving average of the prefill share
	prefillChunkTime = 54 * time.Millisecond // time that prefilling one chunk adds to a decode step

	streamDelayWeight = 0.05 // weight of delay to a running stream, relative to waiting for the first event
	answerDelayWeight = 0.02 // weight of delay to the request's own answer, relative to waiting for the first event
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

// interferenceCost estimates the weighted delay that a request's prefill causes to the
// running streams of an engine, and that the engine's prefills cause to the request's own
// answer.
func (s *server) interferenceCost(now time.Time, req Requirements, uncached int) time.Duration {
	if !s.hasFreshReport(now) {
		return 0
	}
	prefill := float64(uncached) / prefillTokensPerMS * float64(time.Millisecond)
	streamDelay := streamDelayWeight * prefill * float64(s.report.Running)
	answerDelay := answerDelayWeight * float64(req.MaxAnswerTokens) * s.prefillShare.value(now) * float64(prefillChunkTime)
	return time.Duration(streamDelay + answerDelay)
}
