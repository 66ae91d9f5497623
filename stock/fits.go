package stock

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// A set of objects is published only if all declared copies of every model can be
// resident at once, with the copies of one model on different workers. After the
// loss of any one worker the same must hold, with at most one copy of a model per
// remaining worker, and one more copy of the largest model must fit: a version is
// changed by loading the new one before the old one is unloaded.
//
// The check packs by first-fit decreasing. It may refuse a set that only just fits
// an optimal packing; the placer could not keep such a set placed through changes
// either.

// DoesNotFitError reports a model whose declared copies do not fit its place.
type DoesNotFitError struct {
	Place     string
	Model     string
	Copies    int   // copies declared
	NeedMiB   int64 // memory of one copy
	MemoryMiB int64 // memory of one VM
	Workers   int
	Spare     bool // the copies fit, but not with one worker lost and a change of version under way
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

// CheckFits returns a *DoesNotFitError if the models of place p cannot all be resident
// on the given number of workers. It ignores models of other places.
func CheckFits(p bamboostep.Place, versions map[string]bamboostep.Version, models []bamboostep.Model, workers int) error {
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

// fitsWithSpare packs the models, the largest first, with one worker fewer and one
// more copy of the largest model.
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

// modelsBySize returns the models of p in order of decreasing size, then by name.
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

// firstFit subtracts need from the first VMs with that much free memory, at most
// one copy per VM, and returns their indexes. It reports false if fewer VMs than
// copies have enough; the memory of those found stays subtracted.
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

// modelSizeMiB returns the memory of one copy of m: weights and KV cache.
func modelSizeMiB(m bamboostep.Model, versions map[string]bamboostep.Version) int64 {
	return versions[m.Version].WeightsMiB + m.CacheMiB
}

// minCopies returns how many copies of m are kept at all times, at least one.
func minCopies(m bamboostep.Model) int { return max(1, m.MinCopies) }
