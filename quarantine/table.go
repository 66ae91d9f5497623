package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Table holds the crash records of all suspects that one process knows of. Records may arrive
// in any order and more than once: tables that have received the same records give the same
// verdicts. All methods are safe for concurrent use. The zero value is an empty table.
type Table struct {
	mu               sync.Mutex
	suspects         map[uint64]*suspect // by fingerprint
	crashesByAddress map[string][]*knownCrash
	crashesByTime    []*knownCrash // at most maxKnownCrashes, oldest first
	version          uint64        // of the newest change
	changed          chan struct{} // closed and replaced at each change
	lastTrim         time.Time
}

// suspect is a request that was present at a crash.
type suspect struct {
	record    Record
	crashes   []*knownCrash // the crashes of record, parallel to record.Crashes
	version   uint64        // of its newest change
	published bool          // has been at enough crashes to be sent to entries; stays set, so that they learn of its clearing

	trialUntil     time.Time // end of the trial that was granted last
	culpritVersion uint64    // version of the table for which culprit was computed
	culprit        bool      // cached result of computeCulprit
}

// knownCrash is one crash with all suspects that were present at it.
type knownCrash struct {
	Crash
	version  uint64 // of the change that added it
	suspects map[*suspect]bool
}

const (
	maxRecords      = 4096
	maxKnownCrashes = 256
	retention       = 24 * time.Hour // after the last crash or clearing of a record

	trimInterval  = time.Minute
	trialDuration = 3 * time.Second // enough for a crash to happen and to be reported to the voters
)

func (t *Table) init() {
	if t.suspects != nil {
		return
	}
	t.suspects = make(map[uint64]*suspect)
	t.crashesByAddress = make(map[string][]*knownCrash)
	t.changed = make(chan struct{})
	t.version = uint64(time.Now().UnixMilli()) // above the versions of an earlier run of this process
}

// Merge merges records received from another process or observed by this one. It returns
// the merged records of the requests whose record changed.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	var changed []Record
	for _, r := range records {
		if merged, ok := t.mergeRecord(r); ok {
			changed = append(changed, merged)
		}
	}
	if len(changed) > 0 {
		t.trim(now)
		t.notifyWatchers()
	}
	return changed
}

// MergeCrashes adds crashes that another process knows of, without the requests that were
// present at them.
func (t *Table) MergeCrashes(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, c := range crashes {
		t.findOrAddCrash(c)
	}
}

// Clear disregards the crashes of a request so far, because it has completed or got further
// than it did before them. It returns the record to send to the other processes, and false
// if the request has no crashes.
func (t *Table) Clear(now time.Time, fingerprint uint64) (Record, bool) {
	t.mu.Lock()
	s := t.suspects[fingerprint]
	if s == nil || len(s.crashes) == 0 {
		t.mu.Unlock()
		return Record{}, false
	}
	cleared := Record{Fingerprint: fingerprint, ClearedAt: max(now.UnixMilli(), s.record.lastCrash())}
	t.mu.Unlock()
	t.Merge(now, []Record{cleared})
	return cleared, true
}

// mergeRecord merges one record. It returns the merged record, and false if nothing changed.
// mu is held.
func (t *Table) mergeRecord(r Record) (Record, bool) {
	s := t.suspects[r.Fingerprint]
	if s == nil {
		if len(r.Crashes) == 0 {
			return Record{}, false
		}
		s = &suspect{record: Record{Fingerprint: r.Fingerprint}}
		t.suspects[r.Fingerprint] = s
	}
	merged := s.record.merge(r)
	if merged.equal(s.record) {
		return Record{}, false
	}
	t.setRecord(s, merged)
	t.version++
	s.version = t.version
	return merged, true
}

// setRecord replaces the record of a suspect and updates the crashes that refer to it. mu
// is held.
func (t *Table) setRecord(s *suspect, r Record) {
	for _, c := range s.crashes {
		delete(c.suspects, s)
	}
	s.record = r
	s.crashes = s.crashes[:0]
	for _, c := range r.Crashes {
		known := t.findOrAddCrash(c)
		known.suspects[s] = true
		s.crashes = append(s.crashes, known)
	}
}

