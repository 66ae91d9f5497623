package stock

import (
	"cmp"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// Room for a copy is made on one worker, in the first of these ways that works:
//  1. Copies beyond the declared minimum are evicted.
//  2. Copies of the declared minimum are evicted, but never the last one of a
//     model. This is done for a model without any copy, and for outdated copies
//     of the model itself.
//  3. A model that fits elsewhere is loaded there, so that a later round can evict
//     it here.

// makeRoom starts to make room for a copy of m. If there is no way, it marks the
// place for repacking.
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

// The functions below return how many other copies must remain resident for a copy
// to be evicted.

// keepMinCopies allows the eviction of copies beyond the declared minimum.
func keepMinCopies(r *replica) int { return r.model.minCopies() }

// keepOne allows the eviction of all copies but one.
func keepOne(*replica) int { return 1 }

// keepUnlessOutdated allows the eviction of all outdated copies of m but one, so
// that a change of version proceeds where one more copy does not fit. For other
// copies it keeps the declared minimum.
func (m *model) keepUnlessOutdated(r *replica) int {
	if r.model == m && !r.hasDeclaredVersion() {
		return 1
	}
	return keepMinCopies(r)
}

// claimUnloadingSpace reports whether unloads in flight will free enough memory for
// m on some worker, and if so reserves it for m.
func (v *placeView) claimUnloadingSpace(m *model) bool {
	for _, w := range v.workers {
		if !m.isOn(w) && w.unloadingMiB > 0 && w.freeMiB+w.unloadingMiB >= m.sizeMiB {
			w.reserveFor(m)
			return true
		}
	}
	return false
}

// evictFor unloads copies to make room for m on the worker where they carry the
// least work, keeping as many copies of each model as floor returns. If copies alone
// do not free enough on any worker, it unloads adapters too, because these load
// again within milliseconds when a request needs them. It returns the worker, or nil
// if there is none.
func (v *placeView) evictFor(m *model, floor func(*replica) int) *worker {
	for _, adapters := range []bool{false, true} {
		if w := v.evictLeastLoaded(m, floor, adapters); w != nil {
			return w
		}
	}
	return nil
}

// evictLeastLoaded is one attempt of evictFor, with or without adapters.
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

// reserveFor reserves memory for m for the rest of the round, so that neither other
// models nor another copy of m use it. The free memory may become negative until
// the unloads in flight end.
func (w *worker) reserveFor(m *model) {
	w.freeMiB -= m.sizeMiB
	w.reservedFor = append(w.reservedFor, m)
}

// evictionSet is a set of copies and adapters that could be evicted from one worker.
type evictionSet struct {
	worker    *worker
	copies    []*replica
	adapters  []bamboostep.Replica
	freeMiB   int64   // free memory once all of them are unloaded
	tokenRate float64 // work of the copies, tokens per second
}

// selectEvictions selects copies, those with the least work first, and then adapters
// if allowed, until need MiB would be free on w. The result may free less.
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

// tokenRate returns the work of one copy in tokens per second, plus 1 so that an
// idle copy still counts. An outdated copy counts as 0 once a copy of the declared
// version is resident.
func (r *replica) tokenRate() float64 {
	if !r.hasDeclaredVersion() && r.model.residentDeclaredCopies() > 0 {
		return 0
	}
	return 1 + r.model.tokenRate/float64(max(1, r.model.residentCopies()))
}

// freedMiB returns the memory that unloading r and its resident adapters frees.
func (r *replica) freedMiB() int64 {
	n := r.MiB
	for _, a := range r.adapters {
		if a.State == bamboostep.ReplicaResident {
			n += a.MiB
		}
	}
	return n
}

// evictableCopies returns the resident copies on w that may be evicted, at most one
// per model, in order of increasing work and then of decreasing size.
func (w *worker) evictableCopies(floor func(*replica) int) []*replica {
	var evictable []*replica
	for _, r := range w.copies {
		if r.isResident() && r.remainingWithout() >= floor(r) && !containsModel(evictable, r.model) {
			evictable = append(evictable, r)
		}
	}
	slices.SortStableFunc(evictable, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.tokenRate(), b.tokenRate()), cmp.Compare(b.MiB, a.MiB))
	})
	return evictable
}

// containsModel reports whether the replicas include a copy of m.
func containsModel(replicas []*replica, m *model) bool {
	return slices.ContainsFunc(replicas, func(r *replica) bool { return r.model == m })
}

// relocate loads a copy of another model on a second worker, so that a later round
// can unload it on the first and load m there. It chooses the smallest copy that
// frees enough, and returns false if there is none.
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
			fits := func(w *worker) bool { return w.freeMiB >= r.model.sizeMiB }
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
