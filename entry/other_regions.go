package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/timeline"
)

// This file opens and closes the connections to agents of other regions that
// roster.VMConnections selects, and answers the queries of other regions about the agents
// of this one.
//
// When a connection is closed, its remoteServer is replaced, so that late messages
// of the old connection are not attributed to the new one.

const (
	// maxHoldersReturned limits how many holders of a model a region returns. Few
	// are enough, since each entry asks for itself and the least loaded come
	// first.
	maxHoldersReturned  = 2
	holderLookupTimeout = 2 * time.Second
)

// holderLookup asks the other regions which of their VMs hold the model. It calls
// onReply for each answer, from any goroutine, and returns when all have answered
// or ctx has ended.
type holderLookup func(ctx context.Context, want roster.SearchTarget, onReply func(region string, vms []string))

// SearchRegions implements regionSearcher.
func (p *serverPool) SearchRegions(place, model string) bool {
	want := roster.SearchTarget{Place: place, Model: model}
	p.mu.Lock()
	defer p.mu.Unlock()
	searching, ask, changes := p.Reach.Search(time.Now(), want)
	p.applyChanges(changes)
	if ask {
		p.Recorder.Record(timeline.Event{Kind: "sought_elsewhere", Model: model, Detail: "place " + place})
	}
	if ask && p.LookupHolders != nil {
		go p.lookUpHolders(want)
	}
	return searching
}

func (p *serverPool) lookUpHolders(want roster.SearchTarget) {
	ctx, cancel := context.WithTimeout(p.ctx, holderLookupTimeout)
	defer cancel()
	p.LookupHolders(ctx, want, func(region string, vms []string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyChanges(p.Reach.AddHolders(time.Now(), want, region, vms))
	})
}

// applyChanges opens and closes connections. mu must be held.
func (p *serverPool) applyChanges(changes []roster.VMChange) {
	for _, c := range changes {
		s := p.servers[c.VM.Name]
		switch {
		case s == nil:
		case c.Open:
			p.connect(s)
		default:
			p.disconnect(s)
		}
	}
}

// disconnect closes the connection to a VM of another region. mu must be held.
func (p *serverPool) disconnect(s *remoteServer) {
	s.stop()
	p.servers[s.vm.Name] = p.newServer(s.vm)
	p.applyTransitions(p.roster.AgentDisconnected(s.vm.Name))
}

// offerOtherRegion runs one attempt on a VM of another region. The connection is
// not closed while the attempt runs.
func (p *serverPool) offerOtherRegion(ctx context.Context, s *remoteServer, offer bamboostep.Offer, startWithin time.Duration, yield func(bamboostep.Answer) error) error {
	if !p.acquire(s) {
		return &bamboostep.AttemptError{Failure: bamboostep.Failure{Attempt: offer.Attempt, Outcome: bamboostep.NotRun,
			Code: "not_connected", Message: "the connection to VM " + s.vm.Name + " was closed"}}
	}
	defer p.release(s)
	return s.client.Offer(ctx, offer, startWithin, yield)
}

func (p *serverPool) acquire(s *remoteServer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[s.vm.Name] == s && p.Reach.Acquire(s.vm.Name)
}

func (p *serverPool) release(s *remoteServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Reach.Release(time.Now(), s.vm.Name)
}

// Holders returns some VMs of the own region, least loaded first, that have the
// model loaded, or that run the services of the place if the model is "".
func (p *serverPool) Holders(want roster.SearchTarget) []string {
	var found []bamboostep.Report
	for _, s := range p.Servers(want.Place) {
		r, _ := s.Report()
		if p.inOwnRegion(s.VM()) && r.Ready && !r.Leaving && hasResident(r, want.Model) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b bamboostep.Report) int {
		return cmp.Or(cmp.Compare(a.Waiting, b.Waiting), cmp.Compare(a.EngineLoad, b.EngineLoad), cmp.Compare(a.VM, b.VM))
	})
	found = found[:min(len(found), maxHoldersReturned)]
	names := make([]string, len(found))
	for i, r := range found {
		names[i] = r.VM
	}
	return names
}

// Connected returns the number of connected agents, either of other regions or of
// the own one.
func (p *serverPool) Connected(otherRegions bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.servers {
		if p.inOwnRegion(s.vm) != otherRegions && s.client.Up() {
			n++
		}
	}
	return n
}

// inOwnRegion reports whether a VM is in this entry's region. Unlike
// roster.VMConnections.IsLocal it does not count all VMs as own on a voter.
func (p *serverPool) inOwnRegion(vm bamboostep.VM) bool {
	return roster.SameRegion(p.Reach.Region, vm.Region)
}

func hasResident(r bamboostep.Report, model string) bool {
	if model == "" {
		return true
	}
	for _, replica := range r.Replicas {
		if replica.Name == model && replica.State == bamboostep.ReplicaResident {
			return true
		}
	}
	return false
}

var _ regionSearcher = (*serverPool)(nil)
