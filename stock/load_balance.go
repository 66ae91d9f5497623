package stock

import (
	"cmp"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// balanceIterations is how often the work of all models is redistributed. More
// iterations change the result little.
const balanceIterations = 4

// balancedLoads estimates the work of each worker, in tokens per second, if
// entries send every request to the least loaded worker that holds its model. It
// distributes the work of one model after another by water-filling, which brings
// all holders that receive work to the same load.
func (v *placeView) balancedLoads() map[*worker]float64 {
	loads := make(map[*worker]float64, len(v.workers))
	shares := make(map[*model]map[*worker]float64, len(v.models))
	for range balanceIterations {
		for _, m := range v.models {
			if m.tokenRate <= 0 {
				continue
			}
			for w, share := range shares[m] {
				loads[w] -= share
			}
			shares[m] = waterFill(loads, m.holders(), m.tokenRate)
			for w, share := range shares[m] {
				loads[w] += share
			}
		}
	}
	return loads
}

// holders returns the workers that have a copy of m which is not unloading.
func (m *model) holders() []*worker {
	var workers []*worker
	for _, r := range m.copies {
		if r.State != bamboostep.ReplicaUnloading && !slices.Contains(workers, r.worker) {
			workers = append(workers, r.worker)
		}
	}
	return workers
}

// waterFill distributes work over workers that already have loads, so that all
// workers which receive any end at the same load. It returns the work that each
// of these receives.
func waterFill(loads map[*worker]float64, workers []*worker, work float64) map[*worker]float64 {
	if len(workers) == 0 {
		return nil
	}
	sorted := slices.SortedStableFunc(slices.Values(workers), func(a, b *worker) int { return cmp.Compare(loads[a], loads[b]) })
	level, sum := 0.0, 0.0
	for i, w := range sorted {
		sum += loads[w]
		level = (sum + work) / float64(i+1)
		if i+1 == len(sorted) || level <= loads[sorted[i+1]] {
			sorted = sorted[:i+1]
			break
		}
	}
	shares := make(map[*worker]float64, len(sorted))
	for _, w := range sorted {
		shares[w] = level - loads[w]
	}
	return shares
}
