package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// Estimate of the prompts that other entries have sent to an engine and that its last report
// does not show. All entries choose by the same reports, so without it they would all send
// their prompts to the least loaded engine until the next report, and its streams would stall
// during the prefills.
//
// What entries announce is known to some milliseconds. While a holder tells nothing, because it
// is away or of an earlier build, each entry instead adds a random share of what the others
// are expected to have sent, so that engines with a similar load share the requests between two
// reports.

const (
	sentDecay        = time.Second            // time constant with which the sent tokens decay (to 1/e)
	maxUnreportedAge = 150 * time.Millisecond // an older report is taken as this old: the holder pushes changes, so it has not changed much
)

// sentRate is an exponentially decaying sum of the prompt tokens that an entry sends to a
// service.
type sentRate struct {
	tokens float64 // decayed sum as of at
	at     time.Time
}

// add adds tokens sent at now.
func (r *sentRate) add(tokens int, now time.Time) {
	r.tokens = r.value(now) + float64(tokens)
	r.at = now
}

// value returns the decayed sum at now.
func (r *sentRate) value(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.tokens * math.Exp(-now.Sub(r.at).Seconds()/sentDecay.Seconds())
}

// SetEntryCount sets the number of entries.
func (f *Fleet) SetEntryCount(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.entryCount = n
}

// unreportedTokens estimates the prompt tokens that other entries have at s beyond those of
// the prompts in its last report.
func (f *Fleet) unreportedTokens(now time.Time, s *server) int {
	if !s.announcement.usable(now, s) {
		return f.drawUnreported(now, s)
	}
	if s.announcement.others == 0 {
		return 0
	}
	reported := float64(max(0, s.pendingPrefills(now)-s.ownBacklog().waiting)) * f.usageOf(s.listing.Service).promptTokens
	return max(0, s.announcement.others-int(reported))
}

// drawUnreported draws the number of prompt tokens that other entries have sent to s
// since its last report: uniformly between 0 and twice the expected number, assuming that
// all entries send at this entry's rate and spread evenly over the servers.
func (f *Fleet) drawUnreported(now time.Time, s *server) int {
	sent := f.sentRates[s.listing.Service]
	if sent == nil || f.entryCount < 2 || !s.hasFreshReport(now) {
		return 0
	}
	age := min(now.Sub(s.reportAt), maxUnreportedAge)
	perSecond := sent.value(now) / sentDecay.Seconds() * float64(f.entryCount-1)
	expected := perSecond * age.Seconds() / float64(max(1, len(f.byService[s.listing.Service])))
	return int(2 * expected * f.rng.Float64())
}

// recordSent adds uncached prompt tokens that this entry sends to a service.
func (f *Fleet) recordSent(service string, tokens int, now time.Time) {
	r := f.sentRates[service]
	if r == nil {
		r = &sentRate{}
		f.sentRates[service] = r
	}
	r.add(tokens, now)
}

func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
