// Package holder runs next to a model engine, on the engine's VM, and is the only
// component that sends orders to it. It polls the engine's report, which is cheap there,
// and pushes it to the entries and voters that subscribe.
//
// Having one holder per engine, whoever the leader is, prevents two leaders from issuing
// conflicting orders: a leader requests, and the holder decides what the engine can take.
//
// The difficult case is an order that gets no answer. It may have been accepted, may be
// carried out seconds later, or may never be. Each order therefore states how many orders
// the engine has accepted before it. Of two orders that state the same number, the engine
// carries out at most one: it refuses the one that arrives second.
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

	runningPushStep     = 3                      // change of running requests that is pushed at once
	cachePushSteps      = 32                     // a change of the used KV cache by 1/32 of its capacity is pushed at once
	maxPushInterval     = 500 * time.Millisecond // between pushes without a change
	downAfterFailures   = 2                      // consecutive failed polls after which the engine is down
	orderTimeout        = 120 * time.Millisecond // of one attempt to send an order
	inDoubtTimeout      = 13 * time.Second       // within which an unanswered order may still be carried out
	adapterTimeout      = 700 * time.Millisecond // for an adapter to become usable
	adapterPollInterval = 5 * time.Millisecond   // between polls while an adapter is awaited
	maxPendingAdapters  = 4                      // adapters being loaded by the engine at a time
	maxOrderAttempts    = 6
	fenceStep           = 1 << 20                // added to a fencing number that the engine refused
	minAdapterIdle      = 400 * time.Millisecond // an adapter used more recently is not evicted
	orderReportLag      = 300 * time.Millisecond // after which every report reflects an accepted order
)

// Holder manages one engine. Set the exported fields before Register.
type Holder struct {
	Name     string // of the VM; sent with each order
	Address  string // of the engine; host and port
	Service  string // of the engine
	Domain   string // failure domain of the VM
	Engine   bamboostep.EngineController
	Spec     func() *route.Engine // returns the engine's published declaration; nil if there is none yet
	Recorder *timeline.Recorder
	Metrics  *Metrics // may be nil

	orderMu sync.Mutex // serializes orders to the engine; taken before mu

	mu             sync.Mutex
	report         bamboostep.EngineReport // last report, with accepted adapter orders applied
	instance       string                  // of the engine's current start; empty if unknown
	identifying    bool                    // a call to Identify is under way
	reportAt       time.Time               // when the last report was requested
	failedPolls    int                     // consecutive
	subscribers    map[*wire.Conn]bool
	lastPushed     fleet.Report // as of the last push of a report or load
	lastPushedAt   time.Time
	adapterUsedAt  map[fleet.ModelName]time.Time // last use of each adapter
	fence          uint64                        // fencing number of this holder's orders
	term           uint64                        // highest leader's term seen; 0 before the first order
	acceptedOrders uint64                        // number that the engine has accepted since its start, as far as known
	acceptedAt     time.Time
	inDoubt        *inDoubtOrder        // last order, if it got no answer; else nil
	loading        string               // model that the engine is loading; empty if none
	unloading      string               // model that the engine is unloading; empty if none
	restoredStart  int64                // start of the engine for which a restore was attempted
	nextReport     chan struct{}        // closed and replaced when a report is applied
	sizes          map[string]modelSize // of models that are or may be on the engine, as far as known
	prefixes       prefixLog            // prompt prefixes that the engine has read
	pace           paceTracker          // of the engine

	announced announcements[*wire.Conn] // prompts that wait for their first event
	tellDue   bool                      // a call of tell is scheduled
	toldAt    time.Time                 // of the last call of tell
}

// inDoubtOrder is an order that got no answer and may still be carried out.
type inDoubtOrder struct {
	order bamboostep.EngineOrder
	until time.Time // it has no effect any more after this time
}

// Register initializes h and adds its handlers to mux.
func (h *Holder) Register(mux *wire.Mux) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = make(map[*wire.Conn]bool)
	h.sizes = make(map[string]modelSize)
	h.adapterUsedAt = make(map[fleet.ModelName]time.Time)
	h.fence = uint64(time.Now().UnixMilli())
	h.nextReport = make(chan struct{})
	mux.On(fleet.KindSubscribe, h.handleSubscribe)
	mux.On(fleet.KindAdapter, func(m *wire.Message) { go h.handleAdapter(m) })
	mux.On(fleet.KindAdapterUse, h.handleAdapterUse)
	mux.On(fleet.KindPrefixes, h.handlePrefixes)
	mux.On(fleet.KindSent, h.handleSent)
	mux.On(fleet.KindFirst, h.handleFirstEvents)
	mux.On(fleet.KindOrder, func(m *wire.Message) { go h.handleOrder(m) })
}

// Run polls the engine and pushes reports until ctx ends.
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

// poll reads the engine's report once and applies it.
func (h *Holder) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	began := time.Now()
	r, err := h.Engine.Report(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.failedPolls++
		if h.failedPolls == downAfterFailures {
			h.record("engine_lost", err.Error())
		}
		return
	}
	if h.failedPolls >= downAfterFailures {
		h.record("engine_regained", "")
	}
	h.failedPolls = 0
	h.applyReport(r, began)
}

// applyReport makes r, requested at time at, the current report. It resets the state on a
// new start of the engine and ignores reports that are out of date. h.mu is held.
func (h *Holder) applyReport(r bamboostep.EngineReport, at time.Time) {
	if at.Before(h.reportAt) {
		return // a concurrent poll has applied a newer report
	}
	if r.StartedMS != h.report.StartedMS {
		h.record("engine_started", time.UnixMilli(r.StartedMS).UTC().Format(time.RFC3339Nano))
		h.acceptedOrders, h.inDoubt, h.loading, h.unloading = 0, nil, "", ""
		clear(h.sizes)
		h.instance = ""
		h.prefixes = prefixLog{}
		h.announced.restart()
	}
	if h.instance == "" && !h.identifying && h.Spec() != nil {
		h.identifying = true
		go h.identify(r.StartedMS)
	}
	if r.AcceptedOrders < h.acceptedOrders && at.Before(h.acceptedAt.Add(orderReportLag)) {
		return // created before the engine accepted the last order
	}
	if r.Leaving && !h.report.Leaving {
		h.record("engine_leaving", r.TimeLeft.String())
	}
	h.report, h.reportAt = r, at
	h.observePace(r, at)
	h.recordSizes(h.Spec())
	h.resolveInDoubt(r, at)
	h.acceptedOrders = r.AcceptedOrders
	if !r.Busy {
		h.clearCompleted(r)
	}
	close(h.nextReport)
	h.nextReport = make(chan struct{})
}

// identify asks the engine for its instance name, which the report does not contain, and
// stores it if the engine has not restarted since. born is the start that the caller saw.
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
	if h.report.StartedMS == born {
		h.instance = instance
		h.record("engine_identified", instance)
	}
}

// resolveInDoubt clears the order in doubt once it cannot take effect any more: the engine
// has accepted an order in its place (or the order itself), or it has expired. h.mu is
// held.
func (h *Holder) resolveInDoubt(r bamboostep.EngineReport, now time.Time) {
	u := h.inDoubt
	if u == nil {
		return
	}
	switch {
	case r.AcceptedOrders > u.order.AcceptedBefore:
		h.recordOrder("order_settled", u.order, "")
	case now.After(u.until):
		h.recordOrder("order_expired", u.order, "")
	default:
		return
	}
	h.inDoubt = nil
}

// clearCompleted is called with a report of an idle engine. It clears the model orders
// that have been carried out or had no effect. h.mu is held.
func (h *Holder) clearCompleted(r bamboostep.EngineReport) {
	if h.loading != "" && holds(r, h.loading) {
		h.recordModel("model_loaded", h.loading, "")
		h.loading = ""
	}
	if h.unloading != "" && !holds(r, h.unloading) {
		h.recordModel("model_unloaded", h.unloading, "")
		h.unloading = ""
	}
	if h.inDoubt == nil && r.AcceptedOrders >= h.acceptedOrders {
		h.loading, h.unloading = "", ""
	}
}

// holds reports whether the engine holds a model.
func holds(r bamboostep.EngineReport, model string) bool {
	return slices.ContainsFunc(r.Models, func(m bamboostep.LoadedModel) bool { return m.Name == model })
}

// holdsAdapter reports whether the engine holds an adapter.
func holdsAdapter(r bamboostep.EngineReport, n fleet.ModelName) bool {
	return slices.ContainsFunc(r.Models, func(m bamboostep.LoadedModel) bool {
		return m.Name == n.Model && slices.Contains(m.Adapters, n.Adapter)
	})
}

