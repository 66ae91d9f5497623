// Package placement decides on the ledger's leader which models the engines of a service
// hold. It asks a bamboostep.Placer for moves and sends each as an order to the holder of
// one engine.
//
// Each round starts from the latest reports alone, so an order that was lost or refused
// needs no recovery: the next round sees what is missing. The shared resource is the
// weight store, from which all engines load. Placement records when loads from the store
// were ordered and orders no more within a time window than the store allows. Loads of
// weights that a VM has in memory or on its own disk do not use the store and are not
// limited.
package placement

import (
	"context"
	"errors"
	"fmt"
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
	roundInterval   = 250 * time.Millisecond  // between rounds without any event
	orderTimeout    = 2500 * time.Millisecond // must cover several attempts by the holder
	orderReportLag  = 300 * time.Millisecond  // after which reports reflect an order that was answered
	newLeaderWait   = time.Second             // a new leader waits this long for engines that have not reported
	minRoundSpacing = 40 * time.Millisecond   // between rounds triggered by reports or demand
)

// Orders sends orders to holders. *fleet.HolderLinks implements it.
type Orders interface {
	Order(ctx context.Context, address string, o fleet.OrderCall) error
}

// Placement places models while this voter is the leader. Set the exported fields before
// Register.
type Placement struct {
	Fleet     *fleet.Fleet
	Orders    Orders
	Table     func() *route.Table                    // returns the published routing table; nil if there is none yet
	Leader    func() (term uint64, leads bool)       // returns the ledger's term and whether this voter leads
	NewPlacer func(service string) bamboostep.Placer // creates the placer of a service
	Recorder  *timeline.Recorder
	Metrics   *Metrics // may be nil

	// Limit returns the limit that the engine of a report names, in requests per second, and
	// false if it names none. It may be nil.
	Limit func(r fleet.Report) (perSecond float64, named bool)

	// StoreWindow is the length of the window over which loads from the store are limited.
	StoreWindow     time.Duration
	StoreRateFactor float64 // factor on the store's nominal rate (LoadsPerSecond) that may be used

	mu            sync.Mutex
	demand        demand
	storeLimiters map[string]*storeLimiter     // by service
	placers       map[string]bamboostep.Placer // by service
	pendingOrders map[orderKey]pendingOrder
	leaderSince   time.Time     // zero while this voter does not lead
	urgent        chan struct{} // capacity 1; requests are late
}

// orderKey identifies an order by engine and model.
type orderKey struct{ address, model string }

// pendingOrder is an order whose effect reports may not show yet.
type pendingOrder struct {
	load  bool
	until time.Time // it is ignored after this time
}

// Register initializes p and adds the handler of entries' demand to mux.
func (p *Placement) Register(mux *wire.Mux) {
	p.storeLimiters = make(map[string]*storeLimiter)
	p.placers = make(map[string]bamboostep.Placer)
	p.pendingOrders = make(map[orderKey]pendingOrder)
	p.urgent = make(chan struct{}, 1)
	mux.On(fleet.KindDemand, func(m *wire.Message) {
		var note fleet.DemandUpdate
		if m.Decode(&note) != nil {
			return // package wire counts the bad frame
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		now := time.Now()
		needed := p.demand.addNeeds(note.VersionNeeds, now)
		if p.demand.add(note.Demand, now) || needed {
			select {
			case p.urgent <- struct{}{}:
			default:
			}
		}
	})
}

// Run places models until ctx ends: periodically, on each change of the fleet and when
// requests are late.
func (p *Placement) Run(ctx context.Context) error {
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		changed := p.Fleet.Changed()
		p.runRound(ctx, time.Now())
		time.Sleep(minRoundSpacing)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-changed:
		case <-p.urgent:
		}
	}
}

// runRound places the models of all services that have engines, if this voter leads. A new
// leader first waits until all engines of a service have reported or newLeaderWait has
// passed.
func (p *Placement) runRound(ctx context.Context, now time.Time) {
	term, leads := p.Leader()
	table := p.Table()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leads || table == nil {
		p.leaderSince = time.Time{}
		return
	}
	if p.leaderSince.IsZero() {
		p.leaderSince = now
		clear(p.placers)
	}
	for i := range table.Services {
		s := &table.Services[i]
		if s.Engine == nil || now.Sub(p.leaderSince) < newLeaderWait && !p.Fleet.AllReported(s.Name, now) {
			continue
		}
		p.placeService(ctx, now, term, s)
	}
}

