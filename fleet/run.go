package fleet

import (
	"math"
	"time"

	"github.com/bamboostep/bamboostep"
)

// What came of an entry's own requests, and what that says of backend servers.

// Started notes the first event, or the head of a plain answer.
func (r *Run) Started() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.started {
		return
	}
	r.started = true
	r.fleet.noteRead(r)
	r.server.failures = 0
}

// Answered notes what the head of an answer says, whatever its status. It returns true if
// it is news that the backend server leaves.
func (r *Run) Answered(m bamboostep.AnswerMark, now time.Time) (leaves bool) {
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.LoadKnown {
		s.load, s.loadAt = m.Load, now
	}
	if until := now.Add(m.Rest); until.After(s.restUntil) {
		s.restUntil = until
	}
	leaves = m.Leaving && !s.listing.Leaving
	if leaves {
		s.listing.Leaving = true
		f.wake()
	}
	return leaves
}

// Leaves returns a channel that is closed once it is known when the backend server
// goes, whether or not the request has ended.
func (r *Run) Leaves() <-chan struct{} { return r.leaves }

// Leaving reports whether the backend server was told to go.
func (r *Run) Leaving() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.server.listing.Leaving || !r.server.goesAt.IsZero()
}

// GoesAt returns when the backend server goes, the zero time while that is not known.
func (r *Run) GoesAt() time.Time {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.server.goesAt
}

// goes notes when a backend server goes. The fleet's mu is held.
func (s *server) goes(at time.Time) {
	s.goesAt = at
	for r := range s.runs {
		close(r.leaves)
	}
}

// Ending says how a request ended at a backend server.
type Ending int

// The endings.
const (
	EndedWell   Ending = iota
	EndedFailed        // an answer of failure, a broken one or none
	EndedUnsent        // the backend server could not be reached
	EndedFull          // refused for load
	EndedAbsent        // the model or the adapter is not there, or another has the address
	EndedByUs          // the caller left or the time ran out
)

// End notes how the request ended. It may be called more than once; the first counts.
func (r *Run) End(e Ending, now time.Time) {
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.runs[r] {
		return
	}
	delete(s.runs, r)
	switch e {
	case EndedWell:
		s.noteShare(now, 0)
	case EndedFailed:
		s.noteShare(now, 1)
	case EndedUnsent:
		s.noteUnsent(now)
	case EndedFull:
		s.fullUntil = now.Add(fullFor)
	}
}

// Absent notes that the backend server says that it does not hold what the request
// needs.
func (r *Run) Absent(n ModelName, now time.Time) {
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	h := s.models[n.Model]
	switch {
	case h == nil:
		s.failUntil = now.Add(failedFor)
	case n.Adapter != "" && h.adapters[n.Adapter]:
		delete(h.adapters, n.Adapter)
	case n.Adapter == "":
		h.absent = now
		f.wake()
	}
}

func (s *server) noteUnsent(now time.Time) {
	s.failures++
	wait := min(failedFor<<min(s.failures-1, 8), maxFailedFor)
	s.failUntil = now.Add(wait)
}

// noteShare moves the share of failed requests towards the newest outcome.
func (s *server) noteShare(now time.Time, outcome float64) {
	share := s.failing(now)
	s.failShare = share + failureWeight*(outcome-share)
	s.failAt = now
}

// failing returns the share of requests that failed of late. It fades, so that a
// backend server is tried again.
func (s *server) failing(now time.Time) float64 {
	if s.failShare == 0 {
		return 0
	}
	return s.failShare * math.Exp(-now.Sub(s.failAt).Seconds()/failureMemory.Seconds())
}
