package fleet

import (
	"math"
	"math/rand/v2"
	"time"
)

// What other entries have sent to an engine since its last report cannot be seen. All
// entries choose by the same reports, so the engine with the least to do would get the
// prompts of all of them at once, and its streams would stand still while it reads
// them. Each entry therefore adds a random part of what the others may have sent,
// so that engines with about the same to do share what comes between two reports.

const (
	sentFade   = time.Second            // in which what was sent fades to a third
	unseenMost = 150 * time.Millisecond // an older report has not changed, or its holder would have told
)

// sentRate is the rate at which an entry sends prompt tokens to a service.
type sentRate struct {
	tokens float64 // faded
	at     time.Time
}

func (r *sentRate) note(tokens int, now time.Time) {
	r.tokens = r.now(now) + float64(tokens)
	r.at = now
}

// now returns the faded sum of tokens.
func (r *sentRate) now(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.tokens * math.Exp(-now.Sub(r.at).Seconds()/sentFade.Seconds())
}

// NoteEntries takes the number of entries that there are.
func (f *Fleet) NoteEntries(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.entries = n
}

// unseen draws how many prompt tokens other entries have sent to an engine since its
// report: between none and twice what is expected, if all send as much as this one.
func (f *Fleet) unseen(now time.Time, s *server) int {
	sent := f.sent[s.listing.Service]
	if sent == nil || f.entries < 2 || !s.hasReport(now) {
		return 0
	}
	age := min(now.Sub(s.reportAt), unseenMost)
	perSecond := sent.now(now) / sentFade.Seconds() * float64(f.entries-1)
	expected := perSecond * age.Seconds() / float64(max(1, len(f.byService[s.listing.Service])))
	return int(2 * expected * f.chance.Float64())
}

func (f *Fleet) noteSent(service string, tokens int, now time.Time) {
	r := f.sent[service]
	if r == nil {
		r = &sentRate{}
		f.sent[service] = r
	}
	r.note(tokens, now)
}

func newChance(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }
