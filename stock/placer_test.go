package stock

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

func TestFits(t *testing.T) {
	versions := map[string]bamboostep.Version{"v": {Name: "v", WeightsMiB: 900}}
	model := func(copies int) bamboostep.Model {
		return bamboostep.Model{Name: "m", Version: "v", Place: "gpu", CacheMiB: 100, MinCopies: copies}
	}
	tests := map[string]struct {
		memory    int64
		workers   int
		models    []bamboostep.Model
		fits      bool
		wantSpare bool
	}{
		"room to spare":        {memory: 2000, workers: 2, models: []bamboostep.Model{model(2)}, fits: true},
		"no room for a change": {memory: 1000, workers: 2, models: []bamboostep.Model{model(2)}, wantSpare: true},
		"too few workers":      {memory: 9000, workers: 1, models: []bamboostep.Model{model(2)}},
		"too large":            {memory: 999, workers: 5, models: []bamboostep.Model{model(1)}},
		"nothing to place":     {memory: 0, workers: 0, fits: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			err := CheckFits(bamboostep.Place{Name: "gpu", MemoryMiB: tt.memory}, versions, tt.models, tt.workers)
			var notFit *DoesNotFitError
			if got := !errors.As(err, &notFit); got != tt.fits {
				t.Fatalf("fits: got %v (%v), want %v", got, err, tt.fits)
			}
			if !tt.fits && notFit.Spare != tt.wantSpare {
				t.Errorf("spare: got %v, want %v", notFit.Spare, tt.wantSpare)
			}
		})
	}
}

func TestPlacerSpreadsCopies(t *testing.T) {
	f := newTestFleet(6, 4, 3000)
	f.Models[0] = f.Models[0].WithMinCopies(3)
	if _, settled := f.settle(&Placer{}, 50); !settled {
		t.Fatal("placer did not settle")
	}
	domains := make(map[string]int)
	for _, r := range f.VMs {
		if slices.ContainsFunc(r.Replicas, func(rep bamboostep.Replica) bool { return rep.Name == "m0" }) {
			domains[r.FailureDomain]++
		}
	}
	if len(domains) != 3 {
		t.Errorf("failure domains of m0: got %v, want all three", domains)
	}
}

// TestPlacerUnloadsOutdatedAdapters checks that an adapter is unloaded once another
// version of it is declared, and that others stay.
func TestPlacerUnloadsOutdatedAdapters(t *testing.T) {
	f := newTestFleet(3, 1, 3000)
	f.settle(&Placer{}, 50)
	f.Adapters = []bamboostep.Adapter{{Name: "a", Model: "m0", Version: "new"}, {Name: "b", Model: "m0", Version: "kept"}}
	r := &f.VMs[0]
	for _, version := range []string{"old", "kept"} {
		name := map[string]string{"old": "a", "kept": "b"}[version]
		r.Replicas = append(r.Replicas, bamboostep.Replica{Name: name, Model: "m0", Version: version, MiB: 1, State: bamboostep.ReplicaResident})
	}
	var got []string
	for _, m := range (&Placer{}).Place(time.Unix(0, 0), f.Fleet) {
		got = append(got, string(m.Order.Kind)+" "+m.Order.Name+" "+m.Order.Version)
	}
	if want := []string{"unload_adapter a old"}; !slices.Equal(got, want) {
		t.Errorf("got moves %q, want %q", got, want)
	}
}

// TestPlacerAddsCopiesOfLateModels checks that a model whose requests are late gets
// one more copy although memory is full, but only if the gain exceeds the declared
// cost of a move.
func TestPlacerAddsCopiesOfLateModels(t *testing.T) {
	tests := map[string]struct {
		late, moveWeight float64
		wantMore         bool
	}{
		"late":             {late: 0.5, moveWeight: 20, wantMore: true},
		"in time":          {late: 0, moveWeight: 20},
		"moves too costly": {late: 0.5, moveWeight: 2000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(6, 5, 1900)
			f.Places[0].MoveWeight = tt.moveWeight
			f.settle(&Placer{}, 100)
			f.Demand["m0"] = bamboostep.Demand{Name: "m0", RequestRate: 20, TokenRate: 400, LateShare: tt.late}
			before := f.copies("m0", "")
			moves, _ := f.settle(&Placer{}, 3)
			if got := f.copies("m0", "") > before; got != tt.wantMore {
				t.Errorf("more copies: got %v after %d moves, want %v", got, moves, tt.wantMore)
			}
		})
	}
}

