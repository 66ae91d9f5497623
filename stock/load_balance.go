package stock

import (
	"cmp"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// balanceIterations is how often the work of all models is spread anew; more changes
// little.
const balanceIterations = 4

// balancedLoads estimates the work of each worker when entries send every request to the
// least loaded worker that holds its model. It is water-filling, model by model: the
// work of each is spread so that those of its holders that get any end at one level.
func (v *placeView) balancedLoads() map[*worker]float64 {
	loads := make(map[*worker]float64, len(v.workers))
	parts := make(map[*model]map[*worker]float64, len(v.models))
	for range balanceIterations {
		for _, m := range v.models {
			if m.tokenRate <= 0 {
				continue
			}
			for w, part := range parts[m] {
				loads[w] -= part
			}
			parts[m] = waterFill(loads, m.holders(), m.tokenRate)
			for w, part := range parts[m] {
				loads[w] += part
			}
		}
	}
	return loads
}

// holders returns the workers that m is on or on its way to.
func (m *model) holders() []*worker {
	var on []*worker
	for _, r := range m.copies {
		if r.State != bamboostep.ReplicaUnloading && !slices.Contains(on, r.worker) {
			on = append(on, r.worker)
		}
	}
	return on
}

// waterFill spreads work over workers that have loads already, so that those which get
// any end at the same level.
func waterFill(loads map[*worker]float64, over []*worker, work float64) map[*worker]float64 {
	if len(over) == 0 {
		return nil
	}
	sorted := slices.SortedStableFunc(slices.Values(over), func(a, b *worker) int { return cmp.Compare(loads[a], loads[b]) })
	level, sum := 0.0, 0.0
	for i, w := range sorted {
		sum += loads[w]
		level = (sum + work) / float64(i+1)
		if i+1 == len(sorted) || level <= loads[sorted[i+1]] {
			sorted = sorted[:i+1]
			break
		}
	}
	parts := make(map[*worker]float64, len(sorted))
	for _, w := range sorted {
		parts[w] = level - loads[w]
	}
	return parts
}
