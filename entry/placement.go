package main

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file implements the leader's placement loop. In every round the placer
// returns moves, and each becomes an order to one agent, with a fencing token made
// of the ledger's term and a sequence number. The placer does no I/O and does not
// track orders: orders in progress appear to it as replicas that are loading or
// unloading. A leader that lost its quorum stops at the next round; its orders that
// arrive later are rejected by agents that have seen the next leader's term.
//
// The answer to an order may be late or lost. Once a report of the agent contains
// the order's fencing token, the agent has accepted the order, and its reports
// reflect it. From then on the order is no longer overlaid on the reports, and the
// next order for the VM is sent.

const (
	roundInterval            = time.Second
	orderTimeout             = 60 * time.Second
	demandMaxAge             = 5 * time.Second
	disconnectedReportMaxAge = 4 * time.Second
	memoryFreedDelay         = 250 * time.Millisecond // until reports show the memory freed by an unload
)

// placementLoop runs the placer while this entry is the leader. Set the exported
// fields before Run.
type placementLoop struct {
	Name       string
	Placer     bamboostep.Placer
	Servers    *serverPool
	Set        func() *catalog.Set
	Leader     func() (name string, term uint64, self bool)
	Demand     func() []bamboostep.Demand // of this entry's callers
	SendDemand func(leader string, demand []bamboostep.Demand)
	Recorder   *timeline.Recorder
	Log        *log.Logger
	Registry   prometheus.Registerer

	mu              sync.Mutex
	demandByEntry   map[string]timedDemand
	pending         map[pendingKey]bamboostep.Order
	queues          map[string][]queuedMove  // by VM; a key exists while a goroutine sends the VM's orders
	acceptedSignals map[string]chan struct{} // by VM; closed when the order being sent is accepted
	term            uint64
	sequence        uint64
	moveCount       *prometheus.CounterVec
	memoryFreed     chan struct{} // a model was unloaded, and a load may be waiting for its memory
}

type timedDemand struct {
	demand []bamboostep.Demand
	at     time.Time
}

type pendingKey struct{ vm, name, version string }

// RecordDemand stores the demand that an entry reported.
func (p *placementLoop) RecordDemand(entry string, demand []bamboostep.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demandByEntry == nil {
		p.demandByEntry = make(map[string]timedDemand)
	}
	p.demandByEntry[entry] = timedDemand{demand, time.Now()}
}

// Run runs a round every roundInterval until ctx ends.
func (p *placementLoop) Run(ctx context.Context) error {
	p.init()
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.memoryFreed:
			t.Reset(memoryFreedDelay)
		case now := <-t.C:
			t.Reset(roundInterval)
			p.runRound(ctx, now)
		}
	}
}

func (p *placementLoop) init() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending = make(map[pendingKey]bamboostep.Order)
	p.queues = make(map[string][]queuedMove)
	p.acceptedSignals = make(map[string]chan struct{})
	p.memoryFreed = make(chan struct{}, 1)
	p.moveCount = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: "bamboostep",
		Subsystem: "placement",
		Name:      "moves_total",
		Help:      "Orders given to agents, by kind, reason and result.",
	}, []string{"kind", "reason", "result"})
	p.Registry.MustRegister(p.moveCount)
}

func (p *placementLoop) runRound(ctx context.Context, now time.Time) {
	leader, term, self := p.Leader()
	p.RecordDemand(p.Name, p.Demand())
	if !self {
		p.SendDemand(leader, p.Demand())
		return
	}
	set := p.Set()
	if set == nil {
		return
	}
	fleet := p.buildFleet(set, now)
	for _, move := range p.Placer.Place(now, fleet) {
		p.enqueue(ctx, term, move)
	}
}

// buildFleet returns the placer's input: the reports of all agents, overlaid with
// the orders in progress.
func (p *placementLoop) buildFleet(set *catalog.Set, now time.Time) bamboostep.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	objects := set.Objects()
	fleet := bamboostep.Fleet{
		Places:   objects.Places,
		Versions: make(map[string]bamboostep.Version, len(objects.Versions)),
		Models:   objects.Models,
		Adapters: objects.Adapters,
		Demand:   p.totalDemand(now),
	}
	for _, v := range objects.Versions {
		fleet.Versions[v.Name] = v
	}
	for _, place := range objects.Places {
		if place.Kind == bamboostep.EnginePlace {
			fleet.VMs = append(fleet.VMs, p.reports(place.Name, now)...)
		}
	}
	fleet.LoadsInFlight = loadsInFlight(fleet.VMs)
	return fleet
}

