// Package roster holds the membership of the system: which VMs there are, which
// can be reached and which are leaving.
//
// Three sources say that a VM leaves: the platform's list, the agent's own word
// in its reports, and the operators' drains. Whichever is first counts, because
// each of them may lag or be cut off. The life of a VM is the state chart in
// member.toml; Roster turns what the sources say into that chart's events. It is
// a pure state machine without clock, lock or socket: its shell calls it from one
// goroutine at a time and acts on the transitions it returns.
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

var memberLife = chart.MustParse(memberChart)

// The states of a member that callers of this package ask about.
const (
	Unreached chart.State = "unreached"
	Live      chart.State = "live"
	Unlisted  chart.State = "unlisted"
	Leaving   chart.State = "leaving"
	Retiring  chart.State = "retiring" // leaving, and no longer in the list
	Left      chart.State = "left"
	Gone      chart.State = "gone"
)

// Member is what is known of one VM.
type Member struct {
	VM    bamboostep.VM
	State chart.State
}

// TakesWork reports whether the member may be given new work.
func (m Member) TakesWork() bool { return m.State == Live || m.State == Unlisted }

// Stays reports whether the member is part of the system and not leaving,
// whether it can be reached now or not.
func (m Member) Stays() bool { return m.TakesWork() || m.State == Unreached }

// Transition is a change of a member's state.
type Transition struct {
	VM       bamboostep.VM
	From, To chart.State
}

// Roster is the membership. The zero value is empty and ready.
type Roster struct {
	members map[string]*member
	drained map[string]bool
}

type member struct {
	vm            bamboostep.VM
	state         chart.State
	listed        bool
	listedLeaving bool
	saysLeaving   bool
}

// List takes the platform's list.
func (r *Roster) List(vms []bamboostep.VM) []Transition {
	var out []Transition
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		seen[vm.Name] = true
		out = append(out, r.listOne(vm)...)
	}
	for _, name := range r.names() {
		if !seen[name] {
			out = append(out, r.unlist(name)...)
		}
	}
	return out
}

func (r *Roster) listOne(vm bamboostep.VM) []Transition {
	m := r.members[vm.Name]
	if m == nil {
		m = &member{state: memberLife.Initial(), listed: true}
		if r.members == nil {
			r.members = make(map[string]*member)
		}
		r.members[vm.Name] = m
	}
	before := r.leaves(vm.Name)
	m.vm = vm
	m.listedLeaving = vm.State == bamboostep.VMLeaving
	var out []Transition
	if !m.listed {
		m.listed = true
		out = r.step(m, "list", out)
	}
	return r.stepLeaving(m, before, out)
}

func (r *Roster) unlist(name string) []Transition {
	m := r.members[name]
	if !m.listed {
		return nil
	}
	m.listed = false
	return r.step(m, "unlist", nil)
}

// Reached says that a connection to the VM's agent stands.
func (r *Roster) Reached(name string) []Transition {
	m := r.members[name]
	if m == nil || m.state != Unreached && m.state != Left {
		return nil
	}
	return r.step(m, "reached", nil)
}

// Lost says that the connection to the VM's agent ended.
func (r *Roster) Lost(name string) []Transition {
	m := r.members[name]
	if m == nil || m.state == Unreached || m.state == Left {
		return nil
	}
	return r.step(m, "lost", nil)
}

// Says takes an agent's own word on whether its VM leaves.
func (r *Roster) Says(name string, leaving bool) []Transition {
	m := r.members[name]
	if m == nil || m.saysLeaving == leaving {
		return nil
	}
	before := r.leaves(name)
	m.saysLeaving = leaving
	return r.stepLeaving(m, before, nil)
}

// Drain takes the whole list of VMs that operators drain.
func (r *Roster) Drain(names []string) []Transition {
	before := make(map[string]bool, len(r.members))
	for name := range r.members {
		before[name] = r.leaves(name)
	}
	r.drained = make(map[string]bool, len(names))
	for _, name := range names {
		r.drained[name] = true
	}
	var out []Transition
	for _, name := range r.names() {
		out = r.stepLeaving(r.members[name], before[name], out)
	}
	return out
}

// Members returns all members, by name.
func (r *Roster) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, name := range r.names() {
		m := r.members[name]
		out = append(out, Member{m.vm, m.state})
	}
	return out
}

// Member returns the named member.
func (r *Roster) Member(name string) (Member, bool) {
	m := r.members[name]
	if m == nil {
		return Member{}, false
	}
	return Member{m.vm, m.state}, true
}

// Told reports whether the platform's list or an operator's drain says that the
// VM leaves: the two sources that its agent cannot see by itself.
func (r *Roster) Told(name string) bool {
	m := r.members[name]
	return m != nil && (m.listedLeaving || r.drained[name])
}

func (r *Roster) leaves(name string) bool {
	return r.members[name].saysLeaving || r.Told(name)
}

func (r *Roster) stepLeaving(m *member, before bool, out []Transition) []Transition {
	now := r.leaves(m.vm.Name)
	if now == before {
		// A VM that enters the list while drained was never in another state.
		if !now || m.state == Leaving || m.state == Retiring || m.state == Left {
			return out
		}
	}
	if now {
		return r.step(m, "leave", out)
	}
	return r.step(m, "stay", out)
}

// step moves m and forgets it once its life has ended.
func (r *Roster) step(m *member, e chart.Event, out []Transition) []Transition {
	from := m.state
	next, err := memberLife.Next(from, e)
	if err != nil || next == from {
		return out
	}
	m.state = next
	if memberLife.Final(next) {
		delete(r.members, m.vm.Name)
	}
	return append(out, Transition{m.vm, from, next})
}

func (r *Roster) names() []string { return slices.Sorted(maps.Keys(r.members)) }
