package dispatch

import (
	"math"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Wait predicts how long a request waits for the first piece of its answer from
// the work queued before it. An engine starts requests at once until its batch is
// full, so the wait is no straight line of the queue. Wait therefore sorts what it
// saw into bins by the length of the queue and keeps the fading mean of each. It
// needs no figure for the speed or the batch of an engine. The zero value predicts
// nothing until it has seen enough.
type Wait struct {
	bins [waitBins]waitBin
}

type waitBin struct {
	observations float64 // observations, at most waitMemory
	meanSeconds  float64 // seconds
}

const (
	waitBins            = 64
	waitBinTokens       = 32 // width of the first bin
	waitBinsPerDoubling = 4  // bins in which the queue doubles
	maxBinObservations  = 40 // observations that a mean remembers, about
	minBinObservations  = 4  // observations before a bin counts
)

func waitBinOf(tokens float64) int {
	i := int(waitBinsPerDoubling * math.Log2(1+max(tokens, 0)/waitBinTokens))
	return min(i, waitBins-1)
}

// Observe notes that a request found work of so many tokens before it and waited.
func (w *Wait) Observe(tokens float64, wait time.Duration) {
	b := &w.bins[waitBinOf(tokens)]
	b.observations = min(b.observations+1, maxBinObservations)
	b.meanSeconds += (wait.Seconds() - b.meanSeconds) / b.observations
}

// Predict returns the expected wait behind work of so many tokens: that of the
// longest queue up to it that was seen often enough. Queued is the part of it that
// the queue makes: what it has over the shortest wait of any queue. Only that part
// is a reason to refuse, since a place that keeps everyone waiting, as while a lost
// copy is loaded, is not helped by refusals. Known is false while too little was
// seen.
func (w *Wait) Predict(tokens float64) (wait, queued time.Duration, known bool) {
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

// Admission refuses a request at once where its answer would be too late to be of
// use. Classes differ in how late that is: when there is too much to do, questions
// are refused first, then quotes, and writes last.
type Admission struct {
	Question float64 // longest wait, in multiples of the target
	Quote    float64
	Write    float64
}

const (
	defaultQuestionWait = 0.8
	defaultQuoteWait    = 1.0
	defaultWriteWait    = 20
	minRetryAfter       = time.Second
)

// AdmitAll refuses nothing that could still be answered within any deadline.
var AdmitAll = Admission{Question: admitAllWait, Quote: admitAllWait, Write: admitAllWait}

const admitAllWait = 1e6 // in multiples of the target

// Admit returns whether a request of the class that is expected to wait so long
// may run, and when not, after how long the work before it should have drained.
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