// reports returns the last report of each VM of a place that is not leaving. The
// last report of a disconnected VM is used for disconnectedReportMaxAge, so that a
// broken connection alone does not cause moves.
func (p *placementLoop) reports(place string, now time.Time) []bamboostep.Report {
	var out []bamboostep.Report
	for _, s := range p.Servers.Staying(place) {
		r, at := s.Report()
		if at.IsZero() || !s.client.Up() && now.Sub(at) > disconnectedReportMaxAge {
			continue
		}
		out = append(out, p.overlay(r))
	}
	return out
}

// overlay returns r with the orders in progress for its VM shown as loading or
// unloading replicas. mu must be held.
func (p *placementLoop) overlay(r bamboostep.Report) bamboostep.Report {
	replicas := append([]bamboostep.Replica(nil), r.Replicas...)
	for key, order := range p.pending {
		if key.vm != r.VM {
			continue
		}
		replicas, r.ReservedMiB = overlayOrder(replicas, r.ReservedMiB, order)
	}
	r.Replicas = replicas
	return r
}

func overlayOrder(replicas []bamboostep.Replica, reservedMiB int64, o bamboostep.Order) ([]bamboostep.Replica, int64) {
	for i := range replicas {
		if replicas[i].Name != o.Name || replicas[i].Version != o.Version {
			continue
		}
		if o.Kind == bamboostep.UnloadModel || o.Kind == bamboostep.UnloadAdapter {
			replicas[i].State = bamboostep.ReplicaUnloading
		}
		return replicas, reservedMiB
	}
	if o.Kind == bamboostep.UnloadModel || o.Kind == bamboostep.UnloadAdapter {
		return replicas, reservedMiB
	}
	loading := bamboostep.Replica{Name: o.Name, Model: o.Model, Version: o.Version, MiB: o.MiB, State: bamboostep.ReplicaLoading}
	return append(replicas, loading), reservedMiB + o.MiB
}

// loadsInFlight counts the models that are being loaded. Adapters are not counted.
func loadsInFlight(vms []bamboostep.Report) int {
	n := 0
	for _, vm := range vms {
		for _, r := range vm.Replicas {
			if r.State == bamboostep.ReplicaLoading && r.Model == "" {
				n++
			}
		}
	}
	return n
}

// totalDemand sums up the demand that the entries reported within demandMaxAge. mu
// must be held.
func (p *placementLoop) totalDemand(now time.Time) map[string]bamboostep.Demand {
	total := make(map[string]bamboostep.Demand)
	for _, d := range p.demandByEntry {
		if now.Sub(d.at) > demandMaxAge {
			continue
		}
		for _, demand := range d.demand {
			total[demand.Name] = addDemand(total[demand.Name], demand)
		}
	}
	return total
}

func addDemand(a, b bamboostep.Demand) bamboostep.Demand {
	rate := a.RequestRate + b.RequestRate
	late := 0.0
	if rate > 0 {
		late = (a.LateShare*a.RequestRate + b.LateShare*b.RequestRate) / rate
	}
	return bamboostep.Demand{Name: b.Name, RequestRate: rate, TokenRate: a.TokenRate + b.TokenRate, LateShare: late}
}

// enqueue queues an order, unless one for the same replica is pending. The orders
// of a VM are sent one at a time, each after the previous one was accepted:
// concurrent orders could arrive out of order, and the agent rejects those with a
// fencing token lower than the highest it has seen.
func (p *placementLoop) enqueue(ctx context.Context, term uint64, move bamboostep.Move) {
	s := p.Servers.find(move.VM)
	key := keyOf(move)
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, busy := p.pending[key]; s == nil || busy {
		return
	}
	p.pending[key] = move.Order
	waiting, sending := p.queues[move.VM]
	p.queues[move.VM] = append(waiting, queuedMove{term, move})
	p.term = max(p.term, term)
	if !sending {
		go p.sendQueue(ctx, s, move.VM)
	}
}

// queuedMove is a move and the ledger term in which it was chosen.
type queuedMove struct {
	term uint64
	move bamboostep.Move
}

