package stock

import (
	"slices"

	"github.com/bamboostep/bamboostep"
)

// Memory that is free but scattered can leave a declared copy without room on any
// worker. The placer then moves towards one fixed packing, the one that Fits found
// when the set was published, and does nothing else until it is reached but restore
// models that no worker holds. The packing depends on the declared models and the
// workers alone, so every round goes the same way, also under a new leader.

// planRepackRound is a round on the way to the packing. It returns false once the packing is
// reached, or if there is none.
func (p *Placer) planRepackRound(v *placeView, fleet bamboostep.Fleet) bool {
	target, ok := v.computePacking(fleet.Versions)
	if !ok || v.packingReached(target) {
		delete(p.repackingPlaces, v.place.Name)
		return false
	}
	v.restoreMissingCopies(func(m *model) bool { return m.activeCopies() == 0 })
	v.loadPackedCopies(target)
	awaited := func(r *replica) bool { return r.worker.needsSpace }
	all := func(*replica) bool { return true }
	for _, step := range []func(){
		func() { v.unloadUnpackedCopies(target, awaited, keepMinCopies) },
		func() { v.unloadUnpackedCopies(target, awaited, keepOne) },
		func() { v.relocateLastCopy(target) },
		func() { v.unloadUnpackedCopies(target, all, keepMinCopies) },
	} {
		if len(v.moves) == 0 && !v.hasMovesInFlight() {
			step()
		}
	}
	return true
}

// relocateLastCopy loads a model that has its only copy on an awaited worker wherever else
// memory is free, so that this copy can go.
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

// outsidePacking reports whether the packing does not have r.
func (r *replica) outsidePacking(target map[*model][]*worker) bool {
	return !r.hasDeclaredVersion() || !slices.Contains(target[r.model], r.worker)
}

// packingReached reports whether every model answers where the packing has it.
func (v *placeView) packingReached(target map[*model][]*worker) bool {
	for _, m := range v.models {
		on := 0
		for _, r := range m.copies {
			if r.isResident() && r.hasDeclaredVersion() && slices.Contains(target[m], r.worker) {
				on++
			}
		}
		if on < len(target[m]) {
			return false
		}
	}
	return true
}

// hasMovesInFlight reports whether loads or unloads are in flight.
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

// computePacking returns the workers of each model, by first fit.
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
		on, ok := firstFit(free, m.sizeMiB, m.minCopies())
		if !ok {
			return nil, false
		}
		for _, i := range on {
			target[m] = append(target[m], v.workers[i])
		}
	}
	return target, true
}

// loadPackedCopies loads models where the packing has them, and marks the workers that
// still have no room for it.
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

// unloadUnpackedCopies unloads the chosen copies that the packing does not have.
func (v *placeView) unloadUnpackedCopies(target map[*model][]*worker, chosen func(*replica) bool, floor func(*replica) int) {
	for _, m := range v.models {
		for _, r := range append(m.outdatedCopies(), m.copies...) {
			if v.unloadsLeft > 0 && r.isResident() && r.outsidePacking(target) && chosen(r) && r.remainingWithout() >= floor(r) {
				v.planUnload(r, reasonRoom)
			}
		}
	}
}
