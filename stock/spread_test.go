package stock

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

// setDemand sets the demand for one model, in tokens per second.
func (f *testFleet) setDemand(model string, tokens float64) {
	f.Demand[model] = bamboostep.Demand{Name: model, RequestRate: tokens / 1000, TokenRate: tokens}
}

// residentCopies returns the number of resident copies of a model.
func (f *testFleet) residentCopies(model string) int {
	n := 0
	for _, vm := range f.VMs {
		for _, rep := range vm.Replicas {
			if rep.Name == model && rep.State == bamboostep.ReplicaResident {
				n++
			}
		}
	}
	return n
}

// TestSpreadFollowsShift shifts all demand at once to a model with a single copy. The
// model must get copies on most VMs within a few rounds although no request was late,
// every model must keep a copy, and the moves must end.
func TestSpreadFollowsShift(t *testing.T) {
	f := newTestFleet(9, 13, 3300)
	f.setDemand("m0", 9000)
	p := &Spread{MinTokenRate: 500}
	if _, settled := f.settle(p, 60); !settled {
		t.Fatal("placement of the first demand did not settle")
	}
	if got := f.residentCopies("m0"); got < 6 {
		t.Errorf("copies of the busy model: got %d, want at least 6", got)
	}
	f.setDemand("m0", 0)
	f.setDemand("m7", 9000)
	moves, settled := f.settle(p, 60)
	if !settled {
		t.Fatal("placement after the shift did not settle")
	}
	if got := f.residentCopies("m7"); got < 6 {
		t.Errorf("copies of the newly busy model: got %d, want at least 6", got)
	}
	if moves > 30 {
		t.Errorf("moves for one shift: got %d, want at most 30", moves)
	}
	for _, m := range f.Models {
		if f.residentCopies(m.Name) == 0 {
			t.Errorf("model %s: got no copy, want at least one", m.Name)
		}
	}
}

// TestSpreadAtRest checks that without demand, Spread only loads the missing copies.
func TestSpreadAtRest(t *testing.T) {
	f := newTestFleet(9, 13, 3300)
	p := &Spread{MinTokenRate: 500}
	moves, settled := f.settle(p, 60)
	if !settled || moves != len(f.Models) {
		t.Errorf("moves: got %d (settled %v), want %d", moves, settled, len(f.Models))
	}
}

// TestSpreadNeverOvercommits checks that no load is refused for lack of memory, with
// random demand and with loads and unloads that end at random times.
func TestSpreadNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.IntRange(2, 8).Draw(t, "workers"), rapid.IntRange(1, 9).Draw(t, "models"), 3300)
		p := &Spread{MinTokenRate: 500}
		now := time.Unix(0, 0)
		for range 40 {
			model := rapid.SampledFrom(f.Models).Draw(t, "model").Name
			f.setDemand(model, float64(rapid.IntRange(0, 20000).Draw(t, "tokens")))
			for _, m := range p.Place(now, f.Fleet) {
				f.start(m)
			}
			f.finish(func() bool { return rapid.Bool().Draw(t, "ends") })
			now = now.Add(250 * time.Millisecond)
		}
		if f.refused > 0 {
			t.Fatalf("orders that did not fit: got %d, want 0", f.refused)
		}
	})
}

// TestSpareCopiesWaitAfterRestart restarts a fleet whose disks still store all weights,
// with demand for one model. In the first seconds no VM may spend time on loading idle
// models, which would delay the requested one; later they are loaded in free memory.
func TestSpareCopiesWaitAfterRestart(t *testing.T) {
	f := newTestFleet(3, 4, 3300)
	for name, v := range f.Versions {
		v.LoadsQuickly = true
		f.Versions[name] = v
	}
	for i := range f.VMs {
		for _, m := range f.Models {
			f.VMs[i].LocalVersions = append(f.VMs[i].LocalVersions, m.Version)
		}
	}
	f.setDemand("m0", 9000)
	p := &Spread{MinTokenRate: 500}
	spare := func(at time.Duration) int {
		n := 0
		for _, m := range p.Place(time.Unix(0, 0).Add(at), f.Fleet) {
			f.start(m)
			if m.Order.Kind == bamboostep.LoadModel && m.Order.Name != "m0" {
				n++
			}
		}
		f.finish(func() bool { return true })
		return n
	}
	for at := time.Duration(0); at < 2900*time.Millisecond; at += 250 * time.Millisecond {
		if got := spare(at); got != 0 {
			t.Fatalf("loads of idle models after %v: got %d, want none", at, got)
		}
	}
	if got := spare(3500 * time.Millisecond); got == 0 {
		t.Error("loads of idle models after 3.5 s: got none, want some")
	}
}

// TestRequiredCopiesStay checks, on a full fleet, that a busy model does not evict the
// second copy of a model that declares two. The evicted copy would be restored at once,
// and the two models would keep evicting each other.
func TestRequiredCopiesStay(t *testing.T) {
	f := newTestFleet(2, 5, 3300)
	f.Models[1].MinCopies = 2
	p := &Spread{MinTokenRate: 500}
	if _, settled := f.settle(p, 60); !settled {
		t.Fatal("placement without demand did not settle")
	}
	if got := f.residentCopies("m1"); got != 2 {
		t.Fatalf("copies of the model that has two: got %d, want 2", got)
	}
	f.setDemand("m0", 9000)
	f.setDemand("m1", 600)
	moves, settled := f.settle(p, 60)
	if !settled || moves != 0 {
		t.Errorf("moves: got %d (settled %v), want none", moves, settled)
	}
}

// TestStaleSpaceClaimIsDropped covers a model without a copy whose space claim is on a
// VM that has been filled by another copy since. The model must be loaded on a VM with
// free memory within two rounds, not only when the claim expires.
func TestStaleSpaceClaimIsDropped(t *testing.T) {
	f := newTestFleet(2, 5, 3300)
	p := &Spread{MinTokenRate: 500}
	if _, settled := f.settle(p, 60); !settled {
		t.Fatal("placement without demand did not settle")
	}
	lost := f.VMs[1].Replicas[0].Name
	f.VMs[1].Replicas = nil
	f.VMs[1].ReservedMiB, f.VMs[1].UsedMiB = 0, 0
	now := time.Unix(100, 0)
	p.placer.spaceClaims[f.VMs[0].VM] = spaceClaim{lost, now.Add(spaceClaimTTL)}
	for range 2 {
		for _, m := range p.Place(now, f.Fleet) {
			if m.Order.Kind == bamboostep.LoadModel && m.Order.Name == lost && m.VM == f.VMs[1].VM {
				return
			}
		}
		now = now.Add(250 * time.Millisecond)
	}
	t.Errorf("got no order within two rounds to load %s on the VM with free memory", lost)
}
