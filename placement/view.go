package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
)

// moveWeight is the cost of a move, in requests that it must bring within their latency
// target.
const moveWeight = 4

// fleetView builds the input of the placer from the reports, the demand and the pending
// orders. It drops pending orders that have expired. p.mu is held.
func (p *Placement) fleetView(s *route.Service, reports []fleet.Report, now time.Time) bamboostep.Fleet {
	for k, o := range p.pendingOrders {
		if now.After(o.until) {
			delete(p.pendingOrders, k)
		}
	}
	f := bamboostep.Fleet{
		Places:   []bamboostep.Place{enginePlace(s, len(reports))},
		Versions: make(map[string]bamboostep.Version, len(s.Engine.Models)),
		Demand:   make(map[string]bamboostep.Demand, len(s.Engine.Models)),
	}
	total := p.demand.totalRate(s.Engine.Models, now)
	for _, m := range s.Engine.Models {
		f.Versions[m.Name] = bamboostep.Version{Name: m.Name, WeightsMiB: ceilMB(m.WeightsMB), LoadsQuickly: m.DiskLoadTime > 0 && m.DiskLoadTime <= maxQuickLoad}
		d := p.demand.forModel(m.Name, now)
		f.Models = append(f.Models, bamboostep.Model{Name: m.Name, Version: m.Name, Place: s.Name, MinCopies: minCopies(d.RequestRate, total, len(reports))})
		f.Demand[m.Name] = d
		f.Adapters = append(f.Adapters, adapterReserve(m)...)
	}
	for _, r := range reports {
		f.VMs = append(f.VMs, p.vmReport(s, r))
	}
	p.setLimitedVMs(&f, reports)
	for _, n := range p.demand.needsOf(s.Name, now) {
		f.Needs = append(f.Needs, bamboostep.Need{Model: n.Model, VMs: p.Fleet.AddressesOfVersion(s.Name, n.Version)})
	}
	return f
}

// setLimitedVMs marks the VMs as leaving whose engine names a limit below the requests that it
// would get, so that their models get copies elsewhere and they get no orders. If these are
// half of the VMs or more, none is marked: there would be too few left to place models on.
func (p *Placement) setLimitedVMs(f *bamboostep.Fleet, reports []fleet.Report) {
	if p.Limit == nil {
		return
	}
	copies := make(map[string]int)
	for _, r := range reports {
		for _, m := range r.Models {
			copies[m.Name]++
		}
	}
	var limited []int
	for i, r := range reports {
		limit, named := p.Limit(r)
		rate := 0.0
		for _, m := range r.Models {
			rate += f.Demand[m.Name].RequestRate / float64(copies[m.Name])
		}
		if named && rate > limit {
			limited = append(limited, i)
		}
	}
	if 2*len(limited) >= len(reports) {
		return
	}
	for _, i := range limited {
		f.VMs[i].Leaving = true
	}
}

// A model whose request rate exceeds both the share of all requests and the absolute rate
// gets a second or third copy, so that it stays reachable when one or two VMs are lost.
const (
	secondCopyShare = 0.05
	thirdCopyShare  = 0.12
	secondCopyRate  = 0.5 // requests per second
	thirdCopyRate   = 1.5
)

// maxQuickLoad is the longest load from a VM's own disk that a request can wait for.
const maxQuickLoad = 700 * time.Millisecond

// minCopies returns the least number of copies of a model, pending its request rate, the
// rate of all models and the number of engines.
func minCopies(rate, total float64, engines int) int {
	copies := 1
	if rate > max(secondCopyRate, secondCopyShare*total) {
		copies++
	}
	if rate > max(thirdCopyRate, thirdCopyShare*total) {
		copies++
	}
	return min(copies, max(1, engines))
}

// enginePlace describes the engines of a service as a place. The limit on concurrent loads
// is the number that the store serves during the longest load, at least one per engine:
// the storeLimiter enforces the actual limit.
func enginePlace(s *route.Service, engines int) bamboostep.Place {
	longest := time.Duration(0)
	for _, m := range s.Engine.Models {
		longest = max(longest, m.StoreLoadTime)
	}
	return bamboostep.Place{
		Name:         s.Name,
		Kind:         bamboostep.EnginePlace,
		MemoryMiB:    int64(s.Engine.WeightsMB),
		ModelsAtOnce: max(int(math.Ceil(s.Engine.LoadsPerSecond*longest.Seconds())), engines),
		MoveWeight:   moveWeight,
	}
}

