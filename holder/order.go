package holder

import (
	"context"
	"errors"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/wire"
)

// Codes of orders that were not carried out.
const (
	codeBusy      = "busy"       // the engine is carrying out another order
	codeNoRoom    = "no_room"    // too little memory or no adapter that can be evicted
	codeNoModel   = "no_model"   // the model is not declared, or, for an adapter, not held; a held one may be unloaded all the same
	codeStale     = "stale_term" // a leader with a higher term has sent orders
	codeRefused   = "refused"    // refused by the engine
	codeLeaving   = "leaving"    // the engine is shutting down
	codeNotLoaded = "not_loaded" // the adapter did not become usable in time
)

// handleOrder carries out a leader's order and replies.
func (h *Holder) handleOrder(m *wire.Message) {
	var call fleet.OrderCall
	if m.Decode(&call) != nil {
		return // package wire counts the bad frame
	}
	m.Reply(h.applyModelOrder(call))
}

// applyModelOrder checks a leader's order to load or unload a model and sends it to the
// engine.
func (h *Holder) applyModelOrder(call fleet.OrderCall) fleet.OrderReply {
	h.orderMu.Lock()
	defer h.orderMu.Unlock()
	if r := h.checkOrder(call); r.Code != "" {
		return r
	}
	if err := h.sendModelOrder(bamboostep.EngineOrder{Load: call.Load, Model: call.Model}); err != nil {
		return errorReply(err)
	}
	return fleet.OrderReply{}
}

// checkOrder checks a leader's order against the highest term seen and the state of the
// engine. The reply has an empty code if the order may be sent.
func (h *Holder) checkOrder(call fleet.OrderCall) fleet.OrderReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if call.Term < h.term {
		return fleet.OrderReply{Code: codeStale}
	}
	h.term = call.Term
	spec := h.Spec()
	switch {
	case spec == nil || spec.Model(call.Model) == nil && (call.Load || !holds(h.report, call.Model)):
		return fleet.OrderReply{Code: codeNoModel}
	case h.report.Leaving:
		return fleet.OrderReply{Code: codeLeaving}
	case h.report.Busy || h.loading != "" || h.unloading != "":
		return fleet.OrderReply{Code: codeBusy}
	case call.Load && !h.fits(spec, spec.Model(call.Model).WeightsMB):
		return fleet.OrderReply{Code: codeNoRoom}
	}
	if call.Load {
		h.recordSize(spec, call.Model)
	}
	return fleet.OrderReply{}
}

// sendOrder sends an order up to maxOrderAttempts times, until the engine accepts or
// refuses it. If the engine refuses the fencing number, it retries with a higher one.
// h.orderMu is held.
func (h *Holder) sendOrder(o bamboostep.EngineOrder) error {
	h.mu.Lock()
	o.Holder, o.Fence, o.AcceptedBefore = h.Name, h.fence, h.acceptedOrders
	o.Instance = h.instance
	h.mu.Unlock()
	var err error
	for range maxOrderAttempts {
		err = h.sendOnce(o)
		var refused *bamboostep.OrderError
		switch {
		case err == nil:
			h.recordAccepted(o)
			h.Metrics.recordOrder(o, outcomeAccepted)
			return nil
		case errors.As(err, &refused) && refused.Fenced:
			o.Fence = h.raiseFence()
		case errors.As(err, &refused):
			h.recordOrder("order_refused", o, err.Error())
			h.Metrics.recordOrder(o, outcomeRefused)
			return err
		}
	}
	h.recordInDoubt(o, err)
	h.Metrics.recordOrder(o, outcomeUnanswered)
	return err
}

// sendOnce makes one attempt to send an order.
func (h *Holder) sendOnce(o bamboostep.EngineOrder) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return h.Engine.SendOrder(ctx, o)
}

// recordAccepted updates the state after the engine accepted an order. It resolves any
// order in doubt, which the engine will refuse from now on.
func (h *Holder) recordAccepted(o bamboostep.EngineOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptedOrders, h.acceptedAt = max(h.acceptedOrders, o.AcceptedBefore+1), time.Now()
	h.inDoubt = nil
	kind := "order_taken_unload"
	if o.Load {
		kind = "order_taken_load"
	}
	h.recordOrder(kind, o, "")
}

// recordInDoubt stores an order that got no answer.
func (h *Holder) recordInDoubt(o bamboostep.EngineOrder, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inDoubt = &inDoubtOrder{order: o, until: time.Now().Add(inDoubtTimeout)}
	h.recordOrder("order_unanswered", o, err.Error())
}

// raiseFence raises the fencing number and returns it. The engine can only have seen a
// higher one from an earlier start of this holder whose clock was ahead, since no other
// process sends it orders.
func (h *Holder) raiseFence() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fence += fenceStep
	h.record("fence_raised", "")
	return h.fence
}

// errorReply converts the error of an order to a reply: codeRefused if the engine refused
// it, else fleet.CodeNoAnswer.
func errorReply(err error) fleet.OrderReply {
	var refused *bamboostep.OrderError
	if errors.As(err, &refused) {
		return fleet.OrderReply{Code: codeRefused, Detail: err.Error()}
	}
	return fleet.OrderReply{Code: fleet.CodeNoAnswer, Detail: err.Error()}
}