// TestEvictedMemoryGoesToHotModel ends the late requests right after copies were
// evicted for them. The memory must go to the model it was freed for; without a claim,
// the evicted copies would be loaded again.
func TestEvictedMemoryGoesToHotModel(t *testing.T) {
	f := newTestFleet(6, 5, 1900)
	p := &Placer{}
	f.settle(p, 100)
	f.Demand["m0"] = bamboostep.Demand{Name: "m0", RequestRate: 20, TokenRate: 400, LateShare: 0.5}
	now := time.Unix(200, 0)
	freed := make(map[string]bool)
	for _, m := range p.Place(now, f.Fleet) {
		freed[m.VM] = freed[m.VM] || m.Order.Kind == bamboostep.UnloadModel
		f.start(m)
	}
	f.finish(func() bool { return true })
	f.Demand["m0"] = bamboostep.Demand{Name: "m0", RequestRate: 20, TokenRate: 400}
	loaded := 0
	for _, m := range p.Place(now.Add(time.Second), f.Fleet) {
		if m.Order.Kind != bamboostep.LoadModel || !freed[m.VM] {
			continue
		}
		loaded++
		if got, want := m.Order.Name, "m0"; got != want {
			t.Errorf("loaded on %q: got %q, want %q", m.VM, got, want)
		}
	}
	if loaded == 0 {
		t.Errorf("loads on the freed workers %v: got none", freed)
	}
}

// TestNoCopiesForLateModelWithLittleWork checks that a late model gets no copies if it
// has little work itself and is late only because of a busy model on the same workers.
func TestNoCopiesForLateModelWithLittleWork(t *testing.T) {
	f := newTestFleet(6, 5, 1900)
	f.settle(&Placer{}, 100)
	f.Demand["m0"] = bamboostep.Demand{Name: "m0", RequestRate: 20, TokenRate: 4000}
	f.Demand["m1"] = bamboostep.Demand{Name: "m1", RequestRate: 2, TokenRate: 40, LateShare: 1}
	before := f.copies("m1", "")
	moves, _ := f.settle(&Placer{}, 5)
	if got := f.copies("m1", ""); got > before {
		t.Errorf("copies after %d moves: got %d, want %d", moves, got, before)
	}
}

// TestPlacerProperties runs rounds on a random fleet, packed up to the limit of Fits,
// with delayed loads and unloads, changing versions and lost workers. After each round
// no load may have been refused for lack of memory, the moves must be bounded and no
// model may have lost its last copy. At the end, every model must have its declared
// copies in its declared version.
func TestPlacerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		p := &Placer{}
		f.run(t, p)
		f.checkSettles(t, p)
	})
}

// TestBaselineProperties checks the same for the baselines, except that they need not
// end with copies of the declared versions.
func TestBaselineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		if rapid.Bool().Draw(t, "static") {
			f.run(t, &Static{})
		} else {
			f.run(t, OnDemand{})
		}
	})
}

func drawFleet(t *rapid.T) *testFleet {
	f := newTestFleet(rapid.IntRange(3, 8).Draw(t, "workers"), rapid.IntRange(1, 12).Draw(t, "models"), int64(rapid.IntRange(1300, 5000).Draw(t, "memory")))
	for i := range f.Models {
		f.Models[i] = f.Models[i].WithMinCopies(rapid.IntRange(1, 2).Draw(t, "copies"))
	}
	if f.fits(len(f.VMs)) != nil {
		t.Skip("does not fit")
	}
	return f
}

// run changes the fleet at random for some rounds and checks each round.
func (f *testFleet) run(t *rapid.T, p bamboostep.Placer) {
	now := time.Unix(0, 0)
	for range rapid.IntRange(5, 60).Draw(t, "rounds") {
		f.disturb(t)
		before := f.allCopies()
		moves := p.Place(now, f.Fleet)
		for _, m := range moves {
			f.start(m)
		}
		f.check(t, before, moves)
		f.finish(func() bool { return rapid.Bool().Draw(t, "ends") })
		now = now.Add(time.Second)
	}
}

