package stock

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// A model is hot when its requests are late and each of its copies carries much
// work. The second condition avoids moves that would not help: when all workers
// are equally busy, when a model is late only because it shares its workers with
// a hot one, and when a model has just received enough copies but its smoothed
// share of late requests has not decayed yet.

const (
	gainHorizon         = 60 * time.Second // how long an added copy is assumed to be useful
	maxLoadsPerModel    = 2                // concurrent loads of one model
	hotCopyLoadRatio    = 0.7              // least work per copy of a hot model, relative to the mean load of a worker
	maxEvictedRateRatio = 0.7              // most work of an evicted copy, relative to the work of the added one
	spaceClaimTTL       = 5 * time.Second  // how long evicted memory is claimed for one model
)

// addHotCopies adds copies of hot models as long as the gain exceeds the declared
// cost of a move.
func (p *Placer) addHotCopies(now time.Time, v *placeView) {
	p.useSpaceClaims(now, v)
	mean := v.meanWorkerTokenRate()
	hot := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool {
		return m.addedCopyGain(0) <= v.place.MoveWeight || m.tokenRatePerCopy() < hotCopyLoadRatio*mean
	})
	slices.SortStableFunc(hot, func(a, b *model) int { return cmp.Compare(b.addedCopyGain(0), a.addedCopyGain(0)) })
	for _, m := range hot {
		planned := p.claimedCopies(m) // copies whose memory is being freed
		for range maxLoadsPerModel - (m.activeCopies() - m.residentCopies()) - planned {
			if !p.addForDemand(now, v, m, planned) {
				planned++
			}
		}
	}
}

// spaceClaim reserves the memory of one worker, from which copies were evicted,
// for a copy of the named model.
type spaceClaim struct {
	model   string
	expires time.Time
}

// useSpaceClaims loads the copies for which memory was claimed. Memory that is not
// reported free yet stays reserved, so that the evicted copy is not loaded there
// again at once.
func (p *Placer) useSpaceClaims(now time.Time, v *placeView) {
	maps.DeleteFunc(p.spaceClaims, func(_ string, claim spaceClaim) bool { return now.After(claim.expires) })
	for _, w := range v.workers {
		claim, ok := p.spaceClaims[w.name]
		m := v.modelsByName[claim.model]
		switch {
		case !ok || m == nil:
		case m.isOn(w):
			delete(p.spaceClaims, w.name)
		case w.freeMiB >= m.sizeMiB && v.loadsLeft > 0:
			v.planLoad(m, w, reasonDemand)
			delete(p.spaceClaims, w.name)
		case w.freeMiB+w.unloadingMiB < m.sizeMiB:
			delete(p.spaceClaims, w.name) // another copy took the memory
		default:
			w.reserveFor(m)
		}
	}
}

// claimedCopies returns how many copies of m have a space claim.
func (p *Placer) claimedCopies(m *model) int {
	n := 0
	for _, claim := range p.spaceClaims {
		if claim.model == m.Name {
			n++
		}
	}
	return n
}

// addedCopyGain estimates how many more requests would meet the target latency
// within gainHorizon if m had one more copy than the active and planned ones.
func (m *model) addedCopyGain(planned int) float64 {
	return m.lateRate * gainHorizon.Seconds() / float64(m.activeCopies()+planned+1)
}

// tokenRatePerCopy returns the work of one copy, counting those that are loading.
func (m *model) tokenRatePerCopy() float64 { return m.tokenRate / float64(max(1, m.activeCopies())) }

// meanWorkerTokenRate returns the mean load of all workers, in tokens per second.
func (v *placeView) meanWorkerTokenRate() float64 {
	sum := 0.0
	for _, w := range v.workers {
		sum += w.tokenRate
	}
	return sum / float64(max(1, len(v.workers)))
}

// addForDemand adds a copy of m on the best worker with enough free memory. If
// there is none, it evicts copies that carry less work and claims their memory,
// and a later round loads the copy. It evicts even when no load may start now.
// The planned argument counts copies that wait for claimed memory.
func (p *Placer) addForDemand(now time.Time, v *placeView, m *model, planned int) (loaded bool) {
	if m.addedCopyGain(planned) <= v.place.MoveWeight {
		return false
	}
	newCopyRate := m.tokenRate / float64(m.activeCopies()+planned+1)
	w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB >= m.sizeMiB })
	switch {
	case w != nil && v.loadsLeft > 0:
		v.planLoad(m, w, reasonDemand)
		return true
	case w != nil:
		w.reserveFor(m)
	case v.claimUnloadingSpace(m) || m.addedCopyGain(planned) <= 2*v.place.MoveWeight:
	default:
		evicted := v.evictFor(m, func(r *replica) int {
			if r.tokenRate() > newCopyRate*maxEvictedRateRatio {
				return r.model.residentCopies()
			}
			return keepMinCopies(r)
		})
		if evicted != nil {
			p.spaceClaims[evicted.name] = spaceClaim{m.Name, now.Add(spaceClaimTTL)}
		}
	}
	return false
}
