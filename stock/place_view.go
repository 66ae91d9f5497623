package stock

import (
	"cmp"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// A view is one place as the placer sees it in one round: the last reports, with
// the moves of this round added as they are chosen. A load takes its memory in the
// view at once. An unload gives none back: its memory is free only when the agent
// reports it so.

type placeView struct {
	place   bamboostep.Place
	workers []*worker
	models  []*model
	modelsByName   map[string]*model
	moves   []bamboostep.Move
	loadsLeft   int  // that may still be started
	storeLoadsLeft   int  // of these, loads from the store
	unloadsLeft int  // that may still be started
	needsRepack   bool // no way was found to make room for a declared copy
}

// worker is a VM that takes orders.
type worker struct {
	name    string
	domain  string
	freeMiB    int64 // MiB
	unloadingMiB  int64 // MiB that unloads in flight will free
	tokenRate    float64
	copies  []*replica
	undeclared []bamboostep.Replica // of models that are not declared
	reservedFor    []*model             // that memory was set aside for
	cachedVersions  []string             // versions whose weights the VM keeps
	needsSpace bool                 // a repacking needs memory here that is not free
}

// model is a declared model with its copies.
type model struct {
	bamboostep.Model
	sizeMiB   int64
	copies []*replica
	fastReload  bool    // a VM that keeps the weights loads them within a moment
	requestRate   float64 // requests a second, those of its adapters included
	tokenRate   float64 // tokens a second, those of its adapters included
	lateRate   float64 // requests a second answered past the target
}

// replica is one copy of a declared model on one worker.
type replica struct {
	bamboostep.Replica
	model    *model
	worker   *worker
	adapters []bamboostep.Replica
}

func (r *replica) isResident() bool { return r.State == bamboostep.ReplicaResident }
func (r *replica) hasDeclaredVersion() bool  { return r.Version == r.model.Version }

// remainingWithout returns how many copies would be left to answer if r went. Old versions
// do not count for a copy of the declared one, as they will go themselves.
func (r *replica) remainingWithout() int {
	if r.hasDeclaredVersion() {
		return r.model.residentDeclaredCopies() - 1
	}
	return r.model.residentCopies() - 1
}

// residentCopies returns how many copies of any version answer requests.
func (m *model) residentCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.isResident() {
			n++
		}
	}
	return n
}

// activeDeclaredCopies returns how many copies of the declared version answer or are loading.
func (m *model) activeDeclaredCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.hasDeclaredVersion() && (r.isResident() || r.State == bamboostep.ReplicaLoading) {
			n++
		}
	}
	return n
}

// isOn reports whether w has a copy of the declared version, or memory kept for one.
func (m *model) isOn(w *worker) bool {
	if slices.Contains(w.reservedFor, m) {
		return true
	}
	for _, r := range m.copies {
		if r.worker == w && r.hasDeclaredVersion() {
			return true
		}
	}
	return false
}

func (m *model) hasCopyInDomain(domain string) bool {
	for _, r := range m.copies {
		if r.worker.domain == domain && r.hasDeclaredVersion() {
			return true
		}
	}
	return false
}

