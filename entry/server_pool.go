package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// serverPool is this entry's view of the backend servers: the VMs of the platform's
// list, connections to the agents of those that roster.Reach names, and what each
// last reported.
//
// The roster decides which of them take work. What a request needs is a snapshot
// that is rebuilt when a VM's state changes and read without a lock, so that
// routing never waits for membership.
type serverPool struct {
	Node          *wire.Node
	Platform      bamboostep.Platform
	Recorder      *timeline.Recorder
	Log           *log.Logger
	CurrentSet    func() *catalog.Set        // newest set, or nil
	OnSuspect     func([]bamboostep.Suspect) // crash suspects that agents report
	OnReport      func(bamboostep.Report)    // every report, once Report returns it; may be nil
	Dropped       prometheus.Counter         // pieces of answers that nothing waited for
	Reach         roster.Reach               // which agents to connect to; its exported fields are set before Run
	LookupHolders holderLookup               // asks other regions what they hold; may be nil

	mu             sync.Mutex
	ctx            context.Context // of Run; clients live as long
	roster         roster.Roster
	servers        map[string]*remoteServer // by VM
	drainSent      map[string]bool          // VMs whose agent was told to leave
	revision       uint64                   // newest, for agents that connect later
	listUnreadable bool                     // the platform's list could not be read of late

	snapshot atomic.Pointer[serverSnapshot]
}

// serverSnapshot is immutable.
type serverSnapshot struct {
	accepting map[string][]backendServer // those that take work
	staying   map[string][]*remoteServer // those that do not leave, reached or not

	onlyOtherRegions bool // there are VMs, and all are of other regions
}

const (
	platformInterval = 500 * time.Millisecond
	platformTimeout  = 2 * time.Second
	drainCallTimeout = 2 * time.Second
)

// remoteServer is one backend server, behind its agent.
type remoteServer struct {
	vm         bamboostep.VM
	pool       *serverPool // set if the VM is of another region
	client     *backend.Client
	stop       context.CancelFunc
	lastReport atomic.Pointer[timedReport]
}

type timedReport struct {
	report bamboostep.Report
	at     time.Time
}

// VM implements server.
func (s *remoteServer) VM() bamboostep.VM { return s.vm }

// Report implements server.
func (s *remoteServer) Report() (bamboostep.Report, time.Time) {
	r := s.lastReport.Load()
	if r == nil {
		return bamboostep.Report{VM: s.vm.Name, Place: s.vm.Place, FailureDomain: s.vm.FailureDomain}, time.Time{}
	}
	return r.report, r.at
}

// Offer implements server.
func (s *remoteServer) Offer(ctx context.Context, offer bamboostep.Offer, startWithin time.Duration, yield func(bamboostep.Answer) error) error {
	if s.pool != nil {
		return s.pool.offerOtherRegion(ctx, s, offer, startWithin, yield)
	}
	return s.client.Offer(ctx, offer, startWithin, yield)
}

// Run follows the platform's list until ctx ends.
func (p *serverPool) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	p.servers = make(map[string]*remoteServer)
	p.drainSent = make(map[string]bool)
	p.mu.Unlock()
	t := time.NewTicker(platformInterval)
	defer t.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// poll reads the platform's list. While the list cannot be read, the last one
// stands.
func (p *serverPool) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	vms, err := p.Platform.VMs(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordListState(err)
	if err != nil {
		return
	}
	ts := p.roster.List(vms)
	now := time.Now()
	for _, m := range p.roster.Members() {
		p.ensureServer(m.VM)
		p.applyChanges(p.Reach.Add(now, m.VM))
	}
	p.applyChanges(p.Reach.Tick(now))
	p.applyTransitions(ts)
	p.rebuildSnapshot()
}

// noteList records when the platform's list stops being readable, and when it is
// again. mu is held.
func (p *serverPool) recordListState(err error) {
	lost := err != nil
	if lost == p.listUnreadable {
		return
	}
	p.listUnreadable = lost
	if lost {
		p.Recorder.Record(timeline.Event{Kind: "platform_list_lost", Detail: err.Error()})
		return
	}
	p.Recorder.Record(timeline.Event{Kind: "platform_list_read"})
}

// ensureServer makes the backend server of a VM, anew if the VM has another address
// or region. mu is held.
func (p *serverPool) ensureServer(vm bamboostep.VM) {
	s := p.servers[vm.Name]
	if s != nil && s.vm.Address == vm.Address && s.vm.Region == vm.Region {
		return
	}
	if s != nil {
		s.stop()
	}
	p.servers[vm.Name] = p.newServer(vm)
	if p.Reach.Holds(vm.Name) {
		p.connect(p.servers[vm.Name])
	}
}

// newServer returns a backend server that is not connected.
func (p *serverPool) newServer(vm bamboostep.VM) *remoteServer {
	s := &remoteServer{vm: vm, stop: func() {}}
	if !p.Reach.Own(vm) {
		s.pool = p
	}
	s.client = &backend.Client{
		Node:      p.Node,
		VM:        vm,
		Recorder:  p.Recorder,
		OnReport:  func(r bamboostep.Report) { p.handleReport(s, r) },
		OnSuspect: p.OnSuspect,
		OnUp:      func() { p.handleUp(s) },
		OnDown:    func() { p.handleDown(s) },
		Dropped:   p.Dropped,
	}
	return s
}

func (p *serverPool) connect(s *remoteServer) {
	ctx, stop := context.WithCancel(p.ctx)
	s.stop = stop
	go s.client.Run(ctx)
}

