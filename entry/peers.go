package main

import (
	"context"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// The entries among themselves: each keeps a connection to every other and
// passes on new revisions (package catalog's feed), crash suspects, its callers'
// demand (to the leader, which places by it), and its part of a time line.

const (
	kindSuspects = "entry.suspects"
	kindDemand   = "entry.demand"
	kindTimeline = "entry.timeline"
	kindRevision = "entry.revision"

	timelineTimeout = 2 * time.Second
)

type suspectsMessage struct {
	Suspects []bamboostep.Suspect `msgpack:"suspects"`
}

type demandMessage struct {
	Demand []bamboostep.Demand `msgpack:"demand"`
}

type timelineMessage struct {
	Query timeline.Query `msgpack:"query"`
}

type timelineReply struct {
	Events []timeline.Event `msgpack:"events"`
}

type revisionReply struct {
	Revision uint64 `msgpack:"revision"`
}

// peers is this entry's connections to the other entries. Set the exported
// fields before Run.
type peers struct {
	Node       *wire.Node
	Mux        *wire.Mux
	Self       string
	Peers      []peerSettings
	Feed       *catalog.Feed
	Recorder   *timeline.Recorder
	OnSuspects func([]bamboostep.Suspect)
	OnDemand   func(entry string, demand []bamboostep.Demand)

	links map[string]*wire.Link
}

// Register adds the entries' message kinds to the process's listener.
func (p *peers) Register() {
	p.Mux.On(kindSuspects, p.handleSuspects)
	p.Mux.On(kindDemand, p.handleDemand)
	p.Mux.On(kindTimeline, p.handleTimeline)
	p.Mux.On(kindRevision, p.handleRevision)
	p.links = make(map[string]*wire.Link)
	for _, peer := range p.Peers {
		if peer.Name == p.Self {
			continue
		}
		p.links[peer.Name] = &wire.Link{
			Node:    p.Node,
			Address: peer.Address,
			Handler: p.Mux,
			Up:      p.Feed.Subscribe,
		}
	}
}

// Run keeps the connections open until ctx ends.
func (p *peers) Run(ctx context.Context) error {
	var all sync.WaitGroup
	for _, link := range p.links {
		all.Go(func() { link.Run(ctx) })
	}
	all.Wait()
	return nil
}

// ShareSuspects sends crash suspects to the other entries.
func (p *peers) ShareSuspects(suspects []bamboostep.Suspect) {
	for _, link := range p.links {
		if c := link.Conn(); c != nil {
			_ = c.Send(kindSuspects, suspectsMessage{suspects})
		}
	}
}

// SendDemand sends this entry's demand to the named leader.
func (p *peers) SendDemand(leader string, demand []bamboostep.Demand) {
	link := p.links[leader]
	if link == nil {
		return
	}
	if c := link.Conn(); c != nil {
		_ = c.Send(kindDemand, demandMessage{demand})
	}
}

// Timeline collects the events that the other entries keep. An entry that does
// not answer in time is left out.
func (p *peers) Timeline(ctx context.Context, q timeline.Query) [][]timeline.Event {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	return gather(len(p.links), func(add func([]timeline.Event), all *sync.WaitGroup) {
		for _, link := range p.links {
			c := link.Conn()
			if c == nil {
				continue
			}
			all.Go(func() {
				var reply timelineReply
				if c.Call(ctx, kindTimeline, timelineMessage{q}, &reply) == nil {
					add(reply.Events)
				}
			})
		}
	})
}

// Reachable reports whether a connection to the named entry stands.
func (p *peers) Reachable(name string) bool {
	link := p.links[name]
	return link != nil && link.Conn() != nil
}

// Revisions asks the other entries which revision they have in force. An entry
// that does not answer in time is left out.
func (p *peers) Revisions(ctx context.Context) map[string]uint64 {
	var mu sync.Mutex
	var all sync.WaitGroup
	revisions := make(map[string]uint64)
	for name, link := range p.links {
		c := link.Conn()
		if c == nil {
			continue
		}
		all.Go(func() {
			var reply revisionReply
			if c.Call(ctx, kindRevision, nil, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			revisions[name] = reply.Revision
		})
	}
	all.Wait()
	return revisions
}

// gather runs start, which starts goroutines that add lists of events, and
// returns the lists once all have ended.
func gather(size int, start func(add func([]timeline.Event), all *sync.WaitGroup)) [][]timeline.Event {
	var mu sync.Mutex
	var all sync.WaitGroup
	lists := make([][]timeline.Event, 0, size)
	start(func(events []timeline.Event) {
		mu.Lock()
		defer mu.Unlock()
		lists = append(lists, events)
	}, &all)
	all.Wait()
	return lists
}

func (p *peers) handleSuspects(m *wire.Message) {
	var body suspectsMessage
	if m.Decode(&body) == nil {
		p.OnSuspects(body.Suspects)
	}
}

func (p *peers) handleDemand(m *wire.Message) {
	var body demandMessage
	if m.Decode(&body) == nil {
		p.OnDemand(m.Conn().Peer().Name, body.Demand)
	}
}

func (p *peers) handleRevision(m *wire.Message) {
	var revision uint64
	if s := p.Feed.Set(); s != nil {
		revision = s.Revision()
	}
	_ = m.Reply(revisionReply{revision})
}

func (p *peers) handleTimeline(m *wire.Message) {
	var body timelineMessage
	if m.Decode(&body) != nil {
		return
	}
	go m.Reply(timelineReply{p.Recorder.Find(body.Query)})
}
