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
// same backend server. If that crashes too, exactly one request was at both
// crashes: it is refused for a time, and the others are cleared at once.
//
// The hard point is that most crashes have no guilty request, and running thirty
// innocents one after another would make them all late. A request that crashes
// its backend server does so at the same point of its answer each time. A suspect
// that gets a few tokens further than it was has therefore passed: it is moved
// back among the others and resumes there. If it crashes a backend server after
// all, several may have been at both crashes. Then none is refused; they run
// apart to their end, which costs one backend server more and no innocent answer.
//
// When its refusal has run out, a request is suspected as after its first crash,
// so one that never improves costs one backend server in each period, and each
// period is twice as long as the one before.
type Suspects struct {
	RefuseFor time.Duration // first refusal of a request
	Keep      time.Duration // a suspect not heard of for so long is forgotten

	mu      sync.Mutex
	byPrint map[uint64]*suspect
	crashes map[string]*crash // last crash of each VM
	strays  uint64            // events that the chart does not list
}

//go:embed suspect.toml
var suspectChartText []byte

var suspectChart = chart.MustParse(suspectChartText)

const (
	defaultRefuseFor = 5 * time.Minute
	defaultKeep      = time.Hour
	maxRefuseFor     = 4 * time.Hour
	sameCrash        = time.Second // notes of one VM this close are of one crash

	suspectRefused chart.State = "refused"
	suspectPassed  chart.State = "passed"
	suspectCleared chart.State = "cleared"
)

type suspect struct {
	state    chart.State
	crashes  []*crash
	attempts map[bamboostep.AttemptID]bool // counted
	heard    time.Time
	refused  int // times
	until    time.Time
}

// crash is one crash of one backend server.
type crash struct {
	at      time.Time
	members map[uint64]bool // fingerprints
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
	p := s.byPrint[fingerprint]
	if p == nil {
		return Verdict{}
	}
	if p.state == suspectRefused && !now.Before(p.until) {
		s.step(p, "expire")
	}
	switch p.state {
	case suspectRefused:
		return Verdict{Refused: true, RetryAfter: p.until.Sub(now)}
	case suspectPassed:
		return Verdict{}
	}
	return Verdict{Alone: true, ToEnd: len(p.crashes) > 1}
}

// Note takes in all the requests that were running when a backend server crashed,
// as its agent tells them.
func (s *Suspects) Note(now time.Time, batch []bamboostep.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	byVM := make(map[string][]bamboostep.Suspect)
	for _, n := range batch {
		byVM[n.VM] = append(byVM[n.VM], n)
	}
	for vm, list := range byVM {
		c := s.lastCrash(now, vm)
		for _, n := range list {
			s.add(now, c, n)
		}
		s.convict(now, c)
	}
}

// Crashed takes in this entry's own attempt, which was offered at a known time and
// whose backend server has crashed. It returns what other entries should Learn.
func (s *Suspects) Crashed(now time.Time, n bamboostep.Suspect, offered time.Time) bamboostep.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byPrint[n.Fingerprint]
	if p == nil || !p.attempts[n.Attempt] {
		c := s.lastCrash(now, n.VM)
		if c.members[n.Fingerprint] && offered.After(c.at) {
			c = s.newCrash(now, n.VM)
		}
		s.add(now, c, n)
		s.convict(now, c)
	}
	n.Crashes = 1
	if s.byPrint[n.Fingerprint].state == suspectRefused {
		n.Crashes = 2
	}
	return n
}

// Learn takes in what another entry's Crashed returned. Only the other entry's
// verdict counts, because single notes do not say who else was there.
func (s *Suspects) Learn(now time.Time, list []bamboostep.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now)
	for _, n := range list {
		p := s.byPrint[n.Fingerprint]
		if p == nil || !p.attempts[n.Attempt] {
			s.add(now, s.lastCrash(now, n.VM), n)
			p = s.byPrint[n.Fingerprint]
		}
		if n.Crashes > 1 && p.state != suspectRefused {
			s.refuse(now, n.Fingerprint, p)
		}
	}
}

