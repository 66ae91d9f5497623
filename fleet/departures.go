package fleet

import "time"

// Protection against stale lists. Lists come from several voters, and one of them may be
// older than it claims: a VM that was suspended does not know for how long. A stale list
// must not bring back a server that newer lists have dropped or that has announced its own
// shutdown.

const (
	returnBlockedFor   = 5 * time.Second // lists read within this time of a server's removal cannot bring it back
	departureRetention = time.Minute     // departures are forgotten after this time
)

// departure records the removal of a server.
type departure struct {
	at      time.Time
	leaving bool // it had announced that it leaves
}

// recordDeparture remembers a server that was removed because lists no longer contain it.
// f.mu is held.
func (f *Fleet) recordDeparture(k serverKey, leaving bool, now time.Time) {
	for old, d := range f.departed {
		if now.Sub(d.at) > departureRetention {
			delete(f.departed, old)
		}
	}
	f.departed[k] = departure{now, leaving}
}

// mayAdd reports whether a list that was read at time at may add the unknown server k.
func (f *Fleet) mayAdd(k serverKey, at time.Time) bool {
	if at.Before(f.listAt) {
		return false // a newer list does not name it
	}
	d, ok := f.departed[k]
	return !ok || at.Sub(d.at) > returnBlockedFor
}
