package stock

import (
	"fmt"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

// testFleet simulates the agents that carry out moves: it reserves memory before a
// load, frees it after an unload, and refuses loads that do not fit.
type testFleet struct {
	bamboostep.Fleet
	refused int // loads
}

func newTestFleet(workers, models int, memory int64) *testFleet {
	p := bamboostep.Place{
		Name: "gpu", Kind: bamboostep.EnginePlace, Workers: workers, MemoryMiB: memory,
		FailureDomains: []string{"a", "b", "c"}, LoadsAtOnce: 3,
	}
	f := &testFleet{Fleet: bamboostep.Fleet{
		Places:   []bamboostep.Place{p},
		Versions: make(map[string]bamboostep.Version),
		Demand:   make(map[string]bamboostep.Demand),

		AllowedStoreLoads: 3,
	}}
	for i := range workers {
		f.addVM(fmt.Sprintf("vm-%04d", i), p.FailureDomains[i%len(p.FailureDomains)])
	}
	for i := range models {
		version := fmt.Sprintf("v%d", i)
		f.Versions[version] = bamboostep.Version{Name: version, WeightsMiB: int64(700 + i*37%400)}
		f.Models = append(f.Models, bamboostep.Model{
			Name: fmt.Sprintf("m%d", i), Version: version, Place: "gpu", CacheMiB: 100, MinCopies: 1,
		})
	}
	return f
}

func (f *testFleet) addVM(name, domain string) {
	f.VMs = append(f.VMs, bamboostep.Report{
		VM: name, Place: "gpu", FailureDomain: domain, Ready: true, MemoryMiB: f.Places[0].MemoryMiB,
	})
}

func (f *testFleet) vm(name string) *bamboostep.Report {
	for i := range f.VMs {
		if f.VMs[i].VM == name {
			return &f.VMs[i]
		}
	}
	return nil
}

// start marks the replica of a move as loading or unloading.
func (f *testFleet) start(m bamboostep.Move) {
	r := f.vm(m.VM)
	switch m.Order.Kind {
	case bamboostep.LoadModel:
		if r.ReservedMiB+m.Order.MiB > r.MemoryMiB {
			f.refused++
			return
		}
		r.ReservedMiB += m.Order.MiB
		r.Replicas = append(r.Replicas, bamboostep.Replica{
			Name: m.Order.Name, Version: m.Order.Version, MiB: m.Order.MiB, State: bamboostep.ReplicaLoading,
		})
	case bamboostep.UnloadModel, bamboostep.UnloadAdapter:
		for i := range r.Replicas {
			if r.Replicas[i].Name == m.Order.Name && r.Replicas[i].Version == m.Order.Version {
				r.Replicas[i].State = bamboostep.ReplicaUnloading
			}
		}
	}
}

// finish completes each load or unload in flight for which pick returns true.
func (f *testFleet) finish(pick func() bool) {
	for i := range f.VMs {
		r := &f.VMs[i]
		kept := r.Replicas[:0:0]
		for _, rep := range r.Replicas {
			ended := rep.State != bamboostep.ReplicaResident && pick()
			if ended && rep.State == bamboostep.ReplicaUnloading {
				r.ReservedMiB -= rep.MiB
				continue
			}
			if ended {
				rep.State = bamboostep.ReplicaResident
			}
			kept = append(kept, rep)
		}
		r.Replicas = kept
	}
}

// settle runs at most the given number of rounds, completing all moves of each,
// until the placer plans none. It returns the number of moves.
func (f *testFleet) settle(p bamboostep.Placer, rounds int) (moves int, settled bool) {
	now := time.Unix(0, 0)
	for range rounds {
		wanted := p.Place(now, f.Fleet)
		if len(wanted) == 0 {
			return moves, true
		}
		moves += len(wanted)
		for _, m := range wanted {
			f.start(m)
		}
		f.finish(func() bool { return true })
		now = now.Add(time.Second)
	}
	return moves, false
}

// copies returns the number of resident copies of a model, of all versions if
// version is "".
func (f *testFleet) copies(model, version string) int {
	n := 0
	for _, r := range f.VMs {
		for _, rep := range r.Replicas {
			if rep.Name == model && rep.State == bamboostep.ReplicaResident && (version == "" || rep.Version == version) {
				n++
			}
		}
	}
	return n
}
