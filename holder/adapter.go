package holder

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/wire"
)

// Adapters are loaded at the request of an entry, without the leader, since a load takes
// milliseconds. The least recently used adapter is evicted to make room.

// handleAdapter loads an adapter for an entry and replies once it is usable.
func (h *Holder) handleAdapter(m *wire.Message) {
	var call fleet.AdapterRef
	if m.Decode(&call) != nil {
		return // package wire counts the bad frame
	}
	m.Reply(h.loadAdapter(fleet.ModelName(call)))
}

// loadAdapter blocks until the engine holds adapter n, the load fails or adapterTimeout
// has passed.
func (h *Holder) loadAdapter(n fleet.ModelName) fleet.OrderReply {
	ctx, cancel := context.WithTimeout(context.Background(), adapterTimeout)
	defer cancel()
	h.mu.Lock()
	h.adapterUsedAt[n] = time.Now()
	h.mu.Unlock()
	for ctx.Err() == nil {
		done, r := h.tryAdapter(n)
		if done {
			return r
		}
		h.awaitReport(ctx)
	}
	return fleet.OrderReply{Code: codeNotLoaded}
}

// awaitReport waits for the next report. If none arrives within adapterPollInterval, it
// polls the engine, unless the engine is busy: it accepts no order while it loads a model,
// so the regular poll is soon enough.
func (h *Holder) awaitReport(ctx context.Context) {
	h.mu.Lock()
	fresh, at, busy := h.nextReport, h.reportAt, h.report.Busy
	h.mu.Unlock()
	t := time.NewTimer(adapterPollInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-fresh:
		return
	case <-t.C:
	}
	if busy {
		select {
		case <-ctx.Done():
		case <-fresh:
		}
		return
	}
	if time.Since(at) >= adapterPollInterval {
		h.poll(ctx)
	}
}

// tryAdapter takes one step towards loading adapter n. If done is true, r is the final
// result; otherwise the caller waits for a report and calls it again.
func (h *Holder) tryAdapter(n fleet.ModelName) (done bool, r fleet.OrderReply) {
	h.orderMu.Lock()
	defer h.orderMu.Unlock()
	order, done, r := h.nextAdapterStep(n)
	if done || order == nil {
		return done, r
	}
	err := h.sendOrder(*order)
	var refused *bamboostep.OrderError
	if err != nil && (!errors.As(err, &refused) || refused.Unsent) {
		return true, errorReply(err)
	}
	if err == nil {
		h.applyAdapterOrder(*order)
	}
	return false, fleet.OrderReply{}
}

// nextAdapterStep decides on the next step: an order to send, or a final result (done).
// With neither, the caller must wait for the engine.
func (h *Holder) nextAdapterStep(n fleet.ModelName) (order *bamboostep.EngineOrder, done bool, r fleet.OrderReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spec := h.Spec()
	switch {
	case holdsAdapter(h.report, n):
		return nil, true, fleet.OrderReply{}
	case spec == nil || spec.Model(n.Model) == nil || !holds(h.report, n.Model):
		return nil, true, fleet.OrderReply{Code: codeNoModel}
	case h.isPendingAdapter(n) || h.report.Busy || h.loading != "" || h.unloading != "":
		return nil, false, fleet.OrderReply{}
	case len(h.report.PendingAdapters) >= maxPendingAdapters:
		return nil, false, fleet.OrderReply{}
	}
	mb := spec.Model(n.Model).AdapterMB
	if h.occupiedAdapterSlots() < spec.AdapterSlots && h.fits(spec, mb) {
		return &bamboostep.EngineOrder{Load: true, Model: n.Model, Adapter: n.Adapter}, false, fleet.OrderReply{}
	}
	old, ok := h.leastRecentlyUsed(time.Now())
	if !ok {
		return nil, true, fleet.OrderReply{Code: codeNoRoom}
	}
	return &bamboostep.EngineOrder{Model: old.Model, Adapter: old.Adapter}, false, fleet.OrderReply{}
}

// isPendingAdapter reports whether the engine is loading adapter n. h.mu is held.
func (h *Holder) isPendingAdapter(n fleet.ModelName) bool {
	return slices.ContainsFunc(h.report.PendingAdapters, func(p string) bool { return parsePending(p) == n })
}

// parsePending parses a pending adapter in the form MODEL/ADAPTER or
// MODEL/ADAPTER@VERSION.
func parsePending(p string) fleet.ModelName {
	if i := strings.LastIndexByte(p, '@'); i >= 0 {
		p = p[:i]
	}
	model, adapter, _ := strings.Cut(p, "/")
	return fleet.ModelName{Model: model, Adapter: adapter}
}

// occupiedAdapterSlots counts the adapters that are loaded or being loaded. h.mu is held.
func (h *Holder) occupiedAdapterSlots() int {
	n := len(h.report.PendingAdapters)
	for _, m := range h.report.Models {
		n += len(m.Adapters)
	}
	return n
}

// leastRecentlyUsed returns the adapter to evict. It returns false if all have been used
// within minAdapterIdle. h.mu is held.
func (h *Holder) leastRecentlyUsed(now time.Time) (fleet.ModelName, bool) {
	var oldest fleet.ModelName
	found := false
	for _, m := range h.report.Models {
		for _, a := range m.Adapters {
			n := fleet.ModelName{Model: m.Name, Adapter: a}
			if now.Sub(h.adapterUsedAt[n]) > minAdapterIdle && (!found || h.adapterUsedAt[n].Before(h.adapterUsedAt[oldest])) {
				oldest, found = n, true
			}
		}
	}
	return oldest, found
}

// applyAdapterOrder applies an order that the engine accepted to the last report, until
// the next report reflects it.
func (h *Holder) applyAdapterOrder(o bamboostep.EngineOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Load {
		h.report.PendingAdapters = append(slices.Clone(h.report.PendingAdapters), o.Model+"/"+o.Adapter)
		return
	}
	models := slices.Clone(h.report.Models)
	for i := range models {
		if models[i].Name == o.Model {
			kept := slices.Clone(models[i].Adapters)
			models[i].Adapters = slices.DeleteFunc(kept, func(a string) bool { return a == o.Adapter })
		}
	}
	h.report.Models = models
}
