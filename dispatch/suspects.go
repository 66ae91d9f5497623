package dispatch

import (
	_ "embed"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// CrashSuspects tracks the requests that were running when a backend server crashed, by
// their fingerprints. The lifecycle of one request is declared in suspect.toml.
//
// One of these requests may crash every backend server that runs it, and its caller
// sends it again; the others are innocent and must be answered. One crash does not
// tell which is which. Every suspect therefore runs again alone, all suspects of a
// place on the same backend server. If that crashes too, the one request running
// there is refused for a time, and the others are cleared at once.
//
// Most crashes, however, are caused by no request, and running thirty innocent
// requests one after another would delay them all. A request that crashes its backend
// server does so at the same point of its answer each time. A suspect that gets a few
// tokens past the point it had reached at the crash has therefore passed: it is moved
// back among the other requests and resumes there. If it is running at a second crash
// after that, nothing is proven, because it was not alone. It then runs alone to the
// end of its answer, which may crash one more backend server but costs no innocent
// request its answer.
//
// An agent reports all attempts of a crash in one batch (RecordCrash). A batch with a single
// request, which was running at an earlier crash too, proves that request guilty. If no
// batch has arrived, Crashed treats this entry's own attempt as a batch of one, provided
// that it ran alone. Entries tell each other which requests they refuse.
//
// When the refusal expires, the request is a suspect again. A request that never
// improves thus costs one backend server per refusal period, and each period is twice
// as long as the one before, up to a limit.
//
// A CrashSuspects is safe for concurrent use.
type CrashSuspects struct {
	FirstRefusal time.Duration // duration of the first refusal of a request, 5 minutes if 0
	Retention    time.Duration // how long a suspect is kept after its last report, 1 hour if 0

	mu               sync.Mutex
	byFingerprint    map[uint64]*suspect
	lastCrashes      map[string]*crash // last crash of each VM, by name
	undeclaredEvents uint64            // events that a state did not accept
}

//go:embed suspect.toml
var suspectChartText []byte

var suspectChart = chart.MustParse(suspectChartText)

const (
	defaultRefuseFor = 5 * time.Minute
	defaultKeep      = time.Hour
	maxRefuseFor     = 4 * time.Hour
	sameCrashWindow  = time.Second // single reports of one VM within this time belong to one crash

	stateRefused chart.State = "refused"
	statePassed  chart.State = "passed"
	stateCleared chart.State = "cleared"
)

type suspect struct {
	state        chart.State
	crashes      []*crash
	attempts     map[bamboostep.AttemptID]*crash
	lastSeen     time.Time
	refusals     int // number of refusals so far, each twice as long as the last
	refusedUntil time.Time
}

// crash is one crash of a backend server.
type crash struct {
	vm           string
	at           time.Time
	fingerprints map[uint64]bool // of the requests that were running
}

// SuspectVerdict states how a request may run. The zero value means without restriction.
type SuspectVerdict struct {
	Alone      bool          // as the only request on its backend server
	ToEnd      bool          // alone until its answer is complete
	Refused    bool          // may not run
	RetryAfter time.Duration // time until the refusal expires
}

// VerdictFor returns how the request with the fingerprint may run.
func (s *CrashSuspects) VerdictFor(now time.Time, fingerprint uint64) SuspectVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byFingerprint[fingerprint]
	if p == nil {
		return SuspectVerdict{}
	}
	if p.state == stateRefused && !now.Before(p.refusedUntil) {
		s.applyEvent(p, "expire")
	}
	switch p.state {
	case stateRefused:
		return SuspectVerdict{Refused: true, RetryAfter: p.refusedUntil.Sub(now)}
	case statePassed:
		return SuspectVerdict{}
	}
	return SuspectVerdict{Alone: true, ToEnd: len(p.crashes) > 1}
}

// RecordCrash records all requests that were running when a backend server crashed, as its
// agent reports them. It also accepts the requests that another entry refuses, as its
// Crashed or Refused returned them; in these, Crashes is above 1.
func (s *CrashSuspects) RecordCrash(now time.Time, batch []bamboostep.Suspect) {
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

// addRefused refuses the requests that another entry refuses.
func (s *CrashSuspects) addRefused(now time.Time, list []bamboostep.Suspect) {
	for _, n := range list {
		s.add(now, s.crashNear(now, n.VM), n)
		if p := s.byFingerprint[n.Fingerprint]; p.state != stateRefused {
			s.refuse(now, n.Fingerprint, p)
		}
	}
}

// Refused returns the refused requests, for an entry that has just started to pass to
// RecordCrash.
func (s *CrashSuspects) Refused(now time.Time) []bamboostep.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []bamboostep.Suspect
	for f, p := range s.byFingerprint {
		if p.state != stateRefused || !now.Before(p.refusedUntil) {
			continue
		}
		for attempt, c := range p.attempts {
			list = append(list, bamboostep.Suspect{Fingerprint: f, Attempt: attempt, VM: c.vm, Crashes: max(2, len(p.crashes))})
			break // one attempt per request suffices
		}
	}
	return list
}

