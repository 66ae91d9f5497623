package stock

import (
	"cmp"
	"slices"
	"time"
)

// A model is hot when its requests come late and the workers that hold it have more
// to do than the others. The second condition keeps moves from being spent where
// more copies would not help: when all workers are busy alike, and when a model has
// just got enough copies but the share of its late requests still fades.

const (
	demandHorizon  = 60 * time.Second // how long an added copy is assumed to be of use
	demandCooldown = time.Second      // between two copies added for one model
	loadsPerModel  = 2                // copies of one model that load at one time
	hotPressure    = 1.1              // load of a hot model's workers, in mean loads of a worker
	evictionRatio  = 0.7              // a copy that carries more of the added one's work stays
)

// followDemand adds copies of hot models, as long as that gains more than the
// declared cost of the moves.
func (p *Placer) followDemand(now time.Time, v *view) {
	mean := v.meanLoad()
	hot := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool {
		loading := m.present() - m.resident()
		return m.gain() <= v.place.MoveWeight || m.pressure() < hotPressure*mean ||
			now.Sub(p.added[m.Name]) < demandCooldown || loading >= loadsPerModel
	})
	slices.SortStableFunc(hot, func(a, b *model) int { return cmp.Compare(b.gain(), a.gain()) })
	for _, m := range hot {
		if v.addForDemand(m) {
			p.added[m.Name] = now
		}
	}
}

// gain estimates how many requests more would be in time over the horizon with
// one more copy of m.
func (m *model) gain() float64 {
	return m.late * demandHorizon.Seconds() / float64(m.present()+1)
}

// pressure returns the mean load of the workers that answer for m.
func (m *model) pressure() float64 {
	sum, n := 0.0, 0
	for _, r := range m.copies {
		if r.resident() {
			sum += r.worker.load
			n++
		}
	}
	return sum / float64(max(1, n))
}

// meanLoad returns the mean load of all workers.
func (v *view) meanLoad() float64 {
	sum := 0.0
	for _, w := range v.workers {
		sum += w.load
	}
	return sum / float64(max(1, len(v.workers)))
}

// addForDemand adds a copy of m on the least loaded worker where it fits. If there
// is none it unloads copies that carry less, and a later round adds the copy. That
// is done while the store is still busy with other loads, too.
func (v *view) addForDemand(m *model) bool {
	carried := m.work / float64(m.present()+1)
	w := v.bestWorker(m, func(w *worker) bool { return w.free >= m.size })
	if w != nil {
		added := v.loads > 0
		if added {
			v.addLoad(m, w, reasonDemand)
		} else {
			w.setAside(m)
		}
		return added
	}
	if v.roomIsComing(m) || m.gain() <= 2*v.place.MoveWeight {
		return false
	}
	v.unloadSurplus(m, func(r *replica) int {
		if r.work() > carried*evictionRatio {
			return r.model.resident()
		}
		return keepDeclared(r)
	})
	return false
}
