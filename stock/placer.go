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
	unloadsPerLoad = 4  // unloads of models a round, for each load that the store bears at once
	spareCopies    = 2  // copies in different failure domains, where memory is free
	adapterShare   = 32 // a 32nd of a worker's memory is left for adapters at most
)

// Placer is the placement policy. Its state is only the memory of what it did of
// late, so a new leader may start with an empty one. Calls must not overlap.
type Placer struct {
	rooms     map[string]room // by VM
	repacking map[string]bool // places on their way to the fixed packing
}

var _ bamboostep.Placer = (*Placer)(nil)

// Place implements bamboostep.Placer.
func (p *Placer) Place(now time.Time, fleet bamboostep.Fleet) []bamboostep.Move {
	if p.rooms == nil {
		p.rooms = make(map[string]room)
		p.repacking = make(map[string]bool)
	}
	return eachPlace(fleet, func(v *view) {
		v.withdraw(fleet)
		if !p.repacking[v.place.Name] || !p.repack(v, fleet) {
			p.improve(now, v, fleet)
		}
	})
}

// eachPlace runs a round on every place with engines.
func eachPlace(fleet bamboostep.Fleet, round func(*view)) []bamboostep.Move {
	var moves []bamboostep.Move
	for _, place := range fleet.Places {
		if place.Kind != bamboostep.EnginePlace {
			continue
		}
		v := newView(place, fleet)
		round(v)
		moves = append(moves, v.moves...)
	}
	return moves
}

// improve is an ordinary round.
func (p *Placer) improve(now time.Time, v *view, fleet bamboostep.Fleet) {
	v.restore(func(m *model) bool { return m.present() < m.copiesWanted() })
	v.changeVersions()
	if v.stuck {
		p.repacking[v.place.Name] = p.repack(v, fleet)
		return
	}
	p.followDemand(now, v)
	v.fill(adaptersMiB(v, fleet))
}

// withdraw unloads what is not declared any more, adapters before their models.
// An adapter of an old version goes at once: the new one is loaded in milliseconds
// when it is asked for.
func (v *view) withdraw(fleet bamboostep.Fleet) {
	declared := make(map[string]string) // versions
	for _, a := range fleet.Adapters {
		declared[a.Name] = a.Version
	}
	for _, w := range v.workers {
		for _, adapters := range []bool{true, false} {
			for _, rep := range w.strange {
				if adapters == (rep.Model != "") {
					v.dropStrange(w, rep, reasonRoom)
				}
			}
		}
		for _, c := range w.copies {
			for _, a := range c.adapters {
				if declared[a.Name] != a.Version {
					v.dropStrange(w, a, reasonRoom)
				}
			}
		}
	}
}

// restore orders the declared copies of the chosen models that are missing, those
// of models with the fewest first and of the same number the most asked for.
func (v *view) restore(chosen func(*model) bool) {
	missing := slices.DeleteFunc(slices.Clone(v.models), func(m *model) bool { return !chosen(m) })
	slices.SortStableFunc(missing, func(a, b *model) int {
		return cmp.Or(cmp.Compare(a.present(), b.present()), cmp.Compare(b.rate, a.rate), cmp.Compare(b.size, a.size))
	})
	for _, m := range missing {
		for m.present() < m.copiesWanted() {
			if !v.add(m, reasonLost) {
				break
			}
		}
	}
}

func (m *model) copiesWanted() int { return max(1, m.MinCopies) }

// present returns how many copies of any version answer or are loading.
func (m *model) present() int {
	n := 0
	for _, r := range m.copies {
		if r.resident() || r.State == bamboostep.ReplicaLoading {
			n++
		}
	}
	return n
}

// changeVersions replaces copies of old versions. The declared copies come first
// and may have room made for them. The others, which demand has brought, are loaded
// where memory is free, or else old ones go without a successor.
func (v *view) changeVersions() {
	for _, m := range v.models {
		if len(m.oldCopies()) > 0 && m.coming() < m.copiesWanted() {
			v.add(m, reasonVersion)
		}
	}
	for _, m := range v.models {
		if m.currentResident() >= m.copiesWanted() {
			v.replaceExtra(m)
		}
	}
}

func (v *view) replaceExtra(m *model) {
	old := m.oldCopies()
	if m.currentResident() >= len(old) {
		for _, r := range old[:min(len(old), max(0, v.unloads))] {
			v.addUnload(r, reasonVersion)
		}
		return
	}
	w := v.bestWorker(m, func(w *worker) bool { return w.free >= m.size })
	switch {
	case w != nil && v.loads > 0:
		v.addLoad(m, w, reasonVersion)
	case w == nil && v.unloads > 0:
		v.addUnload(old[0], reasonVersion)
	}
}

func (m *model) oldCopies() []*replica {
	var old []*replica
	for _, r := range m.copies {
		if r.resident() && !r.current() {
			old = append(old, r)
		}
	}
	return old
}

func (m *model) currentResident() int {
	n := 0
	for _, r := range m.copies {
		if r.resident() && r.current() {
			n++
		}
	}
	return n
}

// fill uses free memory for more copies, so that a shift of demand finds them there
// already: first a second copy in another failure domain, then one more of the model
// that has the fewest for what is asked of it. Some memory is left for adapters.
func (v *view) fill(adaptersMiB int64) {
	for v.loads > 0 {
		m, w := v.bestFill(min(adaptersMiB, v.place.MemoryMiB/adapterShare))
		if m == nil {
			return
		}
		v.addLoad(m, w, reasonSpare)
	}
}

// adaptersMiB returns the memory of all adapters of the place.
func adaptersMiB(v *view, fleet bamboostep.Fleet) int64 {
	n := int64(0)
	for _, a := range fleet.Adapters {
		if v.named[a.Model] != nil {
			n += a.WeightsMiB
		}
	}
	return n
}

func (v *view) bestFill(keepMiB int64) (best *model, at *worker) {
	for _, m := range v.models {
		if best != nil && !m.needsMore(best) {
			continue
		}
		w := v.bestWorker(m, func(w *worker) bool { return w.free-keepMiB >= m.size })
		if w != nil {
			best, at = m, w
		}
	}
	return best, at
}

// needsMore reports whether m should have one more copy before o does.
func (m *model) needsMore(o *model) bool {
	if x, y := m.present() < spareCopies, o.present() < spareCopies; x != y {
		return x
	}
	return m.present() < o.present()
}

// add orders one more copy of m, or makes room for it. It returns false if
// nothing was loaded.
func (v *view) add(m *model, reason string) bool {
	if v.loads <= 0 {
		return false
	}
	w := v.bestWorker(m, func(w *worker) bool { return w.free >= m.size })
	if w == nil {
		v.makeRoom(m)
		return false
	}
	v.addLoad(m, w, reason)
	return true
}

// bestWorker returns the worker without m that suits it best: in a failure domain
// without a copy, the least loaded, with the most memory free.
func (v *view) bestWorker(m *model, suits func(*worker) bool) *worker {
	var best *worker
	for _, w := range v.workers {
		if m.on(w) || !suits(w) {
			continue
		}
		if best == nil || v.better(m, w, best) {
			best = w
		}
	}
	return best
}

func (v *view) better(m *model, a, b *worker) bool {
	if x, y := m.inDomain(a.domain), m.inDomain(b.domain); x != y {
		return y
	}
	if x, y := slices.Contains(a.copied, m.Version), slices.Contains(b.copied, m.Version); x != y {
		return x
	}
	if a.load != b.load {
		return a.load < b.load
	}
	return a.free > b.free
}
