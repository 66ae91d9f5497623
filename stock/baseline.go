package stock

import (
	"cmp"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// The plain ways that the Placer is measured against. Both keep the rules of every
// placer: memory is never passed, the store's loads in flight are bounded, and a
// last copy never goes.

// Static spreads the models evenly over all workers once they are there, and never
// moves one. A model that no worker holds any more is loaded where there is room.
type Static struct {
	homes map[home]bool
}

// home is a worker that a model was given to.
type home struct{ model, worker string }

// OnDemand keeps the declared copies, adds one as soon as a share of a model's
// requests is late, and makes room by unloading what was asked for least.
type OnDemand struct{}

var (
	_ bamboostep.Placer = (*Static)(nil)
	_ bamboostep.Placer = OnDemand{}
)

const onDemandLateShare = 0.1

// Place implements bamboostep.Placer.
func (s *Static) Place(_ time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	return eachPlace(fleet, func(v *view) {
		if s.homes == nil && len(v.workers) >= v.place.Workers {
			s.homes = v.spreadEvenly()
		}
		if s.homes == nil {
			return
		}
		for _, w := range v.workers {
			for _, m := range v.models {
				if s.homes[home{m.Name, w.name}] && !m.on(w) && w.free >= m.size && v.loads > 0 {
					v.addLoad(m, w, reasonDemand)
				}
			}
		}
		v.restore(func(m *model) bool { return m.present() == 0 })
	})
}

// spreadEvenly gives one more copy to every model in turn for as long as one fits.
func (v *view) spreadEvenly() map[home]bool {
	homes := make(map[home]bool)
	free := make(map[*worker]int64)
	copies := make(map[*worker]int)
	for _, w := range v.workers {
		free[w] = v.place.MemoryMiB
	}
	for placed := true; placed; {
		placed = false
		for _, m := range v.models {
			fits := slices.DeleteFunc(slices.Clone(v.workers), func(w *worker) bool {
				return free[w] < m.size || homes[home{m.Name, w.name}]
			})
			if len(fits) == 0 {
				continue
			}
			w := slices.MinFunc(fits, func(a, b *worker) int { return cmp.Compare(copies[a], copies[b]) })
			homes[home{m.Name, w.name}] = true
			free[w] -= m.size
			copies[w]++
			placed = true
		}
	}
	return homes
}

// Place implements bamboostep.Placer.
func (OnDemand) Place(_ time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	return eachPlace(fleet, func(v *view) {
		v.withdraw(fleet)
		v.restore(func(m *model) bool { return m.present() < m.copiesWanted() })
		v.changeVersions()
		for _, m := range v.models {
			if m.late <= onDemandLateShare*m.rate || m.resident() < m.present() {
				continue
			}
			w := v.bestWorker(m, func(w *worker) bool { return w.free >= m.size })
			if w == nil && !v.roomIsComing(m) {
				v.unloadSurplus(m, keepDeclared)
			} else if w != nil && v.loads > 0 {
				v.addLoad(m, w, reasonDemand)
			}
		}
	})
}
