package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Table holds what one process knows of all suspects. Records only gain, and the same
// news may come by any way and more than once, so tables that have heard the same say
// the same. All methods may be used by many goroutines. The zero value is empty.
type Table struct {
	mu       sync.Mutex
	suspects map[uint64]*suspect
	crashes  map[string][]*knownCrash // by address
	known    []*knownCrash            // the newest, the oldest first
	number   uint64                   // of the newest change
	changed  chan struct{}
	trimmed  time.Time
}

// suspect is one request.
type suspect struct {
	record  Record
	crashes []*knownCrash // those of record
	number  uint64        // of its newest change
	told    bool          // to entries

	triedUntil time.Time // by a process that was allowed to try whether it still crashes
	judged     uint64    // change of the table that guilty was found out at
	guilty     bool      // proved to be to blame
}

// knownCrash is one crash with all suspects that were at it.
type knownCrash struct {
	Crash
	number  uint64 // of the change that brought it
	members map[*suspect]bool
}

const (
	maxRecords = 4096
	maxKnown   = 256 // crashes
	keepFor    = 24 * time.Hour

	trimInterval = time.Minute
	trialTime    = 3 * time.Second // in which a crash would show and be told
)

func (t *Table) init() {
	if t.suspects != nil {
		return
	}
	t.suspects = make(map[uint64]*suspect)
	t.crashes = make(map[string][]*knownCrash)
	t.changed = make(chan struct{})
	t.number = uint64(time.Now().UnixMilli()) // above those of an earlier start
}

// Note takes in what another process knows. It returns the records that say something new.
func (t *Table) Note(now time.Time, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	var news []Record
	for _, r := range records {
		if merged, ok := t.merge(r); ok {
			news = append(news, merged)
		}
	}
	if len(news) > 0 {
		t.trim(now)
		t.wake()
	}
	return news
}

// NoteCrashes takes in crashes that another process knows of, whoever was at them.
func (t *Table) NoteCrashes(crashes []Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, c := range crashes {
		t.crash(c)
	}
}

// Passed notes that a request has completed or got further than it was at its crashes.
// It returns the record to be told others, and false if the request was no suspect.
func (t *Table) Passed(now time.Time, content uint64) (Record, bool) {
	t.mu.Lock()
	s := t.suspects[content]
	if s == nil || len(s.crashes) == 0 {
		t.mu.Unlock()
		return Record{}, false
	}
	passed := Record{Content: content, Passed: max(now.UnixMilli(), s.record.last())}
	t.mu.Unlock()
	t.Note(now, []Record{passed})
	return passed, true
}

// merge takes in one record. mu is held.
func (t *Table) merge(r Record) (Record, bool) {
	s := t.suspects[r.Content]
	if s == nil {
		if len(r.Crashes) == 0 {
			return Record{}, false
		}
		s = &suspect{record: Record{Content: r.Content}}
		t.suspects[r.Content] = s
	}
	merged := s.record.with(r)
	if merged.equal(s.record) {
		return Record{}, false
	}
	t.set(s, merged)
	t.number++
	s.number = t.number
	return merged, true
}

// set replaces what is known of a suspect. mu is held.
func (t *Table) set(s *suspect, r Record) {
	for _, c := range s.crashes {
		delete(c.members, s)
	}
	s.record = r
	s.crashes = s.crashes[:0]
	for _, c := range r.Crashes {
		known := t.crash(c)
		known.members[s] = true
		s.crashes = append(s.crashes, known)
	}
}

// crash returns the crash that c speaks of. mu is held.
func (t *Table) crash(c Crash) *knownCrash {
	for _, k := range t.crashes[c.Address] {
		if k.same(c) {
			return k
		}
	}
	t.number++
	k := &knownCrash{Crash{Address: c.Address, At: c.At}, t.number, make(map[*suspect]bool)}
	t.crashes[c.Address] = append(t.crashes[c.Address], k)
	t.known = append(t.known, k)
	slices.SortFunc(t.known, func(a, b *knownCrash) int { return cmp.Compare(a.At, b.At) })
	if len(t.known) > maxKnown {
		t.forget(t.known[0])
		t.known = slices.Clone(t.known[1:])
	}
	return k
}

func (t *Table) forget(k *knownCrash) {
	left := slices.DeleteFunc(t.crashes[k.Address], func(o *knownCrash) bool { return o == k })
	t.crashes[k.Address] = left
	if len(left) == 0 {
		delete(t.crashes, k.Address)
	}
}

