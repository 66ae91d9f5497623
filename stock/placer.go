package stock

import (
	"cmp"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// The placer looks at all reports once a round and orders a few moves, the most
// needed first: models that no VM holds, then copies below the declared number,
// then changes of version, then copies for models whose requests come late, then
// more copies where memory is free. Rounds are
// short and each starts from the reports alone, so a move that failed or was lost
// needs no repair: the next round sees what is missing.
//
// The hard point is that every move must leave the system whole if nothing after
// it ever happens. So a copy goes only while others answer, the memory that it
// frees is used only when reported free, and room for a model that fits nowhere is
// made by adding a copy of a smaller one elsewhere first.

// Reasons of moves.
const (
	reasonLost    = "lost_copy"
	reasonVersion = "version"
	reasonSpare   = "spare_copy"
	reasonDemand  = "demand"
	reasonRoom    = "make_room"
)

const (
	maxUnloadsPerLoad     = 4  // unloads of models a round, for each load that the store bears at once
	spareCopyTarget       = 2  // copies in different failure domains, where memory is free
	adapterReserveDivisor = 32 // a 32nd of a worker's memory is left for adapters at most
)

// Placer is the placement policy. Its state is only the memory of what it did of
// late, so a new leader may start with an empty one. Calls must not overlap.
type Placer struct {
	spaceClaims     map[string]spaceClaim // by VM
	repackingPlaces map[string]bool       // places on their way to the fixed packing
}

var _ bamboostep.Placer = (*Placer)(nil)

// Place implements bamboostep.Placer.
func (p *Placer) Place(now time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	if p.spaceClaims == nil {
		p.spaceClaims = make(map[string]spaceClaim)
		p.repackingPlaces = make(map[string]bool)
	}
	return planEnginePlaces(fleet, func(v *placeView) {
		v.unloadUndeclared(fleet)
		if !p.repackingPlaces[v.place.Name] || !p.planRepackRound(v, fleet) {
			p.planRegularRound(now, v, fleet)
		}
	})
}

// planEnginePlaces runs a round on every place with engines.
func planEnginePlaces(fleet bamboostep.Fleet, round func(*placeView)) []bamboostep.Move {
	var moves []bamboostep.Move
	for _, place := range fleet.Places {
		if place.Kind != bamboostep.EnginePlace {
			continue
		}
		v := newPlaceView(place, fleet)
		round(v)
		moves = append(moves, v.moves...)
	}
	return moves
}

// planRegularRound is an ordinary round.
func (p *Placer) planRegularRound(now time.Time, v *placeView, fleet bamboostep.Fleet) {
	v.restoreMissingCopies(func(m *model) bool { return m.activeCopies() < m.minCopies() })
	v.replaceOutdatedCopies()
	if v.needsRepack {
		p.repackingPlaces[v.place.Name] = p.planRepackRound(v, fleet)
		return
	}
	p.addHotCopies(now, v)
	v.addSpareCopies(totalAdapterMiB(v, fleet))
}

// unloadUndeclared unloads what is not declared any more, adapters before their models.
// An adapter of an old version goes at once: the new one is loaded in milliseconds
// when it is asked for.
func (v *placeView) unloadUndeclared(fleet bamboostep.Fleet) {
	declared := make(map[string]string) // versions
	for _, a := range fleet.Adapters {
		declared[a.Name] = a.Version
	}
	for _, w := range v.workers {
		for _, adapters := range []bool{true, false} {
			for _, rep := range w.undeclared {
				if adapters == (rep.Model != "") {
					v.planReplicaUnload(w, rep, reasonRoom)
				}
			}
		}
		for _, c := range w.copies {
			for _, a := range c.adapters {
				if declared[a.Name] != a.Version {
					v.planReplicaUnload(w, a, reasonRoom)
				}
			}
		}
	}
}

// restoreMissingCopies orders the declared copies of the chosen models that are missing, those
// of models with the fewest first and of the same number the most asked for.
func (v *placeView) restoreMissingCopies(chosen func(*model) bool) {
	missing := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool { return !chosen(m) })
	slices.SortStableFunc(missing, func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.activeCopies(), b.activeCopies()), cmp.Compare(b.requestRate, a.requestRate), cmp.Compare(b.sizeMiB, a.sizeMiB))
	})
	for _, m := range missing {
		for m.activeCopies() < m.minCopies() {
			if !v.addCopyOrMakeRoom(m, reasonLost) {
				break
			}
		}
	}
}

func (m *model) minCopies() int { return max(1, m.MinCopies) }

