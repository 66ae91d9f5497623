package gateway

import "time"

// A process that is told to shut down still receives new requests for some seconds, until
// the platform has noticed that it is not ready. It first accepts them, then rejects them
// as not run because they might not finish in time, and exits when none is left.
const (
	acceptPeriod    = 2800 * time.Millisecond // from the start of the shutdown, in which new requests are accepted
	minShutdownTime = 4 * time.Second         // until then new connections may still arrive
	killMargin      = 250 * time.Millisecond  // the process exits this long before it is killed
	slowTokenTime   = 12 * time.Millisecond   // time per token of a stream on an engine that is busy with long prompts
)

// ShutdownPlan is the plan for the shutdown of a process.
type ShutdownPlan struct {
	Grace     time.Duration // time from Since until the process is killed
	StartedAt time.Time     // when the shutdown began
}

// RejectsNew reports whether all new requests are rejected at the time elapsed after the
// start of the shutdown.
func (s ShutdownPlan) RejectsNew(elapsed time.Duration) bool { return elapsed >= acceptPeriod }

// CanFinish reports whether a stream of the given maximum number of tokens that starts at
// the time elapsed after the start of the shutdown is expected to finish before the process
// exits.
func (s ShutdownPlan) CanFinish(elapsed time.Duration, tokens int) bool {
	return elapsed+time.Duration(tokens)*slowTokenTime < s.Grace-killMargin
}

// ShouldExit reports whether the process exits at the time elapsed after the start of the
// shutdown, given the number of requests that are still running.
func (s ShutdownPlan) ShouldExit(elapsed time.Duration, running int64) bool {
	return elapsed >= minShutdownTime && running == 0 || elapsed >= s.Grace-killMargin
}
