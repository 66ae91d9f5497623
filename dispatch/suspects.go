package dispatch

import (
	_ "embed"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// Suspects knows the requests that were running when a backend server crashed,
// by their fingerprints. Its lifecycle is declared in suspect.toml.
//
// One of them may crash every backend server that runs it, and its caller sends it
// again; the others are innocent and must get their answers. One crash cannot tell
// which is which. So every suspect runs again with nothing beside it, all on the
// same backend server. If that crashes too, only one request was there: it is
// refused for a time, and the others are cleared at once.
//
// The hard point is that most crashes have no guilty request, and running thirty
// innocents one after another would make them all late. A request that crashes
// its backend server does so at the same point of its answer each time. A suspect
// that gets a few tokens further than it was has therefore passed: it is moved
// back among the others and resumes there. If it is at a second crash there, it
// was not alone, and nothing is proved: it runs alone again, this time to its end,
// which may cost one backend server more but no innocent answer.
//
// Agents name all attempts of a crash at once (Note), and that is what convicts.
// A single note of this entry's own attempt stands in for a batch that did not
// arrive. Entries tell each other which requests they refuse.
//
// When its refusal has run out, a request is suspected as after its first crash,
// so one that never improves costs one backend server in each period, and each
// period is twice as long as the one before.
type Suspects struct {
	RefuseFor time.Duration // first refusal of a request
	Keep      time.Duration // a suspect not heard of for so long is forgotten

	mu               sync.Mutex
	byFingerprint    map[uint64]*suspect
	lastCrashes      map[string]*crash // last crash of each VM
	undeclaredEvents uint64            // events that the chart does not list
}

//go:embed suspect.toml
var suspectChartText []byte

var suspectChart = chart.MustParse(suspectChartText)

const (
	defaultRefuseFor = 5 * time.Minute
	defaultKeep      = time.Hour
	maxRefuseFor     = 4 * time.Hour
	sameCrashWindow  = time.Second // single notes of one VM this close are of one crash

	stateRefused chart.State = "refused"
	statePassed  chart.State = "passed"
	stateCleared chart.State = "cleared"
)

type suspect struct {
	state        chart.State
	crashes      []*crash
	attempts     map[bamboostep.AttemptID]*crash
	lastSeen     time.Time
	refusals     int // times
	refusedUntil time.Time
}

// crash is one crash of one backend server.
type crash struct {
	vm           string
	at           time.Time
	fingerprints map[uint64]bool // fingerprints
}

// Verdict says how a request may run.
type Verdict struct {
	Alone      bool          // with nothing beside it
	ToEnd      bool          // alone until its answer is whole
	Refused    bool          // not at all
	RetryAfter time.Duration // when refused
}

// Judge returns how the request with the fingerprint may run.
func (s *Suspects) Judge(now time.Time, fingerprint uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byFingerprint[fingerprint]
	if p == nil {
		return Verdict{}
	}
	if p.state == stateRefused && !now.Before(p.refusedUntil) {
		s.applyEvent(p, "expire")
	}
	switch p.state {
	case stateRefused:
		return Verdict{Refused: true, RetryAfter: p.refusedUntil.Sub(now)}
	case statePassed:
		return Verdict{}
	}
	return Verdict{Alone: true, ToEnd: len(p.crashes) > 1}
}

// Note takes in all the requests that were running when a backend server crashed,
// as its agent tells them, or what another entry's Crashed returned.
func (s *Suspects) Note(now time.Time, batch []bamboostep.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	if len(batch) == 0 {
		return
	}
	if batch[0].Crashes > 1 {
		s.addRefused(now, batch)
		return
	}
	c := s.findCrash(batch)
	if c == nil {
		c = s.newCrash(now, batch[0].VM)
	}
	for _, n := range batch {
		s.add(now, c, n)
	}
	s.refuseIfProven(now, c)
}

// addRefused takes in the requests that another entry refuses.
func (s *Suspects) addRefused(now time.Time, list []bamboostep.Suspect) {
	for _, n := range list {
		s.add(now, s.crashNear(now, n.VM), n)
		if p := s.byFingerprint[n.Fingerprint]; p.state != stateRefused {
			s.refuse(now, n.Fingerprint, p)
		}
	}
}

// Refused returns the requests that are refused, as an entry that has just started
// should Note them.
func (s *Suspects) Refused(now time.Time) []bamboostep.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []bamboostep.Suspect
	for f, p := range s.byFingerprint {
		if p.state != stateRefused || !now.Before(p.refusedUntil) {
			continue
		}
		for attempt, c := range p.attempts {
			list = append(list, bamboostep.Suspect{Fingerprint: f, Attempt: attempt, VM: c.vm, Crashes: max(2, len(p.crashes))})
			break // one says it
		}
	}
	return list
}

// findCrash returns the crash that one of the attempts is known from, or nil.
func (s *Suspects) findCrash(batch []bamboostep.Suspect) *crash {
	for _, n := range batch {
		if p := s.byFingerprint[n.Fingerprint]; p != nil && p.attempts[n.Attempt] != nil {
			return p.attempts[n.Attempt]
		}
	}
	return nil
}

