// Package quota enforces rates over all entries, foremost the quota of each workspace.
//
// A quota is a token bucket that refills at the declared rate up to the declared burst.
// Each request takes its cost from it. Voters keep the buckets (BucketServer). Entries count
// what they admit and report it to all voters several times a second; a voter answers a
// report with the levels of the buckets that it named (Limiter).
//
// Asking a voter about each request would add latency to all of them. Splitting the quota
// into a fixed part per entry would either refuse callers whose requests arrive at few
// entries, or admit too much in total. An entry therefore admits requests locally while
// the last known level is high enough to cover what all entries can admit between two
// reports. Below that it asks a voter about each request. All entries ask the same voter
// for a workspace, so that its bucket contains all requests. An entry that is connected to
// no voter admits its share of the rate.
//
// The package also enforces the limits that backend servers name on the requests that they
// take from all entries together (ServerLimitCoordinator on voters, ServerLimiter on entries).
// These are a few requests a second, so entries ask for each one, and a majority of the
// voters decides (ballot).
package quota

import "time"

const (
	reportInterval      = 200 * time.Millisecond
	reportTimeout       = 500 * time.Millisecond
	takeTimeout         = 150 * time.Millisecond
	voterConnectTimeout = 200 * time.Millisecond // longest wait of a request for the first voter connection
	startupGrace        = time.Second            // after start or after the last connection was lost, requests wait for a voter connection
	voterPollInterval   = 10 * time.Millisecond
	avoidDuration       = time.Second            // a voter whose call failed is not asked for this time
	levelMaxAge         = time.Second            // a reported level is ignored after this time
	voterMaxSilence     = 500 * time.Millisecond // an entry admits locally only if a voter has replied within this time

	localAdmitShare      = 0.5 // of the burst; below this level an entry asks a voter
	standaloneBurstShare = 0.2 // of its share of the burst; the burst of an entry that is connected to no voter
)

// bucket is a token bucket. A request may be admitted while the level is positive, even if
// it costs more: otherwise a request that costs more than the burst would never run. The
// level becomes negative then.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds what the rate has yielded since the last refill.
func (b *bucket) refill(now time.Time, perSecond, burst float64) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level += elapsed * perSecond
		b.updatedAt = now
	}
	b.level = min(b.level, burst)
}

// timeUntil returns how long it takes until the level reaches amount.
func (b *bucket) timeUntil(amount, perSecond float64) time.Duration {
	missing := max(0, amount-b.level)
	return time.Duration(missing / perSecond * float64(time.Second))
}
