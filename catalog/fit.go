package catalog

import (
	"maps"
	"slices"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/stock"
)

// checkMemory reports every place whose models cannot all be resident at once.
func (c *checker) checkMemory() {
	versions := make(map[string]bamboostep.Version)
	for name, v := range c.versions {
		versions[name] = *v
	}
	var models []bamboostep.Model
	for _, name := range slices.Sorted(maps.Keys(c.models)) {
		models = append(models, *c.models[name])
	}
	for _, e := range c.entries {
		p, ok := e.object.(*bamboostep.Place)
		if !ok || p.Kind != bamboostep.EnginePlace {
			continue
		}
		if err := stock.CheckFits(*p, versions, models, p.Workers); err != nil {
			c.report(e, "memory_mib", "is too small: %v", err)
		}
	}
}

// checkAdapterMemory reports adapters that cannot be loaded beside their model
// even on an otherwise empty VM, so that no caller could ever reach them.
func (c *checker) checkAdapterMemory() {
	for _, e := range c.entries {
		a, ok := e.object.(*bamboostep.Adapter)
		if !ok {
			continue
		}
		m := c.models[a.Model]
		p := c.places[m.Place]
		model := c.versions[m.Version].WeightsMiB + m.CacheMiB
		if model <= p.MemoryMiB && model+a.WeightsMiB > p.MemoryMiB {
			c.report(e, "weights_mib", "is %d, but model %q leaves only %d MiB on a VM of place %q",
				a.WeightsMiB, m.Name, p.MemoryMiB-model, p.Name)
		}
	}
}
