// Package quota keeps what the callers of each workspace ask for within its quota, over
// all entries.
//
// The quota of a workspace is a token bucket: it fills at the declared rate up to the
// declared burst, and each request takes its cost. Voters keep the buckets (Counter).
// Entries count what they admit and report it to all voters a few times a second; each
// report is answered with the levels of the buckets that it named (Meter).
//
// The hard point is that a question to a voter for each request costs all callers time,
// while a quota that each entry keeps by itself is either too small where callers happen
// to be, or too large for all together. So an entry admits by itself as long as the
// bucket is well filled, as far as it knows: what all entries can admit between two
// reports is then still there. Below that it asks one voter for each request, the same
// for all entries, whose bucket then has all requests in it. An entry that reaches no
// voter admits its part of the rate.
package quota

import "time"

const (
	reportInterval = 200 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	takeTimeout    = 150 * time.Millisecond
	voterWait      = 200 * time.Millisecond // for a voter to be reached
	startTime      = time.Second            // in which processes that start find each other
	voterStep      = 10 * time.Millisecond
	avoidFor       = time.Second            // a voter that did not answer
	viewAge        = time.Second            // after which a level that was told says nothing
	heardAge       = 500 * time.Millisecond // after which an entry does not admit by itself

	reserveShare = 0.5 // of the burst, below which a voter is asked
	aloneShare   = 0.2 // of its part of the burst, that an entry saves up for when it reaches no voter
)

// bucket is a token bucket. A request may be taken while anything is in it, so that one
// that costs more than the burst is not refused for ever; what is missing is owed.
type bucket struct {
	level float64
	at    time.Time
}

// fill lets the bucket fill until now.
func (b *bucket) fill(now time.Time, perSecond, burst float64) {
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level += passed * perSecond
		b.at = now
	}
	b.level = min(b.level, burst)
}

// wait returns how long it takes until an amount is in the bucket.
func (b *bucket) wait(amount, perSecond float64) time.Duration {
	missing := max(0, amount-b.level)
	return time.Duration(missing / perSecond * float64(time.Second))
}
