package dispatch

import (
	"math"
	"time"

	"github.com/bamboostep/bamboostep"
)

// WaitPredictor predicts how long a request waits for the first piece of its answer, given the
// work queued before it. The wait is not linear in the length of the queue, because an
// engine starts requests at once until its batch is full. WaitPredictor therefore groups its
// observations into bins by the length of the queue and keeps a moving average for each.
// It needs to know neither the speed nor the batch size of the engine. The zero value is
// ready to use and predicts nothing until it has enough observations.
type WaitPredictor struct {
	bins [waitBins]waitBin
}

type waitBin struct {
	observations float64 // number of observations, at most maxBinObservations
	meanSeconds  float64 // moving average of the wait
}

const (
	waitBins            = 64
	waitBinTokens       = 32 // scale of the bins: queues below about a fifth of it share the first bin
	waitBinsPerDoubling = 4  // bins per doubling of the queue
	maxBinObservations  = 40 // approximate window of the moving average
	minBinObservations  = 4  // observations before a bin is used
)

// waitBinOf returns the index of the bin for a queue of the given length.
func waitBinOf(tokens float64) int {
	i := int(waitBinsPerDoubling * math.Log2(1+max(tokens, 0)/waitBinTokens))
	return min(i, waitBins-1)
}

// Observe records how long a request waited behind queued work of the given tokens.
func (w *WaitPredictor) Observe(tokens float64, wait time.Duration) {
	b := &w.bins[waitBinOf(tokens)]
	b.observations = min(b.observations+1, maxBinObservations)
	b.meanSeconds += (wait.Seconds() - b.meanSeconds) / b.observations
}

// Predict returns the expected wait behind queued work of the given tokens. It uses the
// longest queue up to that length with enough observations. The result queued is the
// part of the wait that the queue causes: the excess over the shortest average wait of
// any bin. Only that part is a reason to refuse a request, because refusals do not help
// where every request waits, as while a lost copy is loaded. The result known is false
// if there are too few observations.
func (w *WaitPredictor) Predict(tokens float64) (wait, queued time.Duration, known bool) {
	shortest := math.Inf(1)
	for i := range w.bins {
		if b := &w.bins[i]; b.observations >= minBinObservations {
			shortest = min(shortest, b.meanSeconds)
		}
	}
	for i := waitBinOf(tokens); i >= 0; i-- {
		if b := &w.bins[i]; b.observations >= minBinObservations {
			return durationOf(b.meanSeconds), durationOf(b.meanSeconds - shortest), true
		}
	}
	return 0, 0, false
}

func durationOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Admission refuses a request at once if its answer would be too late to be useful. The
// longest acceptable wait depends on the class: under overload, questions are refused
// first, then quotes, and writes last. Fields that are zero take defaults.
type Admission struct {
	Question float64 // longest wait of each class, in multiples of the target latency
	Quote    float64
	Write    float64
}

const (
	defaultQuestionWait = 0.8
	defaultQuoteWait    = 1.0
	defaultWriteWait    = 20
	minRetryAfter       = time.Second
)

// AdmitAll admits every request: its limits are longer than any deadline.
var AdmitAll = Admission{Question: admitAllWait, Quote: admitAllWait, Write: admitAllWait}

const admitAllWait = 1e6 // in multiples of the target latency

// Admit reports whether a request of the class with the given expected wait may run. If
// not, it also returns how long the caller should wait before a retry, by when the queue
// should have drained. A target of 0 or less admits every request.
func (a Admission) Admit(class bamboostep.Class, wait, target time.Duration) (retryAfter time.Duration, ok bool) {
	limit := time.Duration(a.maxWaitFactor(class) * float64(target))
	if target <= 0 || wait <= limit {
		return 0, true
	}
	return max(wait-target, minRetryAfter), false
}

func (a Admission) maxWaitFactor(class bamboostep.Class) float64 {
	switch class {
	case bamboostep.ClassWrite:
		return orDefault(a.Write, defaultWriteWait)
	case bamboostep.ClassQuote:
		return orDefault(a.Quote, defaultQuoteWait)
	}
	return orDefault(a.Question, defaultQuestionWait)
}
