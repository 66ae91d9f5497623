package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
)

// demandDecay is the time constant with which demand decays (to 1/e).
const demandDecay = 3 * time.Second

// demand sums up the demand for each model over all entries. Older counts decay, so that a
// shift of demand shows within seconds.
type demand struct {
	models map[string]*modelDemand         // by model name
	needs  map[fleet.VersionNeed]time.Time // when each was last reported
}

// modelDemand holds the decaying counts for one model, as of updatedAt.
type modelDemand struct {
	requests  float64
	tokens    float64 // prompt tokens to prefill plus answer tokens
	late      float64 // requests that missed their target
	updatedAt time.Time
}

// decay reduces the counts by the time passed since updatedAt.
func (a *modelDemand) decay(now time.Time) {
	if passed := now.Sub(a.updatedAt); passed > 0 {
		f := math.Exp(-passed.Seconds() / demandDecay.Seconds())
		a.requests *= f
		a.tokens *= f
		a.late *= f
		a.updatedAt = now
	}
}

// add adds the demand reported by an entry. It returns true if any request was late, so
// that placement should run immediately.
func (d *demand) add(notes []fleet.Demand, now time.Time) (urgent bool) {
	if d.models == nil {
		d.models = make(map[string]*modelDemand)
	}
	for _, n := range notes {
		a := d.models[n.Model]
		if a == nil {
			a = &modelDemand{updatedAt: now}
			d.models[n.Model] = a
		}
		a.decay(now)
		a.requests += float64(n.Requests)
		a.tokens += float64(n.Tokens)
		a.late += float64(n.Late)
		urgent = urgent || n.Late > 0
	}
	return urgent
}

// Needs are met for as long as a stream may wait, and their number is bounded.
const (
	needTTL  = 3 * time.Second
	maxNeeds = 256
)

// addNeeds adds the needs reported by an entry. It returns true if there are any, so that placement should run
// immediately.
func (d *demand) addNeeds(needs []fleet.VersionNeed, now time.Time) (urgent bool) {
	if d.needs == nil {
		d.needs = make(map[fleet.VersionNeed]time.Time)
	}
	maps.DeleteFunc(d.needs, func(_ fleet.VersionNeed, at time.Time) bool { return now.Sub(at) > needTTL })
	for _, n := range needs {
		if len(d.needs) < maxNeeds {
			d.needs[n] = now
		}
	}
	return len(needs) > 0
}

// needsOf returns the needs of a service that are met now.
func (d *demand) needsOf(service string, now time.Time) []fleet.VersionNeed {
	var needs []fleet.VersionNeed
	for n, at := range d.needs {
		if n.Service == service && now.Sub(at) <= needTTL {
			needs = append(needs, n)
		}
	}
	slices.SortFunc(needs, func(a, b fleet.VersionNeed) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return needs
}

// totalRate returns the requests per second for all given models together.
func (d *demand) totalRate(models []route.Model, now time.Time) float64 {
	sum := 0.0
	for _, m := range models {
		sum += d.forModel(m.Name, now).RequestRate
	}
	return sum
}

// forModel returns the demand for a model as of now; zero for an unknown model.
func (d *demand) forModel(model string, now time.Time) bamboostep.Demand {
	out := bamboostep.Demand{Name: model}
	a := d.models[model]
	if a == nil {
		return out
	}
	a.decay(now)
	out.RequestRate = a.requests / demandDecay.Seconds()
	out.TokenRate = a.tokens / demandDecay.Seconds()
	if a.requests > 0 {
		out.LateShare = min(1, a.late/a.requests)
	}
	return out
}
