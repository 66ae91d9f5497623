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

// This file carries out what roster.Reach decides about the agents of other
// regions, and answers other regions' questions about the agents of this one.
//
// A connection that is closed is forgotten with its last report: the backend
// server is made anew, so that nothing late from the old connection is taken for
// news of it.

const (
	// holdersTold bounds how many holders of one model a region names. Few are
	// enough, since each entry asks for itself and the least loaded come first.
	maxHoldersReturned  = 2
	holderLookupTimeout = 2 * time.Second
)

// directory asks the other regions which of their VMs hold what is wanted. It
// calls told for each that answers, from any goroutine, and returns once all have
// answered or ctx has ended.
type holderLookup func(ctx context.Context, w roster.Want, told func(region string, vms []string))

// Seek implements seeker.
func (p *serverPool) SearchRegions(place, model string) bool {
	w := roster.Want{Place: place, Model: model}
	p.mu.Lock()
	defer p.mu.Unlock()
	searching, ask, changes := p.Reach.Seek(time.Now(), w)
	p.applyChanges(changes)
	if ask {
		p.Recorder.Record(timeline.Event{Kind: "sought_elsewhere", Model: model, Detail: "place " + place})
	}
	if ask && p.LookupHolders != nil {
		go p.lookUpHolders(w)
	}
	return searching
}

func (p *serverPool) lookUpHolders(w roster.Want) {
	ctx, cancel := context.WithTimeout(p.ctx, holderLookupTimeout)
	defer cancel()
	p.LookupHolders(ctx, w, func(region string, vms []string) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyChanges(p.Reach.Known(time.Now(), w, region, vms))
	})
}

// change opens and closes connections. mu is held.
func (p *serverPool) applyChanges(changes []roster.Change) {
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

// disconnect ends the connection to a VM of another region. mu is held.
func (p *serverPool) disconnect(s *remoteServer) {
	s.stop()
	p.servers[s.vm.Name] = p.newServer(s.vm)
	p.applyTransitions(p.roster.Lost(s.vm.Name))
}

// offerElsewhere runs one attempt at a VM of another region, whose connection
// stays while the attempt is on it.
func (p *serverPool) offerOtherRegion(ctx context.Context, s *remoteServer, offer bamboostep.Offer, startWithin time.Duration, yield func(bamboostep.Answer) error) error {
	if !p.acquire(s) {
		return &bamboostep.FailedError{Failure: bamboostep.Failure{Attempt: offer.Attempt, Outcome: bamboostep.NotRun,
			Code: "not_connected", Message: "the connection to VM " + s.vm.Name + " was closed"}}
	}
	defer p.release(s)
	return s.client.Offer(ctx, offer, startWithin, yield)
}

func (p *serverPool) acquire(s *remoteServer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers[s.vm.Name] == s && p.Reach.Use(s.vm.Name)
}

func (p *serverPool) release(s *remoteServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Reach.Done(time.Now(), s.vm.Name)
}

// Holders returns the VMs of this entry's region that can run a model now, or that
// run the services of a place if the model is "": the least loaded, and few.
func (p *serverPool) Holders(w roster.Want) []string {
	var found []bamboostep.Report
	for _, s := range p.Servers(w.Place) {
		r, _ := s.Report()
		if p.inOwnRegion(s.VM()) && r.Ready && !r.Leaving && hasResident(r, w.Model) {
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

// Connected returns the number of agents that are connected, of other regions or of
// this entry's own.
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

// isOfRegion reports whether a VM is of this entry's region, also where the entry
// connects to those of all.
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