func (p *serverPool) handleReport(s *remoteServer, r bamboostep.Report) {
	s.lastReport.Store(&timedReport{r, time.Now()})
	if p.OnReport != nil {
		p.OnReport(r)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[s.vm.Name] == s {
		p.Reach.Reported(s.vm.Name)
		p.applyTransitions(p.roster.Says(s.vm.Name, r.Leaving))
	}
}

func (p *serverPool) handleUp(s *remoteServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[s.vm.Name] != s {
		return
	}
	s.client.SetRevision(p.revision)
	if p.roster.Told(s.vm.Name) {
		p.sendDrain(s, true)
	}
	p.applyTransitions(p.roster.Reached(s.vm.Name))
}

func (p *serverPool) handleDown(s *remoteServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[s.vm.Name] == s {
		p.applyTransitions(p.roster.Lost(s.vm.Name))
	}
}

// SetDrained takes the operators' drains from the ledger.
func (p *serverPool) SetDrained(vms []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyTransitions(p.roster.Drain(vms))
}

// SetRevision tells every agent which revision is in force.
func (p *serverPool) SetRevision(n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = max(p.revision, n)
	for _, s := range p.servers {
		s.client.SetRevision(p.revision)
	}
}

// apply acts on what the roster decided: it drops the clients of VMs that are
// gone, tells agents that their VM leaves, and rebuilds the snapshot. mu is held.
func (p *serverPool) applyTransitions(ts []roster.Transition) {
	for _, t := range ts {
		p.Recorder.Record(timeline.Event{Kind: "member_changed", VM: t.VM.Name, Detail: fmt.Sprintf("%s to %s", t.From, t.To)})
		if t.To == roster.Gone {
			p.removeServer(t.VM.Name)
		}
	}
	p.sendDrainStates()
	if len(ts) > 0 {
		p.rebuildSnapshot()
	}
}

func (p *serverPool) removeServer(vm string) {
	s := p.servers[vm]
	if s == nil {
		return
	}
	s.stop()
	p.Reach.Remove(vm)
	delete(p.servers, vm)
	delete(p.drainSent, vm)
}

// tellLeaving passes the platform's and the operators' word on to the agents, so
// that they refuse the offers of entries that have not heard it.
func (p *serverPool) sendDrainStates() {
	for name, s := range p.servers {
		leaving := p.roster.Told(name)
		if leaving == p.drainSent[name] {
			continue
		}
		p.drainSent[name] = leaving
		if p.Reach.Holds(name) {
			p.sendDrain(s, leaving)
		}
	}
}

func (p *serverPool) sendDrain(s *remoteServer, leaving bool) {
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, drainCallTimeout)
		defer cancel()
		if err := s.client.Drain(ctx, leaving); err != nil {
			p.Log.Warn("drain_not_delivered", "vm", s.vm.Name, "error", err)
		}
	}()
}

func (p *serverPool) rebuildSnapshot() {
	snap := &serverSnapshot{
		accepting: make(map[string][]backendServer),
		staying:   make(map[string][]*remoteServer),
	}
	own := 0
	for _, m := range p.roster.Members() {
		s := p.servers[m.VM.Name]
		if s == nil {
			continue
		}
		if s.pool == nil {
			own++
		}
		if m.Stays() {
			snap.staying[m.VM.Place] = append(snap.staying[m.VM.Place], s)
		}
		if m.TakesWork() {
			snap.accepting[m.VM.Place] = append(snap.accepting[m.VM.Place], s)
		}
	}
	snap.onlyOtherRegions = own == 0 && len(snap.staying) > 0
	p.snapshot.Store(snap)
}

// Set implements fleet.
func (p *serverPool) Set() *catalog.Set { return p.CurrentSet() }

// Servers implements fleet.
func (p *serverPool) Servers(place string) []backendServer {
	snap := p.snapshot.Load()
	if snap == nil {
		return nil
	}
	return snap.accepting[place]
}

// Staying returns the backend servers of a place that do not leave, whether they
// can be reached now or not.
func (p *serverPool) Staying(place string) []*remoteServer {
	snap := p.snapshot.Load()
	if snap == nil {
		return nil
	}
	return snap.staying[place]
}

// AnyReached reports whether any VM takes work. VMs of other regions, which are
// connected to when they are needed, count where the list has none of the own.
func (p *serverPool) AnyAvailable() bool {
	snap := p.snapshot.Load()
	return snap != nil && (len(snap.accepting) > 0 || snap.onlyOtherRegions)
}

// poolMember is one VM with its backend server.
type poolMember struct {
	roster.Member
	server    *remoteServer
	connected bool // or to be; not so for most VMs of other regions
}

// Members returns every known VM, by name.
func (p *serverPool) Members() []poolMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []poolMember
	for _, m := range p.roster.Members() {
		out = append(out, poolMember{m, p.servers[m.VM.Name], p.Reach.Holds(m.VM.Name)})
	}
	return out
}

// Timeline collects the events that the agents of the own region keep. An agent that
// does not answer in time is left out.
func (p *serverPool) Timeline(ctx context.Context, q timeline.Query) [][]timeline.Event {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	members := slices.DeleteFunc(p.Members(), func(m poolMember) bool { return !p.inOwnRegion(m.VM) })
	return collectEvents(len(members), func(add func([]timeline.Event), wg *sync.WaitGroup) {
		for _, m := range members {
			wg.Go(func() {
				events, err := m.server.client.Timeline(ctx, q)
				if err == nil {
					add(events)
				}
			})
		}
	})
}

var (
	_ fleet         = (*serverPool)(nil)
	_ backendServer = (*remoteServer)(nil)
)

// find returns the backend server on the named VM, or nil.
func (p *serverPool) find(vm string) *remoteServer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[vm]
}
