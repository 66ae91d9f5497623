package fleet

import "time"

// Promise is what the route of a request tells its callers, counted from the time of the
// choice. A zero field promises nothing.
type Promise struct {
	FirstEvent time.Duration // until the first event, or the whole answer of a plain service
	EventGap   time.Duration // longest pause between two events
}
