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

// The leader's placement loop. Once a round the placer is asked for moves, and
// each becomes an order to one agent under a fence of the ledger's term and a
// sequence number. The placer is pure and keeps no orders: what is on its way is
// shown to it as a replica that loads or unloads. A leader that has lost its
// quorum stops at the next round; orders of its that are still on their way are
// refused by agents that have seen the next leader's term.
//
// The hard point is an order that is long in being answered, or never is. Once a
// report of its agent shows its fence, the agent has taken it up, and from then on
// the report is the truth about the replica, whatever becomes of the answer: the
// order is laid over reports no more, and the next one goes out.

const (
	roundInterval            = time.Second
	orderTimeout             = 60 * time.Second
	demandMaxAge             = 5 * time.Second
	disconnectedReportMaxAge = 4 * time.Second
	memoryFreedDelay         = 250 * time.Millisecond // until a report shows the memory that an unload freed
)

// placement runs the placer while this entry leads. Set the exported fields
// before Run.
type placementLoop struct {
	Name       string
	Placer     bamboostep.Placer
	Servers    *serverPool
	Set        func() *catalog.Set
	Leader     func() (name string, term uint64, self bool)
	Demand     func() []bamboostep.Demand // this entry's own
	SendDemand func(leader string, demand []bamboostep.Demand)
	Recorder   *timeline.Recorder
	Log        *log.Logger
	Registry   prometheus.Registerer

	mu              sync.Mutex
	demandByEntry   map[string]timedDemand // by entry
	pending         map[pendingKey]bamboostep.Order
	queues          map[string][]queuedMove  // by VM; there while its orders are being sent
	acceptedSignals map[string]chan struct{} // by VM: closed when the order that goes out is taken up
	term            uint64
	sequence        uint64
	moveCount       *prometheus.CounterVec
	memoryFreed     chan struct{} // a model was unloaded, so that a load may be waiting for its memory
}

type timedDemand struct {
	demand []bamboostep.Demand
	at     time.Time
}

type pendingKey struct{ vm, name, version string }

// NoteDemand takes another entry's demand.
func (p *placementLoop) RecordDemand(entry string, demand []bamboostep.Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.demandByEntry == nil {
		p.demandByEntry = make(map[string]timedDemand)
	}
	p.demandByEntry[entry] = timedDemand{demand, time.Now()}
}

// Run places until ctx ends.
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

// fleet is what the placer may look at: what the agents reported, with the
// orders on their way laid over it.
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
	fleet.InFlight = loadsInFlight(fleet.VMs)
	return fleet
}

// reports returns the last report of each VM of a place that stays. A VM that
// cannot be reached counts as it last was for a while, so that a broken connection
// alone moves nothing.
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

// overlay returns r with the orders on their way to its VM shown as replicas that
// load or unload. mu is held.
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

// totalDemand adds up what the entries reported of late. mu is held.
func (p *placementLoop) totalDemand(now time.Time) map[string]bamboostep.Demand {
	total := make(map[string]bamboostep.Demand)
	for _, d := range p.demandByEntry {
		if now.Sub(d.at) > demandMaxAge {
			continue
		}
		for _, one := range d.demand {
			total[one.Name] = addDemand(total[one.Name], one)
		}
	}
	return total
}

func addDemand(a, b bamboostep.Demand) bamboostep.Demand {
	rate := a.Rate + b.Rate
	late := 0.0
	if rate > 0 {
		late = (a.LateShare*a.Rate + b.LateShare*b.Rate) / rate
	}
	return bamboostep.Demand{Name: b.Name, Rate: rate, Work: a.Work + b.Work, LateShare: late}
}

// give queues one order, unless one for the same replica is on its way. The orders
// of one VM go out one after another, each once the one before has been taken up:
// sent side by side they would arrive in any order, and the agent refuses all but
// the highest fence it has seen.
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

// queuedMove is a move on its way to its VM, and the term that it was chosen in.
type queuedMove struct {
	term uint64
	move bamboostep.Move
}

func keyOf(move bamboostep.Move) pendingKey {
	return pendingKey{move.VM, move.Order.Name, move.Order.Version}
}

// sendQueue sends the orders of one VM until none is left.
func (p *placementLoop) sendQueue(ctx context.Context, s *remoteServer, vm string) {
	for {
		move, ok := p.dequeue(vm)
		if !ok {
			return
		}
		p.sendOrder(ctx, s, move)
	}
}

// send sends one order and returns once its agent has taken it up or answered it.
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

// begin notes the fence of an order that goes out now, and returns a channel that
// is closed when its agent has taken it up.
func (p *placementLoop) markSent(move bamboostep.Move) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted := make(chan struct{})
	p.acceptedSignals[move.VM] = accepted
	p.pending[keyOf(move)] = move.Order
	return accepted
}

// NoteReport takes an agent's report: orders that it covers are on their way no
// more.
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

// covers reports whether the agent had taken up the order when it made the report.
func reportCoversOrder(r bamboostep.Report, o bamboostep.Order) bool {
	return o.Fence.Term != 0 && !r.Fence.Less(o.Fence)
}

// noteTakenUp lets the next order of the VM go out. mu is held.
func (p *placementLoop) signalAccepted(vm string) {
	if accepted := p.acceptedSignals[vm]; accepted != nil {
		close(accepted)
		delete(p.acceptedSignals, vm)
	}
}

// nextMove takes the next move of a VM and gives it its fence. Moves of a term that
// is over are dropped.
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

// nextFence returns the fence of the next order. Sequence numbers go on from one
// term to the next. mu is held.
func (p *placementLoop) nextFence() bamboostep.Fence {
	p.sequence++
	return bamboostep.Fence{Term: p.term, Sequence: p.sequence}
}

// await sends one order and waits for its answer.
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

// forget notes that an order is on its way no more. Another for its replica may
// be already.
func (p *placementLoop) removePending(move bamboostep.Move) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending[keyOf(move)].Fence == move.Order.Fence {
		delete(p.pending, keyOf(move))
	}
}

// noteFreed has the next round come soon after a model was unloaded.
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