// findOrAddCrash returns the known crash that c is an observation of, and adds one if there
// is none. mu is held.
func (t *Table) findOrAddCrash(c Crash) *knownCrash {
	for _, k := range t.crashesByAddress[c.Address] {
		if k.matches(c) {
			return k
		}
	}
	t.version++
	k := &knownCrash{Crash{Address: c.Address, At: c.At}, t.version, make(map[*suspect]bool)}
	t.crashesByAddress[c.Address] = append(t.crashesByAddress[c.Address], k)
	t.crashesByTime = append(t.crashesByTime, k)
	slices.SortFunc(t.crashesByTime, func(a, b *knownCrash) int { return cmp.Compare(a.At, b.At) })
	if len(t.crashesByTime) > maxKnownCrashes {
		t.forgetCrash(t.crashesByTime[0])
		t.crashesByTime = slices.Clone(t.crashesByTime[1:])
	}
	return k
}

// forgetCrash removes a crash from crashesByAddress. mu is held.
func (t *Table) forgetCrash(k *knownCrash) {
	remaining := slices.DeleteFunc(t.crashesByAddress[k.Address], func(o *knownCrash) bool { return o == k })
	t.crashesByAddress[k.Address] = remaining
	if len(remaining) == 0 {
		delete(t.crashesByAddress, k.Address)
	}
}

// trim removes expired records, and the least suspicious ones if there are more than
// maxRecords. mu is held.
func (t *Table) trim(now time.Time) {
	if len(t.suspects) <= maxRecords && now.Sub(t.lastTrim) < trimInterval {
		return
	}
	t.lastTrim = now
	oldest := now.Add(-retention).UnixMilli()
	for _, s := range t.suspects {
		if s.record.lastUpdate() < oldest {
			t.removeSuspect(s)
		}
	}
	if len(t.suspects) <= maxRecords {
		return
	}
	over := len(t.suspects) - maxRecords*7/8 // headroom, so that the next additions do not sort again
	list := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		list = append(list, s)
	}
	slices.SortFunc(list, leastSuspicious)
	for _, s := range list[:over] {
		t.removeSuspect(s)
	}
}

// removeSuspect removes a suspect and its references from crashes. mu is held.
func (t *Table) removeSuspect(s *suspect) {
	t.setRecord(s, Record{Fingerprint: s.record.Fingerprint})
	delete(t.suspects, s.record.Fingerprint)
}

// leastSuspicious orders suspects by ascending number of crashes, then oldest update first.
func leastSuspicious(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.record.lastUpdate(), b.record.lastUpdate()))
}

// notifyWatchers wakes everything that waits on the channel of changesSince. mu is held.
func (t *Table) notifyWatchers() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// grantTrial reports whether the caller may run a request whose refusal has expired. It
// grants one trial per request in trialDuration, and always for a request that is not
// known.
func (t *Table) grantTrial(now time.Time, fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil {
		return true
	}
	if now.Before(s.trialUntil) {
		return false
	}
	s.trialUntil = now.Add(trialDuration)
	return true
}

// Evaluate returns whether and how a request may run.
func (t *Table) Evaluate(now time.Time, fingerprint uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
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
			shared[o]++
		}
	}
	for o, count := range shared {
		if o != s && count > n-suspectThreshold {
			return false
		}
	}
	return t.unrelatedCrashes(s) < n
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

// unexplainedCrashes counts the crashes of a suspect at which no other suspect is a culprit.
// mu of t is held.
func (s *suspect) unexplainedCrashes(t *Table) int {
	n := 0
	for _, c := range s.crashes {
		explained := false
		for o := range c.suspects {
			explained = explained || o != s && t.isCulprit(o)
		}
		if !explained {
			n++
		}
	}
	return n
}

// Records returns all records, in no particular order.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Record, 0, len(t.suspects))
	for _, s := range t.suspects {
		list = append(list, s.record)
	}
	return list
}

// changesSince returns what an entry must learn that knows the table at a version: the
// records that changed since then and are or were at suspectThreshold crashes, and the new
// crashes. It returns everything if the version is above the table's, since it then comes from
// another run of this process. The channel is closed at the next change.
func (t *Table) changesSince(version uint64) (watchReply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	all := version > t.version
	reply := watchReply{Version: t.version}
	for _, c := range t.crashesByTime {
		if all || c.version > version {
			reply.Crashes = append(reply.Crashes, c.Crash)
		}
	}
	for _, s := range t.suspects {
		s.published = s.published || len(s.crashes) >= suspectThreshold
		if s.published && (all || s.version > version) {
			reply.Records = append(reply.Records, s.record)
		}
	}
	return reply, t.changed
}
