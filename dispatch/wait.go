package dispatch

import (
	"time"

	"github.com/bamboostep/bamboostep"
)

// Wait predicts how long a request waits for the first piece of its answer from
// the work queued before it. It fits a line through what was seen of late, so it
// needs no figure for the speed of an engine, and follows when that changes. The
// zero value predicts nothing until it has seen enough.
type Wait struct {
	n, x, y, xx, xy float64 // fading sums
}

const (
	waitMemory     = 200 // observations that a Wait remembers, about
	waitLeast      = 20  // observations before a Wait predicts
	waitKeptShare  = 1 - 1.0/waitMemory
	waitLeastWidth = 1e-9 // spread of the queue below which no slope is fitted
)

// Observe notes that a request found work of so many tokens before it and waited.
func (w *Wait) Observe(tokens float64, wait time.Duration) {
	y := wait.Seconds()
	w.n = w.n*waitKeptShare + 1
	w.x = w.x*waitKeptShare + tokens
	w.y = w.y*waitKeptShare + y
	w.xx = w.xx*waitKeptShare + tokens*tokens
	w.xy = w.xy*waitKeptShare + tokens*y
}

// Predict returns the expected wait behind work of so many tokens, the part of it
// that the work before it makes, and false as long as too little was seen. Only
// that part is a reason to refuse: the rest would be no shorter later on, and a
// refusal for it would last for good, since nothing new is seen while everything
// is refused.
func (w *Wait) Predict(tokens float64) (wait, queued time.Duration, known bool) {
	if w.n < waitLeast {
		return 0, 0, false
	}
	slope := 0.0
	if width := w.xx - w.x*w.x/w.n; width > waitLeastWidth*w.n {
		slope = max((w.xy-w.x*w.y/w.n)/width, 0)
	}
	base := max((w.y-slope*w.x)/w.n, 0)
	queued = time.Duration(slope * tokens * float64(time.Second))
	return queued + time.Duration(base*float64(time.Second)), queued, true
}

// Admission refuses a request at once where its answer would be too late to be of
// use. Classes differ in how late that is: when there is too much to do, questions
// are refused first, then quotes, and writes last.
type Admission struct {
	Question float64 // longest wait, in multiples of the target
	Quote    float64
	Write    float64
}

const (
	defaultQuestionWait = 1.5
	defaultQuoteWait    = 4
	defaultWriteWait    = 20
	leastRetryAfter     = time.Second
)

// Admit returns whether a request of the class that is expected to wait so long
// may run, and when not, after how long the work before it should have drained.
func (a Admission) Admit(class bamboostep.Class, wait, target time.Duration) (retryAfter time.Duration, ok bool) {
	limit := time.Duration(a.factor(class) * float64(target))
	if target <= 0 || wait <= limit {
		return 0, true
	}
	return max(wait-target, leastRetryAfter), false
}

func (a Admission) factor(class bamboostep.Class) float64 {
	switch class {
	case bamboostep.ClassWrite:
		return orDefault(a.Write, defaultWriteWait)
	case bamboostep.ClassQuote:
		return orDefault(a.Quote, defaultQuoteWait)
	}
	return orDefault(a.Question, defaultQuestionWait)
}
