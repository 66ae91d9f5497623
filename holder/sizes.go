package holder

import (
	"maps"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
)

// What a held model occupies. Engines report what they hold, but no sizes, and the newest
// declaration may no longer name a model that is held, or with another size. So the holder keeps
// the size under which a model was loaded for as long as the model may be there. The size of one
// that was withdrawn before this holder started is unknown; nothing is loaded beside it.

// modelSize is what a model occupies on its engine.
type modelSize struct{ weightsMB, adapterMB float64 }

// recordSizes notes the declared sizes of the models that the engine holds or may be loading. A size
// never shrinks while the model is there. h.mu is held.
func (h *Holder) recordSizes(spec *route.Engine) {
	there := make(map[string]bool, len(h.report.Models)+1)
	for _, m := range h.report.Models {
		there[m.Name] = true
	}
	there[h.loading] = true
	if u := h.inDoubt; u != nil && u.order.Load {
		there[u.order.Model] = true
	}
	maps.DeleteFunc(h.sizes, func(name string, _ modelSize) bool { return !there[name] })
	if spec == nil {
		return
	}
	for name := range there {
		h.recordSize(spec, name)
	}
}

// recordSize notes the declared size of a model, if it is declared. h.mu is held.
func (h *Holder) recordSize(spec *route.Engine, name string) {
	m := spec.Model(name)
	if m == nil {
		return
	}
	old := h.sizes[name]
	h.sizes[name] = modelSize{max(m.WeightsMB, old.weightsMB), max(m.AdapterMB, old.adapterMB)}
}

// fits reports whether the engine has memory for another addedMB. An order in doubt is not
// counted: the engine refuses it once it has accepted a later one. h.mu is held.
func (h *Holder) fits(spec *route.Engine, addedMB float64) bool {
	h.recordSizes(spec)
	used := float64(len(h.report.PendingAdapters)) * h.maxAdapterMB(spec)
	for _, held := range h.report.Models {
		size, known := h.sizes[held.Name]
		if !known {
			return false
		}
		used += size.weightsMB + float64(len(held.Adapters))*size.adapterMB
	}
	if h.loading != "" && !holds(h.report, h.loading) {
		size, known := h.sizes[h.loading]
		if !known {
			return false
		}
		used += size.weightsMB
	}
	return used+addedMB <= spec.WeightsMB
}

// maxAdapterMB returns the size of the largest adapter of any model, declared or held. h.mu is held.
func (h *Holder) maxAdapterMB(spec *route.Engine) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		largest = max(largest, m.AdapterMB)
	}
	for _, size := range h.sizes {
		largest = max(largest, size.adapterMB)
	}
	return largest
}

// undeclaredSizes returns the known sizes of the models that are there and whose declaration is gone
// or names another size. h.mu is held.
func (h *Holder) undeclaredSizes() []fleet.HeldSize {
	spec := h.Spec()
	if spec == nil {
		return nil
	}
	h.recordSizes(spec)
	var sizes []fleet.HeldSize
	for _, held := range h.report.Models {
		size, known := h.sizes[held.Name]
		m := spec.Model(held.Name)
		if known && (m == nil || size != modelSize{m.WeightsMB, m.AdapterMB}) {
			sizes = append(sizes, fleet.HeldSize{Model: held.Name, WeightsMB: size.weightsMB, AdapterMB: size.adapterMB})
		}
	}
	return sizes
}
