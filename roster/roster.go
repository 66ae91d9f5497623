// Package roster tracks the VMs of the system as an entry sees them: which VMs exist, which
// are reachable and which are leaving. It also decides to which VMs and entries an entry
// keeps connections (VMConnections, PeerConnections).
//
// Three sources can mark a VM as leaving: the platform's list, the reports of the VM's
// agent, and the operators' drains. One of them is enough, because each may lag or be
// unreachable. The lifecycle of a VM is the state chart in member.toml; Roster translates
// the input of the sources to its events. Roster is a pure state machine without clock,
// locks or I/O: the caller serializes all calls and acts on the transitions returned.
package roster

import (
	_ "embed"
	"maps"
	"slices"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

//go:embed member.toml
var memberChart []byte

var memberLifecycle = chart.MustParse(memberChart)

// The states of a member that other packages use.
const (
	Unreached chart.State = "unreached" // in the list, without a connection to its agent
	Live      chart.State = "live"      // connected and not leaving
	Unlisted  chart.State = "unlisted"  // connected, but missing from the list
	Leaving   chart.State = "leaving"   // connected and leaving
	Retiring  chart.State = "retiring"  // connected, leaving and missing from the list
	Left      chart.State = "left"      // leaving, without a connection to its agent
	Gone      chart.State = "gone"      // neither in the list nor connected; final
)

// Member is a VM and its state.
type Member struct {
	VM    bamboostep.VM
	State chart.State
}

// TakesWork reports whether the member may be given new requests.
func (m Member) TakesWork() bool { return m.State == Live || m.State == Unlisted }

// Stays reports whether the member is not leaving, whether or not it is connected.
func (m Member) Stays() bool { return m.TakesWork() || m.State == Unreached }

// Transition is a change of a member's state.
type Transition struct {
	VM       bamboostep.VM
	From, To chart.State
}

// Roster is the set of members. The zero value is empty and ready to use.
type Roster struct {
	members map[string]*member
	drained map[string]bool // VMs that operators drain, including VMs that are not members
}

type member struct {
	vm            bamboostep.VM
	state         chart.State
	listed        bool // in the latest list
	listedLeaving bool // marked as leaving in the last list that contained the VM
	agentLeaving  bool // reported as leaving by its agent
}

// ApplyList takes the platform's complete list of VMs. It adds new VMs as members and marks
// members that are missing from the list as unlisted.
func (r *Roster) ApplyList(vms []bamboostep.VM) []Transition {
	var out []Transition
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		seen[vm.Name] = true
		out = append(out, r.addListed(vm)...)
	}
	for _, name := range r.names() {
		if !seen[name] {
			out = append(out, r.unlist(name)...)
		}
	}
	return out
}

func (r *Roster) addListed(vm bamboostep.VM) []Transition {
	m := r.members[vm.Name]
	if m == nil {
		m = &member{state: memberLifecycle.Initial(), listed: true}
		if r.members == nil {
			r.members = make(map[string]*member)
		}
		r.members[vm.Name] = m
	}
	before := r.isLeaving(vm.Name)
	m.vm = vm
	m.listedLeaving = vm.State == bamboostep.VMLeaving
	var out []Transition
	if !m.listed {
		m.listed = true
		out = r.step(m, "list", out)
	}
	return r.updateLeaving(m, before, out)
}

func (r *Roster) unlist(name string) []Transition {
	m := r.members[name]
	if !m.listed {
		return nil
	}
	m.listed = false
	return r.step(m, "unlist", nil)
}

// AgentConnected records that a connection to the VM's agent was opened.
func (r *Roster) AgentConnected(name string) []Transition {
	m := r.members[name]
	if m == nil || m.state != Unreached && m.state != Left {
		return nil
	}
	return r.step(m, "reached", nil)
}

// AgentDisconnected records that the connection to the VM's agent ended.
func (r *Roster) AgentDisconnected(name string) []Transition {
	m := r.members[name]
	if m == nil || m.state == Unreached || m.state == Left {
		return nil
	}
	return r.step(m, "lost", nil)
}

// SetAgentLeaving records whether the VM's agent reports the VM as leaving.
func (r *Roster) SetAgentLeaving(name string, leaving bool) []Transition {
	m := r.members[name]
	if m == nil || m.agentLeaving == leaving {
		return nil
	}
	before := r.isLeaving(name)
	m.agentLeaving = leaving
	return r.updateLeaving(m, before, nil)
}

// SetDrained replaces the set of VMs that operators drain.
func (r *Roster) SetDrained(names []string) []Transition {
	before := make(map[string]bool, len(r.members))
	for name := range r.members {
		before[name] = r.isLeaving(name)
	}
	r.drained = make(map[string]bool, len(names))
	for _, name := range names {
		r.drained[name] = true
	}
	var out []Transition
	for _, name := range r.names() {
		out = r.updateLeaving(r.members[name], before[name], out)
	}
	return out
}

// Members returns all members, sorted by name.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, name := range r.names() {
		m := r.members[name]
		out = append(out, Member{m.vm, m.state})
	}
	return out
}

// Member returns the named member, and false if there is none.
func (r *Roster) Member(name string) (Member, bool) {
	m := r.members[name]
	if m == nil {
		return Member{}, false
	}
	return Member{m.vm, m.state}, true
}

// MarkedLeaving reports whether the platform's list or an operator's drain marks the VM as leaving.
// Its agent cannot observe these two sources itself.
func (r *Roster) MarkedLeaving(name string) bool {
	m := r.members[name]
	return m != nil && (m.listedLeaving || r.drained[name])
}

// isLeaving reports whether any of the three sources marks the VM as leaving.
func (r *Roster) isLeaving(name string) bool {
	return r.members[name].agentLeaving || r.MarkedLeaving(name)
}

// updateLeaving applies the "leave" or "stay" event if the VM's leaving mark changed, and
// appends the transition to out. before is the mark before the change of the sources.
func (r *Roster) updateLeaving(m *member, before bool, out []Transition) []Transition {
	after := r.isLeaving(m.vm.Name)
	if after == before {
		// A VM that is listed for the first time while it is drained has not changed its
		// mark, but its state does not reflect the mark yet.
		if !after || m.state == Leaving || m.state == Retiring || m.state == Left {
			return out
		}
	}
	if after {
		return r.step(m, "leave", out)
	}
	return r.step(m, "stay", out)
}

// step applies an event to m, appends the transition to out, and removes m if its new state
// is final. An event that the state does not list is ignored.
func (r *Roster) step(m *member, e chart.Event, out []Transition) []Transition {
	from := m.state
	next, err := memberLifecycle.Next(from, e)
	if err != nil || next == from {
		return out
	}
	m.state = next
	if memberLifecycle.Final(next) {
		delete(r.members, m.vm.Name)
	}
	return append(out, Transition{m.vm, from, next})
}

// names returns the names of all members, sorted.
func (r *Roster) names() []string { return slices.Sorted(maps.Keys(r.members)) }
