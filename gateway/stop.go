package gateway

import "time"

// A process that is told to stop is sent new requests for some seconds more, until
// the platform has seen that it is not ready. It takes them at first, refuses them
// as not run once they might not end in time, and ends when none is left.
const (
	stopTaking = 2800 * time.Millisecond // new requests are taken
	stopEarly  = 4 * time.Second         // before it new connections may still come
	stopMargin = 250 * time.Millisecond  // before the process is killed
	slowToken  = 12 * time.Millisecond   // of a stream at an engine that has much to read
)

// Stopping says what a process does that was told to stop.
type Stopping struct {
	Grace time.Duration // after which it is killed
	Since time.Time     // when the process was told
}

// Refuses reports whether new requests are refused so long after the process was
// told to stop.
func (s Stopping) Refuses(passed time.Duration) bool { return passed >= stopTaking }

// Fits reports whether a stream of so many tokens, taken so long after the process was
// told to stop, is expected to end before the process does.
func (s Stopping) Fits(passed time.Duration, tokens int) bool {
	return passed+time.Duration(tokens)*slowToken < s.Grace-stopMargin
}

// Ends reports whether the process ends with so many requests running.
func (s Stopping) Ends(passed time.Duration, running int64) bool {
	return passed >= stopEarly && running == 0 || passed >= s.Grace-stopMargin
}
