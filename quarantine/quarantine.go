// Package quarantine finds requests that crash the backend servers that run them, and
// keeps them from more of them.
//
// A request may crash each backend server that begins to run it, and its caller sends
// it again, at any entry. What ran beside it breaks off as well, so one crash cannot
// tell who is to blame, and most crashes have other causes. Only repetition tells: a
// request that was there each time one of several backend servers crashed, and never
// got any further, is refused.
//
//   - An entry that sees an answer break off asks whether the backend server is gone
//     (Guard). Only then it is a crash, and every request that broke off there a suspect.
//   - Voters put together what all entries saw (Board), and tell all entries of requests
//     that were at two crashes or more (Follower). They keep that on their disks (File),
//     so that it outlives any restart.
//   - Once its refusal is over, one entry at a time may try it, by the word of a majority
//     of the voters.
//   - A request that completes, or gets further than it was at its crashes, is cleared.
//
// The hard point is who ran beside it. Suspects are tried again apart, by chance at
// another time and another backend server, and one that others were with is refused
// for a moment only, until it has been at crashes that they were not at. The same holds
// where backend servers also crash without it.
package quarantine

import (
	"slices"
	"time"
)

// Crash is one crash of one backend server while it ran a request.
type Crash struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Address string
	At      int64 // Unix milliseconds, by the clock of the entry that saw it
	Events  int   // of the request's answer that had come until then
}

// sameCrash is how far apart two entries may see one crash. A backend server takes
// longer to be back.
const sameCrash = 1500 // milliseconds

// same reports whether two entries speak of one crash.
func (c Crash) same(o Crash) bool {
	return c.Address == o.Address && max(c.At-o.At, o.At-c.At) < sameCrash
}

// Record is what is known of one request. It is immutable.
type Record struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Content uint64  // the request's fingerprint
	Crashes []Crash // after PassedAt, the oldest first
	Passed  int64   // Unix milliseconds; the request was cleared of all crashes until then
}

// maxCrashes bounds what is kept of one request.
const maxCrashes = 8

// with returns r with what another process knows of the same request.
func (r Record) with(o Record) Record {
	merged := Record{Content: r.Content, Passed: max(r.Passed, o.Passed)}
	for _, c := range slices.Concat(r.Crashes, o.Crashes) {
		if c.At > merged.Passed && !slices.ContainsFunc(merged.Crashes, c.same) {
			merged.Crashes = append(merged.Crashes, c)
		}
	}
	slices.SortFunc(merged.Crashes, func(a, b Crash) int { return int(a.At - b.At) })
	if over := len(merged.Crashes) - maxCrashes; over > 0 {
		merged.Crashes = merged.Crashes[over:]
	}
	return merged
}

// equal reports whether r and o say the same.
func (r Record) equal(o Record) bool {
	return r.Passed == o.Passed && slices.Equal(r.Crashes, o.Crashes)
}

// last returns when the request was last at a crash.
func (r Record) last() int64 {
	if len(r.Crashes) == 0 {
		return 0
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// heard returns when there was last news of the request.
func (r Record) heard() int64 { return max(r.last(), r.Passed) }

// Verdict says how a request may run.
type Verdict struct {
	Crashes    int           // that it was at since it last got further
	Apart      bool          // at another time and place than other suspects
	Refused    bool          // not at all
	RetryAfter time.Duration // when refused
	Trial      bool          // it was refused before: one at a time may try
	Beyond     int           // events of its answer after which it is cleared
}

const (
	suspectCrashes = 2 // from which a request runs apart
	refuseCrashes  = 3 // from which it is refused
	certainCrashes = 5 // from which it is refused for long, whoever else was there
	marginEvents   = 2 // that may come or not before the same crash
)

// How long a request is refused after its last crash: for long if it is proved to be
// to blame, else for a moment, in which what was beside it runs in peace.
var (
	longRefusals  = map[int]time.Duration{refuseCrashes: 30 * time.Second, refuseCrashes + 1: 10 * time.Minute}
	shortRefusals = map[int]time.Duration{refuseCrashes: 2 * time.Second, refuseCrashes + 1: 15 * time.Second}
)

const longestRefusal = 24 * time.Hour

// refusal returns how long a request is refused that was at some crashes.
func refusal(crashes int, proved bool) time.Duration {
	spans := shortRefusals
	if proved {
		spans = longRefusals
	}
	if d, ok := spans[crashes]; ok {
		return d
	}
	return longestRefusal
}
