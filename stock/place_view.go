package stock

import (
	"cmp"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// placeView is the state of one place during one placement round: the latest
// reports, updated with each move that the round plans. A planned load reduces
// the free memory at once. A planned unload frees nothing; its memory counts as
// free only when the agent reports it as such.
type placeView struct {
	place          bamboostep.Place
	workers        []*worker
	models         []*model
	modelsByName   map[string]*model
	moves          []bamboostep.Move
	loadsLeft      int  // model loads that may still be planned
	storeLoadsLeft int  // loads from the weight store that may still be planned
	unloadsLeft    int  // model unloads that may still be planned
	needsRepack    bool // no room can be made for a declared copy
}

// worker is a VM that is ready and not leaving.
type worker struct {
	name           string
	domain         string
	freeMiB        int64 // neither reserved nor held by the engine
	unloadingMiB   int64 // freed by unloads in flight and planned
	tokenRate      float64
	copies         []*replica
	undeclared     []bamboostep.Replica // undeclared models, and adapters without their model
	reservedFor    []*model             // models that memory is reserved for in this round
	cachedVersions []string             // versions whose weights are stored on the VM
	needsSpace     bool                 // the repacking needs memory here that is not free
}

// model is a declared model with its copies.
type model struct {
	bamboostep.Model
	sizeMiB     int64
	copies      []*replica
	fastReload  bool    // loads quickly on a VM that stores the weights
	requestRate float64 // requests per second, adapters included
	tokenRate   float64 // tokens per second, adapters included
	lateRate    float64 // requests per second answered after the target latency
}

// replica is one copy of a declared model on one worker.
type replica struct {
	bamboostep.Replica
	model    *model
	worker   *worker
	adapters []bamboostep.Replica
}

func (r *replica) isResident() bool         { return r.State == bamboostep.ReplicaResident }
func (r *replica) hasDeclaredVersion() bool { return r.Version == r.model.Version }

// remainingWithout returns how many resident copies of the model remain after r
// is unloaded. If r has the declared version, only copies of that version count,
// because outdated ones will be unloaded as well.
func (r *replica) remainingWithout() int {
	if r.hasDeclaredVersion() {
		return r.model.residentDeclaredCopies() - 1
	}
	return r.model.residentCopies() - 1
}

// residentCopies returns the number of resident copies of any version.
func (m *model) residentCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.isResident() {
			n++
		}
	}
	return n
}

// activeDeclaredCopies returns the number of copies of the declared version that
// are resident or loading.
func (m *model) activeDeclaredCopies() int {
	n := 0
	for _, r := range m.copies {
		if r.hasDeclaredVersion() && (r.isResident() || r.State == bamboostep.ReplicaLoading) {
			n++
		}
	}
	return n
}

// isOn reports whether w has a copy of the declared version, or memory reserved
// for one.
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

// hasCopyInDomain reports whether a worker in the failure domain has a copy of
// the declared version.
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
		report := &fleet.VMs[i]
		if report.Place != p.Name {
			continue
		}
		loading += countModelLoads(report)
		if report.Ready && !report.Leaving {
			v.addWorker(report)
		}
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	v.loadsLeft = maxConcurrentModelLoads(p) - max(loading, fleet.LoadsInFlight)
	v.storeLoadsLeft = fleet.AllowedStoreLoads
	v.unloadsLeft = maxUnloadsPerLoad * maxConcurrentModelLoads(p)
	v.estimateWorkerLoads()
	return v
}

// maxConcurrentModelLoads returns how many models may load from the weight store
// at once.
func maxConcurrentModelLoads(p bamboostep.Place) int {
	if p.ModelsAtOnce > 0 {
		return p.ModelsAtOnce
	}
	return max(1, p.LoadsAtOnce)
}

// countModelLoads returns the number of models, not adapters, that are loading.
func countModelLoads(report *bamboostep.Report) int {
	n := 0
	for _, replica := range report.Replicas {
		if replica.State == bamboostep.ReplicaLoading && replica.Model == "" {
			n++
		}
	}
	return n
}

func (v *placeView) addModel(spec bamboostep.Model, fleet bamboostep.Fleet) {
	m := &model{Model: spec, sizeMiB: modelSizeMiB(spec, fleet.Versions), fastReload: fleet.Versions[spec.Version].LoadsQuickly}
	m.addDemand(fleet.Demand[spec.Name])
	v.models = append(v.models, m)
	v.modelsByName[spec.Name] = m
}

func (m *model) addDemand(d bamboostep.Demand) {
	m.requestRate += d.RequestRate
	m.tokenRate += d.TokenRate
	m.lateRate += d.RequestRate * d.LateShare
}

func (v *placeView) addWorker(report *bamboostep.Report) {
	w := &worker{name: report.VM, domain: report.FailureDomain, cachedVersions: report.LocalVersions, freeMiB: report.MemoryMiB - max(report.ReservedMiB, report.UsedMiB)}
	v.workers = append(v.workers, w)
	for _, rep := range report.Replicas {
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

// attachAdapters moves adapters from the undeclared replicas to the copies of
// their base models.
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

// estimateWorkerLoads sets the token rate of each worker, splitting the token
// rate of each model evenly among its resident copies.
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

// planLoad adds a move that loads a copy of m on w.
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

// planUnload adds moves that unload the adapters of a copy and then the copy.
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

// planReplicaUnload adds a move that unloads an adapter or an undeclared model.
// It does nothing unless the replica is resident.
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
