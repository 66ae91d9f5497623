package holder

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/wire"
)

// Codes of orders that were not carried out.
const (
	codeBusy      = "busy"       // another order is under way
	codeNoRoom    = "no_room"    // it would not fit
	codeNoModel   = "no_model"   // of an adapter: the model is not held; of a model: not declared
	codeStale     = "stale_term" // a newer leader has given orders
	codeRefused   = "refused"    // by the engine
	codeLeaving   = "leaving"
	codeNotLoaded = "not_loaded" // in time
)

func (h *Holder) handleOrder(m *wire.Message) {
	var call fleet.OrderCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	m.Reply(h.modelOrder(call))
}

// modelOrder loads or unloads a model for the leader.
func (h *Holder) modelOrder(call fleet.OrderCall) fleet.OrderReply {
	h.orders.Lock()
	defer h.orders.Unlock()
	if r := h.admit(call); r.Code != "" {
		return r
	}
	if err := h.giveModel(bamboostep.EngineOrder{Load: call.Load, Model: call.Model}); err != nil {
		return replyOf(err)
	}
	return fleet.OrderReply{}
}

// admit checks a leader's order against what the engine holds.
func (h *Holder) admit(call fleet.OrderCall) fleet.OrderReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if call.Term < h.term {
		return fleet.OrderReply{Code: codeStale}
	}
	h.term = call.Term
	spec := h.Spec()
	switch {
	case spec == nil || modelNamed(spec, call.Model) == nil:
		return fleet.OrderReply{Code: codeNoModel}
	case h.report.Leaving:
		return fleet.OrderReply{Code: codeLeaving}
	case h.report.Busy || h.loading != "" || h.unloading != "":
		return fleet.OrderReply{Code: codeBusy}
	case call.Load && !h.fits(spec, modelNamed(spec, call.Model).WeightsMB):
		return fleet.OrderReply{Code: codeNoRoom}
	}
	return fleet.OrderReply{}
}

func modelNamed(spec *route.Engine, name string) *route.Model {
	i := slices.IndexFunc(spec.Models, func(m route.Model) bool { return m.Name == name })
	if i < 0 {
		return nil
	}
	return &spec.Models[i]
}

// fits reports whether more memory can be taken. An order without an answer does not
// count: once the engine takes another, it refuses that one. mu is held.
func (h *Holder) fits(spec *route.Engine, moreMB float64) bool {
	used := 0.0
	for _, held := range h.report.Models {
		if m := modelNamed(spec, held.Name); m != nil {
			used += m.WeightsMB + float64(len(held.Adapters))*m.AdapterMB
		}
	}
	used += float64(len(h.report.Pending)) * largestAdapter(spec)
	if h.loading != "" && !holds(h.report, h.loading) {
		m := modelNamed(spec, h.loading)
		if m == nil {
			return false // restored from the disk, and no longer declared
		}
		used += m.WeightsMB
	}
	return used+moreMB <= spec.WeightsMB
}

func largestAdapter(spec *route.Engine) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		largest = max(largest, m.AdapterMB)
	}
	return largest
}

// give sends an order until the engine has answered it, or has had it for too long.
// orders is held.
func (h *Holder) give(o bamboostep.EngineOrder) error {
	h.mu.Lock()
	o.Holder, o.Fence, o.After = h.Name, h.fence, h.taken
	o.Instance = h.instance
	h.mu.Unlock()
	var err error
	for range orderTries {
		err = h.send(o)
		var refused *bamboostep.OrderError
		switch {
		case err == nil:
			h.noteTaken(o)
			h.Metrics.ordered(o, outcomeTaken)
			return nil
		case errors.As(err, &refused) && refused.Fenced:
			o.Fence = h.raiseFence()
		case errors.As(err, &refused):
			h.recordOrder("order_refused", o, err.Error())
			h.Metrics.ordered(o, outcomeRefused)
			return err
		}
	}
	h.noteUnsettled(o, err)
	h.Metrics.ordered(o, outcomeUnanswered)
	return err
}

func (h *Holder) send(o bamboostep.EngineOrder) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return h.Engine.Give(ctx, o)
}

func (h *Holder) noteTaken(o bamboostep.EngineOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken, h.takenAt = max(h.taken, o.After+1), time.Now()
	h.unsettled = nil
	kind := "order_taken_unload"
	if o.Load {
		kind = "order_taken_load"
	}
	h.recordOrder(kind, o, "")
}

func (h *Holder) noteUnsettled(o bamboostep.EngineOrder, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unsettled = &unsettled{order: o, until: time.Now().Add(unsettledFor)}
	h.recordOrder("order_unanswered", o, err.Error())
}

// raiseFence takes a higher fencing number, because this VM alone orders the engine
// and an earlier start of it had a clock that was ahead.
func (h *Holder) raiseFence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence += fenceStep
	h.record("fence_raised", "")
	return h.fence
}

func replyOf(err error) fleet.OrderReply {
	var refused *bamboostep.OrderError
	if errors.As(err, &refused) {
		return fleet.OrderReply{Code: codeRefused, Detail: err.Error()}
	}
	return fleet.OrderReply{Code: fleet.CodeNoAnswer, Detail: err.Error()}
}
