package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// The verdict on a request by the parts of its prompt. A part may crash each backend server that
// begins to answer a prompt with it, whatever else the request holds, so its requests differ.
//
// The difficulty is to tell that part from the harmless ones beside it, in the same prompts and in
// others that ran at the same backend servers:
//
//   - Any request that is answered well clears all parts of its prompt, and keeps them from being
//     suspected for a moment. A part that crashes is never cleared.
//   - A crash does not count against a part in a prompt that lacks another one that was there and has
//     enough crashes to be refused: each of the two is ambiguous. A request with one of them alone is
//     tried soon, one at a time, and shows which one it is.
//   - While backend servers crash faster than any request can be answered, all parts look alike. The
//     first refusals are therefore short, unless one part is unambiguous, and only trials make the
//     next ones longer that crash while other prompts are answered well.

const (
	ambiguousTrials = 2                 // trials of an ambiguous part that may crash before its refusals get a step longer
	trialCrashGap   = crashWindowMillis // milliseconds without a crash before one that counts as that of a trial
	contrastWindow  = 10 * time.Second  // before the crash of a trial, in which another prompt must be answered well for it to count
)

// partRefusals are the refusals after the last crash, by the number of trials that crashed. The
// last one applies to higher numbers.
var partRefusals = []time.Duration{2 * time.Second, 4 * time.Second, time.Minute, maxRefusal}

// unambiguousRefusal is the shortest refusal for a part that is unambiguous.
const unambiguousRefusal = 30 * time.Second

// EvaluateParts returns whether a request may run whose prompt has the given parts, by their
// fingerprints.
func (t *Table) EvaluateParts(now time.Time, parts []uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var worst Verdict
	for _, fingerprint := range parts {
		s := t.parts[fingerprint]
		if s == nil || len(s.crashes) < refuseThreshold {
			continue
		}
		if v := t.evaluatePart(now, s, parts); v.moreSevereThan(worst) {
			worst = v
		}
	}
	return worst
}

// moreSevereThan orders the verdicts on the parts of a prompt. A trial is for the part that has
// most crashes.
func (v Verdict) moreSevereThan(o Verdict) bool {
	return v.Trial && (!o.Trial || cmp.Or(cmp.Compare(v.RetryAfter, o.RetryAfter), cmp.Compare(v.Crashes, o.Crashes)) > 0)
}

// evaluatePart returns the verdict on a prompt by one of its parts, which has at least
// refuseThreshold crashes. mu is held.
func (t *Table) evaluatePart(now time.Time, s *suspect, prompt []uint64) Verdict {
	crashed := s.crashedTrials(prompt)
	if !t.causedCrashes(s, prompt) {
		crashed = min(max(0, crashed-ambiguousTrials), 1)
	}
	refusal := partRefusals[min(crashed, len(partRefusals)-1)]
	if t.isUnambiguous(s) {
		refusal = max(refusal, unambiguousRefusal)
	}
	v := Verdict{Crashes: len(s.crashes), Trial: true, Part: s.record.Fingerprint}
	if left := time.UnixMilli(s.record.lastCrash()).Add(refusal).Sub(now); left > 0 {
		v.Refused, v.RetryAfter = true, left
	}
	return v
}

// isUnambiguous reports whether no other part at the crashes of s has enough of them to be refused,
// and backend servers crashed less often without s than with it, while other prompts were answered
// well. mu is held.
func (t *Table) isUnambiguous(s *suspect) bool {
	contrasted := 0
	for i, c := range s.crashes {
		if c.hasOtherPart([]uint64{s.record.Fingerprint}, refuseThreshold) {
			return false
		}
		if s.record.Crashes[i].contrasted() {
			contrasted++
		}
	}
	return contrasted >= refuseThreshold && t.unrelatedCrashes(s) < len(s.crashes)
}

// crashedTrials counts the crashes of a part after its first refuseThreshold that came after a
// pause, as those of trials do, while other prompts were answered well, and that no other part with
// about as many crashes explains. mu is held.
func (s *suspect) crashedTrials(prompt []uint64) int {
	n := 0
	for i := refuseThreshold; i < len(s.crashes); i++ {
		pause := s.record.Crashes[i].At - s.record.Crashes[i-1].At
		if pause >= trialCrashGap && s.record.Crashes[i].contrasted() && !s.crashes[i].hasOtherPart(prompt, len(s.crashes)-1) {
			n++
		}
	}
	return n
}

// causedCrashes reports whether s caused its crashes in a prompt: at least refuseThreshold of them have
// no other explanation. mu is held.
func (t *Table) causedCrashes(s *suspect, prompt []uint64) bool {
	unexplained := 0
	for _, c := range s.crashes {
		if !c.hasOtherPart(prompt, refuseThreshold) {
			unexplained++
		}
	}
	return unexplained >= refuseThreshold
}

// hasOtherPart reports whether a part that the prompt lacks, and that has at least n crashes, was
// present at the crash.
func (c *knownCrash) hasOtherPart(prompt []uint64, n int) bool {
	for o := range c.suspects {
		if o.part && len(o.crashes) >= n && !slices.Contains(prompt, o.record.Fingerprint) {
			return true
		}
	}
	return false
}

// answeredWindow is how long after an answer that went well the parts of its prompt are not suspected.
// It bounds for how long a part that was harmless before may crash without being reported.
const answeredWindow = 5 * time.Second

// answeredParts holds when parts of prompts were last in one that was answered well: those of the
// last answeredWindow, and at most about maxRecords.
type answeredParts struct {
	last, before map[uint64]time.Time // last becomes before once it is full or answeredWindow old
	lastSince    time.Time
}

// add adds the parts of a prompt that was answered well.
func (a *answeredParts) add(now time.Time, parts []uint64) {
	if a.last == nil || len(a.last) >= maxRecords/2 || now.Sub(a.lastSince) > answeredWindow {
		a.last, a.before, a.lastSince = make(map[uint64]time.Time), a.last, now
	}
	for _, part := range parts {
		a.last[part] = now
	}
}

// since reports whether a part was in a prompt that was answered well after t.
func (a *answeredParts) since(part uint64, t time.Time) bool {
	return a.last[part].After(t) || a.before[part].After(t)
}

// partCrash returns a crash as the record of a part holds it. Its Events say only whether another
// prompt was answered well shortly before, since requests with a part may be at any event.
func partCrash(address string, at time.Time, contrasted bool) Crash {
	c := Crash{Address: address, At: at.UnixMilli()}
	if contrasted {
		c.Events = 1
	}
	return c
}

// contrasted reports whether another prompt was answered well shortly before a part's crash.
func (c Crash) contrasted() bool { return c.Events > 0 }
