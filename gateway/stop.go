package gateway

import "time"

// A process that is told to stop is sent new requests for some seconds more, until
// the platform has seen that it is not ready. It takes them at first, refuses them
// as not run once they might not end in time, and ends when none is left.
const (
	stopTaking = 2800 * time.Millisecond // new requests are taken
	stopEarly  = 4 * time.Second         // before it new connections may still come
	stopMargin = 500 * time.Millisecond  // before the process is killed
)

// Stopping says what a process does that was told to stop.
type Stopping struct {
	Grace time.Duration // after which it is killed
}

// Refuses reports whether new requests are refused so long after the process was
// told to stop.
func (s Stopping) Refuses(passed time.Duration) bool { return passed >= stopTaking }

// Ends reports whether the process ends with so many requests running.
func (s Stopping) Ends(passed time.Duration, running int64) bool {
	return passed >= stopEarly && running == 0 || passed >= s.Grace-stopMargin
}
