package fleet

import (
	"math"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Estimates for backend servers of plain services, which run requests in slots. The expected
// completion of a request is the service's mean time of a run, times the slowness of the
// server's VM, times one and the share of its slots that are taken.
//
// What an answer says of its server is true for some tenths of a second, and an entry may hear
// from a server only every few seconds. A reported value therefore fades: that of the moment to
// the usual one of the server, and that to the mean of the service.

const (
	assumedRunTime   = 30 * time.Millisecond  // of a plain service before the first answer
	momentDecay      = 300 * time.Millisecond // time constant with which what an answer says of the moment fades
	usualDecay       = 5 * time.Second        // time constant with which what is usual at a server fades
	momentWeight     = 0.7                    // of the newest answer in the value of the moment
	usualWeight      = 0.1                    // of the newest answer in what is usual at a server
	serviceWeight    = 0.05                   // of the newest answer in the means of a service
	maxRunTimeFactor = 4                      // a longer run counts as this many times the mean
)

// fadingValue is a value that a server's answers report. The zero value knows nothing.
type fadingValue struct {
	moment, usual float64
	at            time.Time // of the last observation; zero before the first
}

// value returns the expected value at now, where mean is that of the service.
func (v fadingValue) value(now time.Time, mean float64) float64 {
	if v.at.IsZero() {
		return mean
	}
	age := max(0, now.Sub(v.at)).Seconds()
	usual := mean + (v.usual-mean)*math.Exp(-age/usualDecay.Seconds())
	return usual + (v.moment-v.usual)*math.Exp(-age/momentDecay.Seconds())
}

// observe records that an answer reported x at now.
func (v *fadingValue) observe(x, mean float64, now time.Time) {
	if v.at.IsZero() {
		*v = fadingValue{moment: x, usual: mean + usualWeight*(x-mean), at: now}
		return
	}
	before := v.value(now, mean)
	v.moment = before + momentWeight*(x-before)
	v.usual += usualWeight * (x - v.usual)
	v.at = now
}

// plainService holds the means of a plain service, as this entry's answers show them.
type plainService struct {
	runTime  time.Duration // of a run at a server of slowness 1 with free slots
	slowness float64
	taken    float64 // share of the slots
}

// plainService returns the means of a service. f.mu is held.
func (f *Fleet) plainService(name string) *plainService {
	p := f.plainServices[name]
	if p == nil {
		p = &plainService{runTime: assumedRunTime, slowness: 1}
		f.plainServices[name] = p
	}
	return p
}

// observeLoad records the load that an answer of s reports. f.mu is held.
func (f *Fleet) observeLoad(s *server, l bamboostep.Load, now time.Time) {
	p := f.plainService(s.listing.Service)
	taken := float64(l.Running+l.Waiting) / float64(s.slots(l.Slots))
	s.taken.observe(taken, p.taken, now)
	p.taken += serviceWeight * (taken - p.taken)
	if l.Slowness > 0 {
		s.slowness.observe(l.Slowness, p.slowness, now)
		p.slowness += serviceWeight * (l.Slowness - p.slowness)
	}
	s.loadAt, s.loadSlots = now, l.Slots
}

// observeRun records that the server has run r, a request of a plain service, which took a time
// since it was assigned. f.mu is held.
func (f *Fleet) observeRun(r *Assignment, took time.Duration) {
	p := f.plainService(r.server.listing.Service)
	run := min(float64(took)/r.expectedFactor, maxRunTimeFactor*float64(p.runTime))
	p.runTime += time.Duration(serviceWeight * (run - float64(p.runTime)))
}

// slots returns the number of requests that s runs at a time, other if its listing does not say.
func (s *server) slots(other int) int {
	if s.listing.Slots > 0 {
		return s.listing.Slots
	}
	return max(1, other)
}

// plainFactor returns by how much a run at s is expected to take longer than one at a server of
// slowness 1 with free slots. slots is used if neither the listing nor an answer gives their number.
func (f *Fleet) plainFactor(now time.Time, s *server, slots int) float64 {
	p := f.plainService(s.listing.Service)
	if s.loadSlots > 0 {
		slots = s.loadSlots
	}
	n := float64(s.slots(slots))
	taken := max(s.taken.value(now, p.taken), float64(len(s.inFlight))/n)
	taken += float64(s.assignedSince(s.loadAt)) / n
	return s.slowness.value(now, p.slowness) * (1 + taken)
}

// plainWait estimates the time until a request at a backend server of a plain service is
// complete.
func (f *Fleet) plainWait(now time.Time, s *server, slots int) time.Duration {
	return time.Duration(float64(f.plainService(s.listing.Service).runTime) * f.plainFactor(now, s, slots))
}

// assignedSince counts this entry's requests in flight that were assigned after t.
func (s *server) assignedSince(t time.Time) int {
	n := 0
	for r := range s.inFlight {
		if r.assignedAt.After(t) {
			n++
		}
	}
	return n
}
