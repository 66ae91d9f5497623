package main

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/wire"
)

// This file opens and closes the connections to the other entries that roster.PeerConnections
// selects.

const meshInterval = 500 * time.Millisecond

// peerLink is the connection to one other entry.
type peerLink struct {
	wire.Link
	stop context.CancelFunc
}

// Run maintains the connections until ctx ends.
func (p *peers) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(meshInterval)
	defer t.Stop()
	for {
		p.updateLinks(ctx, &wg)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// updateLinks opens and closes connections as the mesh requests.
func (p *peers) updateLinks(ctx context.Context, wg *sync.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.mesh.Tick(time.Now()) {
		if !c.Open {
			p.links[c.Name].stop()
			delete(p.links, c.Name)
			continue
		}
		link := p.newLink(c.Name)
		linkCtx, stop := context.WithCancel(ctx)
		link.stop = stop
		p.links[c.Name] = link
		wg.Go(func() { _ = link.Run(linkCtx) })
	}
}

func (p *peers) newLink(name string) *peerLink {
	link := &peerLink{}
	link.Node = p.Node
	link.Address = p.peerSettings(name).Address
	link.Handler = p.Mux
	link.Busy = func() bool { return false } // wire.Conn tracks pending calls itself, and nothing else is awaited
	link.Up = func(c *wire.Conn) {
		p.recordLinkState(name, link, true)
		p.sendRefusedSuspects(c)
		p.Feed.Subscribe(c)
	}
	link.Down = func(*wire.Conn) { p.recordLinkState(name, link, false) }
	return link
}

// recordLinkState tells the mesh that a link came up or went down. It ignores
// links that have been replaced or closed.
func (p *peers) recordLinkState(name string, link *peerLink, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.links[name] != link:
	case up:
		p.mesh.Connected(name)
	default:
		p.mesh.Disconnected(time.Now(), name)
	}
}

// followLeader makes the mesh keep a connection to the leader of the ledger.
func (p *peers) followLeader(leader string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mesh.Leader = leader
}

// peerSettings returns the settings of the named entry, or zero settings if it is
// unknown.
func (p *peers) peerSettings(name string) peerSettings {
	i := slices.IndexFunc(p.Peers, func(s peerSettings) bool { return s.Name == name })
	if i < 0 {
		return peerSettings{}
	}
	return p.Peers[i]
}

// conns returns the established connections by entry name.
func (p *peers) conns() map[string]*wire.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make(map[string]*wire.Conn, len(p.links))
	for name, link := range p.links {
		if c := link.Conn(); c != nil {
			conns[name] = c
		}
	}
	return conns
}

// conn returns the established connection to the named entry, or nil.
func (p *peers) conn(name string) *wire.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if link := p.links[name]; link != nil {
		return link.Conn()
	}
	return nil
}
