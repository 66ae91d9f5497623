package quarantine

import "time"

// Trials of suspects whose refusal has expired. A voter grants one trial per request at a time. Of
// parts of prompts, it grants one at a time over all of them, so that the crash of one does not end
// the trial of another.

// trialDuration is enough for a crash to happen and to be reported to the voters.
const trialDuration = 3 * time.Second

// trial is a trial that was granted. The zero value is one that has ended.
type trial struct {
	fingerprint uint64
	token       uint64 // of the request for it
	until       time.Time
}

// grantTrial reports whether a request may run whose refusal, or that for a part of its prompt,
// has expired. A trial lasts for trialDuration, and one of a part no longer than until its record
// changes. It is not granted while this process knows of a crash that refuses the part still: the entry
// that asks may not have heard of it. It is always granted for a suspect that is not known. token
// names the request for the trial.
func (t *Table) grantTrial(now time.Time, id SuspectID, token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects(id.Part)[id.Fingerprint]
	if s == nil {
		return true
	}
	running := t.trialOf(s)
	if now.Before(running.until) || s.part && now.Before(s.refusedUntilAtLeast()) {
		return false
	}
	*running = trial{id.Fingerprint, token, now.Add(trialDuration)}
	return true
}

// releaseTrial ends the trial that was granted to the request with a token.
func (t *Table) releaseTrial(id SuspectID, token uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects(id.Part)[id.Fingerprint]
	if s == nil {
		return
	}
	if running := t.trialOf(s); running.fingerprint == id.Fingerprint && running.token == token {
		*running = trial{}
	}
}

// trialOf returns the place of the trial that keeps others of s from being granted. mu is held.
func (t *Table) trialOf(s *suspect) *trial {
	if s.part {
		return &t.partTrial
	}
	return &s.trial
}

// refusedUntilAtLeast returns the end of the shortest refusal of a part.
func (s *suspect) refusedUntilAtLeast() time.Time {
	return time.UnixMilli(s.record.lastCrash()).Add(partRefusals[0])
}
