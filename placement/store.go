package placement

import (
	"math"
	"slices"
	"time"
)

// storeExtra is how many loads more than its rate the store bears in a window.
const storeExtra = 1

// storeWindow keeps the moments at which loads from the weight store were ordered.
type storeWindow struct {
	span  time.Duration
	loads []time.Time
}

// take reports whether one more load may be ordered now, and notes it.
func (w *storeWindow) take(now time.Time, perSecond float64) bool {
	w.loads = slices.DeleteFunc(w.loads, func(t time.Time) bool { return now.Sub(t) > w.span })
	if float64(len(w.loads)) >= math.Max(1, math.Floor(perSecond*w.span.Seconds())+storeExtra) {
		return false
	}
	w.loads = append(w.loads, now)
	return true
}