func newPlaceView(p bamboostep.Place, fleet bamboostep.Fleet) *placeView {
	v := &placeView{place: p, modelsByName: make(map[string]*model)}
	for _, m := range fleet.Models {
		if m.Place == p.Name {
			v.addModel(m, fleet)
		}
	}
	for _, a := range fleet.Adapters {
		if m := v.modelsByName[a.Model]; m != nil {
			m.addDemand(fleet.Demand[a.Name])
		}
	}
	loading := 0
	for i := range fleet.VMs {
		r := &fleet.VMs[i]
		if r.Place != p.Name {
			continue
		}
		loading += countModelLoads(r)
		if r.Ready && !r.Leaving {
			v.addWorker(r)
		}
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	v.loadsLeft = maxConcurrentModelLoads(p) - max(loading, fleet.InFlight)
	v.storeLoadsLeft = fleet.StoreLoads
	v.unloadsLeft = maxUnloadsPerLoad * maxConcurrentModelLoads(p)
	v.estimateWorkerLoads()
	return v
}

// maxConcurrentModelLoads returns how many models may load from the store at one time.
func maxConcurrentModelLoads(p bamboostep.Place) int {
	if p.ModelsAtOnce > 0 {
		return p.ModelsAtOnce
	}
	return max(1, p.LoadsAtOnce)
}

func countModelLoads(r *bamboostep.Report) int {
	n := 0
	for _, replica := range r.Replicas {
		if replica.State == bamboostep.ReplicaLoading && replica.Model == "" {
			n++
		}
	}
	return n
}

func (v *placeView) addModel(spec bamboostep.Model, fleet bamboostep.Fleet) {
	m := &model{Model: spec, sizeMiB: modelSizeMiB(spec, fleet.Versions), fastReload: fleet.Versions[spec.Version].Quick}
	m.addDemand(fleet.Demand[spec.Name])
	v.models = append(v.models, m)
	v.modelsByName[spec.Name] = m
}

func (m *model) addDemand(d bamboostep.Demand) {
	m.requestRate += d.Rate
	m.tokenRate += d.Work
	m.lateRate += d.Rate * d.LateShare
}

func (v *placeView) addWorker(r *bamboostep.Report) {
	w := &worker{name: r.VM, domain: r.FailureDomain, cachedVersions: r.Kept, freeMiB: r.MemoryMiB - max(r.ReservedMiB, r.HeldMiB)}
	v.workers = append(v.workers, w)
	for _, rep := range r.Replicas {
		if rep.State == bamboostep.ReplicaUnloading {
			w.unloadingMiB += rep.MiB
		}
		m := v.modelsByName[rep.Name]
		if m == nil || rep.Model != "" {
			w.undeclared = append(w.undeclared, rep)
			continue
		}
		c := &replica{Replica: rep, model: m, worker: w}
		w.copies = append(w.copies, c)
		m.copies = append(m.copies, c)
	}
	w.attachAdapters()
}

// attachAdapters moves adapters from the strange replicas to their base models.
func (w *worker) attachAdapters() {
	w.undeclared = slices.DeleteFunc(w.undeclared, func(rep bamboostep.Replica) bool {
		for _, c := range w.copies {
			if c.Name == rep.Model {
				c.adapters = append(c.adapters, rep)
				return true
			}
		}
		return false
	})
}

// estimateWorkerLoads estimates each worker's load: the work of each model, split evenly
// over the copies that answer.
func (v *placeView) estimateWorkerLoads() {
	for _, m := range v.models {
		n := m.residentCopies()
		for _, r := range m.copies {
			if r.isResident() {
				r.worker.tokenRate += m.tokenRate / float64(n)
			}
		}
	}
}

// planLoad orders a copy of m on w.
func (v *placeView) planLoad(m *model, w *worker, reason string) {
	order := bamboostep.Order{Kind: bamboostep.LoadModel, Name: m.Name, Version: m.Version, MiB: m.sizeMiB}
	v.moves = append(v.moves, bamboostep.Move{VM: w.name, Order: order, Reason: reason})
	v.loadsLeft--
	w.freeMiB -= m.sizeMiB
	w.tokenRate += m.tokenRate / float64(m.residentCopies()+1)
	rep := bamboostep.Replica{Name: m.Name, Version: m.Version, MiB: m.sizeMiB, State: bamboostep.ReplicaLoading}
	c := &replica{Replica: rep, model: m, worker: w}
	w.copies = append(w.copies, c)
	m.copies = append(m.copies, c)
}

// planUnload orders that a copy goes, and the adapters on top of it first.
func (v *placeView) planUnload(r *replica, reason string) {
	for _, a := range r.adapters {
		v.planReplicaUnload(r.worker, a, reason)
	}
	order := bamboostep.Order{Kind: bamboostep.UnloadModel, Name: r.Name, Version: r.Version, MiB: r.MiB}
	v.moves = append(v.moves, bamboostep.Move{VM: r.worker.name, Order: order, Reason: reason})
	v.unloadsLeft--
	r.State = bamboostep.ReplicaUnloading
	r.worker.unloadingMiB += r.MiB
}

// planReplicaUnload orders that an adapter, or a model that is not declared, goes.
func (v *placeView) planReplicaUnload(w *worker, rep bamboostep.Replica, reason string) {
	kind := bamboostep.UnloadModel
	if rep.Model != "" {
		kind = bamboostep.UnloadAdapter
	}
	if rep.State != bamboostep.ReplicaResident {
		return
	}
	order := bamboostep.Order{Kind: kind, Name: rep.Name, Model: rep.Model, Version: rep.Version, MiB: rep.MiB}
	v.moves = append(v.moves, bamboostep.Move{VM: w.name, Order: order, Reason: reason})
	w.unloadingMiB += rep.MiB
}
