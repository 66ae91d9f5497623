package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep"
)

// This file holds the routers.
//
// Balanced scores every candidate by the work that a request would wait for
// there, in tokens, less the work that its prefix cache would save. Reports lag,
// and many entries read the same ones, so the candidate with the least score of
// all would get the requests of every entry at once. Balanced therefore treats
// candidates within a slack of the best as equal, draws two of them at random and
// takes the better one. Among equals those that hold the adapter are drawn first,
// since a load is a move and drops another adapter, and then those in the entry's
// own failure domain.
//
// A report counts the entry's own attempts too. The entry knows those better, so
// only what a report says beyond them is added, and that part fades with the age
// of the report. RoundRobin and LeastLoad are the plain ways that Balanced is
// measured against.

const (
	defaultBlockTokens   = 16   // work saved by one cached prompt block
	defaultLoadTokens    = 32   // work that loading an adapter costs
	suspectPenaltyTokens = 1000 // work that a crash suspect holds back, which runs alone
	defaultSlackTokens   = 64   // two scores this close are equal
	reportHalfLife       = time.Second
	maxCachedScores      = 512 // candidates scored once; the others are scored twice
	minAttemptTokens     = 8   // tokens of a running attempt that has overrun its estimate
)

// Balanced is the router of the product. Fields that are zero take defaults.
type Balanced struct {
	BlockTokens float64 // work saved by one cached prompt block, tokens
	LoadTokens  float64 // work that loading an adapter costs, tokens
	SlackTokens float64 // candidates this close to the best are equal, tokens
}

var (
	_ bamboostep.Router = Balanced{}
	_ bamboostep.Router = (*RoundRobin)(nil)
	_ bamboostep.Router = LeastLoad{}
)

// QueueTokens estimates the work that a request would wait for at c.
func QueueTokens(c *bamboostep.Candidate) float64 {
	own := max(c.InFlightWork, float64(c.InFlight*minAttemptTokens))
	others := c.Reported - own
	if others <= 0 {
		return own
	}
	return own + others*reportWeight(c.ReportAge)
}

// reportWeight returns the weight of a report by its age: 1 when fresh, a half after
// reportFadeTime, and falling on.
func reportWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(reportHalfLife) / float64(reportHalfLife+age)
}

func orDefault(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return v
}

func (b Balanced) withDefaults() Balanced {
	b.BlockTokens = orDefault(b.BlockTokens, defaultBlockTokens)
	b.LoadTokens = orDefault(b.LoadTokens, defaultLoadTokens)
	b.SlackTokens = orDefault(b.SlackTokens, defaultSlackTokens)
	return b
}

func (b *Balanced) score(c *bamboostep.Candidate) float64 {
	s := QueueTokens(c) + float64(c.Suspects)*suspectPenaltyTokens - float64(c.CachedBlocks)*b.BlockTokens
	if !c.Resident {
		s += b.LoadTokens
	}
	return s
}

// Pick implements bamboostep.Router.
func (b Balanced) Pick(_ time.Time, _ bamboostep.Request, candidates []bamboostep.Candidate, seed uint64) (int, bool) {
	b = b.withDefaults()
	var scores [maxCachedScores]float64
	best := math.Inf(1)
	for i := range candidates {
		s := b.score(&candidates[i])
		if i < len(scores) {
			scores[i] = s
		}
		best = min(best, s)
	}
	limit := best + b.SlackTokens
	var equals [preferenceTiers]pairSampler
	for i := range equals {
		equals[i].rand = splitMix64(seed)
	}
	for i := range candidates {
		var s float64
		if i < len(scores) {
			s = scores[i]
		} else {
			s = b.score(&candidates[i])
		}
		if s > limit {
			continue
		}
		equals[preferenceTier(&candidates[i])].add(i, s)
	}
	for i := range equals {
		if equals[i].seen > 0 {
			return equals[i].best()
		}
	}
	return 0, false
}

const preferenceTiers = 4

// preferenceTier returns the place of a candidate among equals, the first being drawn
// from first.
func preferenceTier(c *bamboostep.Candidate) int {
	switch {
	case c.Resident && c.Local:
		return 0
	case c.Resident:
		return 1
	case c.Local:
		return 2
	}
	return 3
}

// pairSampler draws two of the items added to it, each pairSampler being as likely as any other.
type pairSampler struct {
	rand  splitMix64
	seen  int
	index [2]int
	score [2]float64
}

func (p *pairSampler) add(i int, score float64) {
	at := p.seen
	p.seen++
	if at >= len(p.index) {
		at = p.rand.intn(p.seen)
	}
	if at < len(p.index) {
		p.index[at] = i
		p.score[at] = score
	}
}

func (p *pairSampler) best() (int, bool) {
	switch {
	case p.seen == 0:
		return 0, false
	case p.seen == 1 || p.score[0] < p.score[1]:
		return p.index[0], true
	case p.score[0] > p.score[1]:
		return p.index[1], true
	}
	return p.index[p.rand.intn(len(p.index))], true
}

// splitMix64 is a small generator of pseudo-splitMix64 numbers (splitmix64).
type splitMix64 uint64

func (r *splitMix64) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (r *splitMix64) intn(n int) int { return int(r.next() % uint64(n)) }

// RoundRobin takes the candidates in turn, those that hold the adapter first.
type RoundRobin struct{ counter atomic.Uint64 }

// Pick implements bamboostep.Router.
func (r *RoundRobin) Pick(_ time.Time, _ bamboostep.Request, candidates []bamboostep.Candidate, _ uint64) (int, bool) {
	resident := 0
	for i := range candidates {
		if candidates[i].Resident {
			resident++
		}
	}
	turn := r.counter.Add(1)
	if resident == 0 {
		return nthMatching(candidates, false, turn, len(candidates))
	}
	return nthMatching(candidates, true, turn, resident)
}

func nthMatching(candidates []bamboostep.Candidate, resident bool, turn uint64, n int) (int, bool) {
	if n == 0 {
		return 0, false
	}
	skip := int(turn % uint64(n))
	for i := range candidates {
		if candidates[i].Resident != resident {
			continue
		}
		if skip == 0 {
			return i, true
		}
		skip--
	}
	return 0, false
}

// LeastLoad takes the candidate with the least reported load, those that hold the
// adapter first, and the first of equals.
type LeastLoad struct{}

// Pick implements bamboostep.Router.
func (LeastLoad) Pick(_ time.Time, _ bamboostep.Request, candidates []bamboostep.Candidate, _ uint64) (int, bool) {
	best := -1
	for i := range candidates {
		if best < 0 || hasLessLoad(&candidates[i], &candidates[best]) {
			best = i
		}
	}
	return max(best, 0), best >= 0
}

func hasLessLoad(a, b *bamboostep.Candidate) bool {
	if a.Resident != b.Resident {
		return a.Resident
	}
	return a.Reported < b.Reported
}