func keyOf(move bamboostep.Move) pendingKey {
	return pendingKey{move.VM, move.Order.Name, move.Order.Version}
}

// sendQueue sends the queued orders of one VM until the queue is empty.
func (p *placementLoop) sendQueue(ctx context.Context, s *remoteServer, vm string) {
	for {
		move, ok := p.dequeue(vm)
		if !ok {
			return
		}
		p.sendOrder(ctx, s, move)
	}
}

// sendOrder sends one order and returns once the agent has accepted or answered
// it.
func (p *placementLoop) sendOrder(ctx context.Context, s *remoteServer, move bamboostep.Move) {
	accepted := p.markSent(move)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		p.sendAndWait(ctx, s, move)
	}()
	select {
	case <-accepted:
	case <-answered:
	}
}

// markSent stores the order with its fencing token as pending, and returns a
// channel that is closed when the agent has accepted it.
func (p *placementLoop) markSent(move bamboostep.Move) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted := make(chan struct{})
	p.acceptedSignals[move.VM] = accepted
	p.pending[keyOf(move)] = move.Order
	return accepted
}

// HandleReport processes an agent's report and removes the pending orders that it
// covers.
func (p *placementLoop) HandleReport(r bamboostep.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, order := range p.pending {
		if key.vm == r.VM && reportCoversOrder(r, order) {
			delete(p.pending, key)
			p.signalAccepted(r.VM)
		}
	}
}

// reportCoversOrder reports whether the agent had accepted the order when it made
// the report.
func reportCoversOrder(r bamboostep.Report, o bamboostep.Order) bool {
	return o.Fence.Term != 0 && !r.Fence.Less(o.Fence)
}

// signalAccepted allows the next order of the VM to be sent. mu must be held.
func (p *placementLoop) signalAccepted(vm string) {
	if accepted := p.acceptedSignals[vm]; accepted != nil {
		close(accepted)
		delete(p.acceptedSignals, vm)
	}
}

// dequeue returns the next move of a VM with a new fencing token. Moves from
// earlier terms are dropped.
func (p *placementLoop) dequeue(vm string) (bamboostep.Move, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queues[vm]) > 0 {
		q := p.queues[vm][0]
		p.queues[vm] = p.queues[vm][1:]
		if q.term == p.term {
			q.move.Order.Fence = p.nextFence()
			return q.move, true
		}
		delete(p.pending, keyOf(q.move))
	}
	delete(p.queues, vm)
	return bamboostep.Move{}, false
}

// nextFence returns the fencing token for the next order. Sequence numbers are not
// reset when the term changes. mu must be held.
func (p *placementLoop) nextFence() bamboostep.FencingToken {
	p.sequence++
	return bamboostep.FencingToken{Term: p.term, Sequence: p.sequence}
}

// sendAndWait sends one order and waits for its answer.
func (p *placementLoop) sendAndWait(ctx context.Context, s *remoteServer, move bamboostep.Move) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	p.recordEvent("order_given", move, "")
	result, err := s.client.Order(ctx, move.Order)
	p.removePending(move)
	code := result.Code
	if err != nil {
		code = "no_answer"
		result.Error = err.Error()
	}
	if code == "" {
		code = "done"
		p.signalMemoryFreed(move.Order)
	}
	p.moveCount.WithLabelValues(string(move.Order.Kind), move.Reason, code).Inc()
	p.recordEvent("order_"+code, move, result.Error)
}

// removePending removes an answered order, unless a newer order for the same
// replica has replaced it.
func (p *placementLoop) removePending(move bamboostep.Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[keyOf(move)].Fence == move.Order.Fence {
		delete(p.pending, keyOf(move))
	}
}

// signalMemoryFreed schedules the next round early if a model was unloaded.
func (p *placementLoop) signalMemoryFreed(o bamboostep.Order) {
	if o.Kind != bamboostep.UnloadModel {
		return
	}
	select {
	case p.memoryFreed <- struct{}{}:
	default:
	}
}

func (p *placementLoop) recordEvent(kind string, move bamboostep.Move, detail string) {
	if detail == "" {
		detail = string(move.Order.Kind) + " for " + move.Reason
	}
	p.Recorder.Record(timeline.Event{Kind: kind, Model: move.Order.Name, VM: move.VM, Term: move.Order.Fence.Term, Detail: detail})
}
