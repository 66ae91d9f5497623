package stock

import (
	"cmp"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Each round reads all reports and plans a few moves, in order of need: models
// without any copy, copies below the declared minimum, changes of version, copies
// of models whose requests are late, and spare copies in free memory. Rounds are
// short and start from the reports, so a move that failed or was lost needs no
// recovery: the next round finds what is missing.
//
// Every move must leave a valid placement even if no later move is carried out.
// A copy is therefore unloaded only while other copies are resident, its memory is
// used only once it is reported free, and room for a model that fits on no worker
// is made by first loading a smaller model elsewhere.

// The reasons of moves.
const (
	reasonLost    = "lost_copy"
	reasonVersion = "version"
	reasonSpare   = "spare_copy"
	reasonDemand  = "demand"
	reasonRoom    = "make_room"
)

const (
	maxUnloadsPerLoad     = 4  // model unloads per round, for each concurrent load from the store
	spareCopyTarget       = 2  // copies of each model, if possible in different failure domains, where memory is free
	adapterReserveDivisor = 32 // spare copies leave at most 1/32 of a worker's memory free for adapters
)

// Placer is the placement policy that adds copies of models whose requests are
// late. Its state only records its recent decisions, so a new leader may start with
// an empty one. It is not safe for concurrent use.
type Placer struct {
	spaceClaims     map[string]spaceClaim // by VM name
	repackingPlaces map[string]bool       // names of places that are being repacked
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

// planEnginePlaces calls round for every engine place and returns the planned
// moves.
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

// planRegularRound plans a round of a place that is not being repacked. It starts
// a repacking if a declared copy needs one.
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

// unloadUndeclared unloads models and adapters that are no longer declared,
// adapters before their models. It unloads outdated versions of adapters at once,
// because the new version loads within milliseconds when a request needs it.
func (v *placeView) unloadUndeclared(fleet bamboostep.Fleet) {
	declared := make(map[string]string) // versions by adapter name
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

// restoreMissingCopies loads the missing declared copies of the chosen models.
// Models with the fewest copies come first, then those with the most requests, then
// the largest.
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

// minCopies returns how many copies of m are kept at all times, at least one.
func (m *model) minCopies() int { return max(1, m.MinCopies) }

// activeCopies returns the number of copies of any version that are resident or
// loading.
func (m *model) activeCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.isResident() || r.State == bamboostep.ReplicaLoading {
			n++
		}
	}
	return n
}

// replaceOutdatedCopies replaces copies of outdated versions. The declared minimum
// comes first, and room may be made for it. Copies beyond it are replaced where
// memory is free; otherwise outdated ones are unloaded without a replacement.
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

// replaceOutdatedExtras replaces the outdated copies of a model that already has
// its minimum of copies of the declared version.
func (v *placeView) replaceOutdatedExtras(m *model) {
	outdated := m.outdatedCopies()
	if m.residentDeclaredCopies() >= len(outdated) {
		for _, r := range outdated[:min(len(outdated), max(0, v.unloadsLeft))] {
			v.planUnload(r, reasonVersion)
		}
		return
	}
	w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB >= m.sizeMiB })
	switch {
	case w != nil && v.loadsLeft > 0:
		v.planLoad(m, w, reasonVersion)
	case w == nil && v.unloadsLeft > 0:
		v.planUnload(outdated[0], reasonVersion)
	}
}

// outdatedCopies returns the resident copies of versions that are not declared.
func (m *model) outdatedCopies() []*replica {
	var outdated []*replica
	for _, r := range m.copies {
		if r.isResident() && !r.hasDeclaredVersion() {
			outdated = append(outdated, r)
		}
	}
	return outdated
}

// residentDeclaredCopies returns the number of resident copies of the declared
// version.
func (m *model) residentDeclaredCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.isResident() && r.hasDeclaredVersion() {
			n++
		}
	}
	return n
}

// addSpareCopies loads more copies in free memory, so that they are already there
// when demand shifts. Models without a second copy come first, then those with the
// fewest copies. Some memory is left free for adapters.
func (v *placeView) addSpareCopies(adaptersMiB int64) {
	for v.loadsLeft > 0 {
		m, w := v.bestSpareCopy(min(adaptersMiB, v.place.MemoryMiB/adapterReserveDivisor))
		if m == nil {
			return
		}
		v.planLoad(m, w, reasonSpare)
	}
}

// totalAdapterMiB returns the size of all adapters declared for the place.
func totalAdapterMiB(v *placeView, fleet bamboostep.Fleet) int64 {
	n := int64(0)
	for _, a := range fleet.Adapters {
		if v.modelsByName[a.Model] != nil {
			n += a.WeightsMiB
		}
	}
	return n
}

// bestSpareCopy returns the model that most needs a spare copy and the worker for
// it, or nil if none fits with keepMiB left free.
func (v *placeView) bestSpareCopy(keepMiB int64) (best *model, on *worker) {
	for _, m := range v.models {
		if best != nil && !m.needsSpareBefore(best) {
			continue
		}
		w := v.bestWorker(m, func(w *worker) bool { return w.freeMiB-keepMiB >= m.sizeMiB })
		if w != nil {
			best, on = m, w
		}
	}
	return best, on
}

// needsSpareBefore reports whether m should get a spare copy before o.
func (m *model) needsSpareBefore(o *model) bool {
	if x, y := m.activeCopies() < spareCopyTarget, o.activeCopies() < spareCopyTarget; x != y {
		return x
	}
	return m.activeCopies() < o.activeCopies()
}

// addCopyOrMakeRoom loads one more copy of m, or starts to make room for it if it
// fits on no worker. It reports whether a load was planned.
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

// bestWorker returns the best worker for a copy of m among those without one that
// suits accepts, or nil.
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

// isBetterWorker reports whether a is better than b for a copy of m. It prefers a
// failure domain without a copy, then a worker that stores the weights, then the
// lower load, then more free memory.
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
