package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/wire"
)

// peers carries messages to the other voters. A voter dials every other one. A
// voter that was just added does not know the others yet, so an answer may also
// go back by the connection on which its question came.
type peers struct {
	voter  *Voter
	links  map[string]*peerLink  // by name
	routes map[diskID]*wire.Conn // last connection that brought a message of a disk
	known  []Member              // members that links follow
	all    sync.WaitGroup
}

type peerLink struct {
	link   *wire.Link
	cancel context.CancelFunc
}

func newPeers(v *Voter) *peers {
	return &peers{voter: v, links: make(map[string]*peerLink), routes: make(map[diskID]*wire.Conn)}
}

// follow opens and closes links as the membership and the settings change.
func (p *peers) follow(ctx context.Context, m membership, seeds []Member) {
	want := seeds
	if len(m.Seats) > 0 {
		want = m.outsiders(seeds)
		for _, s := range m.Seats {
			want = append(want, s.Member)
		}
	}
	if slices.Equal(want, p.known) {
		return
	}
	p.known = slices.Clone(want)
	for name, l := range p.links {
		if !slices.ContainsFunc(want, func(w Member) bool { return w.Name == name && w.Address == l.link.Address }) {
			l.cancel()
			delete(p.links, name)
		}
	}
	for _, w := range want {
		if w.Name != p.voter.Name && p.links[w.Name] == nil {
			p.links[w.Name] = p.dial(ctx, w.Address)
		}
	}
}

func (p *peers) dial(ctx context.Context, address string) *peerLink {
	ctx, cancel := context.WithCancel(ctx)
	l := &wire.Link{Node: p.voter.Node, Address: address, Handler: wire.HandlerFunc(p.handle)}
	p.all.Go(func() { l.Run(ctx) })
	return &peerLink{l, cancel}
}

// handle takes what comes back on a link that this voter dialled.
func (p *peers) handle(m *wire.Message) {
	if m.Kind == kindStep {
		p.voter.handleStep(m)
	}
}

// heard notes by which connection a voter can be answered.
func (p *peers) heard(r received) {
	if r.conn != nil {
		p.routes[r.m.FromDisk] = r.conn
	}
}

func (p *peers) send(messages []message) {
	for i := range messages {
		m := &messages[i]
		c := p.conn(m)
		if c == nil {
			continue
		}
		_ = c.Send(kindStep, m) // lost like any other message
	}
}

func (p *peers) conn(m *message) *wire.Conn {
	if l := p.links[m.To]; l != nil {
		if c := l.link.Conn(); c != nil {
			return c
		}
	}
	c := p.routes[m.ToDisk]
	if c != nil && c.Err() != nil {
		delete(p.routes, m.ToDisk)
		return nil
	}
	return c
}

// flushTime lets the last messages of a voter that stops leave its queues.
const flushTime = 20 * time.Millisecond

func (p *peers) flush() { time.Sleep(flushTime) }

func (p *peers) close() {
	for _, l := range p.links {
		l.cancel()
	}
	p.all.Wait()
}