// activeCopies returns how many copies of any version answer or are loading.
func (m *model) activeCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.isResident() || r.State == bamboostep.ReplicaLoading {
			n++
		}
	}
	return n
}

// replaceOutdatedCopies replaces copies of old versions. The declared copies come first
// and may have room made for them. The others, which demand has brought, are loaded
// where memory is free, or else old ones go without a successor.
func (v *placeView) replaceOutdatedCopies() {
	for _, m := range v.models {
		if len(m.outdatedCopies()) > 0 && m.activeDeclaredCopies() < m.minCopies() {
			v.addCopyOrMakeRoom(m, reasonVersion)
		}
	}
	for _, m := range v.models {
		if m.residentDeclaredCopies() >= m.minCopies() {
			v.replaceOutdatedExtras(m)
		}
	}
}

func (v *placeView) replaceOutdatedExtras(m *model) {
	old := m.outdatedCopies()
	if m.residentDeclaredCopies() >= len(old) {
		for _, r := range old[:min(len(old), max(0, v.unloadsLeft))] {
			v.planUnload(r, reasonVersion)
		}
		return
	}
	w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB >= m.sizeMiB })
	switch {
	case w != nil && v.loadsLeft > 0:
		v.planLoad(m, w, reasonVersion)
	case w == nil && v.unloadsLeft > 0:
		v.planUnload(old[0], reasonVersion)
	}
}

func (m *model) outdatedCopies() []*replica {
	var old []*replica
	for _, r := range m.copies {
		if r.isResident() && !r.hasDeclaredVersion() {
			old = append(old, r)
		}
	}
	return old
}

func (m *model) residentDeclaredCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.isResident() && r.hasDeclaredVersion() {
			n++
		}
	}
	return n
}

// addSpareCopies uses free memory for more copies, so that a shift of demand finds them there
// already: first a second copy in another failure domain, then one more of the model
// that has the fewest for what is asked of it. Some memory is left for adapters.
func (v *placeView) addSpareCopies(adaptersMiB int64) {
	for v.loadsLeft > 0 {
		m, w := v.bestSpareCopy(min(adaptersMiB, v.place.MemoryMiB/adapterReserveDivisor))
		if m == nil {
			return
		}
		v.planLoad(m, w, reasonSpare)
	}
}

// totalAdapterMiB returns the memory of all adapters of the place.
func totalAdapterMiB(v *placeView, fleet bamboostep.Fleet) int64 {
	n := int64(0)
	for _, a := range fleet.Adapters {
		if v.modelsByName[a.Model] != nil {
			n += a.WeightsMiB
		}
	}
	return n
}

func (v *placeView) bestSpareCopy(keepMiB int64) (best *model, at *worker) {
	for _, m := range v.models {
		if best != nil && !m.needsSpareBefore(best) {
			continue
		}
		w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB-keepMiB >= m.sizeMiB })
		if w != nil {
			best, at = m, w
		}
	}
	return best, at
}

// needsSpareBefore reports whether m should have one more copy before o does.
func (m *model) needsSpareBefore(o *model) bool {
	if x, y := m.activeCopies() < spareCopyTarget, o.activeCopies() < spareCopyTarget; x != y {
		return x
	}
	return m.activeCopies() < o.activeCopies()
}

// addCopyOrMakeRoom orders one more copy of m, or makes room for it. It returns false if
// nothing was loaded.
func (v *placeView) addCopyOrMakeRoom(m *model, reason string) bool {
	if v.loadsLeft <= 0 {
		return false
	}
	w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB >= m.sizeMiB })
	if w == nil {
		v.makeRoom(m)
		return false
	}
	v.planLoad(m, w, reason)
	return true
}

// bestWorker returns the worker without m that suits it best: in a failure domain
// without a copy, the least loaded, with the most memory free.
func (v *placeView) bestWorker(m *model, suits func(*worker) bool) *worker {
	var best *worker
	for _, w := range v.workers {
		if m.isOn(w) || !suits(w) {
			continue
		}
		if best == nil || v.isBetterWorker(m, w, best) {
			best = w
		}
	}
	return best
}

func (v *placeView) isBetterWorker(m *model, a, b *worker) bool {
	if x, y := m.hasCopyInDomain(a.domain), m.hasCopyInDomain(b.domain); x != y {
		return y
	}
	if x, y := slices.Contains(a.cachedVersions, m.Version), slices.Contains(b.cachedVersions, m.Version); x != y {
		return x
	}
	if a.tokenRate != b.tokenRate {
		return a.tokenRate < b.tokenRate
	}
	return a.freeMiB > b.freeMiB
}
