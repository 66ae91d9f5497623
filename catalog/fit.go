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
