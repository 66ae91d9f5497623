// Package quarantine detects requests, and parts of prompts, that crash the backend servers that
// run them, and refuses them.
//
// A request may crash every backend server that starts to run it, and its caller may
// resend it to any entry. A crash also interrupts all requests that run beside the
// culprit, so a single crash does not identify it, and most crashes have other causes.
// A request is refused only after it was present at crashes of several backend servers
// and made no progress beyond them.
//
//   - An entry whose response stream breaks off checks whether the backend server is
//     still listening (Guard). If it is not, this is a crash, and every request that was
//     interrupted there becomes a suspect.
//   - Voters merge the crash records of all entries (Aggregator) and send entries the requests
//     with two or more crashes (Follower). They save them to disk (File), so that they
//     survive restarts.
//   - Once a refusal has expired, one entry at a time may run the request as a trial, if a
//     majority of the voters grants it.
//   - A request that completes, or gets further than it did before its crashes, is cleared.
//
// Requests that have nothing but a part of their prompts in common may crash backend servers too.
// The parts are suspects like whole requests, in part_verdict.go.
//
// The main difficulty is to tell the culprit from the requests that ran beside it.
// Suspects are therefore retried isolated from each other: after a random delay and on
// a randomly chosen backend server. A suspect that shared its crashes with other suspects is
// refused only briefly until it has crashes that they do not have. The same applies
// while backend servers also crash without it.
package quarantine

import (
	"slices"
	"time"
)

// Crash is one crash of a backend server as one request experienced it.
type Crash struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Address string
	At      int64 // Unix milliseconds, by the clock of the entry that observed it
	Events  int   // number of response events that the request had received by then; for a part see partCrash
}

// crashWindowMillis is the largest difference between the times at which two entries
// observe the same crash. A backend server takes longer than this to restart.
const crashWindowMillis = 1500

// matches reports whether c and o are observations of the same crash.
func (c Crash) matches(o Crash) bool {
	return c.Address == o.Address && max(c.At-o.At, o.At-c.At) < crashWindowMillis
}

// Record holds the crash history of one request, or of one part of prompts. It is immutable.
type Record struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Fingerprint uint64  // identifies the request by its content, or the part by its ID
	Crashes     []Crash // those after ClearedAt, oldest first
	ClearedAt   int64   // Unix milliseconds; crashes up to this time are disregarded
}

// maxCrashesPerRecord bounds the crashes kept in one record; the newest are kept.
const maxCrashesPerRecord = 8

// merge returns the union of two records of the same request.
func (r Record) merge(o Record) Record {
	merged := Record{Fingerprint: r.Fingerprint, ClearedAt: max(r.ClearedAt, o.ClearedAt)}
	for _, c := range slices.Concat(r.Crashes, o.Crashes) {
		if c.At <= merged.ClearedAt {
			continue
		}
		if i := slices.IndexFunc(merged.Crashes, c.matches); i >= 0 {
			merged.Crashes[i].Events = max(merged.Crashes[i].Events, c.Events)
			continue
		}
		merged.Crashes = append(merged.Crashes, c)
	}
	slices.SortFunc(merged.Crashes, func(a, b Crash) int { return int(a.At - b.At) })
	if over := len(merged.Crashes) - maxCrashesPerRecord; over > 0 {
		merged.Crashes = merged.Crashes[over:]
	}
	return merged
}

// equal reports whether r and o hold the same crashes and clearing time.
func (r Record) equal(o Record) bool {
	return r.ClearedAt == o.ClearedAt && slices.Equal(r.Crashes, o.Crashes)
}

// lastCrash returns the time of the newest crash in Unix milliseconds, or 0 if there is none.
func (r Record) lastCrash() int64 {
	if len(r.Crashes) == 0 {
		return 0
	}
	return r.Crashes[len(r.Crashes)-1].At
}

// lastUpdate returns the time of the newest crash or clearing in Unix milliseconds.
func (r Record) lastUpdate() int64 { return max(r.lastCrash(), r.ClearedAt) }

// Content identifies what a request holds.
type Content struct {
	Fingerprint uint64   // of the whole request
	Parts       []uint64 // fingerprints of the parts of its prompt that other prompts may share
}

// SuspectID identifies a suspect.
type SuspectID struct {
	Fingerprint uint64
	Part        bool // a part of prompts, not a whole request
}

// Observations is what processes tell each other of suspects. It is also the content of File.
type Observations struct {
	Records []Record `msgpack:"records"`         // of requests
	Parts   []Record `msgpack:"parts,omitempty"` // of parts of prompts
}

func (o Observations) empty() bool { return len(o.Records) == 0 && len(o.Parts) == 0 }

// Verdict says whether and how a request may run.
type Verdict struct {
	Crashes          int           // number of crashes since the request was last cleared
	Isolated         bool          // run it isolated from other suspects: after a random delay, on a randomly chosen backend server
	Refused          bool          // do not run it
	RetryAfter       time.Duration // remaining refusal, if Refused
	Trial            bool          // it was refused before; running it again needs a granted trial
	Part             uint64        // fingerprint of the part of its prompt that is to blame; 0 if the request itself is
	ClearAfterEvents int           // number of response events above which the request is cleared
}

// suspect returns the suspect that v is about: a part, or the request with the given fingerprint.
func (v Verdict) suspect(request uint64) SuspectID {
	if v.Part != 0 {
		return SuspectID{Fingerprint: v.Part, Part: true}
	}
	return SuspectID{Fingerprint: request}
}

const (
	suspectThreshold     = 2 // crashes from which a request runs isolated
	refuseThreshold      = 3 // crashes from which it is refused
	longRefusalThreshold = 5 // crashes from which it is refused for maxRefusal, whatever other requests were present
	eventMargin          = 2 // number of events that may vary between runs that hit the same crash
)

// The refusal after the last crash, by number of crashes. A culprit is refused for long.
// An uncertain suspect is refused briefly, so that the requests that ran beside it can
// complete without it.
var (
	culpritRefusals   = map[int]time.Duration{refuseThreshold: 30 * time.Second, refuseThreshold + 1: 10 * time.Minute}
	uncertainRefusals = map[int]time.Duration{refuseThreshold: 2 * time.Second, refuseThreshold + 1: 15 * time.Second}
)

// maxRefusal applies to crash counts that the tables above do not list.
const maxRefusal = 24 * time.Hour

// refusalDuration returns how long a request with a number of crashes is refused.
func refusalDuration(crashes int, culprit bool) time.Duration {
	durations := uncertainRefusals
	if culprit {
		durations = culpritRefusals
	}
	if d, ok := durations[crashes]; ok {
		return d
	}
	return maxRefusal
}
