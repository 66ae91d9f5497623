package roster_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/roster"
)

func regionVM(name, region string) bamboostep.VM {
	return bamboostep.VM{Name: name, Place: "taller", Region: region, State: bamboostep.VMLive}
}

// A search opens a connection to a VM of another region that holds the model, and the
// connection is closed when it has been idle.
func ExampleVMConnections() {
	start := time.Unix(0, 0)
	r := roster.VMConnections{Self: "entry-a", Region: "uy-sur"}
	show := func(what string, changes []roster.VMChange) {
		for _, c := range changes {
			fmt.Println(what, c.VM.Name, c.Open)
		}
	}
	show("listed:", r.Add(start, regionVM("taller-1", "uy-sur")))
	show("listed:", r.Add(start, regionVM("taller-2", "uy-norte")))
	w := roster.SearchTarget{Place: "taller", Model: "consulta"}
	searching, ask, _ := r.Search(start, w)
	fmt.Println("searching", searching, "ask", ask)
	show("known:", r.AddHolders(start, w, "uy-norte", []string{"taller-2"}))
	show("idle:", r.Tick(start.Add(roster.IdleTimeout)))
	// Output:
	// listed: taller-1 true
	// searching true ask true
	// known: taller-2 true
	// idle: taller-2 false
}

// reachModel tracks which connections a VMConnections has opened and closed.
type reachModel struct {
	r     roster.VMConnections
	now   time.Time
	vms   map[string]bamboostep.VM
	open  map[string]bool
	using map[string]int
}

func (m *reachModel) apply(t *rapid.T, changes []roster.VMChange) {
	for _, c := range changes {
		if m.open[c.VM.Name] == c.Open {
			t.Fatalf("redundant change of %q to open = %v", c.VM.Name, c.Open)
		}
		if !c.Open && m.using[c.VM.Name] > 0 {
			t.Fatalf("%q is closed while %d requests use it", c.VM.Name, m.using[c.VM.Name])
		}
		if !c.Open && m.r.IsLocal(c.VM) {
			t.Fatalf("%q is closed in its own region", c.VM.Name)
		}
		m.open[c.VM.Name] = c.Open
	}
}

func (m *reachModel) check(t *rapid.T) {
	for name, vm := range m.vms {
		if m.r.IsLocal(vm) && !m.open[name] {
			t.Fatalf("%q of the own region is not connected", name)
		}
		if got, want := m.r.IsOpen(name), m.open[name]; got != want {
			t.Fatalf("%q is held = %v, want %v", name, got, want)
		}
	}
}

func newReachModel(t *rapid.T, vms int) *reachModel {
	m := &reachModel{now: time.Unix(1000, 0), vms: make(map[string]bamboostep.VM), open: make(map[string]bool), using: make(map[string]int)}
	m.r = roster.VMConnections{Self: "entry-a", Region: "a"}
	for i := range vms {
		v := regionVM(fmt.Sprintf("vm-%d", i), rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "region"))
		m.vms[v.Name] = v
		m.apply(t, m.r.Add(m.now, v))
	}
	return m
}

func (m *reachModel) names() []string {
	var names []string
	for name := range m.vms {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestReachKeepsNeededConnections checks in random event sequences that the own region is
// always connected, that no connection is closed while a request uses it, and that idle
// connections to other regions are closed in the end.
func TestReachKeepsNeededConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReachModel(t, rapid.IntRange(1, 60).Draw(t, "vms"))
		names := m.names()
		w := roster.SearchTarget{Place: "taller", Model: "consulta"}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "vm")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				_, _, changes := m.r.Search(m.now, w)
				m.apply(t, changes)
			case 2:
				m.apply(t, m.r.AddHolders(m.now, w, m.vms[name].Region, []string{name}))
			case 3:
				m.r.MarkReported(name)
			case 4:
				got, want := m.r.Acquire(name), m.open[name]
				if got != want {
					t.Fatalf("use of %q = %v, want %v", name, got, want)
				}
				if got {
					m.using[name]++
				}
			case 5:
				if m.using[name] > 0 {
					m.using[name]--
					m.r.Release(m.now, name)
				}
			case 6:
				m.apply(t, m.r.Tick(m.now))
			case 7:
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			}
			m.check(t)
		}
		m.apply(t, m.r.Tick(m.now.Add(roster.IdleTimeout)))
		for name, vm := range m.vms {
			if want := m.r.IsLocal(vm) || m.using[name] > 0; m.open[name] != want {
				t.Fatalf("%q is connected = %v after idle time, want %v", name, m.open[name], want)
			}
		}
	})
}

