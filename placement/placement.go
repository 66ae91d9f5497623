// Package placement has the leader decide which models the engines of a service
// hold. It asks a bamboostep.Placer for moves and gives each as an order to the
// holder of one engine.
//
// Each round starts from the last reports alone, so an order that was lost or
// refused needs no repair: the next round sees what is missing. The hard point is
// the weight store, which all engines share. The moments at which loads from it
// were ordered are kept, and no more are ordered within a window than the store
// allows. Loads of weights that a VM keeps on its own disk or in its memory cost
// the store nothing and wait for nobody.
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
	roundInterval = 250 * time.Millisecond
	orderTimeout  = 2500 * time.Millisecond // a holder sends an order several times
	shownAfter    = 300 * time.Millisecond  // in which a report shows an order
	leadDelay     = time.Second             // a new leader waits so long for reports that do not come
	roundSpacing  = 40 * time.Millisecond   // between rounds that reports bring about
)

// Orders gives orders to holders. *fleet.Links is one.
type Orders interface {
	Order(ctx context.Context, address string, o fleet.OrderCall) error
}

// Placement places models while this voter leads. Set the exported fields before
// Register.
type Placement struct {
	Fleet    *fleet.Fleet
	Orders   Orders
	Table    func() *route.Table                    // as published; nil before anything is
	Leader   func() (term uint64, leads bool)       // of the ledger
	Placer   func(service string) bamboostep.Placer // a new one
	Recorder *timeline.Recorder
	Metrics  *Metrics // may be nil

	// StoreWindow is the span over which loads from the store are counted.
	StoreWindow time.Duration
	StoreOver   float64 // part of the store's rate that may be used

	mu       sync.Mutex
	demand   demand
	stores   map[string]*storeWindow // by service
	placers  map[string]bamboostep.Placer
	given    map[givenKey]givenOrder
	ledSince time.Time
	urgent   chan struct{} // callers wait for a model
}

type givenKey struct{ address, model string }

// givenOrder is an order that reports may not show yet.
type givenOrder struct {
	load  bool
	until time.Time
}

// Register adds the handler of entries' demand to mux.
func (p *Placement) Register(mux *wire.Mux) {
	p.stores = make(map[string]*storeWindow)
	p.placers = make(map[string]bamboostep.Placer)
	p.given = make(map[givenKey]givenOrder)
	p.urgent = make(chan struct{}, 1)
	mux.On(fleet.KindDemand, func(m *wire.Message) {
		var note fleet.DemandNote
		if m.Decode(&note) != nil {
			return // the frame is counted by wire
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.demand.note(note.Demand, time.Now()) {
			select {
			case p.urgent <- struct{}{}:
			default:
			}
		}
	})
}

// Run places until ctx ends.
func (p *Placement) Run(ctx context.Context) error {
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		changed := p.Fleet.Changed()
		p.round(ctx, time.Now())
		time.Sleep(roundSpacing)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case <-changed:
		case <-p.urgent:
		}
	}
}

func (p *Placement) round(ctx context.Context, now time.Time) {
	term, leads := p.Leader()
	table := p.Table()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leads || table == nil {
		p.ledSince = time.Time{}
		return
	}
	if p.ledSince.IsZero() {
		p.ledSince = now
		clear(p.placers)
	}
	for i := range table.Services {
		s := &table.Services[i]
		if s.Engine == nil || now.Sub(p.ledSince) < leadDelay && !p.Fleet.AllReport(s.Name, now) {
			continue
		}
		p.place(ctx, now, term, s)
	}
}

// place makes one round for one service. mu is held.
func (p *Placement) place(ctx context.Context, now time.Time, term uint64, s *route.Service) {
	placer := p.placers[s.Name]
	if placer == nil {
		placer = p.Placer(s.Name)
		p.placers[s.Name] = placer
	}
	store := p.stores[s.Name]
	if store == nil {
		store = newStoreWindow(p.StoreWindow, p.StoreOver)
		p.stores[s.Name] = store
	}
	reports := p.Fleet.Reports(s.Name, now)
	view := p.view(s, reports, now)
	view.StoreLoads = store.free(now, s.Engine.LoadsPerS)
	for _, move := range placer.Place(now, view) {
		p.give(ctx, now, term, s, store, reports, move)
	}
}

// give orders one move, unless the store or the engine has to wait. mu is held.
func (p *Placement) give(ctx context.Context, now time.Time, term uint64, s *route.Service, store *storeWindow, reports []fleet.Report, move bamboostep.Move) {
	load := move.Order.Kind == bamboostep.LoadModel
	if !load && move.Order.Kind != bamboostep.UnloadModel {
		return // adapters are their holders' matter
	}
	i := slices.IndexFunc(reports, func(r fleet.Report) bool { return r.Address == move.VM })
	if i < 0 || reports[i].Busy || p.isGiven(move.VM) {
		return
	}
	fromStore := load && !atHand(reports[i], move.Order.Name)
	if fromStore {
		if store.free(now, s.Engine.LoadsPerS) == 0 {
			return
		}
		store.take(now)
		p.Metrics.storeLoad()
	}
	p.given[givenKey{move.VM, move.Order.Name}] = givenOrder{load, now.Add(orderTimeout)}
	p.record("order_given", move, fmt.Sprintf("load %v, %s, from store %v", load, move.Reason, fromStore))
	go p.send(ctx, term, fromStore, store, move)
}

// isGiven reports whether an order to an engine is on its way. mu is held.
func (p *Placement) isGiven(address string) bool {
	for k := range p.given {
		if k.address == address {
			return true
		}
	}
	return false
}

func (p *Placement) send(ctx context.Context, term uint64, fromStore bool, store *storeWindow, move bamboostep.Move) {
	load := move.Order.Kind == bamboostep.LoadModel
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := p.Orders.Order(ctx, move.VM, fleet.OrderCall{Term: term, Load: load, Model: move.Order.Name})
	if err != nil {
		p.record("order_not_taken", move, err.Error())
	}
	p.Metrics.ordered(load, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.given[givenKey{move.VM, move.Order.Name}] = givenOrder{load, time.Now().Add(shownAfter)}
	var refused *fleet.RefusedError
	if errors.As(err, &refused) && !refused.InDoubt() {
		delete(p.given, givenKey{move.VM, move.Order.Name})
	}
	if fromStore && err != nil && (!errors.As(err, &refused) || refused.InDoubt()) {
		store.doubt(time.Now())
	}
}

func atHand(r fleet.Report, model string) bool {
	return slices.Contains(r.InMemory, model) || slices.Contains(r.OnDisk, model)
}

func (p *Placement) record(kind string, move bamboostep.Move, detail string) {
	p.Recorder.Record(timeline.Event{Kind: kind, VM: move.VM, Model: move.Order.Name, Detail: detail})
}