// adapterReserve returns a pseudo-adapter that reserves the memory of all adapters that a
// model may have loaded.
func adapterReserve(m route.Model) []bamboostep.Adapter {
	if m.AdapterCount == 0 {
		return nil
	}
	return []bamboostep.Adapter{{Name: m.Name + "/", Model: m.Name, Version: m.Name, WeightsMiB: ceilMB(float64(m.AdapterCount) * m.AdapterMB)}}
}

// ceilMB rounds a size up to a whole number.
func ceilMB(mb float64) int64 { return int64(math.Ceil(mb)) }

// vmReport converts a holder's report to the placer's form, with pending orders applied
// that the report does not reflect yet. It contains what the engine holds, declared or not. A held
// model of unknown size takes all memory that is left. p.mu is held.
func (p *Placement) vmReport(s *route.Service, r fleet.Report) bamboostep.Report {
	out := bamboostep.Report{VM: r.Address, Place: s.Name, FailureDomain: r.Domain, Ready: !r.Down, MemoryMiB: int64(s.Engine.WeightsMB)}
	out.LocalVersions = append(slices.Clone(r.InMemory), r.OnDisk...)
	unknown := -1
	for _, name := range modelsThere(s.Engine, r) {
		state, there := p.replicaState(r, name)
		if !there {
			continue
		}
		size, known := heldSize(s.Engine, r, name)
		if !known {
			unknown = len(out.Replicas)
		}
		out.Replicas = append(out.Replicas, bamboostep.Replica{Name: name, Version: name, MiB: ceilMB(size.WeightsMB), State: state})
		out.ReservedMiB += ceilMB(size.WeightsMB) + ceilMB(float64(adapterCount(r, name))*size.AdapterMB)
	}
	if unknown >= 0 {
		out.Replicas[unknown].MiB = max(out.MemoryMiB-out.ReservedMiB, 0)
		out.ReservedMiB = max(out.MemoryMiB, out.ReservedMiB)
	}
	return out
}

// modelsThere returns the declared models and those that an engine holds or loads all the same.
func modelsThere(e *route.Engine, r fleet.Report) []string {
	var names []string
	for _, m := range e.Models {
		names = append(names, m.Name)
	}
	declared := len(names)
	for _, m := range r.Models {
		names = append(names, m.Name)
	}
	names = append(names, r.Loading...)
	undeclared := slices.DeleteFunc(names[declared:], func(name string) bool { return e.Model(name) != nil })
	slices.Sort(undeclared)
	return append(names[:declared], slices.Compact(undeclared)...)
}

// heldSize returns what a model occupies, and false if that is unknown.
func heldSize(e *route.Engine, r fleet.Report, name string) (fleet.HeldSize, bool) {
	for _, size := range r.Sizes {
		if size.Model == name {
			return size, true
		}
	}
	m := e.Model(name)
	if m == nil {
		return fleet.HeldSize{}, false
	}
	return fleet.HeldSize{Model: name, WeightsMB: m.WeightsMB, AdapterMB: m.AdapterMB}, true
}

// adapterCount returns the number of a model's adapters that an engine holds.
func adapterCount(r fleet.Report, model string) int {
	for _, m := range r.Models {
		if m.Name == model {
			return len(m.Adapters)
		}
	}
	return 0
}

// replicaState returns the state of a model on an engine, and whether it is there at all.
// p.mu is held.
func (p *Placement) replicaState(r fleet.Report, model string) (bamboostep.ReplicaState, bool) {
	held := slices.ContainsFunc(r.Models, func(m bamboostep.LoadedModel) bool { return m.Name == model })
	pending, isPending := p.pendingOrders[orderKey{r.Address, model}]
	switch {
	case held && (slices.Contains(r.Unloading, model) || isPending && !pending.load):
		return bamboostep.ReplicaUnloading, true
	case held:
		return bamboostep.ReplicaResident, true
	case slices.Contains(r.Loading, model) || isPending && pending.load:
		return bamboostep.ReplicaLoading, true
	}
	return "", false
}
