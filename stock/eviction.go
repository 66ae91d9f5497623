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
func (v *placeView) makeRoom(m *model) {
	if v.claimUnloadingSpace(m) || v.evictFor(m, keepMinCopies) != nil {
		return
	}
	if m.activeCopies() == 0 && v.evictFor(m, keepOne) != nil {
		return
	}
	if v.evictFor(m, m.keepUnlessOutdated) != nil {
		return
	}
	if !v.relocate(m) {
		v.needsRepack = true
	}
}

// keepMinCopies lets copies go that are more than declared.
func keepMinCopies(r *replica) int { return r.model.minCopies() }

// keepOne lets copies go as long as one answers.
func keepOne(*replica) int { return 1 }

// keepUnlessOutdated lets copies of m's own old versions go as long as one answers, so
// that a change of version goes on where there is no room for one copy more.
func (m *model) keepUnlessOutdated(r *replica) int {
	if r.model == m && !r.hasDeclaredVersion() {
		return 1
	}
	return keepMinCopies(r)
}

// claimUnloadingSpace reports whether unloads in flight will free enough on a worker, and
// if so sets that memory aside for m.
func (v *placeView) claimUnloadingSpace(m *model) bool {
	for _, w := range v.workers {
		if !m.isOn(w) && w.unloadingMiB > 0 && w.freeMiB+w.unloadingMiB >= m.sizeMiB {
			w.reserveFor(m)
			return true
		}
	}
	return false
}

// evictFor unloads copies from the worker where the least work is lost, as
// long as each model keeps what floor says. Where copies alone do not free enough,
// adapters go too: they are back within milliseconds of being asked for. It returns
// the worker, or nil if there is none.
func (v *placeView) evictFor(m *model, floor func(*replica) int) *worker {
	for _, adapters := range []bool{false, true} {
		if w := v.evictLeastLoaded(m, floor, adapters); w != nil {
			return w
		}
	}
	return nil
}

func (v *placeView) evictLeastLoaded(m *model, floor func(*replica) int, adapters bool) *worker {
	var best *evictionSet
	for _, w := range v.workers {
		if m.isOn(w) {
			continue
		}
		s := w.selectEvictions(m.sizeMiB, floor, adapters)
		if s.freeMiB < m.sizeMiB || len(s.copies) > v.unloadsLeft {
			continue
		}
		if best == nil || s.tokenRate < best.tokenRate {
			best = &s
		}
	}
	if best == nil {
		return nil
	}
	for _, a := range best.adapters {
		v.planReplicaUnload(best.worker, a, reasonRoom)
	}
	for _, r := range best.copies {
		v.planUnload(r, reasonRoom)
	}
	best.worker.reserveFor(m)
	return best.worker
}

// reserveFor keeps memory for m that is not free yet from other models of this
// round, and from another copy of m. What is left may be below zero until the unloads
// have ended.
func (w *worker) reserveFor(m *model) {
	w.freeMiB -= m.sizeMiB
	w.reservedFor = append(w.reservedFor, m)
}

// evictionSet is what could go from one worker.
type evictionSet struct {
	worker    *worker
	copies    []*replica
	adapters  []bamboostep.Replica
	freeMiB   int64   // MiB, once all of it is gone
	tokenRate float64 // tokens a second that the copies carry
}

// selectEvictions returns what may go from w to free need MiB, copies with the least work
// first.
func (w *worker) selectEvictions(need int64, floor func(*replica) int, adapters bool) evictionSet {
	s := evictionSet{worker: w, freeMiB: w.freeMiB + w.unloadingMiB}
	for _, r := range w.evictableCopies(floor) {
		if s.freeMiB >= need {
			break
		}
		s.copies = append(s.copies, r)
		s.freeMiB += r.freedMiB()
		s.tokenRate += r.tokenRate()
	}
	for _, r := range w.copies {
		if !adapters || slices.Contains(s.copies, r) {
			continue
		}
		for _, a := range r.adapters {
			if s.freeMiB < need && a.State == bamboostep.ReplicaResident {
				s.adapters = append(s.adapters, a)
				s.freeMiB += a.MiB
			}
		}
	}
	return s
}

// tokenRate returns the tokenRate that one copy carries, tokens a second. A copy without
// requests still counts for a little, but an old version that has a successor does
// not.
func (r *replica) tokenRate() float64 {
	if !r.hasDeclaredVersion() && r.model.residentDeclaredCopies() > 0 {
		return 0
	}
	return 1 + r.model.tokenRate/float64(max(1, r.model.residentCopies()))
}

// freedMiB returns the memory that is free once r and the adapters on it are gone.
func (r *replica) freedMiB() int64 {
	n := r.MiB
	for _, a := range r.adapters {
		if a.State == bamboostep.ReplicaResident {
			n += a.MiB
		}
	}
	return n
}

// evictableCopies returns the copies on w that are more than floor says, copies of old
// versions and with little work first.
func (w *worker) evictableCopies(floor func(*replica) int) []*replica {
	var spare []*replica
	for _, r := range w.copies {
		if r.isResident() && r.remainingWithout() >= floor(r) && !containsModel(spare, r.model) {
			spare = append(spare, r)
		}
	}
	slices.SortStableFunc(spare, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.tokenRate(), b.tokenRate()), cmp.Compare(b.MiB, a.MiB))
	})
	return spare
}

// containsModel reports whether a copy of m is among the replicas already.
func containsModel(replicas []*replica, m *model) bool {
	return slices.ContainsFunc(replicas, func(r *replica) bool { return r.model == m })
}

// relocate loads the smallest sufficient model of some worker elsewhere.
func (v *placeView) relocate(m *model) bool {
	var from *replica
	var to *worker
	for _, w := range v.workers {
		if m.isOn(w) {
			continue
		}
		for _, r := range w.copies {
			if !r.isResident() || !r.hasDeclaredVersion() || w.freeMiB+w.unloadingMiB+r.freedMiB() < m.sizeMiB || (from != nil && from.MiB <= r.MiB) {
				continue
			}
			fits := func(o *worker) bool { return o.freeMiB >= r.model.sizeMiB }
			if best := v.bestWorker(r.model, fits); best != nil {
				from, to = r, best
			}
		}
	}
	if from == nil {
		return false
	}
	v.planLoad(from.model, to, reasonRoom)
	return true
}