// placeService runs one round for one service. p.mu is held.
func (p *Placement) placeService(ctx context.Context, now time.Time, term uint64, s *route.Service) {
	placer := p.placers[s.Name]
	if placer == nil {
		placer = p.NewPlacer(s.Name)
		p.placers[s.Name] = placer
	}
	store := p.storeLimiters[s.Name]
	if store == nil {
		store = newStoreLimiter(p.StoreWindow, p.StoreRateFactor)
		p.storeLimiters[s.Name] = store
	}
	reports := p.Fleet.Reports(s.Name, now)
	view := p.fleetView(s, reports, now)
	view.AllowedStoreLoads = store.available(now, s.Engine.LoadsPerSecond)
	for _, move := range placer.Place(now, view) {
		p.issueOrder(ctx, now, term, s, store, reports, move)
	}
}

// issueOrder starts sending the order of one move, unless the engine is busy or the
// store's limit is reached. p.mu is held.
func (p *Placement) issueOrder(ctx context.Context, now time.Time, term uint64, s *route.Service, store *storeLimiter, reports []fleet.Report, move bamboostep.Move) {
	load := move.Order.Kind == bamboostep.LoadModel
	if !load && move.Order.Kind != bamboostep.UnloadModel {
		return // holders load adapters without the leader
	}
	i := slices.IndexFunc(reports, func(r fleet.Report) bool { return r.Address == move.VM })
	if i < 0 || reports[i].Busy || p.hasPendingOrder(move.VM) {
		return
	}
	fromStore := load && !cachedOnVM(reports[i], move.Order.Name)
	if fromStore {
		if store.available(now, s.Engine.LoadsPerSecond) == 0 {
			return
		}
		store.reserve(now)
		p.Metrics.recordStoreLoad()
	}
	p.pendingOrders[orderKey{move.VM, move.Order.Name}] = pendingOrder{load, now.Add(orderTimeout)}
	p.record("order_given", move, fmt.Sprintf("load %v, %s, from store %v", load, move.Reason, fromStore))
	go p.sendOrder(ctx, term, fromStore, store, move)
}

// hasPendingOrder reports whether an order to the engine at address is pending. p.mu is
// held.
func (p *Placement) hasPendingOrder(address string) bool {
	for k := range p.pendingOrders {
		if k.address == address {
			return true
		}
	}
	return false
}

// sendOrder sends an order to the engine's holder and records the outcome. An order that
// was refused is no longer pending. A load from the store whose outcome is unknown keeps
// counting against the limit until it can no longer begin.
func (p *Placement) sendOrder(ctx context.Context, term uint64, fromStore bool, store *storeLimiter, move bamboostep.Move) {
	load := move.Order.Kind == bamboostep.LoadModel
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.Orders.Order(ctx, move.VM, fleet.OrderCall{Term: term, Load: load, Model: move.Order.Name})
	if err != nil {
		p.record("order_not_taken", move, err.Error())
	}
	p.Metrics.recordOrder(load, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingOrders[orderKey{move.VM, move.Order.Name}] = pendingOrder{load, time.Now().Add(orderReportLag)}
	var refused *fleet.RefusedError
	if errors.As(err, &refused) && !refused.InDoubt() {
		delete(p.pendingOrders, orderKey{move.VM, move.Order.Name})
	}
	if fromStore && err != nil && (!errors.As(err, &refused) || refused.InDoubt()) {
		store.reserveInDoubt(time.Now())
	}
}

// cachedOnVM reports whether the engine's VM has the model's weights in memory or on disk.
func cachedOnVM(r fleet.Report, model string) bool {
	return slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model)
}

func (p *Placement) record(kind string, move bamboostep.Move, detail string) {
	p.Recorder.Record(timeline.Event{Kind: kind, VM: move.VM, Model: move.Order.Name, Detail: detail})
}
