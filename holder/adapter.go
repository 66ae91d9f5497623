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

// Adapters are loaded when an entry asks, because that takes milliseconds. The one
// that was used least recently makes room.

func (h *Holder) handleAdapter(m *wire.Message) {
	var call fleet.AdapterCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	m.Reply(h.loadAdapter(fleet.ModelName(call)))
}

func (h *Holder) loadAdapter(n fleet.ModelName) fleet.OrderReply {
	ctx, cancel := context.WithTimeout(context.Background(), adapterWait)
	defer cancel()
	h.mu.Lock()
	h.used[n] = time.Now()
	h.mu.Unlock()
	for ctx.Err() == nil {
		done, r := h.tryAdapter(n)
		if done {
			return r
		}
		h.await(ctx)
	}
	return fleet.OrderReply{Code: codeNotLoaded}
}

// await waits for a fresh report, and reads one if none comes soon. While the engine
// loads a model it takes no other order, so there is nothing to read in a hurry.
func (h *Holder) await(ctx context.Context) {
	h.mu.Lock()
	fresh, at, busy := h.fresh, h.reportAt, h.report.Busy
	h.mu.Unlock()
	t := time.NewTimer(adapterCheck)
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
	if time.Since(at) >= adapterCheck {
		h.poll(ctx)
	}
}

// tryAdapter makes one step towards having an adapter.
func (h *Holder) tryAdapter(n fleet.ModelName) (done bool, r fleet.OrderReply) {
	h.orders.Lock()
	defer h.orders.Unlock()
	order, done, r := h.adapterStep(n)
	if done || order == nil {
		return done, r
	}
	err := h.give(*order)
	var refused *bamboostep.OrderError
	if err != nil && (!errors.As(err, &refused) || refused.Unsent) {
		return true, replyOf(err)
	}
	if err == nil {
		h.noteAdapter(*order)
	}
	return false, fleet.OrderReply{}
}

// adapterStep decides what is to be done next. No order and not done means to wait.
func (h *Holder) adapterStep(n fleet.ModelName) (order *bamboostep.EngineOrder, done bool, r fleet.OrderReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	spec := h.Spec()
	switch {
	case holdsAdapter(h.report, n):
		return nil, true, fleet.OrderReply{}
	case spec == nil || !holds(h.report, n.Model):
		return nil, true, fleet.OrderReply{Code: codeNoModel}
	case h.isPending(n) || h.report.Busy || h.loading != "" || h.unloading != "":
		return nil, false, fleet.OrderReply{}
	case len(h.report.Pending) >= maxTransit:
		return nil, false, fleet.OrderReply{}
	}
	mb := modelNamed(spec, n.Model).AdapterMB
	if h.adapters() < spec.AdapterSlots && h.fits(spec, mb) {
		return &bamboostep.EngineOrder{Load: true, Model: n.Model, Adapter: n.Adapter}, false, fleet.OrderReply{}
	}
	old, ok := h.leastUsed(time.Now())
	if !ok {
		return nil, true, fleet.OrderReply{Code: codeNoRoom}
	}
	return &bamboostep.EngineOrder{Model: old.Model, Adapter: old.Adapter}, false, fleet.OrderReply{}
}

func (h *Holder) isPending(n fleet.ModelName) bool {
	return slices.ContainsFunc(h.report.Pending, func(p string) bool { return pendingName(p) == n })
}

// pendingName decodes MODEL/ADAPTER@VERSION.
func pendingName(p string) fleet.ModelName {
	if i := strings.LastIndexByte(p, '@'); i >= 0 {
		p = p[:i]
	}
	model, adapter, _ := strings.Cut(p, "/")
	return fleet.ModelName{Model: model, Adapter: adapter}
}

// adapters counts the places that are taken. mu is held.
func (h *Holder) adapters() int {
	n := len(h.report.Pending)
	for _, m := range h.report.Models {
		n += len(m.Adapters)
	}
	return n
}

// leastUsed returns the adapter that makes room. mu is held.
func (h *Holder) leastUsed(now time.Time) (fleet.ModelName, bool) {
	var oldest fleet.ModelName
	found := false
	for _, m := range h.report.Models {
		for _, a := range m.Adapters {
			n := fleet.ModelName{Model: m.Name, Adapter: a}
			if now.Sub(h.used[n]) > recentlyInUse && (!found || h.used[n].Before(h.used[oldest])) {
				oldest, found = n, true
			}
		}
	}
	return oldest, found
}

// noteAdapter lays an order that the engine took over the last report, until the
// next one shows it.
func (h *Holder) noteAdapter(o bamboostep.EngineOrder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o.Load {
		h.report.Pending = append(slices.Clone(h.report.Pending), o.Model+"/"+o.Adapter)
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
