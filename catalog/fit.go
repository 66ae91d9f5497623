package catalog

import (
	"maps"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// checkMemory reports every place whose models cannot all be resident at once.
func (c *checker) checkMemory() {
	versions := make(map[string]bamboostep.Version)
	for _, name := range slices.Sorted(maps.Keys(c.versions)) {
		versions[name] = *c.versions[name]
	}
	for _, e := range c.entries {
		p, ok := e.object.(*bamboostep.Place)
		if !ok || p.Kind != bamboostep.EnginePlace {
			continue
		}
		if err := fits(*p, versions, c.modelsOf(p.Name), p.Workers); err != nil {
			c.report(e, "memory_mib", "%v", err)
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

func (c *checker) modelsOf(place string) []bamboostep.Model {
	var models []bamboostep.Model
	for _, name := range slices.Sorted(maps.Keys(c.models)) {
		if c.models[name].Place == place {
			models = append(models, *c.models[name])
		}
	}
	return models
}

// fits checks that all copies of the models fit the memory of the workers.
func fits(p bamboostep.Place, versions map[string]bamboostep.Version, models []bamboostep.Model, workers int) error {
	var need int64
	for _, m := range models {
		size := versions[m.Version].WeightsMiB + m.CacheMiB
		if size > p.MemoryMiB {
			return &bamboostep.NoMemoryError{VM: p.Name, Name: m.Name, NeedMiB: size, MemoryMiB: p.MemoryMiB}
		}
		need += size * int64(m.MinCopies)
	}
	if have := p.MemoryMiB * int64(workers); need > have {
		return &NoRoomError{Place: p.Name, NeedMiB: need, MemoryMiB: have}
	}
	return nil
}
