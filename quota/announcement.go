package quota

import (
	"time"

	"github.com/bamboostep/bamboostep"
)

// The limit that a backend server names in its answers, as one process knows it.
//
// A limit holds for as long as the answers name it. They are no reliable source: answers on
// different connections overtake each other, and a backend server in trouble may leave the
// limit out of some answers, garble it, or name another value each time. A lower limit is
// therefore believed at once, but a higher one, or none, only step by step: the rate at most
// doubles with each answer that confirms it, and any answer that names the limit again takes
// the rate back. Answers to requests that were sent before the limit was last named say
// nothing new and cannot raise it.

const (
	ignoredSilence = 2    // answers in a row without a limit that change nothing
	rateGrowth     = 2.0  // most growth of the rate with one answer
	minRaisedRate  = 0.5  // requests per second; the first step from lower rates
	liftFactor     = 64.0 // on the last limit; a rate that has grown so far is unlimited

	// probeRate is the least rate, in requests per second. Without any request, nobody would
	// learn that a limit of 0 was raised.
	probeRate = 0.1
)

// announcement is the state of the limit of one start of a backend server.
type announcement struct {
	active  bool      // the limit holds
	limit   float64   // requests per second, as last named
	rate    float64   // requests per second that may be sent; see effectiveRate
	namedAt time.Time // when an answer last named a limit
	silent  int       // answers in a row that named none
}

// announcementChange is what an answer changed in an announcement.
type announcementChange int

const (
	limitUnchanged  announcementChange = iota
	limitNamed                         // it names a limit for the first time, or another one
	limitUnreadable                    // it names something that is no rate
	limitLifted                        // answers have named no limit for long enough
)

// observe applies an answer that was received at now to a request that was sent at sentAt.
func (a *announcement) observe(l bamboostep.RequestLimit, sentAt, now time.Time) announcementChange {
	switch {
	case l.Named && l.Readable:
		return a.observeLimit(l.PerSecond, sentAt, now)
	case l.Named:
		a.silent = 0
		return limitUnreadable
	case a.active && sentAt.After(a.namedAt):
		return a.observeSilence()
	}
	return limitUnchanged
}

func (a *announcement) observeLimit(perSecond float64, sentAt, now time.Time) announcementChange {
	changed := !a.active || perSecond != a.limit
	switch {
	case !a.active || perSecond <= a.rate:
		a.active, a.limit, a.rate = true, perSecond, perSecond
	case sentAt.After(a.namedAt):
		a.limit, a.rate = perSecond, min(perSecond, a.grownRate())
	default:
		changed = false // an answer from before the limit was last named cannot raise it
	}
	a.silent = 0
	a.namedAt = now
	if changed {
		return limitNamed
	}
	return limitUnchanged
}

func (a *announcement) observeSilence() announcementChange {
	a.silent++
	if a.silent <= ignoredSilence {
		return limitUnchanged
	}
	a.rate = a.grownRate()
	if a.rate < liftFactor*max(a.limit, minRaisedRate) {
		return limitUnchanged
	}
	a.active = false
	return limitLifted
}

func (a *announcement) grownRate() float64 { return max(rateGrowth*a.rate, minRaisedRate) }

// effectiveRate returns the rate that may be sent, in requests per second.
func (a *announcement) effectiveRate() float64 { return max(a.rate, probeRate) }
