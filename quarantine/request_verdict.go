package quarantine

import "time"

// The verdict on a whole request, by the crashes at which it was present.

// Evaluate returns whether and how a request may run, leaving aside the parts of its prompt.
func (t *Table) Evaluate(now time.Time, fingerprint uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.requests[fingerprint]
	if s == nil || len(s.crashes) == 0 {
		return Verdict{}
	}
	v := Verdict{Crashes: len(s.crashes)}
	for _, c := range s.record.Crashes {
		v.ClearAfterEvents = max(v.ClearAfterEvents, c.Events+eventMargin)
	}
	n, culprit := len(s.crashes), t.isCulprit(s)
	if !culprit {
		n = s.unexplainedCrashes(t)
	}
	v.Isolated = n >= suspectThreshold
	if n < refuseThreshold {
		return v
	}
	v.Trial = true
	until := time.UnixMilli(s.record.lastCrash()).Add(refusalDuration(n, culprit))
	if left := until.Sub(now); left > 0 {
		v.Refused, v.RetryAfter = true, left
	}
	return v
}

// isCulprit reports whether a request caused its crashes: it has at least refuseThreshold
// of them, no other suspect shares all or all but one of them, and fewer crashes happened
// without it in the same period than with it. The result is cached until the table
// changes. mu is held.
func (t *Table) isCulprit(s *suspect) bool {
	if len(s.crashes) < refuseThreshold {
		return false
	}
	if s.culpritVersion != t.version {
		s.culpritVersion, s.culprit = t.version, t.computeCulprit(s)
	}
	return s.culprit
}

// computeCulprit does the work of isCulprit, without its cache and threshold. mu is held.
func (t *Table) computeCulprit(s *suspect) bool {
	n := len(s.crashes)
	shared := make(map[*suspect]int)
	for _, c := range s.crashes {
		for o := range c.suspects {
			if !o.part {
				shared[o]++
			}
		}
	}
	for o, count := range shared {
		if o != s && count > n-suspectThreshold {
			return false
		}
	}
	return t.unrelatedCrashes(s) < n
}

// explainsCrash reports whether a suspect is the cause of the crashes at which it was present. mu
// is held.
func (t *Table) explainsCrash(s *suspect) bool {
	if s.part {
		return len(s.crashes) >= refuseThreshold && t.causedCrashes(s, []uint64{s.record.Fingerprint})
	}
	return t.isCulprit(s)
}

// unrelatedCrashes counts the crashes between the first and the last crash of a suspect at
// which it was not present. mu is held.
func (t *Table) unrelatedCrashes(s *suspect) int {
	first, last := s.record.Crashes[0].At-crashWindowMillis, s.record.lastCrash()+crashWindowMillis
	n := 0
	for _, c := range t.crashesByTime {
		if c.At >= first && c.At <= last && !c.suspects[s] {
			n++
		}
	}
	return n
}

// unexplainedCrashes counts the crashes of a request at which no other request is a culprit, and
// no part of a prompt is to blame. mu of t is held.
func (s *suspect) unexplainedCrashes(t *Table) int {
	n := 0
	for _, c := range s.crashes {
		explained := false
		for o := range c.suspects {
			explained = explained || o != s && t.explainsCrash(o)
		}
		if !explained {
			n++
		}
	}
	return n
}
