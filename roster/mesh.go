package roster

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// This file decides to which other entries an entry holds a connection: all of its
// own region, all voters, and a few of every other region.
//
// The few are drawn by a hash of both names, so that the entries of one region reach
// many of another and what is passed on spreads. One that does not answer is kept,
// since it may come back, and the next is taken in besides, up to a bound: where none
// of those answers, the region is cut off, and more dials would not help.
//
// Mesh is a pure state machine, as Reach is.

const (
	// PeersElsewhere is how many entries of each other region are to be connected.
	PeersElsewhere = 2
	// MostPeersElsewhere bounds those that are dialled to have so many.
	MostPeersElsewhere = 6
	// PeerWait is how long a peer has to answer before another is taken in besides.
	PeerWait = 3 * time.Second
)

// Peer is another entry.
type Peer struct {
	Name   string
	Region string
	Voter  bool
}

// PeerChange is a connection to open or to close.
type PeerChange struct {
	Name string
	Open bool
}

// Mesh is the set of connections of one entry to others. Set the exported fields
// before the first event.
type Mesh struct {
	Self   string
	Region string // own; empty if none is declared
	All    bool   // every peer is to be connected
	Peers  []Peer
	Leader string // of the ledger as last heard; may be a voter that Peers does not know as one

	links map[string]*meshLink
}

// meshLink is one peer's connection.
type meshLink struct {
	open  bool
	up    bool
	since time.Time // opened, or lost
}

// Up says that a connection stands.
func (m *Mesh) Up(name string) { m.link(name).up = true }

// Down says that a connection ended.
func (m *Mesh) Down(now time.Time, name string) {
	l := m.link(name)
	l.up = false
	l.since = now
}

// Tick returns what is to be opened and closed now.
func (m *Mesh) Tick(now time.Time) []PeerChange {
	wanted := m.wanted(now)
	var out []PeerChange
	for _, p := range m.Peers {
		l := m.link(p.Name)
		if wanted[p.Name] == l.open {
			continue
		}
		*l = meshLink{open: wanted[p.Name], since: now}
		out = append(out, PeerChange{p.Name, l.open})
	}
	return out
}

func (m *Mesh) link(name string) *meshLink {
	if m.links == nil {
		m.links = make(map[string]*meshLink)
	}
	l := m.links[name]
	if l == nil {
		l = &meshLink{}
		m.links[name] = l
	}
	return l
}

func (m *Mesh) wanted(now time.Time) map[string]bool {
	wanted := make(map[string]bool)
	elsewhere := make(map[string][]Peer)
	for _, p := range m.Peers {
		switch {
		case p.Name == m.Self:
		case m.All || p.Voter || p.Name == m.Leader || SameRegion(m.Region, p.Region):
			wanted[p.Name] = true
		default:
			elsewhere[p.Region] = append(elsewhere[p.Region], p)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(elsewhere)) {
		m.want(now, elsewhere[region], wanted)
	}
	return wanted
}

// want adds the peers of one other region.
func (m *Mesh) want(now time.Time, peers []Peer, wanted map[string]bool) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(m.preference(a.Name), m.preference(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	good := 0
	for _, p := range peers[:min(len(peers), MostPeersElsewhere)] {
		if good == PeersElsewhere {
			return
		}
		wanted[p.Name] = true
		if l := m.link(p.Name); l.up || !l.open || now.Sub(l.since) < PeerWait {
			good++
		}
	}
}

func (m *Mesh) preference(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.Self))
	h.Write([]byte{0})
	h.Write([]byte(name))
	return h.Sum64()
}
