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

// serverPool tracks the backend servers: the VMs of the platform's list, the
// connections to the agents that roster.VMConnections selects, and the last report of
// each.
//
// The roster decides which VMs accept work. Requests read an immutable snapshot
// without locking, so that routing never waits for membership changes. The
// snapshot is rebuilt when the state of a VM changes.
type serverPool struct {
	Node          *wire.Node
	Platform      bamboostep.Platform
	Recorder      *timeline.Recorder
	Log           *log.Logger
	CurrentSet    func() *catalog.Set        // active configuration, or nil
	OnSuspect     func([]bamboostep.Suspect) // called with the crash suspects that agents report
	OnReport      func(bamboostep.Report)    // called with every report, after Report returns it; may be nil
	Dropped       prometheus.Counter         // counts pieces of answers that no attempt was waiting for
	Reach         roster.VMConnections       // selects the agents to connect to; set its exported fields before Run
	LookupHolders holderLookup               // asks other regions for holders of a model; may be nil

	mu             sync.Mutex
	ctx            context.Context // of Run; the clients run until it ends
	roster         roster.Roster
	servers        map[string]*remoteServer // by VM
	drainSent      map[string]bool          // by VM; whether the agent was told that its VM leaves
	revision       uint64                   // newest revision, sent to agents when they connect
	listUnreadable bool                     // the last attempt to read the platform's list failed

	snapshot atomic.Pointer[serverSnapshot]
}

// serverSnapshot is immutable once published.
type serverSnapshot struct {
	accepting map[string][]backendServer // by place; VMs that accept work
	staying   map[string][]*remoteServer // by place; VMs that are not leaving, whether reachable or not

	onlyOtherRegions bool // there are VMs, but none in the own region
}

const (
	platformInterval = 500 * time.Millisecond
	platformTimeout  = 2 * time.Second
	drainCallTimeout = 2 * time.Second
)

// remoteServer is a backend server that is reached through its agent.
type remoteServer struct {
	vm         bamboostep.VM
	pool       *serverPool // set if the VM is in another region
	client     *backend.Client
	stop       context.CancelFunc
	lastReport atomic.Pointer[timedReport]
}

type timedReport struct {
	report bamboostep.Report
	at     time.Time
}

// VM implements backendServer.
func (s *remoteServer) VM() bamboostep.VM { return s.vm }

// Report implements backendServer.
func (s *remoteServer) Report() (bamboostep.Report, time.Time) {
	r := s.lastReport.Load()
	if r == nil {
		return bamboostep.Report{VM: s.vm.Name, Place: s.vm.Place, FailureDomain: s.vm.FailureDomain}, time.Time{}
	}
	return r.report, r.at
}

// Offer implements backendServer.
func (s *remoteServer) Offer(ctx context.Context, offer bamboostep.Offer, startWithin time.Duration, yield func(bamboostep.Answer) error) error {
	if s.pool != nil {
		return s.pool.offerOtherRegion(ctx, s, offer, startWithin, yield)
	}
	return s.client.Offer(ctx, offer, startWithin, yield)
}

// Run polls the platform's list of VMs until ctx ends.
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

// poll reads the platform's list. If that fails, the previous list stays in use.
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
	transitions := p.roster.ApplyList(vms)
	now := time.Now()
	for _, m := range p.roster.Members() {
		p.ensureServer(m.VM)
		p.applyChanges(p.Reach.Add(now, m.VM))
	}
	p.applyChanges(p.Reach.Tick(now))
	p.applyTransitions(transitions)
	p.rebuildSnapshot()
}

// recordListState records when the platform's list becomes unreadable and when it
// is readable again. mu must be held.
func (p *serverPool) recordListState(err error) {
	unreadable := err != nil
	if unreadable == p.listUnreadable {
		return
	}
	p.listUnreadable = unreadable
	if unreadable {
		p.Recorder.Record(timeline.Event{Kind: "platform_list_lost", Detail: err.Error()})
		return
	}
	p.Recorder.Record(timeline.Event{Kind: "platform_list_read"})
}