// TestSearchProbesAllUnansweredRegions checks that a search ends within SearchTimeout, that it
// then has connected to every VM of the regions that did not answer, and that it never has
// more than MaxProbes connections open.
func TestSearchProbesAllUnansweredRegions(t *testing.T) {
	const step = 10 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		m := newReachModel(t, rapid.IntRange(1, 200).Draw(t, "vms"))
		w := roster.SearchTarget{Place: "taller"}
		latency := time.Duration(rapid.IntRange(1, 150).Draw(t, "report after ms")) * time.Millisecond
		answers := rapid.Bool().Draw(t, "region b answers")
		opened := make(map[string]time.Time)
		began := m.now
		for {
			searching, ask, changes := m.r.Search(m.now, w)
			m.apply(t, changes)
			for _, c := range changes {
				if c.Open {
					opened[c.VM.Name] = m.now
				}
			}
			if probes := m.countElsewhere(); probes > roster.MaxProbes {
				t.Fatalf("got %d connections to other regions, want at most %d", probes, roster.MaxProbes)
			}
			if ask && answers {
				m.apply(t, m.r.AddHolders(m.now, w, "b", nil))
			}
			if !searching {
				break
			}
			m.now = m.now.Add(step)
			for name, at := range opened {
				if m.now.Sub(at) >= latency {
					m.r.MarkReported(name)
				}
			}
		}
		if got, want := m.now.Sub(began), roster.SearchTimeout; got > want {
			t.Fatalf("search took %v, want at most %v", got, want)
		}
		for name, vm := range m.vms {
			unanswered := vm.Region == "c" || vm.Region == "b" && !answers
			if _, probed := opened[name]; probed != unanswered {
				t.Fatalf("%q of region %q was probed = %v, want %v", name, vm.Region, probed, unanswered)
			}
		}
	})
}

func (m *reachModel) countElsewhere() int {
	n := 0
	for name, vm := range m.vms {
		if m.open[name] && !m.r.IsLocal(vm) {
			n++
		}
	}
	return n
}

// TestSearchStopsInUnresponsiveRegion guards against requests that wait for a partitioned
// region: the search must end once MaxSilentProbes of its VMs have not reported.
func TestSearchStopsInUnresponsiveRegion(t *testing.T) {
	const within = roster.DirectoryTimeout + roster.ReportTimeout + 2*roster.SearchInterval
	r := roster.VMConnections{Self: "entry-a", Region: "a"}
	began := time.Unix(1000, 0)
	for i := range 400 {
		r.Add(began, regionVM(fmt.Sprintf("vm-%d", i), "b"))
	}
	for now := began; ; now = now.Add(roster.SearchInterval) {
		searching, _, _ := r.Search(now, roster.SearchTarget{Place: "taller"})
		if !searching {
			break
		}
		if now.Sub(began) > within {
			t.Fatalf("search still running after %v, want its end within %v", now.Sub(began), within)
		}
	}
}

// TestReachWithoutRegionsConnectsToAll checks that every VM is connected and nothing is
// searched if the entry declares no region or connects to all.
func TestReachWithoutRegionsConnectsToAll(t *testing.T) {
	for name, r := range map[string]roster.VMConnections{
		"entry declares none": {},
		"entry connects all":  {Region: "a", ConnectAll: true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			if got := r.Add(now, regionVM("vm", "b")); len(got) != 1 || !got[0].Open {
				t.Errorf("got %v, want an opened connection", got)
			}
			if searching, ask, changes := r.Search(now, roster.SearchTarget{Place: "taller"}); searching || ask || len(changes) > 0 {
				t.Errorf("got searching %v, ask %v, changes %v, want none", searching, ask, changes)
			}
		})
	}
}