// fleetReport builds the report that is sent to subscribers. A model load in doubt is
// reported as under way. h.mu is held.
func (h *Holder) fleetReport(now time.Time) fleet.Report {
	r := fleet.Report{
		Address:     h.Address,
		Instance:    h.instance,
		StartedMS:   h.report.StartedMS,
		Service:     h.Service,
		Domain:      h.Domain,
		Down:        h.failedPolls >= downAfterFailures,
		Leaving:     h.report.Leaving,
		RemainingMS: h.report.TimeLeft.Milliseconds(),
		Waiting:     h.report.Waiting,
		Running:     h.report.Running,
		Prefilling:  h.report.Prefilling,
		CacheUsed:   h.report.CacheUsedTokens,
		CacheTokens: h.report.CacheCapacityTokens,
		Models:      h.report.Models,
		Sizes:       h.undeclaredSizes(),
		Pending:     h.report.PendingAdapters,
		InMemory:    h.report.InMemory,
		OnDisk:      h.report.OnDisk,
		Orders:      h.acceptedOrders,
		Busy:        h.report.Busy,
		AgeMS:       now.Sub(h.reportAt).Milliseconds(),
	}
	if h.loading != "" {
		r.Loading = []string{h.loading}
	}
	if h.unloading != "" {
		r.Unloading = []string{h.unloading}
	}
	if u := h.inDoubt; u != nil && u.order.Load && u.order.Adapter == "" {
		r.Loading = []string{u.order.Model}
	}
	return r
}

// push sends the report to all subscribers if it has changed or maxPushInterval has
// passed, and prefixes and announced prompts that they have not been sent yet.
func (h *Holder) push(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.report.StartedMS == 0 {
		return
	}
	r := h.fleetReport(now)
	sinceLast := now.Sub(h.lastPushedAt)
	switch {
	case !sameState(r, h.lastPushed):
		h.lastPushed, h.lastPushedAt = r, now
		h.broadcast(fleet.KindReport, r)
		h.announced.retell()
	case sinceLast >= maxPushInterval || !similarLoad(r, h.lastPushed):
		h.lastPushed, h.lastPushedAt = r, now
		h.broadcast(fleet.KindLoad, fleet.LoadUpdate{Waiting: r.Waiting, Running: r.Running, Prefilling: r.Prefilling, CacheUsed: r.CacheUsed, AgeMS: r.AgeMS})
	}
	h.pushPace(now)
	if unsent := h.prefixes.takeUnsent(); len(unsent) > 0 {
		h.broadcast(fleet.KindPrefixes, fleet.PrefixUpdate{Prefixes: unsent})
	}
	h.tell(now)
}

// broadcast sends a message to all subscribers and drops those that cannot be reached.
// h.mu is held.
func (h *Holder) broadcast(kind string, v any) {
	for c := range h.subscribers {
		if c.Err() != nil || c.Send(kind, v) != nil {
			delete(h.subscribers, c)
		}
	}
}

// sameState reports whether two reports agree in everything that is pushed at once. The
// load and the weights in memory and on disk are not compared.
func sameState(a, b fleet.Report) bool {
	return a.Instance == b.Instance && a.StartedMS == b.StartedMS && a.Down == b.Down && a.Leaving == b.Leaving &&
		a.Orders == b.Orders && a.Busy == b.Busy && len(a.Pending) == len(b.Pending) &&
		slices.Equal(a.Loading, b.Loading) && slices.Equal(a.Unloading, b.Unloading) && slices.Equal(a.Sizes, b.Sizes) &&
		slices.EqualFunc(a.Models, b.Models, func(x, y bamboostep.LoadedModel) bool {
			return x.Name == y.Name && slices.Equal(x.Adapters, y.Adapters)
		})
}

// similarLoad reports whether the loads of two reports differ too little for a push.
func similarLoad(a, b fleet.Report) bool {
	return a.Waiting == b.Waiting && a.Prefilling == b.Prefilling &&
		max(a.Running-b.Running, b.Running-a.Running) < runningPushStep &&
		max(a.CacheUsed-b.CacheUsed, b.CacheUsed-a.CacheUsed) < a.CacheTokens/cachePushSteps
}

// handleSubscribe adds the sender to the subscribers and replies with the current report.
func (h *Holder) handleSubscribe(m *wire.Message) {
	var call fleet.SubscribeCall
	if m.Decode(&call) != nil {
		return // package wire counts the bad frame
	}
	h.mu.Lock()
	h.subscribers[m.Conn()] = true
	if call.Sent {
		h.announced.subscribe(m.Conn())
	}
	r := h.fleetReport(time.Now())
	r.CachedPrefixes, r.Pace = h.prefixes.all(), h.currentPace(time.Now())
	h.mu.Unlock()
	m.Reply(r)
}

// handleAdapterUse records the adapters that an entry's requests have used.
func (h *Holder) handleAdapterUse(m *wire.Message) {
	var note fleet.AdapterUse
	if m.Decode(&note) != nil {
		return // package wire counts the bad frame
	}
	h.recordAdapterUse(note.Used, time.Now())
}

func (h *Holder) recordAdapterUse(used []fleet.AdapterRef, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, u := range used {
		h.adapterUsedAt[fleet.ModelName(u)] = now
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
