package fleet

import (
	"math"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Outcomes of an entry's own requests, and what they imply about the backend servers.

// Started records the first event of a stream, or the response header of a plain answer.
// The prompt has then been prefilled.
func (r *Assignment) Started() { r.markStarted() }

// markStarted is Started, and reports whether this is the first call.
func (r *Assignment) markStarted() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.firstEventSeen {
		return false
	}
	r.firstEventSeen = true
	if r.server.inFlight[r] {
		r.fleet.addPending(r.server, -r.uncachedTokens)
	}
	r.fleet.recordPrefill(r)
	r.server.unreachableCount = 0
	return true
}

// ObserveHeader applies what the response header says about the server, whatever its status. It
// returns true if this is the first sign that the server is leaving.
func (r *Assignment) ObserveHeader(m bamboostep.AnswerInfo, now time.Time) (leaves bool) {
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	s.silence.answered(now)
	if m.LoadKnown {
		f.observeLoad(s, m.Load, now)
	}
	if r.expectedFactor > 0 && !m.NotRun && m.RetryAfter == 0 {
		f.observeRun(r, now.Sub(r.assignedAt))
		r.expectedFactor = 0
	}
	if m.RetryAfter > 0 {
		s.rest(now.Add(m.RetryAfter))
	}
	leaves = m.Leaving && !s.listing.Leaving
	if leaves {
		s.listing.Leaving = true
		f.notifyChanged()
	}
	return leaves
}

// rest keeps requests away from the server until a time, or a later one that it has asked for already. The fleet's
// mu is held.
func (s *server) rest(until time.Time) {
	if until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// ListedVersion returns the software version of the server. It may be known only after the request was assigned, since
// reports of holders name none and come before the list.
func (r *Assignment) ListedVersion() string {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.server.listing.SoftwareVersion
}

// DepartureKnown returns a channel that is closed once the server's shutdown time is known, which
// may be after the request has ended.
func (r *Assignment) DepartureKnown() <-chan struct{} { return r.departureKnown }

// Leaving reports whether the server is known to be shutting down.
func (r *Assignment) Leaving() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.server.listing.Leaving || !r.server.departsAt.IsZero()
}

// DepartsAt returns the time at which the server shuts down, or the zero time if it is
// unknown.
func (r *Assignment) DepartsAt() time.Time {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return r.server.departsAt
}

// setDeparture records the server's shutdown time and notifies its requests in flight. The
// fleet's mu is held.
func (s *server) setDeparture(at time.Time) {
	s.departsAt = at
	for r := range s.inFlight {
		close(r.departureKnown)
	}
}

// Defer ends an assignment that the limit of its server does not allow for a time, and
// records that for the next choices. It is recorded for at most maxLimitAvoidance, since the
// limit may be raised or lifted. While other servers can be used, this one is left alone for a
// time that doubles with each denial and is random, so that many entries that share a low
// limit do not ask all the time.
func (r *Assignment) Defer(wait time.Duration, now time.Time) {
	r.End(EndedCanceled, now)
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	s.limitedUntil = now.Add(min(wait, maxLimitAvoidance))
	backoff := min(wait<<min(s.deniedPermits, maxPermitDoublings), maxPermitBackoff)
	if s.deniedPermits > 0 {
		backoff = backoff/2 + time.Duration(f.rng.Int64N(int64(backoff/2)+1))
	}
	s.askAfter = now.Add(backoff)
	s.deniedPermits++
}

// Permitted records that the limit of the server allows the request.
func (r *Assignment) Permitted() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.server.deniedPermits = 0
}

// EndReason is the way in which a request ended at a backend server.
type EndReason int

// The end reasons.
const (
	EndedOK          EndReason = iota
	EndedFailed                // an error response, a truncated one or none
	EndedUnreachable           // the server could not be reached
	EndedOverloaded            // refused for load
	EndedMisdirected           // the server lacks the model or adapter, or another server has the address
	EndedCanceled              // canceled: the caller disconnected or the deadline passed
)

// End records how the request ended and removes it from the requests in flight. Only the
// first call has an effect.
func (r *Assignment) End(e EndReason, now time.Time) {
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	if !s.inFlight[r] {
		return
	}
	delete(s.inFlight, r)
	if !r.firstEventSeen {
		f.addPending(s, -r.uncachedTokens)
	}
	switch e {
	case EndedOK:
		s.recordOutcome(now, 0)
		f.recordRunTime(r, now)
	case EndedFailed:
		s.recordOutcome(now, 1)
	case EndedUnreachable:
		s.recordUnreachable(now)
	case EndedOverloaded:
		s.overloadedUntil = now.Add(overloadBackoff)
	}
}

// ReportMissing records that the server says that it does not hold the model or adapter n.
func (r *Assignment) ReportMissing(n ModelName, now time.Time) {
	f, s := r.fleet, r.server
	f.mu.Lock()
	defer f.mu.Unlock()
	h := s.models[n.Model]
	switch {
	case h == nil:
		s.avoidUntil = now.Add(unreachableBackoff)
	case n.Adapter != "" && h.adapters[n.Adapter]:
		delete(h.adapters, n.Adapter)
	case n.Adapter == "":
		h.missingAt = now
		f.notifyChanged()
	}
}

// recordUnreachable marks the server to be avoided for a time that doubles with each consecutive
// failure.
func (s *server) recordUnreachable(now time.Time) {
	s.unreachableCount++
	wait := min(unreachableBackoff<<min(s.unreachableCount-1, 8), maxUnreachableBackoff)
	s.avoidUntil = now.Add(wait)
}

// recordOutcome updates the failure rate with an outcome: 0 for success, 1 for failure.
func (s *server) recordOutcome(now time.Time, outcome float64) {
	share := s.failureRate(now)
	s.failureShare = share + failureWeight*(outcome-share)
	s.failureAt = now
}

// failureRate returns the exponential moving average of failed requests. It decays with
// time, so that the server is tried again.
func (s *server) failureRate(now time.Time) float64 {
	if s.failureShare == 0 {
		return 0
	}
	return s.failureShare * math.Exp(-now.Sub(s.failureAt).Seconds()/failureDecay.Seconds())
}
