package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
)

// moveWeight is the cost of one move, in requests that it must bring into time.
const moveWeight = 4

// view is what the placer may look at. mu is held.
func (p *Placement) view(s *route.Service, reports []fleet.Report, now time.Time) bamboostep.Fleet {
	for k, g := range p.given {
		if now.After(g.until) {
			delete(p.given, k)
		}
	}
	f := bamboostep.Fleet{
		Places:   []bamboostep.Place{place(s, len(reports))},
		Versions: make(map[string]bamboostep.Version, len(s.Engine.Models)),
		Demand:   make(map[string]bamboostep.Demand, len(s.Engine.Models)),
	}
	total := p.demand.rate(s.Engine.Models, now)
	for _, m := range s.Engine.Models {
		f.Versions[m.Name] = bamboostep.Version{Name: m.Name, WeightsMiB: ceil(m.WeightsMB), Quick: m.DiskLoad > 0 && m.DiskLoad <= quickLoad}
		d := p.demand.of(m.Name, now)
		f.Models = append(f.Models, bamboostep.Model{Name: m.Name, Version: m.Name, Place: s.Name, MinCopies: copiesFor(d.Rate, total, len(reports))})
		f.Demand[m.Name] = d
		f.Adapters = append(f.Adapters, adapters(m)...)
	}
	for _, r := range reports {
		f.VMs = append(f.VMs, p.report(s, r))
	}
	return f
}

// Parts of all requests from which on a model has a second and a third copy, so that
// the loss of one or two VMs leaves it reachable.
const (
	secondCopyShare = 0.05
	thirdCopyShare  = 0.12
	secondCopyRate  = 0.5 // requests a second, at least
	thirdCopyRate   = 1.5
)

// quickLoad is the longest load from a VM's own disk that a request can wait for.
const quickLoad = 700 * time.Millisecond

// copiesFor returns how many copies a model has at least.
func copiesFor(rate, total float64, engines int) int {
	copies := 1
	if rate > max(secondCopyRate, secondCopyShare*total) {
		copies++
	}
	if rate > max(thirdCopyRate, thirdCopyShare*total) {
		copies++
	}
	return min(copies, max(1, engines))
}

func place(s *route.Service, engines int) bamboostep.Place {
	longest := time.Duration(0)
	for _, m := range s.Engine.Models {
		longest = max(longest, m.Load)
	}
	return bamboostep.Place{
		Name:         s.Name,
		Kind:         bamboostep.EnginePlace,
		MemoryMiB:    int64(s.Engine.WeightsMB),
		ModelsAtOnce: max(int(math.Ceil(s.Engine.LoadsPerS*longest.Seconds())), engines),
		MoveWeight:   moveWeight,
	}
}

// adapters stands for the memory that a model's adapters may take.
func adapters(m route.Model) []bamboostep.Adapter {
	if m.Adapters == 0 {
		return nil
	}
	return []bamboostep.Adapter{{Name: m.Name + "/", Model: m.Name, Version: m.Name, WeightsMiB: ceil(float64(m.Adapters) * m.AdapterMB)}}
}

func ceil(mb float64) int64 { return int64(math.Ceil(mb)) }

// report turns a holder's report into what the placer looks at, with orders laid
// over it that it cannot show yet.
func (p *Placement) report(s *route.Service, r fleet.Report) bamboostep.Report {
	out := bamboostep.Report{VM: r.Address, Place: s.Name, FailureDomain: r.Domain, Ready: !r.Down, MemoryMiB: int64(s.Engine.WeightsMB)}
	out.Kept = append(slices.Clone(r.InMemory), r.OnDisk...)
	for _, m := range s.Engine.Models {
		state, there := p.replicaState(r, m.Name)
		if !there {
			continue
		}
		size := ceil(m.WeightsMB)
		out.Replicas = append(out.Replicas, bamboostep.Replica{Name: m.Name, Version: m.Name, MiB: size, State: state})
		out.ReservedMiB += size + ceil(float64(adaptersOn(r, m.Name))*m.AdapterMB)
	}
	return out
}

func adaptersOn(r fleet.Report, model string) int {
	for _, m := range r.Models {
		if m.Name == model {
			return len(m.Adapters)
		}
	}
	return 0
}

// replicaState returns the state of a model on an engine. mu is held.
func (p *Placement) replicaState(r fleet.Report, model string) (bamboostep.ReplicaState, bool) {
	held := slices.ContainsFunc(r.Models, func(m bamboostep.HeldModel) bool { return m.Name == model })
	given, isGiven := p.given[givenKey{r.Address, model}]
	switch {
	case held && (slices.Contains(r.Unloading, model) || isGiven && !given.load):
		return bamboostep.ReplicaUnloading, true
	case held:
		return bamboostep.ReplicaResident, true
	case slices.Contains(r.Loading, model) || isGiven && given.load:
		return bamboostep.ReplicaLoading, true
	}
	return "", false
}
