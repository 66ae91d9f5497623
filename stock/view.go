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

type view struct {
	place   bamboostep.Place
	workers []*worker
	models  []*model
	named   map[string]*model
	moves   []bamboostep.Move
	loads   int  // that may still be started
	store   int  // of these, loads from the store
	unloads int  // that may still be started
	stuck   bool // no way was found to make room for a declared copy
}

// worker is a VM that takes orders.
type worker struct {
	name    string
	domain  string
	free    int64 // MiB
	coming  int64 // MiB that unloads in flight will free
	load    float64
	copies  []*replica
	strange []bamboostep.Replica // of models that are not declared
	kept    []*model             // that memory was set aside for
	copied  []string             // versions whose weights the VM keeps
	awaited bool                 // a repacking needs memory here that is not free
}

// model is a declared model with its copies.
type model struct {
	bamboostep.Model
	size   int64
	copies []*replica
	quick  bool    // a VM that keeps the weights loads them within a moment
	rate   float64 // requests a second, those of its adapters included
	work   float64 // tokens a second, those of its adapters included
	late   float64 // requests a second answered past the target
}

// replica is one copy of a declared model on one worker.
type replica struct {
	bamboostep.Replica
	model    *model
	worker   *worker
	adapters []bamboostep.Replica
}

func (r *replica) resident() bool { return r.State == bamboostep.ReplicaResident }
func (r *replica) current() bool  { return r.Version == r.model.Version }

// others returns how many copies would be left to answer if r went. Old versions
// do not count for a copy of the declared one, as they will go themselves.
func (r *replica) others() int {
	if r.current() {
		return r.model.currentResident() - 1
	}
	return r.model.resident() - 1
}

// resident returns how many copies of any version answer requests.
func (m *model) resident() int {
	n := 0
	for _, r := range m.copies {
		if r.resident() {
			n++
		}
	}
	return n
}

// coming returns how many copies of the declared version answer or are loading.
func (m *model) coming() int {
	n := 0
	for _, r := range m.copies {
		if r.current() && (r.resident() || r.State == bamboostep.ReplicaLoading) {
			n++
		}
	}
	return n
}

// on reports whether w has a copy of the declared version, or memory kept for one.
func (m *model) on(w *worker) bool {
	if slices.Contains(w.kept, m) {
		return true
	}
	for _, r := range m.copies {
		if r.worker == w && r.current() {
			return true
		}
	}
	return false
}

func (m *model) inDomain(domain string) bool {
	for _, r := range m.copies {
		if r.worker.domain == domain && r.current() {
			return true
		}
	}
	return false
}