// ensureServer creates the remoteServer of a VM, or replaces it if the VM's
// address or region changed. mu must be held.
func (p *serverPool) ensureServer(vm bamboostep.VM) {
	s := p.servers[vm.Name]
	if s != nil && s.vm.Address == vm.Address && s.vm.Region == vm.Region {
		return
	}
	if s != nil {
		s.stop()
	}
	p.servers[vm.Name] = p.newServer(vm)
	if p.Reach.IsOpen(vm.Name) {
		p.connect(p.servers[vm.Name])
	}
}

// newServer returns a remoteServer without a connection.
func (p *serverPool) newServer(vm bamboostep.VM) *remoteServer {
	s := &remoteServer{vm: vm, stop: func() {}}
	if !p.Reach.IsLocal(vm) {
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
		p.Reach.MarkReported(s.vm.Name)
		p.applyTransitions(p.roster.SetAgentLeaving(s.vm.Name, r.Leaving))
	}
}

func (p *serverPool) handleUp(s *remoteServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[s.vm.Name] != s {
		return
	}
	s.client.SetRevision(p.revision)
	if p.roster.MarkedLeaving(s.vm.Name) {
		p.sendDrain(s, true)
	}
	p.applyTransitions(p.roster.AgentConnected(s.vm.Name))
}

func (p *serverPool) handleDown(s *remoteServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.servers[s.vm.Name] == s {
		p.applyTransitions(p.roster.AgentDisconnected(s.vm.Name))
	}
}

// SetDrained sets the VMs that operators have drained, as recorded in the ledger.
func (p *serverPool) SetDrained(vms []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyTransitions(p.roster.SetDrained(vms))
}

// SetRevision sends the active revision to all agents.
func (p *serverPool) SetRevision(n uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = max(p.revision, n)
	for _, s := range p.servers {
		s.client.SetRevision(p.revision)
	}
}

// applyTransitions acts on changes of the roster: it removes VMs that are gone,
// tells agents that their VM leaves, and rebuilds the snapshot. mu must be held.
func (p *serverPool) applyTransitions(transitions []roster.Transition) {
	for _, t := range transitions {
		p.Recorder.Record(timeline.Event{Kind: "member_changed", VM: t.VM.Name, Detail: fmt.Sprintf("%s to %s", t.From, t.To)})
		if t.To == roster.Gone {
			p.removeServer(t.VM.Name)
		}
	}
	p.sendDrainStates()
	if len(transitions) > 0 {
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

// sendDrainStates tells agents that the platform or an operator removes their VM,
// so that they also refuse the attempts of entries that do not know yet. mu must
// be held.
func (p *serverPool) sendDrainStates() {
	for name, s := range p.servers {
		leaving := p.roster.MarkedLeaving(name)
		if leaving == p.drainSent[name] {
			continue
		}
		p.drainSent[name] = leaving
		if p.Reach.IsOpen(name) {
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

// Staying returns the backend servers of a place that are not leaving, whether
// reachable or not.
func (p *serverPool) Staying(place string) []*remoteServer {
	snap := p.snapshot.Load()
	if snap == nil {
		return nil
	}
	return snap.staying[place]
}

// AnyAvailable reports whether any VM accepts work. If the list has no VM of the
// own region, VMs of other regions count too, although they are connected only
// when needed.
func (p *serverPool) AnyAvailable() bool {
	snap := p.snapshot.Load()
	return snap != nil && (len(snap.accepting) > 0 || snap.onlyOtherRegions)
}

// poolMember is a VM and its backend server.
type poolMember struct {
	roster.Member
	server    *remoteServer
	connected bool // connected or being connected; false for most VMs of other regions
}

// Members returns every known VM, sorted by name.
func (p *serverPool) Members() []poolMember {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []poolMember
	for _, m := range p.roster.Members() {
		out = append(out, poolMember{m, p.servers[m.VM.Name], p.Reach.IsOpen(m.VM.Name)})
	}
	return out
}

// Timeline collects the matching events of the agents of the own region. Agents
// that do not answer in time are left out.
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
