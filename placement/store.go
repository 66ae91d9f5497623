package placement

import (
	"math"
	"slices"
	"time"
)

// storeExtra is how many loads more than its rate the store bears in a window.
const storeExtra = 2

// doubtFor is the time in which an order without an answer may still be carried out.
const doubtFor = 13 * time.Second

// storeWindow keeps the moments at which loads from the weight store were ordered.
type storeWindow struct {
	span  time.Duration
	over  float64 // part of the store's rate that may be used
	loads []time.Time
}

// orderDelay is the time in which a load begins after its order, with the order sent
// again once.
const orderDelay = 800 * time.Millisecond

func newStoreWindow(span time.Duration, over float64) *storeWindow {
	return &storeWindow{span: span, over: over}
}

// free returns how many loads may be ordered now.
func (w *storeWindow) free(now time.Time, perSecond float64) int {
	w.loads = slices.DeleteFunc(w.loads, func(t time.Time) bool { return now.Sub(t) > w.span+orderDelay })
	return max(0, int(math.Floor(perSecond*w.span.Seconds()*w.over))+storeExtra-len(w.loads))
}

// take notes a load that is ordered now.
func (w *storeWindow) take(now time.Time) { w.loads = append(w.loads, now) }

// doubt counts a load whose order got no answer until it cannot begin any more.
func (w *storeWindow) doubt(now time.Time) {
	w.loads = append(w.loads, now.Add(doubtFor-w.span))
}