// findCrash returns the crash to which an attempt of the batch already belongs, or nil.
func (s *CrashSuspects) findCrash(batch []bamboostep.Suspect) *crash {
	for _, n := range batch {
		if p := s.byFingerprint[n.Fingerprint]; p != nil && p.attempts[n.Attempt] != nil {
			return p.attempts[n.Attempt]
		}
	}
	return nil
}

// Crashed records the crash of the backend server that ran this entry's own attempt,
// which was offered at the given time. It has no effect if the batch of the agent has
// arrived already. It reports whether the request is refused now; if so, the caller
// should send the returned value to the other entries, which pass it to RecordCrash.
func (s *CrashSuspects) Crashed(now time.Time, n bamboostep.Suspect, offered time.Time, alone bool) (bamboostep.Suspect, bool) {
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

// Passed records that a suspect got past the point it had reached at the crash.
func (s *CrashSuspects) Passed(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byFingerprint[fingerprint]; p != nil {
		s.applyEvent(p, "pass")
	}
}

// Completed records that a request ran to its end, which clears a suspect.
func (s *CrashSuspects) Completed(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear(fingerprint)
}

// crashNear returns the crash to which a single report of the VM made now belongs: the
// last one if recent enough, or else a new one.
func (s *CrashSuspects) crashNear(now time.Time, vm string) *crash {
	c := s.lastCrashes[vm]
	if c != nil && now.Sub(c.at) < sameCrashWindow {
		return c
	}
	return s.newCrash(now, vm)
}

func (s *CrashSuspects) newCrash(now time.Time, vm string) *crash {
	if s.lastCrashes == nil {
		s.lastCrashes = make(map[string]*crash)
	}
	c := &crash{vm: vm, at: now, fingerprints: make(map[uint64]bool)}
	s.lastCrashes[vm] = c
	return c
}

// add adds an attempt to a crash. Several attempts with the same fingerprint at one
// crash count once.
func (s *CrashSuspects) add(now time.Time, c *crash, n bamboostep.Suspect) {
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

// refuseIfProven refuses the request of this crash if it was the only one and was also
// running at an earlier crash.
func (s *CrashSuspects) refuseIfProven(now time.Time, c *crash) {
	if len(c.fingerprints) != 1 {
		return
	}
	for f := range c.fingerprints {
		if p := s.byFingerprint[f]; p != nil && len(p.crashes) > 1 {
			s.refuse(now, f, p)
		}
	}
}

// refuse refuses a request until its refusal expires, and clears the requests that were
// running only at crashes where it was running too.
func (s *CrashSuspects) refuse(now time.Time, fingerprint uint64, p *suspect) {
	s.applyEvent(p, "convict")
	span := s.FirstRefusal
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

// crashesExplainedBy reports whether the guilty request was running at every crash of
// the other.
func (s *CrashSuspects) crashesExplainedBy(other, guilty uint64) bool {
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

func (s *CrashSuspects) clear(fingerprint uint64) {
	p := s.byFingerprint[fingerprint]
	if p == nil || p.state == stateRefused {
		return
	}
	s.applyEvent(p, "clear")
	if p.state == stateCleared {
		delete(s.byFingerprint, fingerprint)
	}
}

func (s *CrashSuspects) applyEvent(p *suspect, e chart.Event) {
	next, err := suspectChart.Next(p.state, e)
	if err != nil {
		s.undeclaredEvents++
	}
	p.state = next
}

// UnexpectedEvents returns how many events arrived that the state of a request did not accept.
func (s *CrashSuspects) UnexpectedEvents() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.undeclaredEvents
}

// removeExpired removes suspects and crashes that have not been reported for Retention. A
// request that is still refused stays.
func (s *CrashSuspects) removeExpired(now time.Time) {
	keep := s.Retention
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

// PickSuspect returns the candidate that runs the crash suspects of a place. It uses
// rendezvous hashing, so all entries with the same candidates choose the same one.
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
