package wire

import "time"

// This file decides when a quiet connection is pinged and when it is abandoned.
//
// A connection on which something is awaited is pinged and abandoned soon, since
// that something must move elsewhere. One on which nothing is awaited may be dead
// for longer without harm, and a process has hundreds of those: it is pinged rarely.
// Its silence counts from the moment at which it is used again, so that the first
// use after a rest does not find it too old; but however often it is used, it is never
// kept for longer than one at rest.

// limits are how long a connection may be quiet.
type limits struct {
	ping    time.Duration // it is pinged once it brought nothing for so long
	abandon time.Duration // and abandoned after so long
}

// The end that dialled pings first, and so mostly spares the other end its own. An
// end that does not know what is awaited is patient if the other does.
var (
	dialerLimits   = limits{700 * time.Millisecond, 2 * time.Second}
	listenerLimits = limits{1200 * time.Millisecond, 2 * time.Second}
	idleLimits     = limits{2500 * time.Millisecond, 5 * time.Second}
	patientLimits  = limits{4 * time.Second, 8 * time.Second}
)

// silence is the state of one connection's watch.
type silence struct {
	busy limits // while something is awaited
	idle limits // otherwise

	wasBusy   bool
	busySince time.Time // the last check before something was awaited, so that no wait seems shorter than it is
	checkedAt time.Time // zero before the first check
}

// check says what to do with a connection that was last heard at a moment.
func (s *silence) check(now, heard time.Time, busy bool) (ping, abandon bool) {
	if busy && !s.wasBusy {
		s.busySince = now
		if !s.checkedAt.IsZero() {
			s.busySince = s.checkedAt
		}
	}
	s.wasBusy, s.checkedAt = busy, now
	quiet := now.Sub(heard)
	if !busy {
		return quiet > s.idle.ping, quiet > s.idle.abandon
	}
	awaited := min(quiet, now.Sub(s.busySince))
	tooLong := max(s.idle.abandon, s.busy.abandon)
	return awaited > s.busy.ping, awaited > s.busy.abandon || quiet > tooLong
}