func newView(p bamboostep.Place, fleet bamboostep.Fleet) *view {
	v := &view{place: p, named: make(map[string]*model)}
	for _, m := range fleet.Models {
		if m.Place == p.Name {
			v.addModel(m, fleet)
		}
	}
	for _, a := range fleet.Adapters {
		if m := v.named[a.Model]; m != nil {
			m.addDemand(fleet.Demand[a.Name])
		}
	}
	loading := 0
	for i := range fleet.VMs {
		r := &fleet.VMs[i]
		if r.Place != p.Name {
			continue
		}
		loading += loadsIn(r)
		if r.Ready && !r.Leaving {
			v.addWorker(r)
		}
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	v.loads = modelsAtOnce(p) - max(loading, fleet.InFlight)
	v.store = fleet.StoreLoads
	v.unloads = unloadsPerLoad * modelsAtOnce(p)
	v.spreadLoad()
	return v
}

// modelsAtOnce returns how many models may load from the store at one time.
func modelsAtOnce(p bamboostep.Place) int {
	if p.ModelsAtOnce > 0 {
		return p.ModelsAtOnce
	}
	return max(1, p.LoadsAtOnce)
}

func loadsIn(r *bamboostep.Report) int {
	n := 0
	for _, replica := range r.Replicas {
		if replica.State == bamboostep.ReplicaLoading && replica.Model == "" {
			n++
		}
	}
	return n
}

func (v *view) addModel(spec bamboostep.Model, fleet bamboostep.Fleet) {
	m := &model{Model: spec, size: size(spec, fleet.Versions), quick: fleet.Versions[spec.Version].Quick}
	m.addDemand(fleet.Demand[spec.Name])
	v.models = append(v.models, m)
	v.named[spec.Name] = m
}

func (m *model) addDemand(d bamboostep.Demand) {
	m.rate += d.Rate
	m.work += d.Work
	m.late += d.Rate * d.LateShare
}

func (v *view) addWorker(r *bamboostep.Report) {
	w := &worker{name: r.VM, domain: r.FailureDomain, copied: r.Kept, free: r.MemoryMiB - max(r.ReservedMiB, r.HeldMiB)}
	v.workers = append(v.workers, w)
	for _, rep := range r.Replicas {
		if rep.State == bamboostep.ReplicaUnloading {
			w.coming += rep.MiB
		}
		m := v.named[rep.Name]
		if m == nil || rep.Model != "" {
			w.strange = append(w.strange, rep)
			continue
		}
		c := &replica{Replica: rep, model: m, worker: w}
		w.copies = append(w.copies, c)
		m.copies = append(m.copies, c)
	}
	w.sortAdapters()
}

// sortAdapters moves adapters from the strange replicas to their base models.
func (w *worker) sortAdapters() {
	w.strange = slices.DeleteFunc(w.strange, func(rep bamboostep.Replica) bool {
		for _, c := range w.copies {
			if c.Name == rep.Model {
				c.adapters = append(c.adapters, rep)
				return true
			}
		}
		return false
	})
}

// spreadLoad estimates each worker's load: the work of each model, split evenly
// over the copies that answer.
func (v *view) spreadLoad() {
	for _, m := range v.models {
		n := m.resident()
		for _, r := range m.copies {
			if r.resident() {
				r.worker.load += m.work / float64(n)
			}
		}
	}
}

// addLoad orders a copy of m on w.
func (v *view) addLoad(m *model, w *worker, reason string) {
	order := bamboostep.Order{Kind: bamboostep.LoadModel, Name: m.Name, Version: m.Version, MiB: m.size}
	v.moves = append(v.moves, bamboostep.Move{VM: w.name, Order: order, Reason: reason})
	v.loads--
	w.free -= m.size
	w.load += m.work / float64(m.resident()+1)
	rep := bamboostep.Replica{Name: m.Name, Version: m.Version, MiB: m.size, State: bamboostep.ReplicaLoading}
	c := &replica{Replica: rep, model: m, worker: w}
	w.copies = append(w.copies, c)
	m.copies = append(m.copies, c)
}

// addUnload orders that a copy goes, and the adapters on top of it first.
func (v *view) addUnload(r *replica, reason string) {
	for _, a := range r.adapters {
		v.dropStrange(r.worker, a, reason)
	}
	order := bamboostep.Order{Kind: bamboostep.UnloadModel, Name: r.Name, Version: r.Version, MiB: r.MiB}
	v.moves = append(v.moves, bamboostep.Move{VM: r.worker.name, Order: order, Reason: reason})
	v.unloads--
	r.State = bamboostep.ReplicaUnloading
	r.worker.coming += r.MiB
}

// dropStrange orders that an adapter, or a model that is not declared, goes.
func (v *view) dropStrange(w *worker, rep bamboostep.Replica, reason string) {
	kind := bamboostep.UnloadModel
	if rep.Model != "" {
		kind = bamboostep.UnloadAdapter
	}
	if rep.State != bamboostep.ReplicaResident {
		return
	}
	order := bamboostep.Order{Kind: kind, Name: rep.Name, Model: rep.Model, Version: rep.Version, MiB: rep.MiB}
	v.moves = append(v.moves, bamboostep.Move{VM: w.name, Order: order, Reason: reason})
	w.coming += rep.MiB
}