// Crashed takes in this entry's own attempt, which was offered at a known time,
// alone or not, and whose backend server has crashed. The agent has named it
// before, unless that was lost. It reports whether the request is refused now;
// then the other entries should Note what it returns.
func (s *Suspects) Crashed(now time.Time, n bamboostep.Suspect, offered time.Time, alone bool) (bamboostep.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.findCrash([]bamboostep.Suspect{n}) == nil {
		c := s.crashNear(now, n.VM)
		if offered.After(c.at) {
			c = s.newCrash(now, n.VM)
		}
		s.add(now, c, n)
		if alone {
			s.refuseIfProven(now, c)
		}
	}
	p := s.byFingerprint[n.Fingerprint]
	n.Crashes = len(p.crashes)
	if p.state != stateRefused {
		return n, false
	}
	n.Crashes = max(n.Crashes, 2)
	return n, true
}

// Passed notes that a suspect got further than where it was at the crash.
func (s *Suspects) Passed(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byFingerprint[fingerprint]; p != nil {
		s.applyEvent(p, "pass")
	}
}

// Completed notes that a request ran to its end.
func (s *Suspects) Completed(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear(fingerprint)
}

// crashNear returns the crash of the VM that a single note made now belongs to.
func (s *Suspects) crashNear(now time.Time, vm string) *crash {
	c := s.lastCrashes[vm]
	if c != nil && now.Sub(c.at) < sameCrashWindow {
		return c
	}
	return s.newCrash(now, vm)
}

func (s *Suspects) newCrash(now time.Time, vm string) *crash {
	if s.lastCrashes == nil {
		s.lastCrashes = make(map[string]*crash)
	}
	c := &crash{vm: vm, at: now, fingerprints: make(map[uint64]bool)}
	s.lastCrashes[vm] = c
	return c
}

// add enters an attempt in a crash. Copies of one request at one crash count once.
func (s *Suspects) add(now time.Time, c *crash, n bamboostep.Suspect) {
	if s.byFingerprint == nil {
		s.byFingerprint = make(map[uint64]*suspect)
	}
	p := s.byFingerprint[n.Fingerprint]
	if p == nil {
		p = &suspect{state: suspectChart.Initial(), attempts: make(map[bamboostep.AttemptID]*crash)}
		s.byFingerprint[n.Fingerprint] = p
	}
	p.lastSeen = now
	if p.attempts[n.Attempt] != nil {
		return
	}
	p.attempts[n.Attempt] = c
	if c.fingerprints[n.Fingerprint] {
		return
	}
	p.crashes = append(p.crashes, c)
	c.fingerprints[n.Fingerprint] = true
	s.applyEvent(p, "crash")
}

// refuseIfProven refuses a request that was the only one at this crash and was at another
// before.
func (s *Suspects) refuseIfProven(now time.Time, c *crash) {
	if len(c.fingerprints) != 1 {
		return
	}
	for f := range c.fingerprints {
		if p := s.byFingerprint[f]; p != nil && len(p.crashes) > 1 {
			s.refuse(now, f, p)
		}
	}
}

// refuse refuses a request for a time and clears those whose crashes it explains.
func (s *Suspects) refuse(now time.Time, fingerprint uint64, p *suspect) {
	s.applyEvent(p, "convict")
	span := s.RefuseFor
	if span == 0 {
		span = defaultRefuseFor
	}
	span = min(span<<min(p.refusals, 16), maxRefuseFor)
	p.refusals++
	p.refusedUntil = now.Add(span)
	for _, c := range p.crashes {
		for f := range c.fingerprints {
			if f != fingerprint && s.crashesExplainedBy(f, fingerprint) {
				s.clear(f)
			}
		}
	}
}

// crashesExplainedBy reports whether the guilty request was at every crash of another.
func (s *Suspects) crashesExplainedBy(other, guilty uint64) bool {
	p := s.byFingerprint[other]
	if p == nil {
		return false
	}
	for _, c := range p.crashes {
		if !c.fingerprints[guilty] {
			return false
		}
	}
	return true
}

func (s *Suspects) clear(fingerprint uint64) {
	p := s.byFingerprint[fingerprint]
	if p == nil || p.state == stateRefused {
		return
	}
	s.applyEvent(p, "clear")
	if p.state == stateCleared {
		delete(s.byFingerprint, fingerprint)
	}
}

func (s *Suspects) applyEvent(p *suspect, e chart.Event) {
	next, err := suspectChart.Next(p.state, e)
	if err != nil {
		s.undeclaredEvents++
	}
	p.state = next
}

// Strays returns how many events came that the chart does not list.
func (s *Suspects) Strays() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.undeclaredEvents
}

func (s *Suspects) removeExpired(now time.Time) {
	keep := s.Keep
	if keep == 0 {
		keep = defaultKeep
	}
	for f, p := range s.byFingerprint {
		if now.Sub(p.lastSeen) > keep && now.After(p.refusedUntil) {
			delete(s.byFingerprint, f)
		}
	}
	for vm, c := range s.lastCrashes {
		if now.Sub(c.at) > keep {
			delete(s.lastCrashes, vm)
		}
	}
}

// PickSuspect returns the candidate that runs the crash suspects of a place: the
// same for every entry that sees the same candidates (rendezvous hashing).
func PickSuspect(place string, candidates []bamboostep.Candidate) (index int, ok bool) {
	var best uint64
	for i := range candidates {
		d := xxhash.New()
		d.WriteString(place)
		d.WriteString(candidates[i].VM)
		if h := d.Sum64(); !ok || h > best {
			index, best, ok = i, h, true
		}
	}
	return index, ok
}
