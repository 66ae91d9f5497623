package stock

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// A set of objects is published only if the placer can keep its promises with it:
// all copies of every model resident at once, each on a worker of its own; and, with
// any one worker lost, still all of them that have a worker of their own and beside
// them room for one more copy of the largest model, since a version is changed by
// loading the new one before the old one goes.
//
// Packing is done by first fit in order of falling size. That may refuse a set
// which a perfect packing would just fit; the placer could not keep such a set
// placed through changes either.

// DoesNotFitError says which model of a place has no room.
type DoesNotFitError struct {
	Place     string
	Model     string
	Copies    int   // copies declared
	NeedMiB   int64 // memory of one copy
	MemoryMiB int64 // memory of one VM
	Workers   int
	Spare     bool // the copies fit, but not after the loss of a worker and during a change of version
}

// Error implements error.
func (e *DoesNotFitError) Error() string {
	when := ""
	if e.Spare {
		when = " after the loss of one worker and with room for a change of version"
	}
	return fmt.Sprintf("%d copies of model %q with %d MiB each do not fit place %q, which has %d workers of %d MiB%s",
		e.Copies, e.Model, e.NeedMiB, e.Place, e.Workers, e.MemoryMiB, when)
}

// Fits returns a *DoesNotFitError if the models of place p cannot all be resident
// on that many workers. Models of other places are passed over.
func Fits(p bamboostep.Place, versions map[string]bamboostep.Version, models []bamboostep.Model, workers int) error {
	sorted := modelsBySize(p, versions, models)
	if len(sorted) == 0 {
		return nil
	}
	free := make([]int64, workers)
	for i := range free {
		free[i] = p.MemoryMiB
	}
	for _, m := range sorted {
		if _, ok := firstFit(free, modelSizeMiB(m, versions), minCopies(m)); !ok {
			return doesNotFit(p, versions, m, workers, false)
		}
	}
	return fitsWithSpare(p, versions, sorted, workers)
}

// fitsWithSpare packs the models, the largest first, once more with one worker less.
// The largest has one copy more.
func fitsWithSpare(p bamboostep.Place, versions map[string]bamboostep.Version, sorted []bamboostep.Model, workers int) error {
	left := max(1, workers-1)
	free := make([]int64, left)
	for i := range free {
		free[i] = p.MemoryMiB
	}
	if _, ok := firstFit(free, modelSizeMiB(sorted[0], versions), 1); !ok {
		return doesNotFit(p, versions, sorted[0], workers, true)
	}
	for _, m := range sorted {
		if _, ok := firstFit(free, modelSizeMiB(m, versions), min(minCopies(m), left)); !ok {
			return doesNotFit(p, versions, m, workers, true)
		}
	}
	return nil
}

func doesNotFit(p bamboostep.Place, versions map[string]bamboostep.Version, m bamboostep.Model, workers int, spare bool) error {
	return &DoesNotFitError{
		Place: p.Name, Model: m.Name, Copies: minCopies(m),
		NeedMiB: modelSizeMiB(m, versions), MemoryMiB: p.MemoryMiB, Workers: workers, Spare: spare,
	}
}

// modelsBySize returns the models of p, the largest first.
func modelsBySize(p bamboostep.Place, versions map[string]bamboostep.Version, models []bamboostep.Model) []bamboostep.Model {
	var sorted []bamboostep.Model
	for _, m := range models {
		if m.Place == p.Name {
			sorted = append(sorted, m)
		}
	}
	slices.SortStableFunc(sorted, func(a, b bamboostep.Model) int {
		return cmp.Or(cmp.Compare(modelSizeMiB(b, versions), modelSizeMiB(a, versions)), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}

// firstFit takes need from the first VMs that have it, as many as copies says, and
// returns their indexes.
func firstFit(free []int64, need int64, copies int) (on []int, ok bool) {
	for i := range free {
		if len(on) == copies {
			break
		}
		if free[i] >= need {
			free[i] -= need
			on = append(on, i)
		}
	}
	return on, len(on) == copies
}

// modelSizeMiB returns the memory of one copy of m, KV cache included, MiB.
func modelSizeMiB(m bamboostep.Model, versions map[string]bamboostep.Version) int64 {
	return versions[m.Version].WeightsMiB + m.CacheMiB
}

// minCopies returns how many copies of m are kept at all times.
func minCopies(m bamboostep.Model) int { return max(1, m.MinCopies) }
