package placement

import (
	"math"
	"slices"
	"time"
)

// storeBurst is the number of loads beyond its rate that the store sustains within a
// window.
const storeBurst = 2

// inDoubtTimeout is the time within which the engine may still carry out an unanswered
// order.
const inDoubtTimeout = 13 * time.Second

// storeLimiter limits the loads from the weight store within a sliding window.
type storeLimiter struct {
	window     time.Duration
	rateFactor float64     // share of the store's rate that may be used
	reserved   []time.Time // when loads were ordered, or for loads in doubt a later time that extends their reservation
}

// maxLoadDelay is the longest time between an order and the start of its load, including
// one retransmission of the order.
const maxLoadDelay = 800 * time.Millisecond

// newStoreLimiter returns a limiter with a window and a factor on the store's rate.
func newStoreLimiter(window time.Duration, rateFactor float64) *storeLimiter {
	return &storeLimiter{window: window, rateFactor: rateFactor}
}

// available returns the number of loads that may be ordered at now. perSecond is the
// store's rate.
func (l *storeLimiter) available(now time.Time, perSecond float64) int {
	l.reserved = slices.DeleteFunc(l.reserved, func(t time.Time) bool { return now.Sub(t) > l.window+maxLoadDelay })
	return max(0, int(math.Floor(perSecond*l.window.Seconds()*l.rateFactor))+storeBurst-len(l.reserved))
}

// reserve records a load that is ordered at now.
func (l *storeLimiter) reserve(now time.Time) { l.reserved = append(l.reserved, now) }

// reserveInDoubt counts an unanswered load until inDoubtTimeout, when it can no longer
// begin.
func (l *storeLimiter) reserveInDoubt(now time.Time) {
	l.reserved = append(l.reserved, now.Add(inDoubtTimeout-l.window))
}
