// Package holder is the one process that gives a model engine its orders, on the
// engine's own VM. It reads the engine's report, which is fresh and free there, and
// pushes it to the entries and voters that follow it.
//
// One holder for each engine, whoever leads, is what keeps two leaders from taking
// turns at it: a leader asks, the holder decides what its engine can take.
//
// The hard point is an order without an answer. It may have been taken, may be
// carried out seconds later, or never. Each order therefore names how many orders
// the engine has taken before, so that at most one of two that follow the same
// number is carried out: whichever the engine takes first, it refuses the other.
package holder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = 400 * time.Millisecond

	identifyTimeout = 400 * time.Millisecond

	loadStep      = 3                      // running requests more or less that are told at once
	cacheSteps    = 32                     // a 32nd of the cache more or less is told at once
	pushInterval  = 500 * time.Millisecond // at the latest, though nothing changed
	downAfter     = 2                      // reports in a row that failed
	orderTimeout  = 120 * time.Millisecond // of one sending
	unsettledFor  = 13 * time.Second       // in which an order without an answer may be carried out
	adapterWait   = 700 * time.Millisecond // for an adapter to be there
	adapterCheck  = 5 * time.Millisecond
	maxTransit    = 4 // adapters on their way to one engine
	orderTries    = 6
	fenceStep     = 1 << 20 // above a fencing number that was refused
	recentlyInUse = 400 * time.Millisecond
	orderShown    = 300 * time.Millisecond // after which each report shows an order
)

// Holder holds one engine. Set the exported fields before Register.
type Holder struct {
	Name     string // of the VM
	Address  string // of the engine
	Service  string
	Domain   string
	Engine   bamboostep.OrderedEngine
	Spec     func() *route.Engine // as published; nil before anything is
	Recorder *timeline.Recorder
	Metrics  *Metrics // may be nil

	orders sync.Mutex // one order at a time

	mu          sync.Mutex
	report      bamboostep.EngineReport
	instance    string // of the engine's present start; empty while not known
	identifying bool
	reportAt    time.Time
	failed      int // reports in a row
	subscribers map[*wire.Conn]bool
	pushed      fleet.Report
	pushedAt    time.Time
	used        map[fleet.ModelName]time.Time
	fence       uint64
	term        uint64
	taken       uint64 // orders that the engine has taken, as far as is known
	takenAt     time.Time
	unsettled   *unsettled
	loading     string // model of the order that the engine carries out
	unloading   string
	restored    int64         // start of the engine that a model was restored for
	fresh       chan struct{} // closed at the next report
	kept        keptParts
}

// unsettled is an order that got no answer.
type unsettled struct {
	order bamboostep.EngineOrder
	until time.Time
}

// Register adds the holder's handlers to mux.
func (h *Holder) Register(mux *wire.Mux) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = make(map[*wire.Conn]bool)
	h.used = make(map[fleet.ModelName]time.Time)
	h.fence = uint64(time.Now().UnixMilli())
	h.fresh = make(chan struct{})
	mux.On(fleet.KindSubscribe, h.handleSubscribe)
	mux.On(fleet.KindAdapter, func(m *wire.Message) { go h.handleAdapter(m) })
	mux.On(fleet.KindUsed, h.handleUsed)
	mux.On(fleet.KindKept, h.handleKept)
	mux.On(fleet.KindOrder, func(m *wire.Message) { go h.handleOrder(m) })
}

// Run reads and pushes reports until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		h.poll(ctx)
		h.restore()
		h.push(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// poll reads the engine's report once.
func (h *Holder) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	began := time.Now()
	r, err := h.Engine.Report(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failed++
		if h.failed == downAfter {
			h.record("engine_lost", err.Error())
		}
		return
	}
	if h.failed >= downAfter {
		h.record("engine_regained", "")
	}
	h.failed = 0
	h.take(r, began)
}

// take makes r, asked for at a time, the newest report. mu is held.
func (h *Holder) take(r bamboostep.EngineReport, at time.Time) {
	if at.Before(h.reportAt) {
		return // another poll was faster
	}
	if r.Born != h.report.Born {
		h.record("engine_started", time.UnixMilli(r.Born).UTC().Format(time.RFC3339Nano))
		h.taken, h.unsettled, h.loading, h.unloading = 0, nil, "", ""
		h.instance = ""
		h.kept = keptParts{}
	}
	if h.instance == "" && !h.identifying && h.Spec() != nil {
		h.identifying = true
		go h.identify(r.Born)
	}
	if r.Orders < h.taken && at.Before(h.takenAt.Add(orderShown)) {
		return // made before the engine took the last order
	}
	if r.Leaving && !h.report.Leaving {
		h.record("engine_leaving", r.Left.String())
	}
	h.report, h.reportAt = r, at
	h.settle(r, at)
	h.taken = r.Orders
	if !r.Busy {
		h.finished(r)
	}
	close(h.fresh)
	h.fresh = make(chan struct{})
}

// identify asks the engine for the name of a start, which its report does not say.
func (h *Holder) identify(born int64) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	instance, err := h.Engine.Identify(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.identifying = false
	if err != nil {
		h.record("engine_not_identified", err.Error())
		return
	}
	if h.report.Born == born {
		h.instance = instance
		h.record("engine_identified", instance)
	}
}

// settle drops an order without an answer once it can have no effect any more. mu
// is held.
func (h *Holder) settle(r bamboostep.EngineReport, now time.Time) {
	u := h.unsettled
	if u == nil {
		return
	}
	switch {
	case r.Orders > u.order.After:
		h.recordOrder("order_settled", u.order, "")
	case now.After(u.until):
		h.recordOrder("order_expired", u.order, "")
	default:
		return
	}
	h.unsettled = nil
}

