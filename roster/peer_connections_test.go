package roster_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/roster"
)

// drawMesh draws an entry of region a and up to 60 entries in three regions.
func drawMesh(t *rapid.T) roster.PeerConnections {
	m := roster.PeerConnections{Self: "entry-0", Region: "a"}
	for i := range rapid.IntRange(1, 60).Draw(t, "entries") {
		m.Peers = append(m.Peers, roster.Peer{
			Name:   fmt.Sprintf("entry-%d", i),
			Region: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "region"),
			Voter:  i%10 == 1,
		})
	}
	return m
}

// TestMeshConnectsToEveryRegion checks that, whatever connections are established and lost,
// the own region and the voters are connected, and of every other region PeersPerRegion
// entries or as many as MaxPeersPerRegion lets it try.
func TestMeshConnectsToEveryRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMesh(t)
		now := time.Unix(1000, 0)
		open := make(map[string]bool)
		dead := make(map[string]bool)
		tick := func() {
			for _, c := range m.Tick(now) {
				if open[c.Name] == c.Open {
					t.Fatalf("redundant change of %q to open = %v", c.Name, c.Open)
				}
				open[c.Name] = c.Open
				if c.Open && !dead[c.Name] {
					m.Connected(c.Name)
				}
			}
			checkMesh(t, m, open)
		}
		tick()
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			chosen := rapid.SampledFrom(m.Peers).Draw(t, "peer")
			whole := rapid.Bool().Draw(t, "whole region")
			isDead := rapid.Bool().Draw(t, "dead")
			for _, p := range m.Peers {
				if p != chosen && !(whole && p.Region == chosen.Region) {
					continue
				}
				dead[p.Name] = isDead
				switch {
				case open[p.Name] && isDead:
					m.Disconnected(now, p.Name)
				case open[p.Name]:
					m.Connected(p.Name)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			tick()
		}
		for range roster.MaxPeersPerRegion {
			now = now.Add(roster.PeerTimeout)
			tick()
		}
		checkConnected(t, m, open, dead)
	})
}

func checkMesh(t *rapid.T, m roster.PeerConnections, open map[string]bool) {
	elsewhere := make(map[string]int)
	for _, p := range m.Peers {
		switch {
		case p.Name == m.Self:
			if open[p.Name] {
				t.Fatal("entry is connected to itself")
			}
		case p.Voter || p.Region == m.Region:
			if !open[p.Name] {
				t.Fatalf("%q of region %q, voter %v, is not connected", p.Name, p.Region, p.Voter)
			}
		case open[p.Name]:
			elsewhere[p.Region]++
		}
	}
	for region, n := range elsewhere {
		if n > roster.MaxPeersPerRegion {
			t.Fatalf("got %d connections to region %q, want at most %d", n, region, roster.MaxPeersPerRegion)
		}
	}
}

// checkConnected checks that each other region has PeersPerRegion live connections, or that
// as many as allowed have been dialled.
func checkConnected(t *rapid.T, m roster.PeerConnections, open, dead map[string]bool) {
	live, tried, all := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, p := range m.Peers {
		if p.Name == m.Self || p.Voter || p.Region == m.Region {
			continue
		}
		all[p.Region]++
		if open[p.Name] {
			tried[p.Region]++
		}
		if open[p.Name] && !dead[p.Name] {
			live[p.Region]++
		}
	}
	for region, n := range all {
		if live[region] > roster.PeersPerRegion {
			t.Fatalf("region %q has %d live connections, want at most %d", region, live[region], roster.PeersPerRegion)
		}
		if live[region] < roster.PeersPerRegion && tried[region] < min(n, roster.MaxPeersPerRegion) {
			t.Fatalf("region %q has %d live connections after %d of %d", region, live[region], tried[region], n)
		}
	}
}

// TestMeshWithoutRegionsConnectsToAll checks that an entry without a declared region and a
// voter connect to every entry.
func TestMeshWithoutRegionsConnectsToAll(t *testing.T) {
	peers := []roster.Peer{{Name: "a", Region: "x"}, {Name: "b", Region: "y"}, {Name: "c", Region: "y"}, {Name: "d", Region: "y"}, {Name: "e", Region: "y"}}
	for name, m := range map[string]roster.PeerConnections{
		"none declared": {Self: "a", Peers: peers},
		"voter":         {Self: "a", Region: "x", ConnectAll: true, Peers: peers},
	} {
		t.Run(name, func(t *testing.T) {
			if got, want := len(m.Tick(time.Unix(0, 0))), 4; got != want {
				t.Errorf("got %d connections, want %d", got, want)
			}
		})
	}
}

// TestMeshConnectsToLeader checks that the leader is connected even if the settings do not
// mark it as a voter, and is disconnected once it is no longer the leader.
func TestMeshConnectsToLeader(t *testing.T) {
	m := roster.PeerConnections{Self: "entry-0", Region: "a"}
	for i := range 40 {
		m.Peers = append(m.Peers, roster.Peer{Name: fmt.Sprintf("entry-%d", i), Region: []string{"a", "b"}[i%2]})
	}
	now := time.Unix(0, 0)
	open := make(map[string]bool)
	tick := func() {
		for _, c := range m.Tick(now) {
			open[c.Name] = c.Open
		}
	}
	tick()
	for _, p := range m.Peers {
		if p.Region == "b" && !open[p.Name] {
			m.Leader = p.Name
		}
	}
	leader := m.Leader
	if tick(); !open[leader] {
		t.Errorf("leader %q is not connected", leader)
	}
	m.Leader = "entry-0"
	if tick(); open[leader] {
		t.Errorf("%q is connected but is no longer the leader", leader)
	}
}
