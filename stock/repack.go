package stock

import (
	"slices"

	"github.com/bamboostep/bamboostep"
)

// Fragmentation of the free memory can leave a declared copy without room on any
// worker. The placer then moves towards one fixed packing, found by the first fit
// that Fits uses when a set is published. Until the packing is reached, the placer
// otherwise only restores models without any copy. The packing depends on the
// declared models and the workers alone, so all rounds work towards the same one,
// also under a new leader.

// planRepackRound plans a round towards the packing. It returns false once the
// packing is reached, or if there is none. Each step runs only if the steps before
// it planned nothing and no load or unload is in flight.
func (p *Placer) planRepackRound(v *placeView, fleet bamboostep.Fleet) bool {
	target, ok := v.computePacking(fleet.Versions)
	if !ok || v.packingReached(target) {
		delete(p.repackingPlaces, v.place.Name)
		return false
	}
	v.restoreMissingCopies(func(m *model) bool { return m.activeCopies() == 0 })
	v.loadPackedCopies(target)
	onWorkerNeedingSpace := func(r *replica) bool { return r.worker.needsSpace }
	all := func(*replica) bool { return true }
	for _, step := range []func(){
		func() { v.unloadUnpackedCopies(target, onWorkerNeedingSpace, keepMinCopies) },
		func() { v.unloadUnpackedCopies(target, onWorkerNeedingSpace, keepOne) },
		func() { v.relocateLastCopy(target) },
		func() { v.unloadUnpackedCopies(target, all, keepMinCopies) },
	} {
		if len(v.moves) == 0 && !v.hasMovesInFlight() {
			step()
		}
	}
	return true
}

// relocateLastCopy loads a second copy of one model, where memory is free, if a copy
// outside the packing is on a worker that needs space. A later round can then unload
// that copy even if it was the last one.
func (v *placeView) relocateLastCopy(target map[*model][]*worker) {
	for _, m := range v.models {
		for _, r := range m.copies {
			if !r.worker.needsSpace || !r.outsidePacking(target) {
				continue
			}
			w := v.bestWorker(m, func(w *worker) bool { return w != r.worker && w.freeMiB >= m.sizeMiB })
			if w != nil {
				v.planLoad(m, w, reasonRoom)
				return
			}
		}
	}
}

// outsidePacking reports whether r is not part of the packing.
func (r *replica) outsidePacking(target map[*model][]*worker) bool {
	return !r.hasDeclaredVersion() || !slices.Contains(target[r.model], r.worker)
}

// packingReached reports whether every model is resident on all workers that the
// packing assigns to it.
func (v *placeView) packingReached(target map[*model][]*worker) bool {
	for _, m := range v.models {
		placed := 0
		for _, r := range m.copies {
			if r.isResident() && r.hasDeclaredVersion() && slices.Contains(target[m], r.worker) {
				placed++
			}
		}
		if placed < len(target[m]) {
			return false
		}
	}
	return true
}

// hasMovesInFlight reports whether a load or unload of a model is in flight.
func (v *placeView) hasMovesInFlight() bool {
	for _, w := range v.workers {
		for _, r := range w.copies {
			if !r.isResident() {
				return true
			}
		}
	}
	return false
}

// computePacking assigns workers to the models by first-fit decreasing. It returns
// false if the models do not fit.
func (v *placeView) computePacking(versions map[string]bamboostep.Version) (map[*model][]*worker, bool) {
	free := make([]int64, len(v.workers))
	for i := range free {
		free[i] = v.place.MemoryMiB
	}
	specs := make([]bamboostep.Model, 0, len(v.models))
	for _, m := range v.models {
		specs = append(specs, m.Model)
	}
	target := make(map[*model][]*worker)
	for _, spec := range modelsBySize(v.place, versions, specs) {
		m := v.modelsByName[spec.Name]
		indexes, ok := firstFit(free, m.sizeMiB, m.minCopies())
		if !ok {
			return nil, false
		}
		for _, i := range indexes {
			target[m] = append(target[m], v.workers[i])
		}
	}
	return target, true
}

// loadPackedCopies loads models on the workers that the packing assigns to them, and
// marks the workers that lack the free memory for it.
func (v *placeView) loadPackedCopies(target map[*model][]*worker) {
	for _, m := range v.models {
		for _, w := range target[m] {
			if m.isOn(w) {
				continue
			}
			if w.freeMiB < m.sizeMiB {
				w.needsSpace = true
			} else if v.loadsLeft > 0 {
				v.planLoad(m, w, reasonRoom)
			}
		}
	}
}

// unloadUnpackedCopies unloads the chosen copies that are not part of the packing,
// outdated ones first, keeping as many copies of each model as floor returns.
func (v *placeView) unloadUnpackedCopies(target map[*model][]*worker, chosen func(*replica) bool, floor func(*replica) int) {
	for _, m := range v.models {
		for _, r := range append(m.outdatedCopies(), m.copies...) {
			if v.unloadsLeft > 0 && r.isResident() && r.outsidePacking(target) && chosen(r) && r.remainingWithout() >= floor(r) {
				v.planUnload(r, reasonRoom)
			}
		}
	}
}