// Passed notes that a suspect got further than where it was at the crash.
func (s *Suspects) Passed(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.byPrint[fingerprint]; p != nil {
		s.step(p, "pass")
	}
}

// Completed notes that a request ran to its end.
func (s *Suspects) Completed(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear(fingerprint)
}

// lastCrash returns the crash of the VM that a note made now belongs to.
func (s *Suspects) lastCrash(now time.Time, vm string) *crash {
	c := s.crashes[vm]
	if c != nil && now.Sub(c.at) < sameCrash {
		return c
	}
	return s.newCrash(now, vm)
}

func (s *Suspects) newCrash(now time.Time, vm string) *crash {
	if s.crashes == nil {
		s.crashes = make(map[string]*crash)
	}
	c := &crash{at: now, members: make(map[uint64]bool)}
	s.crashes[vm] = c
	return c
}

// add enters an attempt in a crash. Copies of one request at one crash count once.
func (s *Suspects) add(now time.Time, c *crash, n bamboostep.Suspect) {
	if s.byPrint == nil {
		s.byPrint = make(map[uint64]*suspect)
	}
	p := s.byPrint[n.Fingerprint]
	if p == nil {
		p = &suspect{state: suspectChart.Initial(), attempts: make(map[bamboostep.AttemptID]bool)}
		s.byPrint[n.Fingerprint] = p
	}
	p.heard = now
	if p.attempts[n.Attempt] || c.members[n.Fingerprint] {
		return
	}
	p.attempts[n.Attempt] = true
	p.crashes = append(p.crashes, c)
	c.members[n.Fingerprint] = true
	s.step(p, "crash")
}

// convict refuses the only request that was at this crash and at another.
func (s *Suspects) convict(now time.Time, c *crash) {
	var guilty []uint64
	for f := range c.members {
		if p := s.byPrint[f]; p != nil && len(p.crashes) > 1 {
			guilty = append(guilty, f)
		}
	}
	if len(guilty) == 1 {
		s.refuse(now, guilty[0], s.byPrint[guilty[0]])
	}
}

// refuse refuses a request for a time and clears those whose crashes it explains.
func (s *Suspects) refuse(now time.Time, fingerprint uint64, p *suspect) {
	s.step(p, "convict")
	span := s.RefuseFor
	if span == 0 {
		span = defaultRefuseFor
	}
	span = min(span<<min(p.refused, 16), maxRefuseFor)
	p.refused++
	p.until = now.Add(span)
	for _, c := range p.crashes {
		for f := range c.members {
			if f != fingerprint && s.explained(f, fingerprint) {
				s.clear(f)
			}
		}
	}
}

// explained reports whether the guilty request was at every crash of another.
func (s *Suspects) explained(other, guilty uint64) bool {
	p := s.byPrint[other]
	if p == nil {
		return false
	}
	for _, c := range p.crashes {
		if !c.members[guilty] {
			return false
		}
	}
	return true
}

func (s *Suspects) clear(fingerprint uint64) {
	p := s.byPrint[fingerprint]
	if p == nil || p.state == suspectRefused {
		return
	}
	s.step(p, "clear")
	if p.state == suspectCleared {
		delete(s.byPrint, fingerprint)
	}
}

func (s *Suspects) step(p *suspect, e chart.Event) {
	next, err := suspectChart.Next(p.state, e)
	if err != nil {
		s.strays++
	}
	p.state = next
}

// Strays returns how many events came that the chart does not list.
func (s *Suspects) Strays() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.strays
}

func (s *Suspects) forget(now time.Time) {
	keep := s.Keep
	if keep == 0 {
		keep = defaultKeep
	}
	for f, p := range s.byPrint {
		if now.Sub(p.heard) > keep && now.After(p.until) {
			delete(s.byPrint, f)
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