func (f *testFleet) fits(workers int) error {
	return CheckFits(f.Places[0], f.Versions, f.Models, workers)
}

// disturb may change the demand, change a version or remove a worker.
func (f *testFleet) disturb(t *rapid.T) {
	i := rapid.IntRange(0, len(f.Models)-1).Draw(t, "model")
	switch rapid.IntRange(0, 5).Draw(t, "disturbance") {
	case 0:
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		late := rapid.Float64Range(0, 1).Draw(t, "late")
		f.Demand[f.Models[i].Name] = bamboostep.Demand{Name: f.Models[i].Name, RequestRate: rate, TokenRate: rate * 20, LateShare: late}
	case 1:
		f.changeVersion(i)
	case 2:
		if f.fits(len(f.VMs)-1) == nil {
			j := rapid.IntRange(0, len(f.VMs)-1).Draw(t, "lost")
			f.VMs = slices.Delete(f.VMs, j, j+1)
		}
	}
}

func (f *testFleet) changeVersion(i int) {
	m := f.Models[i]
	next := m.Version + "x"
	f.Versions[next] = f.Versions[m.Version]
	f.Models[i] = m.WithVersion(next)
}

func (f *testFleet) allCopies() map[string]int {
	n := make(map[string]int)
	for _, m := range f.Models {
		n[m.Name] = f.copies(m.Name, "")
	}
	return n
}

// check fails the test if the moves of a round broke a rule. The argument before
// holds the number of copies by model before the round.
func (f *testFleet) check(t *rapid.T, before map[string]int, moves []bamboostep.Move) {
	if f.refused > 0 {
		t.Fatalf("%d loads did not fit: %v", f.refused, moves)
	}
	for name, n := range before {
		if got := f.copies(name, ""); n > 0 && got == 0 {
			t.Fatalf("the last copy of %s was unloaded: %v", name, moves)
		}
	}
	limit := f.Places[0].LoadsAtOnce
	if got := f.loading(); got > limit {
		t.Fatalf("loads in flight: got %d, want at most %d", got, limit)
	}
	if got := len(moves); got > (1+maxUnloadsPerLoad)*limit {
		t.Fatalf("moves in one round: got %d, want at most %d", got, (1+maxUnloadsPerLoad)*limit)
	}
}

func (f *testFleet) loading() int {
	n := 0
	for i := range f.VMs {
		n += countModelLoads(&f.VMs[i])
	}
	return n
}

func (f *testFleet) checkSettles(t *rapid.T, p bamboostep.Placer) {
	clear(f.Demand)
	f.finish(func() bool { return true })
	if _, settled := f.settle(p, 200); !settled {
		t.Fatal("placer did not settle within 200 rounds")
	}
	for _, m := range f.Models {
		if got, want := f.copies(m.Name, m.Version), minCopies(m); got < want {
			t.Fatalf("copies of %s: got %d, want at least %d", m.Name, got, want)
		}
	}
}

// TestUndeclaredModelIsUnloadedAfterItsAdapters checks that a model which is no longer
// declared is unloaded, its adapters first.
func TestUndeclaredModelIsUnloadedAfterItsAdapters(t *testing.T) {
	f := newTestFleet(3, 2, 3000)
	f.settle(&Placer{}, 50)
	r := &f.VMs[0]
	r.Replicas = []bamboostep.Replica{
		{Name: "gone", Version: "v", MiB: 500, State: bamboostep.ReplicaResident},
		{Name: "gone-adapter", Model: "gone", Version: "v", MiB: 50, State: bamboostep.ReplicaResident},
		{Name: "m0-adapter", Model: "m0", Version: "v", MiB: 50, State: bamboostep.ReplicaLoading},
	}
	r.ReservedMiB = 600
	var got []string
	for _, m := range (&Placer{}).Place(time.Unix(0, 0), f.Fleet) {
		if m.VM == r.VM && m.Order.Kind != bamboostep.LoadModel {
			got = append(got, string(m.Order.Kind)+" "+m.Order.Name)
		}
	}
	if want := []string{"unload_adapter gone-adapter", "unload_model gone"}; !slices.Equal(got, want) {
		t.Errorf("unloads: got %v, want %v", got, want)
	}
}
