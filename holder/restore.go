package holder

import (
	"github.com/bamboostep/bamboostep"
)

// Restoring. After a loss of power an engine is up before the voters have a leader
// that could say what it is to hold. Until one has given its first order, the holder
// has an empty engine load the weights that its VM's disk took up last, because those
// were asked for last. That costs the store nothing, and is done by the time that a
// leader looks at the engine.

// restore begins to load a model if that is due.
func (h *Holder) restore() {
	if model := h.takeRestore(); model != "" {
		go h.load(model)
	}
}

func (h *Holder) load(model string) {
	h.orders.Lock()
	defer h.orders.Unlock()
	if err := h.giveModel(bamboostep.EngineOrder{Load: true, Model: model}); err != nil {
		h.recordModel("model_not_restored", model, err.Error())
		return
	}
	h.recordModel("model_restored", model, "")
}

// takeRestore returns the model to load, or "" if there is none. It does so once for
// each start of the engine.
func (h *Holder) takeRestore() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.report
	switch {
	case h.term != 0 || r.Born == 0 || r.Born == h.restored || r.Leaving || r.Busy:
		return ""
	case len(r.Models) > 0 || h.loading != "" || len(r.OnDisk) == 0:
		return ""
	}
	h.restored = r.Born
	return r.OnDisk[len(r.OnDisk)-1]
}

// giveModel gives an order to load or unload a model. orders is held.
func (h *Holder) giveModel(o bamboostep.EngineOrder) error {
	if err := h.give(o); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Load {
		h.loading = o.Model
	} else {
		h.unloading = o.Model
	}
	return nil
}
