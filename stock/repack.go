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

// repack is a round on the way to the packing. It returns false once the packing is
// reached, or if there is none.
func (p *Placer) repack(v *view, fleet bamboostep.Fleet) bool {
	target, ok := v.packing(fleet.Versions)
	if !ok || v.reached(target) {
		delete(p.repacking, v.place.Name)
		return false
	}
	v.restore(func(m *model) bool { return m.present() == 0 })
	v.loadTargets(target)
	awaited := func(r *replica) bool { return r.worker.awaited }
	all := func(*replica) bool { return true }
	for _, step := range []func(){
		func() { v.unloadOthers(target, awaited, keepDeclared) },
		func() { v.unloadOthers(target, awaited, keepOne) },
		func() { v.stepAside(target) },
		func() { v.unloadOthers(target, all, keepDeclared) },
	} {
		if len(v.moves) == 0 && !v.changing() {
			step()
		}
	}
	return true
}

// stepAside loads a model that has its only copy on an awaited worker wherever else
// memory is free, so that this copy can go.
func (v *view) stepAside(target map[*model][]*worker) {
	for _, m := range v.models {
		for _, r := range m.copies {
			if !r.worker.awaited || !r.outside(target) {
				continue
			}
			w := v.bestWorker(m, func(w *worker) bool { return w != r.worker && w.free >= m.size })
			if w != nil {
				v.addLoad(m, w, reasonRoom)
				return
			}
		}
	}
}

// outside reports whether the packing does not have r.
func (r *replica) outside(target map[*model][]*worker) bool {
	return !r.current() || !slices.Contains(target[r.model], r.worker)
}

// reached reports whether every model answers where the packing has it.
func (v *view) reached(target map[*model][]*worker) bool {
	for _, m := range v.models {
		on := 0
		for _, r := range m.copies {
			if r.resident() && r.current() && slices.Contains(target[m], r.worker) {
				on++
			}
		}
		if on < len(target[m]) {
			return false
		}
	}
	return true
}

// changing reports whether loads or unloads are in flight.
func (v *view) changing() bool {
	for _, w := range v.workers {
		for _, r := range w.copies {
			if !r.resident() {
				return true
			}
		}
	}
	return false
}

// packing returns the workers of each model, by first fit.
func (v *view) packing(versions map[string]bamboostep.Version) (map[*model][]*worker, bool) {
	free := make([]int64, len(v.workers))
	for i := range free {
		free[i] = v.place.MemoryMiB
	}
	specs := make([]bamboostep.Model, 0, len(v.models))
	for _, m := range v.models {
		specs = append(specs, m.Model)
	}
	target := make(map[*model][]*worker)
	for _, spec := range bySize(v.place, versions, specs) {
		m := v.named[spec.Name]
		on, ok := pack(free, m.size, m.copiesWanted())
		if !ok {
			return nil, false
		}
		for _, i := range on {
			target[m] = append(target[m], v.workers[i])
		}
	}
	return target, true
}

// loadTargets loads models where the packing has them, and marks the workers that
// still have no room for it.
func (v *view) loadTargets(target map[*model][]*worker) {
	for _, m := range v.models {
		for _, w := range target[m] {
			if m.on(w) {
				continue
			}
			if w.free < m.size {
				w.awaited = true
			} else if v.loads > 0 {
				v.addLoad(m, w, reasonRoom)
			}
		}
	}
}

// unloadOthers unloads the chosen copies that the packing does not have.
func (v *view) unloadOthers(target map[*model][]*worker, chosen func(*replica) bool, floor func(*replica) int) {
	for _, m := range v.models {
		for _, r := range append(m.oldCopies(), m.copies...) {
			if v.unloads > 0 && r.resident() && r.outside(target) && chosen(r) && r.others() >= floor(r) {
				v.addUnload(r, reasonRoom)
			}
		}
	}
}
