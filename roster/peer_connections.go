package roster

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// This file decides to which other entries an entry keeps connections: all entries of its
// own region, all voters, and a few entries of every other region.
//
// The peers of another region are chosen by a hash of both names, so that the entries of
// one region are connected to many entries of the other, and forwarded messages spread. A
// peer that does not answer stays selected, since it may recover, and the next one is
// selected in addition, up to a bound: if none of them answers, the region is partitioned,
// and dialling more would not help.
//
// PeerConnections is a pure state machine like VMConnections.

const (
	// PeersPerRegion is the target number of connected entries in each other region.
	PeersPerRegion = 2
	// MaxPeersPerRegion bounds the entries of another region that are dialled to reach that
	// number.
	MaxPeersPerRegion = 6
	// PeerTimeout is the time that a peer has to connect before another one is dialled in
	// addition.
	PeerTimeout = 3 * time.Second
)

// Peer is an entry that another entry may be connected to.
type Peer struct {
	Name   string
	Region string
	Voter  bool
}

// PeerChange tells the caller to open or close the connection to a peer.
type PeerChange struct {
	Name string
	Open bool
}

// PeerConnections holds the connections of one entry to other entries. Set the exported fields before
// the first event.
type PeerConnections struct {
	Self       string // name of this entry
	Region     string // region of this entry; empty if none is declared
	ConnectAll bool   // connect to every peer
	Peers      []Peer // all entries; Self is ignored
	Leader     string // last known leader of the ledger; may be an entry whose Peer.Voter is false

	conns map[string]*peerConn
}

// peerConn is the state of the connection to one peer.
type peerConn struct {
	open      bool      // the caller was told to open it
	up        bool      // established
	changedAt time.Time // when it was last opened, closed or lost
}

// Connected records that the connection to a peer was established.
func (m *PeerConnections) Connected(name string) { m.conn(name).up = true }

// Disconnected records that the connection to a peer ended.
func (m *PeerConnections) Disconnected(now time.Time, name string) {
	c := m.conn(name)
	c.up = false
	c.changedAt = now
}

// Tick returns the connections to open and to close now. Call it periodically.
func (m *PeerConnections) Tick(now time.Time) []PeerChange {
	wanted := m.wantedPeers(now)
	var out []PeerChange
	for _, p := range m.Peers {
		c := m.conn(p.Name)
		if wanted[p.Name] == c.open {
			continue
		}
		*c = peerConn{open: wanted[p.Name], changedAt: now}
		out = append(out, PeerChange{p.Name, c.open})
	}
	return out
}

// conn returns the connection state of a peer, and adds it if there is none.
func (m *PeerConnections) conn(name string) *peerConn {
	if m.conns == nil {
		m.conns = make(map[string]*peerConn)
	}
	c := m.conns[name]
	if c == nil {
		c = &peerConn{}
		m.conns[name] = c
	}
	return c
}

// wantedPeers returns the names of the peers to be connected to now.
func (m *PeerConnections) wantedPeers(now time.Time) map[string]bool {
	wanted := make(map[string]bool)
	remote := make(map[string][]Peer)
	for _, p := range m.Peers {
		switch {
		case p.Name == m.Self:
		case m.ConnectAll || p.Voter || p.Name == m.Leader || SameRegion(m.Region, p.Region):
			wanted[p.Name] = true
		default:
			remote[p.Region] = append(remote[p.Region], p)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(remote)) {
		m.addRemotePeers(now, remote[region], wanted)
	}
	return wanted
}

// addRemotePeers adds the selected peers of one other region to wanted: the first ones by
// rank until PeersPerRegion of them are connected or may still connect.
func (m *PeerConnections) addRemotePeers(now time.Time, peers []Peer, wanted map[string]bool) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(m.peerRank(a.Name), m.peerRank(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	usable := 0
	for _, p := range peers[:min(len(peers), MaxPeersPerRegion)] {
		if usable == PeersPerRegion {
			return
		}
		wanted[p.Name] = true
		if c := m.conn(p.Name); c.up || !c.open || now.Sub(c.changedAt) < PeerTimeout {
			usable++
		}
	}
}

// peerRank orders the peers of a region, differently on each entry. Lower ranks are
// preferred.
func (m *PeerConnections) peerRank(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.Self))
	h.Write([]byte{0})
	h.Write([]byte(name))
	return h.Sum64()
}
