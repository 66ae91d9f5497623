// Package dispatch implements request routing, admission control and retries for
// callers' requests. It decides which backend server gets an attempt, whether a
// request is admitted at all, when a failed attempt is retried, and which requests
// are suspected of crashing backend servers.
//
// The package only makes decisions, from events, the time and a random seed that are
// passed in. It starts no goroutine, opens no socket and reads no clock; the entry
// program does that.
package dispatch
