package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lanes keep long prompts and short ones at different engines of a model, by size-interval task assignment: a prompt is long
// if it is longer than the mean, and the engines are divided as the work of the two kinds is, so that both lanes
// are loaded alike. A stream that starts with a short prompt is then not paused by the prefill of long ones, and its first event does not wait behind them.
//
// Entries agree on the lanes without communication. They rank the engines that hold a model by a hash, those
// at which the prefill of a prompt would pause streams for longer than promised first, and the first of them take short
// prompts. Each entry measures the share of the work in its own requests; where two differ, they differ about one engine.
//
// There are lanes only for a model of which some engine, by its pace, pauses streams for longer than promised while it prefills. Else
// they would only make the engines of each kind fewer.
//
// A lane is a preference: a request leaves it where that saves more than the pause that its route promises.

const (
	laneWeight  = 0.5 // price of leaving a lane, as a part of the pause promised
	shareWeight = 0.01
)

// promptSizes is how long the prompts of a service are and what they cost, as moving averages over this entry's own. It is zero before the first.
type promptSizes struct {
	mean      float64 // tokens, cached ones included
	longWork  float64 // tokens that must be prefilled, of long prompts; 0 for the others
	shortWork float64 // the same of short ones
}

// observe adds a request.
func (p *promptSizes) observe(tokens, uncached int) {
	long, short := 0.0, float64(uncached)
	if p.isLong(tokens) {
		long, short = short, long
	}
	p.longWork += shareWeight * (long - p.longWork)
	p.shortWork += shareWeight * (short - p.shortWork)
	if p.mean == 0 {
		p.mean = float64(tokens)
		return
	}
	p.mean += shareWeight * (float64(tokens) - p.mean)
}

// isLong reports whether a prompt belongs to the lane of long ones.
func (p *promptSizes) isLong(tokens int) bool { return float64(tokens) > p.mean }

// shortEngines returns how many of n engines take short prompts, 0 if there are no lanes.
func (p *promptSizes) shortEngines(n int) int {
	work := p.longWork + p.shortWork
	if work == 0 {
		return 0
	}
	short := int(math.Round(float64(n) * p.shortWork / work))
	if short == n {
		return 0
	}
	return short
}

// lane returns the engines that requests like req go to, or nil if there are no lanes.
func (f *Fleet) lane(req Requirements) map[*server]bool {
	sizes := f.promptSizes[req.Service]
	if req.ModelName.Model == "" || req.Promise.EventGap <= 0 || sizes == nil {
		return nil
	}
	holders := f.rankedHolders(req)
	if len(holders) == 0 || !holders[0].pauses {
		return nil // no engine needs to be kept free of long prompts
	}
	short := sizes.shortEngines(len(holders))
	if short == 0 {
		return nil
	}
	if sizes.isLong(req.PromptTokens) {
		holders = holders[short:]
	} else {
		holders = holders[:short]
	}
	lane := make(map[*server]bool, len(holders))
	for _, h := range holders {
		lane[h.server] = true
	}
	return lane
}

// rankedHolder is an engine in the order that all entries use.
type rankedHolder struct {
	server *server
	pauses bool // the prefill of a prompt pauses its streams for longer than promised
	rank   uint64
}

// rankedHolders returns the engines that hold the model of req and stay, those that take short prompts first.
func (f *Fleet) rankedHolders(req Requirements) []rankedHolder {
	model := xxhash.Sum64String(req.ModelName.Model)
	var holders []rankedHolder
	for _, s := range f.byService[req.Service] {
		if s.listing.Leaving || !s.holdsModel(req.ModelName.Model) {
			continue
		}
		holders = append(holders, rankedHolder{s, s.pace.PrefillGap() > req.Promise.EventGap, rendezvousWeight(model, s.listing.Instance)})
	}
	slices.SortFunc(holders, func(a, b rankedHolder) int {
		switch {
		case a.pauses != b.pauses && a.pauses:
			return -1
		case a.pauses != b.pauses:
			return 1
		case a.rank < b.rank:
			return -1
		}
		return 1
	})
	return holders
}

// inLane returns the candidates that are in the lane, or all if none is.
func inLane(lane map[*server]bool, candidates []*server) []*server {
	var in []*server
	for _, s := range candidates {
		if lane[s] {
			in = append(in, s)
		}
	}
	if len(in) == 0 {
		return candidates
	}
	return in
}

// laneCost is the price of sending req to a server outside its lane.
func (req Requirements) laneCost(lane map[*server]bool, s *server) time.Duration {
	if lane == nil || lane[s] {
		return 0
	}
	return time.Duration(laneWeight * float64(req.Promise.EventGap))
}

// recordPromptSize adds a request to the sizes of its service.
func (f *Fleet) recordPromptSize(req Requirements, uncached int) {
	p := f.promptSizes[req.Service]
	if p == nil {
		p = &promptSizes{}
		f.promptSizes[req.Service] = p
	}
	p.observe(req.PromptTokens, uncached)
}
