package roster_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
	"github.com/bamboostep/bamboostep/roster"
)

func init() { seed.Rapid() }

func vm(name string, state bamboostep.VMState) bamboostep.VM {
	return bamboostep.VM{Name: name, State: state}
}

// A VM leaves as soon as one of the three sources says so, and returns to service only when
// none does.
func ExampleRoster() {
	var r roster.Roster
	r.ApplyList([]bamboostep.VM{vm("taller-1", bamboostep.VMLive)})
	show := func(what string, ts []roster.Transition) {
		for _, t := range ts {
			fmt.Println(what, t.From, "->", t.To)
		}
	}
	show("connected:", r.AgentConnected("taller-1"))
	show("agent reports leaving:", r.SetAgentLeaving("taller-1", true))
	show("platform lists it as leaving:", r.ApplyList([]bamboostep.VM{vm("taller-1", bamboostep.VMLeaving)}))
	show("agent stops reporting leaving:", r.SetAgentLeaving("taller-1", false))
	show("platform lists it as live:", r.ApplyList([]bamboostep.VM{vm("taller-1", bamboostep.VMLive)}))
	show("operator drains it:", r.SetDrained([]string{"taller-1"}))
	// Output:
	// connected: unreached -> live
	// agent reports leaving: live -> leaving
	// platform lists it as live: leaving -> live
	// operator drains it: live -> leaving
}

// TestTakesWorkOnlyIfConnectedAndNotLeaving checks in random event sequences that a VM takes
// work exactly while it is connected and no source marks it as leaving.
func TestTakesWorkOnlyIfConnectedAndNotLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r roster.Roster
		names := []string{"a", "b", "c"}
		model := make(map[string]*modelMember)
		drained := make(map[string]bool)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			name := rapid.SampledFrom(names).Draw(t, "vm")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				drawList(t, &r, names, model)
			case 1:
				r.AgentConnected(name)
				if m := model[name]; m != nil {
					m.connected = true
				}
			case 2:
				r.AgentDisconnected(name)
				if m := model[name]; m != nil {
					m.connected = false
				}
			case 3:
				leaving := rapid.Bool().Draw(t, "leaving")
				r.SetAgentLeaving(name, leaving)
				if m := model[name]; m != nil {
					m.agentLeaving = leaving
				}
			case 4:
				drawDrain(t, &r, names, drained)
			}
			removeGone(model)
			checkMembers(t, &r, names, model, drained)
		}
	})
}

type modelMember struct{ listed, platformLeaving, connected, agentLeaving bool }

func drawList(t *rapid.T, r *roster.Roster, names []string, model map[string]*modelMember) {
	var list []bamboostep.VM
	for _, name := range names {
		m := model[name]
		switch rapid.IntRange(0, 2).Draw(t, "listed "+name) {
		case 0:
			if m != nil {
				m.listed = false
			}
			continue
		case 1:
			list = append(list, vm(name, bamboostep.VMLive))
		case 2:
			list = append(list, vm(name, bamboostep.VMLeaving))
		}
		if m == nil {
			m = &modelMember{}
			model[name] = m
		}
		m.listed = true
		m.platformLeaving = list[len(list)-1].State == bamboostep.VMLeaving
	}
	r.ApplyList(list)
}

func drawDrain(t *rapid.T, r *roster.Roster, names []string, drained map[string]bool) {
	var list []string
	for _, name := range names {
		drained[name] = rapid.Bool().Draw(t, "drain "+name)
		if drained[name] {
			list = append(list, name)
		}
	}
	r.SetDrained(list)
}

func removeGone(model map[string]*modelMember) {
	for name, m := range model {
		if !m.listed && !m.connected {
			delete(model, name)
		}
	}
}

func checkMembers(t *rapid.T, r *roster.Roster, names []string, model map[string]*modelMember, drained map[string]bool) {
	for _, name := range names {
		m := model[name]
		want := m != nil && m.connected && !m.platformLeaving && !m.agentLeaving && !drained[name]
		member, known := r.Member(name)
		if known != (m != nil) {
			t.Fatalf("%q is known = %v, want %v", name, known, m != nil)
		}
		if got := known && member.TakesWork(); got != want {
			t.Fatalf("%q in state %q takes work = %v, want %v", name, member.State, got, want)
		}
	}
}