// trim forgets what is old, and the least suspicious while there are too many. mu is
// held.
func (t *Table) trim(now time.Time) {
	if len(t.suspects) <= maxRecords && now.Sub(t.trimmed) < trimInterval {
		return
	}
	t.trimmed = now
	oldest := now.Add(-keepFor).UnixMilli()
	for _, s := range t.suspects {
		if s.record.heard() < oldest {
			t.remove(s)
		}
	}
	if len(t.suspects) <= maxRecords {
		return
	}
	over := len(t.suspects) - maxRecords*7/8 // so that the next ones come in without this
	list := make([]*suspect, 0, len(t.suspects))
	for _, s := range t.suspects {
		list = append(list, s)
	}
	slices.SortFunc(list, leastSuspicious)
	for _, s := range list[:over] {
		t.remove(s)
	}
}

func (t *Table) remove(s *suspect) {
	t.set(s, Record{Content: s.record.Content})
	delete(t.suspects, s.record.Content)
}

// leastSuspicious orders suspects with fewer crashes first, older ones before newer.
func leastSuspicious(a, b *suspect) int {
	return cmp.Or(cmp.Compare(len(a.crashes), len(b.crashes)), cmp.Compare(a.record.heard(), b.record.heard()))
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// grant allows one process at a time to try whether a suspect still crashes what runs it.
func (t *Table) grant(now time.Time, content uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[content]
	if s == nil {
		return true
	}
	if now.Before(s.triedUntil) {
		return false
	}
	s.triedUntil = now.Add(trialTime)
	return true
}

// Judge returns how a request may run.
func (t *Table) Judge(now time.Time, content uint64) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[content]
	if s == nil || len(s.crashes) == 0 {
		return Verdict{}
	}
	v := Verdict{Crashes: len(s.crashes)}
	for _, c := range s.record.Crashes {
		v.Beyond = max(v.Beyond, c.Events+marginEvents)
	}
	n, proved := len(s.crashes), t.proved(s)
	if !proved {
		n = s.unexplained(t)
	}
	v.Apart = n >= suspectCrashes
	if n < refuseCrashes {
		return v
	}
	v.Trial = true
	until := time.UnixMilli(s.record.last()).Add(refusal(n, proved))
	if left := until.Sub(now); left > 0 {
		v.Refused, v.RetryAfter = true, left
	}
	return v
}

// proved reports whether a request is to blame beyond doubt: it was at all of several
// crashes, nobody else was at more than some of them, and there were few others
// meanwhile. mu is held.
func (t *Table) proved(s *suspect) bool {
	if len(s.crashes) < refuseCrashes {
		return false
	}
	if s.judged != t.number {
		s.judged, s.guilty = t.number, t.findGuilty(s)
	}
	return s.guilty
}

func (t *Table) findGuilty(s *suspect) bool {
	n := len(s.crashes)
	met := make(map[*suspect]int)
	for _, c := range s.crashes {
		for o := range c.members {
			met[o]++
		}
	}
	for o, times := range met {
		if o != s && times > n-suspectCrashes {
			return false
		}
	}
	return t.others(s) < n
}

// others counts the crashes between the first and the last of a suspect that it was not
// at. mu is held.
func (t *Table) others(s *suspect) int {
	first, last := s.record.Crashes[0].At-sameCrash, s.record.last()+sameCrash
	n := 0
	for _, c := range t.known {
		if c.At >= first && c.At <= last && !c.members[s] {
			n++
		}
	}
	return n
}

// unexplained counts the crashes of a suspect at which no other was that is to blame
// beyond doubt. mu of t is held.
func (s *suspect) unexplained(t *Table) int {
	n := 0
	for _, c := range s.crashes {
		explained := false
		for o := range c.members {
			explained = explained || o != s && t.proved(o)
		}
		if !explained {
			n++
		}
	}
	return n
}

// All returns all records.
func (t *Table) All() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Record, 0, len(t.suspects))
	for _, s := range t.suspects {
		list = append(list, s.record)
	}
	return list
}

// since returns what entries should hear that know the table under a number: the records
// that changed since and were at enough crashes, now or when they were last told, and
// the new crashes. The channel is closed at the next change.
func (t *Table) since(number uint64) (watchReply, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	whole := number > t.number
	reply := watchReply{Number: t.number}
	for _, c := range t.known {
		if whole || c.number > number {
			reply.Crashes = append(reply.Crashes, c.Crash)
		}
	}
	for _, s := range t.suspects {
		s.told = s.told || len(s.crashes) >= suspectCrashes
		if s.told && (whole || s.number > number) {
			reply.Records = append(reply.Records, s.record)
		}
	}
	return reply, t.changed
}
