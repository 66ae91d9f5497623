package main

import (
	"context"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/operator"
	"github.com/bamboostep/bamboostep/roster"
)

const (
	statusTimeout = time.Second
	fleetTimeout  = 2 * time.Second
)

// status returns the state of the system as this entry sees it. It asks the other
// entries for their revision and counts those that do not answer as unreachable.
func (e *entry) status() operator.Status {
	name, term, _ := e.leader()
	s := operator.Status{
		Entry:    e.cfg.Name,
		Revision: e.revision(),
		ProvenAt: e.feed.ProvenAt(),
		Leader:   name,
		Term:     term,
	}
	for _, m := range e.client.State().Members() {
		reachable := m.Name == e.cfg.Name || e.peers.Reachable(m.Name)
		s.Voters = append(s.Voters, operator.VoterStatus{Name: m.Name, Reachable: reachable})
	}
	fleet, ok := e.globalFleetStatus()
	if !ok {
		fleet = e.fleetStatus()
	}
	s.Entries, s.VMs, s.Models = fleet.Entries, fleet.VMs, fleet.Models
	return s
}

// fleetStatus is the state of the entries and VMs and of the models they hold.
type fleetStatus struct {
	Entries []operator.EntryStatus `json:"entries"`
	VMs     []operator.VMStatus    `json:"vms"`
	Models  []operator.ModelStatus `json:"models"`
}

// fleetStatus returns the state of the fleet as this entry sees it.
func (e *entry) fleetStatus() fleetStatus {
	f := fleetStatus{Entries: e.entryStatus()}
	members := e.servers.Members()
	drained := e.drainedVMs()
	for _, m := range members {
		f.VMs = append(f.VMs, vmStatus(m, slices.Contains(drained, m.VM.Name)))
	}
	if set := e.feed.Set(); set != nil {
		f.Models = modelStatus(set, members)
	}
	return f
}

// globalFleetStatus asks a voter for the state of the fleet, since voters are
// connected to the agents of all regions. It returns false if this entry is a
// voter itself, if no regions are declared, or if no voter answers.
func (e *entry) globalFleetStatus() (fleetStatus, bool) {
	if e.cfg.DataDir != "" || e.cfg.Region == "" {
		return fleetStatus{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	defer cancel()
	for _, m := range e.client.State().Members() {
		if f, err := e.peers.Fleet(ctx, m.Name); err == nil {
			return f, true
		}
	}
	return fleetStatus{}, false
}

func (e *entry) drainedVMs() []string {
	if s := e.client.State(); s != nil {
		return s.Drains()
	}
	return nil
}

func (e *entry) entryStatus() []operator.EntryStatus {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	revisions := e.peers.Revisions(ctx)
	revisions[e.cfg.Name] = e.revision()
	var out []operator.EntryStatus
	for _, p := range e.cfg.Peers {
		revision, ok := revisions[p.Name]
		out = append(out, operator.EntryStatus{Name: p.Name, Reachable: ok, Revision: revision})
	}
	return out
}

func vmStatus(m poolMember, drained bool) operator.VMStatus {
	r, _ := m.server.Report()
	return operator.VMStatus{
		Name:          m.VM.Name,
		Place:         m.VM.Place,
		FailureDomain: m.VM.FailureDomain,
		Region:        m.VM.Region,
		State:         vmState(m, r.Ready, drained),
		MemoryMiB:     r.MemoryMiB,
		ReservedMiB:   r.ReservedMiB,
		HeldMiB:       r.UsedMiB,
		Running:       r.Running,
		Waiting:       r.Waiting,
		Revision:      r.Revision,
	}
}

func vmState(m poolMember, ready, drained bool) operator.VMState {
	switch {
	case !m.connected:
		return operator.VMElsewhere
	case m.State == roster.Unreached || m.State == roster.Left:
		return operator.VMUnreachable
	case drained:
		return operator.VMDrained
	case !m.TakesWork():
		return operator.VMLeaving
	case !ready:
		return operator.VMNotReady
	}
	return operator.VMReady
}

// modelStatus lists every declared model and adapter with its copies on the VMs.
func modelStatus(set *catalog.Set, members []poolMember) []operator.ModelStatus {
	copies := make(map[string][]operator.CopyStatus)
	for _, m := range members {
		if m.State == roster.Unreached || m.State == roster.Left {
			continue
		}
		r, _ := m.server.Report()
		for _, replica := range r.Replicas {
			copies[replica.Name] = append(copies[replica.Name], copyStatus(m.VM, replica, r.Ready && m.TakesWork()))
		}
	}
	var out []operator.ModelStatus
	for _, m := range set.Objects().Models {
		out = append(out, operator.ModelStatus{
			Kind: catalog.KindModel, Name: m.Name, Place: m.Place, Wanted: m.MinCopies, Copies: copies[m.Name],
		})
	}
	for _, a := range set.Objects().Adapters {
		base, _ := set.Model(a.Model)
		out = append(out, operator.ModelStatus{
			Kind: catalog.KindAdapter, Name: a.Name, Place: base.Place, Copies: copies[a.Name],
		})
	}
	return out
}

func copyStatus(vm bamboostep.VM, r bamboostep.Replica, ready bool) operator.CopyStatus {
	return operator.CopyStatus{VM: vm.Name, FailureDomain: vm.FailureDomain, Version: r.Version, State: r.State, Ready: ready}
}
