package stock

import (
	"cmp"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Static and OnDemand are baselines for evaluating Placer. Both never exceed the
// memory of a VM, bound the loads from the store in flight and never unload the last
// copy of a declared model.

// Static assigns the models evenly to the workers once all expected workers are
// there, and keeps the assignment. A model that has lost all copies is loaded
// wherever it fits, and copies are evicted for it if it fits nowhere.
type Static struct {
	assignments map[assignment]bool
}

// assignment is a model and the worker that it is loaded on, both by name.
type assignment struct{ model, worker string }

// OnDemand keeps the declared copies, adds a copy of a model when more than
// onDemandLateShare of its requests are late, and makes room by evicting the copies
// with the least work.
type OnDemand struct{}

var (
	_ bamboostep.Placer = (*Static)(nil)
	_ bamboostep.Placer = OnDemand{}
)

const onDemandLateShare = 0.1

// Place implements bamboostep.Placer.
func (s *Static) Place(_ time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	return planEnginePlaces(fleet, func(v *placeView) {
		if s.assignments == nil && len(v.workers) >= v.place.Workers {
			s.assignments = v.assignEvenly()
		}
		if s.assignments == nil {
			return
		}
		for _, w := range v.workers {
			for _, m := range v.models {
				if s.assignments[assignment{m.Name, w.name}] && !m.isOn(w) && w.freeMiB >= m.sizeMiB && v.loadsLeft > 0 {
					v.planLoad(m, w, reasonDemand)
				}
			}
		}
		v.restoreMissingCopies(func(m *model) bool { return m.activeCopies() == 0 })
	})
}

// assignEvenly assigns one more copy of each model in turn, on the worker with the
// fewest copies, until no model fits any more.
func (v *placeView) assignEvenly() map[assignment]bool {
	homes := make(map[assignment]bool)
	free := make(map[*worker]int64)
	copies := make(map[*worker]int)
	for _, w := range v.workers {
		free[w] = v.place.MemoryMiB
	}
	for placed := true; placed; {
		placed = false
		for _, m := range v.models {
			fits := slices.DeleteFunc(slices.Clone(v.workers), func(w *worker) bool {
				return free[w] < m.sizeMiB || homes[assignment{m.Name, w.name}]
			})
			if len(fits) == 0 {
				continue
			}
			w := slices.MinFunc(fits, func(a, b *worker) int { return cmp.Compare(copies[a], copies[b]) })
			homes[assignment{m.Name, w.name}] = true
			free[w] -= m.sizeMiB
			copies[w]++
			placed = true
		}
	}
	return homes
}

// Place implements bamboostep.Placer.
func (OnDemand) Place(_ time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	return planEnginePlaces(fleet, func(v *placeView) {
		v.unloadUndeclared(fleet)
		v.restoreMissingCopies(func(m *model) bool { return m.activeCopies() < m.minCopies() })
		v.replaceOutdatedCopies()
		for _, m := range v.models {
			if m.lateRate <= onDemandLateShare*m.requestRate || m.residentCopies() < m.activeCopies() {
				continue
			}
			w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB >= m.sizeMiB })
			if w == nil && !v.claimUnloadingSpace(m) {
				v.evictFor(m, keepMinCopies)
			} else if w != nil && v.loadsLeft > 0 {
				v.planLoad(m, w, reasonDemand)
			}
		}
	})
}
