package holder

import (
	"slices"

	"github.com/bamboostep/bamboostep"
)

// Restore after a power loss. Engines are up before the voters have elected a leader that
// could order models. Until the leader's first order arrives, the holder has an empty
// engine load the model whose weights were written to the VM's disk last, since it was
// requested last. This needs no load from the weight store and is complete by the time a
// leader places models.

// restore starts loading a model if a restore is due.
func (h *Holder) restore() {
	if model := h.nextRestore(); model != "" {
		go h.restoreModel(model)
	}
}

// restoreModel loads a model and records the outcome.
func (h *Holder) restoreModel(model string) {
	h.orderMu.Lock()
	defer h.orderMu.Unlock()
	if err := h.sendModelOrder(bamboostep.EngineOrder{Load: true, Model: model}); err != nil {
		h.recordModel("model_not_restored", model, err.Error())
		return
	}
	h.recordModel("model_restored", model, "")
}

// nextRestore returns the model to restore, or "" if none is due. It returns a model at
// most once per start of the engine.
func (h *Holder) nextRestore() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := &h.report
	switch {
	case h.term != 0 || r.StartedMS == 0 || r.StartedMS == h.restoredStart || r.Leaving || r.Busy:
		return ""
	case len(r.Models) > 0 || h.loading != "" || len(r.OnDisk) == 0:
		return ""
	}
	h.restoredStart = r.StartedMS
	spec := h.Spec()
	for _, model := range slices.Backward(r.OnDisk) {
		if spec == nil || spec.Model(model) != nil {
			return model
		}
	}
	return ""
}

// sendModelOrder sends an order to load or unload a model and records it as under way.
// h.orderMu is held.
func (h *Holder) sendModelOrder(o bamboostep.EngineOrder) error {
	if err := h.sendOrder(o); err != nil {
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
