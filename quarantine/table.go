package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Table holds the crash records of all suspects, requests and parts of prompts, that one process
// knows of. Records may arrive in any order and more than once: tables that have received the same records give the same
// verdicts. All methods are safe for concurrent use. The zero value is an empty table.
type Table struct {
	mu               sync.Mutex
	requests         map[uint64]*suspect // by fingerprint
	parts            map[uint64]*suspect // parts of prompts, by fingerprint
	crashesByAddress map[string][]*knownCrash
	crashesByTime    []*knownCrash // at most maxKnownCrashes, oldest first
	version          uint64        // of the newest change
	changed          chan struct{} // closed and replaced at each change
	lastTrim         time.Time
	partTrial        trial     // of any part
	answeredAt       time.Time // when a prompt was last answered well here
	answeredParts    answeredParts
}

// suspect is a request, or a part of prompts, that was present at a crash.
type suspect struct {
	part      bool // a part of prompts
	record    Record
	crashes   []*knownCrash // the crashes of record, parallel to record.Crashes
	version   uint64        // of its newest change
	published bool          // has been at enough crashes to be sent to entries; stays set, so that they learn of its clearing

	trial          trial  // the last one, for a request
	culpritVersion uint64 // version of the table for which culprit was computed
	culprit        bool   // cached result of computeCulprit, for a request
}

// knownCrash is one crash with all suspects that were present at it.
type knownCrash struct {
	Crash
	version  uint64 // of the change that added it
	suspects map[*suspect]bool
}

const (
	maxRecords      = 4096 // of requests, and as many of parts of prompts
	maxKnownCrashes = 256
	retention       = 24 * time.Hour // after the last crash or clearing of a record

	trimInterval = time.Minute
)

func (t *Table) init() {
	if t.requests != nil {
		return
	}
	t.requests = make(map[uint64]*suspect)
	t.parts = make(map[uint64]*suspect)
	t.crashesByAddress = make(map[string][]*knownCrash)
	t.changed = make(chan struct{})
	t.version = uint64(time.Now().UnixMilli()) // above the versions of an earlier run of this process
}

// suspects returns the requests, or the parts of prompts. mu is held.
func (t *Table) suspects(part bool) map[uint64]*suspect {
	if part {
		return t.parts
	}
	return t.requests
}

// Merge merges records of requests received from another process or observed by this one. It
// returns the merged records of those whose record changed.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	return t.mergeAll(now, false, records)
}

// MergeParts is Merge for records of parts of prompts.
func (t *Table) MergeParts(now time.Time, records []Record) []Record {
	return t.mergeAll(now, true, records)
}

func (t *Table) mergeAll(now time.Time, part bool, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	var changed []Record
	for _, r := range records {
		if merged, ok := t.mergeRecord(part, r); ok {
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
	return t.clear(now, false, fingerprint)
}

// ClearParts disregards the crashes so far of parts of a prompt that was answered well. It
// returns the records to send to the other processes.
func (t *Table) ClearParts(now time.Time, parts []uint64) []Record {
	t.mu.Lock()
	t.answeredAt = now
	t.answeredParts.add(now, parts)
	t.mu.Unlock()
	var cleared []Record
	for _, fingerprint := range parts {
		if r, ok := t.clear(now, true, fingerprint); ok {
			cleared = append(cleared, r)
		}
	}
	return cleared
}

// answeredRecently reports whether a prompt was answered well within contrastWindow.
func (t *Table) answeredRecently(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.answeredAt) < contrastWindow
}

// unanswered returns those of some parts that were in no prompt answered well here within
// answeredWindow.
func (t *Table) unanswered(now time.Time, parts []uint64) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []uint64
	for _, part := range parts {
		if !t.answeredParts.since(part, now.Add(-answeredWindow)) {
			list = append(list, part)
		}
	}
	return list
}

// clear does the work of Clear for a request or a part.
func (t *Table) clear(now time.Time, part bool, fingerprint uint64) (Record, bool) {
	t.mu.Lock()
	s := t.suspects(part)[fingerprint]
	if s == nil || len(s.crashes) == 0 {
		t.mu.Unlock()
		return Record{}, false
	}
	cleared := Record{Fingerprint: fingerprint, ClearedAt: max(now.UnixMilli(), s.record.lastCrash())}
	t.mu.Unlock()
	t.mergeAll(now, part, []Record{cleared})
	return cleared, true
}

// mergeRecord merges one record. It returns the merged record, and false if nothing changed.
// mu is held.
func (t *Table) mergeRecord(part bool, r Record) (Record, bool) {
	s := t.suspects(part)[r.Fingerprint]
	if s == nil {
		if len(r.Crashes) == 0 {
			return Record{}, false
		}
		s = &suspect{part: part, record: Record{Fingerprint: r.Fingerprint}}
		t.suspects(part)[r.Fingerprint] = s
	}
	merged := s.record.merge(r)
	if merged.equal(s.record) {
		return Record{}, false
	}
	t.setRecord(s, merged)
	if part && t.partTrial.fingerprint == r.Fingerprint {
		t.partTrial = trial{}
	}
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
// maxRecords of a kind. mu is held.
func (t *Table) trim(now time.Time) {
	if max(len(t.requests), len(t.parts)) <= maxRecords && now.Sub(t.lastTrim) < trimInterval {
		return
	}
	t.lastTrim = now
	t.trimSuspects(t.requests, now)
	t.trimSuspects(t.parts, now)
}

func (t *Table) trimSuspects(suspects map[uint64]*suspect, now time.Time) {
	oldest := now.Add(-retention).UnixMilli()
	for _, s := range suspects {
		if s.record.lastUpdate() < oldest {
			t.removeSuspect(s)
		}
	}
	if len(suspects) <= maxRecords {
		return
	}
	over := len(suspects) - maxRecords*7/8 // headroom, so that the next additions do not sort again
	list := slices.SortedFunc(maps.Values(suspects), leastSuspicious)
	for _, s := range list[:over] {
		t.removeSuspect(s)
	}
}

// removeSuspect removes a suspect and its references from crashes. mu is held.
func (t *Table) removeSuspect(s *suspect) {
	t.setRecord(s, Record{Fingerprint: s.record.Fingerprint})
	delete(t.suspects(s.part), s.record.Fingerprint)
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

// Records returns all records of requests, in no particular order.
func (t *Table) Records() []Record { return t.records(false) }

// PartRecords returns all records of parts of prompts, in no particular order.
func (t *Table) PartRecords() []Record { return t.records(true) }

func (t *Table) records(part bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Record, 0, len(t.suspects(part)))
	for _, s := range t.suspects(part) {
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
	if version > t.version {
		version = 0
	}
	reply := watchReply{Version: t.version}
	for _, c := range t.crashesByTime {
		if c.version > version {
			reply.Crashes = append(reply.Crashes, c.Crash)
		}
	}
	reply.Records = publishedSince(t.requests, version)
	reply.Parts = publishedSince(t.parts, version)
	return reply, t.changed
}

// publishedSince returns the records to send to entries that changed after a version.
func publishedSince(suspects map[uint64]*suspect, version uint64) []Record {
	var list []Record
	for _, s := range suspects {
		s.published = s.published || len(s.crashes) >= suspectThreshold
		if s.published && s.version > version {
			list = append(list, s.record)
		}
	}
	return list
}