// finished notes that the engine carries out no order. mu is held.
func (h *Holder) finished(r bamboostep.EngineReport) {
	if h.loading != "" && holds(r, h.loading) {
		h.recordModel("model_loaded", h.loading, "")
		h.loading = ""
	}
	if h.unloading != "" && !holds(r, h.unloading) {
		h.recordModel("model_unloaded", h.unloading, "")
		h.unloading = ""
	}
	if h.unsettled == nil && r.Orders >= h.taken {
		h.loading, h.unloading = "", ""
	}
}

func holds(r bamboostep.EngineReport, model string) bool {
	return slices.ContainsFunc(r.Models, func(m bamboostep.HeldModel) bool { return m.Name == model })
}

func holdsAdapter(r bamboostep.EngineReport, n fleet.ModelName) bool {
	return slices.ContainsFunc(r.Models, func(m bamboostep.HeldModel) bool {
		return m.Name == n.Model && slices.Contains(m.Adapters, n.Adapter)
	})
}

// account is the report as entries see it. mu is held.
func (h *Holder) account(now time.Time) fleet.Report {
	r := fleet.Report{
		Address:     h.Address,
		Instance:    h.instance,
		Born:        h.report.Born,
		Service:     h.Service,
		Domain:      h.Domain,
		Down:        h.failed >= downAfter,
		Leaving:     h.report.Leaving,
		LeftMS:      h.report.Left.Milliseconds(),
		Waiting:     h.report.Waiting,
		Running:     h.report.Running,
		Reading:     h.report.Reading,
		CacheUsed:   h.report.CacheUsed,
		CacheTokens: h.report.CacheTokens,
		Models:      h.report.Models,
		Pending:     h.report.Pending,
		InMemory:    h.report.InMemory,
		OnDisk:      h.report.OnDisk,
		Orders:      h.taken,
		Busy:        h.report.Busy,
		AgeMS:       now.Sub(h.reportAt).Milliseconds(),
	}
	if h.loading != "" {
		r.Loading = []string{h.loading}
	}
	if h.unloading != "" {
		r.Unloading = []string{h.unloading}
	}
	if u := h.unsettled; u != nil && u.order.Load && u.order.Adapter == "" {
		r.Loading = []string{u.order.Model}
	}
	return r
}

// push sends the report to all who follow it, if it says something new.
func (h *Holder) push(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.report.Born == 0 {
		return
	}
	r := h.account(now)
	sinceLast := now.Sub(h.pushedAt)
	switch {
	case !sameHolding(r, h.pushed):
		h.pushed, h.pushedAt = r, now
		h.broadcast(fleet.KindReport, r)
	case sinceLast >= pushInterval || !sameLoad(r, h.pushed):
		h.pushed, h.pushedAt = r, now
		h.broadcast(fleet.KindLoad, fleet.LoadNote{Waiting: r.Waiting, Running: r.Running, Reading: r.Reading, CacheUsed: r.CacheUsed, AgeMS: r.AgeMS})
	}
	if news := h.kept.takeNews(); len(news) > 0 {
		h.broadcast(fleet.KindKept, fleet.KeptNote{Parts: news})
	}
}

// broadcast sends a message to all who follow. mu is held.
func (h *Holder) broadcast(kind string, v any) {
	for c := range h.subscribers {
		if c.Err() != nil || c.Send(kind, v) != nil {
			delete(h.subscribers, c)
		}
	}
}

func sameHolding(a, b fleet.Report) bool {
	return a.Instance == b.Instance && a.Born == b.Born && a.Down == b.Down && a.Leaving == b.Leaving &&
		a.Orders == b.Orders && a.Busy == b.Busy && len(a.Pending) == len(b.Pending) &&
		slices.Equal(a.Loading, b.Loading) && slices.Equal(a.Unloading, b.Unloading) &&
		slices.EqualFunc(a.Models, b.Models, func(x, y bamboostep.HeldModel) bool {
			return x.Name == y.Name && slices.Equal(x.Adapters, y.Adapters)
		})
}

// sameLoad reports whether two loads differ too little to be told.
func sameLoad(a, b fleet.Report) bool {
	return a.Waiting == b.Waiting && a.Reading == b.Reading &&
		max(a.Running-b.Running, b.Running-a.Running) < loadStep &&
		max(a.CacheUsed-b.CacheUsed, b.CacheUsed-a.CacheUsed) < a.CacheTokens/cacheSteps
}

func (h *Holder) handleSubscribe(m *wire.Message) {
	h.mu.Lock()
	h.subscribers[m.Conn()] = true
	r := h.account(time.Now())
	r.Kept = h.kept.all()
	h.mu.Unlock()
	m.Reply(r)
}

func (h *Holder) handleUsed(m *wire.Message) {
	var note fleet.UsedNote
	if m.Decode(&note) != nil {
		return // the frame is counted by wire
	}
	h.noteUsed(note.Used, time.Now())
}

func (h *Holder) noteUsed(used []fleet.AdapterCall, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range used {
		h.used[fleet.ModelName(u)] = now
	}
}

func (h *Holder) recordOrder(kind string, o bamboostep.EngineOrder, detail string) {
	name := o.Model
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	h.recordModel(kind, name, detail)
}

func (h *Holder) recordModel(kind, model, detail string) {
	h.Recorder.Record(timeline.Event{Kind: kind, VM: h.Address, Model: model, Detail: detail})
}

func (h *Holder) record(kind, detail string) {
	h.Recorder.Record(timeline.Event{Kind: kind, VM: h.Address, Detail: detail})
}
