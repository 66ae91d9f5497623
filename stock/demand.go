package stock

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A model is hot when its requests come late and each of its copies has much to do
// itself. The second condition keeps moves from being spent where more copies would
// not help: when all workers are busy alike, when a model is late only because it
// shares its workers with a hot one, and when a model has just got enough copies but
// the share of its late requests still fades.

const (
	gainHorizon = 60 * time.Second // how long an added copy is assumed to be of use
	maxLoadsPerModel = 2                // copies of one model that load at one time
	hotCopyLoadRatio       = 0.7              // work of one copy of a hot model, in mean loads of a worker
	maxEvictedRateRatio = 0.7              // a copy that carries more of the added one's work stays
	spaceClaimTTL      = 5 * time.Second  // for the copy that it was made for
)

// addHotCopies adds copies of hot models, as long as that gains more than the
// declared cost of the moves.
func (p *Placer) addHotCopies(now time.Time, v *placeView) {
	p.useSpaceClaims(now, v)
	mean := v.meanWorkerTokenRate()
	hot := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool {
		return m.addedCopyGain(0) <= v.place.MoveWeight || m.tokenRatePerCopy() < hotCopyLoadRatio*mean
	})
	slices.SortStableFunc(hot, func(a, b *model) int { return cmp.Compare(b.addedCopyGain(0), a.addedCopyGain(0)) })
	for _, m := range hot {
		planned := p.claimedCopies(m) // copies that wait for room
		for range maxLoadsPerModel - (m.activeCopies() - m.residentCopies()) - planned {
			if !p.addForDemand(now, v, m, planned) {
				planned++
			}
		}
	}
}

// spaceClaim is memory on one worker that copies were unloaded for.
type spaceClaim struct {
	model string
	expires time.Time
}

// useSpaceClaims loads copies where room was made for them. Until it is reported free the
// memory is kept, so that what was unloaded is not loaded there again at once.
func (p *Placer) useSpaceClaims(now time.Time, v *placeView) {
	maps.DeleteFunc(p.spaceClaims, func(_ string, r spaceClaim) bool { return now.After(r.expires) })
	for _, w := range v.workers {
		r, ok := p.spaceClaims[w.name]
		m := v.modelsByName[r.model]
		switch {
		case !ok || m == nil:
		case m.isOn(w):
			delete(p.spaceClaims, w.name)
		case w.freeMiB >= m.sizeMiB && v.loadsLeft > 0:
			v.planLoad(m, w, reasonDemand)
			delete(p.spaceClaims, w.name)
		case w.freeMiB+w.unloadingMiB < m.sizeMiB:
			delete(p.spaceClaims, w.name) // another copy has taken it
		default:
			w.reserveFor(m)
		}
	}
}

// claimedCopies returns how many copies of m wait for room that is made for them.
func (p *Placer) claimedCopies(m *model) int {
	n := 0
	for _, r := range p.spaceClaims {
		if r.model == m.Name {
			n++
		}
	}
	return n
}

// addedCopyGain estimates how many requests more would be in time over the horizon with
// one more copy of m, beside so many that are planned already.
func (m *model) addedCopyGain(planned int) float64 {
	return m.lateRate * gainHorizon.Seconds() / float64(m.activeCopies()+planned+1)
}

// tokenRatePerCopy returns the work of one copy, those that load included.
func (m *model) tokenRatePerCopy() float64 { return m.tokenRate / float64(max(1, m.activeCopies())) }

// meanWorkerTokenRate returns the mean load of all workers.
func (v *placeView) meanWorkerTokenRate() float64 {
	sum := 0.0
	for _, w := range v.workers {
		sum += w.tokenRate
	}
	return sum / float64(max(1, len(v.workers)))
}

// addForDemand adds a copy of m on the least loaded worker where it fits. If there
// is none it unloads copies that carry less, and a later round adds the copy. That
// is done while the store is still busy with other loads, too. Copies that wait for
// room already count as planned.
func (p *Placer) addForDemand(now time.Time, v *placeView, m *model, planned int) (loaded bool) {
	if m.addedCopyGain(planned) <= v.place.MoveWeight {
		return false
	}
	carried := m.tokenRate / float64(m.activeCopies()+planned+1)
	w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB >= m.sizeMiB })
	switch {
	case w != nil && v.loadsLeft > 0:
		v.planLoad(m, w, reasonDemand)
		return true
	case w != nil:
		w.reserveFor(m)
	case v.claimUnloadingSpace(m) || m.addedCopyGain(planned) <= 2*v.place.MoveWeight:
	default:
		at := v.evictFor(m, func(r *replica) int {
			if r.tokenRate() > carried*maxEvictedRateRatio {
				return r.model.residentCopies()
			}
			return keepMinCopies(r)
		})
		if at != nil {
			p.spaceClaims[at.name] = spaceClaim{m.Name, now.Add(spaceClaimTTL)}
		}
	}
	return false
}
