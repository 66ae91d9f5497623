package dispatch

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Balanced scores every candidate by the queued work that a request would wait for
// there, in tokens, less the work that its prefix cache would save. Reports lag and
// are shared by many entries, so if each entry took the candidate with the lowest
// score, that one would get the requests of all entries at once. Balanced therefore
// treats candidates within a slack of the best score as equal, draws two of them at
// random and takes the better one. Among equal candidates it prefers those that hold
// the model and adapter, since loading an adapter is a move and evicts another one,
// and then those in the entry's own failure domain.
//
// The reported queue includes the entry's own attempts, about which the entry has
// fresher data. So only the excess of the report over them is added, with a weight
// that decreases with the age of the report. RoundRobin and LeastLoad are baselines
// for evaluating Balanced.

const (
	defaultBlockTokens   = 16   // work saved by one cached prompt block
	defaultLoadTokens    = 32   // cost of loading an adapter
	suspectPenaltyTokens = 1000 // score of each crash suspect there, which runs alone and so blocks other requests
	defaultSlackTokens   = 64   // scores within this distance of the best are equal
	reportHalfWeightAge  = time.Second
	maxCachedScores      = 512 // candidates whose scores are kept on the stack; others are scored twice
	minAttemptTokens     = 8   // least remaining work of a running attempt, even beyond its estimate
)

// Balanced is the default router. Fields that are zero take defaults.
type Balanced struct {
	BlockTokens float64 // work saved by one cached prompt block, tokens
	LoadTokens  float64 // cost of loading an adapter, tokens
	SlackTokens float64 // scores within this distance of the best are equal, tokens
}

var (
	_ bamboostep.Router = Balanced{}
	_ bamboostep.Router = (*RoundRobin)(nil)
	_ bamboostep.Router = LeastLoad{}
)

// QueuedTokens estimates the queued work that a request would wait for at c, in tokens.
func QueuedTokens(c *bamboostep.Candidate) float64 {
	own := max(c.InFlightTokens, float64(c.InFlight*minAttemptTokens))
	others := c.QueuedTokens - own
	if others <= 0 {
		return own
	}
	return own + others*reportWeight(c.ReportAge)
}

// reportWeight returns the weight of a report by its age: 1 when new, 1/2 at
// reportHalfWeightAge, and decreasing towards 0.
func reportWeight(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(reportHalfWeightAge) / float64(reportHalfWeightAge+age)
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
	s := QueuedTokens(c) + float64(c.Suspects)*suspectPenaltyTokens - float64(c.CachedBlocks)*b.BlockTokens
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
	var tiers [preferenceTiers]pairSampler
	for i := range tiers {
		tiers[i].rand = splitMix64(seed)
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
		tiers[preferenceTier(&candidates[i])].add(i, s)
	}
	for i := range tiers {
		if tiers[i].seen > 0 {
			return tiers[i].best()
		}
	}
	return 0, false
}

const preferenceTiers = 4

// preferenceTier returns the rank of a candidate among those with equal scores, 0
// being the most preferred.
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

// pairSampler draws two of the items added to it by reservoir sampling; all pairs are
// equally likely.
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

// best returns the item with the lower score of the two drawn, at random if equal.
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

// splitMix64 is the SplitMix64 generator of pseudo-random numbers.
type splitMix64 uint64

func (r *splitMix64) next() uint64 {
	*r += 0x9e3779b97f4a7c15
	z := uint64(*r)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (r *splitMix64) intn(n int) int { return int(r.next() % uint64(n)) }

// RoundRobin takes the candidates in turn, only those that hold the model and adapter
// if there are any.
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

// nthMatching returns the index of the candidate at position turn modulo n among the
// n candidates whose Resident field equals resident.
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

// LeastLoad takes the candidate with the least reported load, among those that hold
// the model and adapter if there are any. The first of equal candidates wins.
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
	return a.QueuedTokens < b.QueuedTokens
}
