package fleet

import "time"

// Estimates of the wait at backend servers of plain services, which run requests in slots.

const plainServiceTime = 30 * time.Millisecond // assumed service time of a request, spread over the slots

// plainWait estimates the wait at a backend server of a plain service. slots is used if
// the listing does not give the number of slots.
func (s *server) plainWait(now time.Time, slots int) time.Duration {
	if s.listing.Slots > 0 {
		slots = s.listing.Slots
	}
	busy := 0
	if now.Sub(s.loadAt) < reportMaxAge {
		busy = s.load.Running + s.load.Waiting
	}
	busy = max(busy, len(s.inFlight)) + s.assignedSince(s.loadAt)
	return time.Duration(float64(plainServiceTime) * float64(busy) / float64(max(1, slots)))
}

// assignedSince counts this entry's requests in flight that were assigned after t.
func (s *server) assignedSince(t time.Time) int {
	n := 0
	for r := range s.inFlight {
		if r.assignedAt.After(t) {
			n++
		}
	}
	return n
}
