package stock

import (
	"cmp"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// Room for a model is made on one worker, in one of three ways, the first that
// works: copies that are more than declared go; or copies that are declared go, but
// never a last one, where the model is not reachable at all or where they are old
// versions of the model itself; or a model that would fit elsewhere is loaded there,
// so that a later round can unload it here.

// makeRoom starts to make room for a copy of m.
func (v *view) makeRoom(m *model) {
	if v.roomIsComing(m) || v.unloadSurplus(m, keepDeclared) != nil {
		return
	}
	if m.present() == 0 && v.unloadSurplus(m, keepOne) != nil {
		return
	}
	if v.unloadSurplus(m, m.keepAllButOld) != nil {
		return
	}
	if !v.relocate(m) {
		v.stuck = true
	}
}

// keepDeclared lets copies go that are more than declared.
func keepDeclared(r *replica) int { return r.model.copiesWanted() }

// keepOne lets copies go as long as one answers.
func keepOne(*replica) int { return 1 }

// keepAllButOld lets copies of m's own old versions go as long as one answers, so
// that a change of version goes on where there is no room for one copy more.
func (m *model) keepAllButOld(r *replica) int {
	if r.model == m && !r.current() {
		return 1
	}
	return keepDeclared(r)
}

// roomIsComing reports whether unloads in flight will free enough on a worker, and
// if so sets that memory aside for m.
func (v *view) roomIsComing(m *model) bool {
	for _, w := range v.workers {
		if !m.on(w) && w.coming > 0 && w.free+w.coming >= m.size {
			w.setAside(m)
			return true
		}
	}
	return false
}

// unloadSurplus unloads copies from the worker where the least work is lost, as
// long as each model keeps what floor says. Where copies alone do not free enough,
// adapters go too: they are back within milliseconds of being asked for. It returns
// the worker, or nil if there is none.
func (v *view) unloadSurplus(m *model, floor func(*replica) int) *worker {
	for _, adapters := range []bool{false, true} {
		if w := v.unloadLeastWork(m, floor, adapters); w != nil {
			return w
		}
	}
	return nil
}

func (v *view) unloadLeastWork(m *model, floor func(*replica) int, adapters bool) *worker {
	var best *surplus
	for _, w := range v.workers {
		if m.on(w) {
			continue
		}
		s := w.surplus(m.size, floor, adapters)
		if s.free < m.size || len(s.copies) > v.unloads {
			continue
		}
		if best == nil || s.work < best.work {
			best = &s
		}
	}
	if best == nil {
		return nil
	}
	for _, a := range best.adapters {
		v.dropStrange(best.worker, a, reasonRoom)
	}
	for _, r := range best.copies {
		v.addUnload(r, reasonRoom)
	}
	best.worker.setAside(m)
	return best.worker
}

// setAside keeps memory for m that is not free yet from other models of this
// round, and from another copy of m. What is left may be below zero until the unloads
// have ended.
func (w *worker) setAside(m *model) {
	w.free -= m.size
	w.kept = append(w.kept, m)
}

// surplus is what could go from one worker.
type surplus struct {
	worker   *worker
	copies   []*replica
	adapters []bamboostep.Replica
	free     int64   // MiB, once all of it is gone
	work     float64 // tokens a second that the copies carry
}

// surplus returns what may go from w to free need MiB, copies with the least work
// first.
func (w *worker) surplus(need int64, floor func(*replica) int, adapters bool) surplus {
	s := surplus{worker: w, free: w.free + w.coming}
	for _, r := range w.spareable(floor) {
		if s.free >= need {
			break
		}
		s.copies = append(s.copies, r)
		s.free += r.freed()
		s.work += r.work()
	}
	for _, r := range w.copies {
		if !adapters || slices.Contains(s.copies, r) {
			continue
		}
		for _, a := range r.adapters {
			if s.free < need && a.State == bamboostep.ReplicaResident {
				s.adapters = append(s.adapters, a)
				s.free += a.MiB
			}
		}
	}
	return s
}

// work returns the work that one copy carries, tokens a second. A copy without
// requests still counts for a little, but an old version that has a successor does
// not.
func (r *replica) work() float64 {
	if !r.current() && r.model.currentResident() > 0 {
		return 0
	}
	return 1 + r.model.work/float64(max(1, r.model.resident()))
}

// freed returns the memory that is free once r and the adapters on it are gone.
func (r *replica) freed() int64 {
	n := r.MiB
	for _, a := range r.adapters {
		if a.State == bamboostep.ReplicaResident {
			n += a.MiB
		}
	}
	return n
}

// spareable returns the copies on w that are more than floor says, copies of old
// versions and with little work first.
func (w *worker) spareable(floor func(*replica) int) []*replica {
	var spare []*replica
	for _, r := range w.copies {
		if r.resident() && r.others() >= floor(r) && !spares(spare, r.model) {
			spare = append(spare, r)
		}
	}
	slices.SortStableFunc(spare, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.work(), b.work()), cmp.Compare(b.MiB, a.MiB))
	})
	return spare
}

// spares reports whether a copy of m is among the replicas already.
func spares(replicas []*replica, m *model) bool {
	return slices.ContainsFunc(replicas, func(r *replica) bool { return r.model == m })
}

// relocate loads the smallest sufficient model of some worker elsewhere.
func (v *view) relocate(m *model) bool {
	var from *replica
	var to *worker
	for _, w := range v.workers {
		if m.on(w) {
			continue
		}
		for _, r := range w.copies {
			if !r.resident() || !r.current() || w.free+w.coming+r.freed() < m.size || (from != nil && from.MiB <= r.MiB) {
				continue
			}
			fits := func(o *worker) bool { return o.free >= r.model.size }
			if best := v.bestWorker(r.model, fits); best != nil {
				from, to = r, best
			}
		}
	}
	if from == nil {
		return false
	}
	v.addLoad(from.model, to, reasonRoom)
	return true
}
