package stock

import (
	"cmp"
	"slices"
	"time"
)

const (
	demandHorizon  = 60 * time.Second // how long an added copy is assumed to be of use
	demandCooldown = 2 * time.Second  // between two copies added for one model
	loadsPerModel  = 2                // copies of one model that load at one time
	evictionRatio  = 0.5              // a copy goes only for one that would carry this much more
)

// followDemand adds copies of models whose requests come late, as long as that
// gains more than the declared cost of the moves.
func (p *Placer) followDemand(now time.Time, v *view) {
	hot := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool {
		return m.gain() <= v.place.MoveWeight || now.Sub(p.added[m.Name]) < demandCooldown || m.present()-m.resident() >= loadsPerModel
	})
	slices.SortStableFunc(hot, func(a, b *model) int { return cmp.Compare(b.gain(), a.gain()) })
	for _, m := range hot {
		if v.loads <= 0 {
			return
		}
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

// addForDemand adds a copy of m on the least loaded worker where it fits. If there
// is none it unloads copies that carry much less, and a later round adds the copy.
func (v *view) addForDemand(m *model) bool {
	carried := m.work / float64(m.present()+1)
	w := v.bestWorker(m, func(w *worker) bool { return w.free >= m.size })
	if w != nil {
		v.addLoad(m, w, reasonDemand)
		return true
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
