package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/roster"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// This file connects the entries with each other. Each entry keeps connections to
// the entries that roster.PeerConnections selects. It sends them new configurations (through
// catalog.Feed), crash suspects and its events for timeline queries, and it sends
// its callers' demand to the leader, which places models by it.
//
// If regions are declared, an entry is connected to only a few entries of each
// other region. Crash suspects that arrive from another region are therefore
// forwarded once within the own region.

const (
	kindSuspects = "entry.suspects"
	kindDemand   = "entry.demand"
	kindTimeline = "entry.timeline"
	kindRevision = "entry.revision"
	kindHolders  = "entry.holders"
	kindFleet    = "entry.fleet"

	entriesAskedPerRegion = 2 // for holders of a model
	regionTimelineTimeout = time.Second

	timelineTimeout = 2 * time.Second
)

type suspectsMessage struct {
	Suspects []bamboostep.Suspect `msgpack:"suspects"`
}

type demandMessage struct {
	Demand []bamboostep.Demand `msgpack:"demand"`
}

type timelineMessage struct {
	Query         timeline.Query `msgpack:"query"`
	IncludeRegion bool           `msgpack:"region"` // include the events of the other entries and the agents of the region
}

type timelineReply struct {
	Events []timeline.Event `msgpack:"events"`
}

type revisionReply struct {
	Revision uint64 `msgpack:"revision"`
}

type holdersMessage struct {
	Place string `msgpack:"place"`
	Model string `msgpack:"model"`
}

// fleetReply contains a fleetStatus encoded as JSON, since its types have JSON
// tags only.
type fleetReply struct {
	Fleet []byte `msgpack:"fleet"`
}

type holdersReply struct {
	VMs []string `msgpack:"vms"`
}

// peers manages this entry's connections to the other entries. Set the exported
// fields before Run.
type peers struct {
	Node            *wire.Node
	Mux             *wire.Mux
	Self            string
	Region          string // empty if no regions are declared
	Peers           []peerSettings
	Holders         func(roster.SearchTarget) []string // VMs of the own region that hold the model
	LocalFleet      func() fleetStatus
	AgentTimeline   func(context.Context, timeline.Query) [][]timeline.Event // queries the agents of the own region
	Feed            *catalog.Feed
	Recorder        *timeline.Recorder
	OnSuspects      func([]bamboostep.Suspect)
	RefusedSuspects func() []bamboostep.Suspect // sent to every newly connected entry
	OnDemand        func(entry string, demand []bamboostep.Demand)
	ConnectAll      bool // connect to all entries, as voters do

	mu             sync.Mutex
	mesh           roster.PeerConnections
	links          map[string]*peerLink
	recentSuspects suspectHistory
}

// Register registers the handlers for messages between entries.
func (p *peers) Register() {
	p.Mux.On(kindSuspects, p.handleSuspects)
	p.Mux.On(kindDemand, p.handleDemand)
	p.Mux.On(kindTimeline, p.handleTimeline)
	p.Mux.On(kindRevision, p.handleRevision)
	p.Mux.On(kindHolders, p.handleHolders)
	p.Mux.On(kindFleet, p.handleFleet)
	p.mesh = roster.PeerConnections{Self: p.Self, Region: p.Region, ConnectAll: p.ConnectAll}
	for _, peer := range p.Peers {
		p.mesh.Peers = append(p.mesh.Peers, roster.Peer{Name: peer.Name, Region: peer.Region, Voter: peer.Voter})
	}
	p.links = make(map[string]*peerLink)
}

// SendDemand sends this entry's demand to the leader, and keeps a connection to
// it.
func (p *peers) SendDemand(leader string, demand []bamboostep.Demand) {
	p.followLeader(leader)
	if c := p.conn(leader); c != nil {
		_ = c.Send(kindDemand, demandMessage{demand})
	}
}

// otherRegionConns returns the connections to entries of other regions by region.
// Regions without a connection are left out.
func (p *peers) otherRegionConns() map[string][]*wire.Conn {
	conns := p.conns()
	regions := make(map[string][]*wire.Conn)
	for _, peer := range p.Peers {
		if c := conns[peer.Name]; c != nil && !roster.SameRegion(p.Region, peer.Region) {
			regions[peer.Region] = append(regions[peer.Region], c)
		}
	}
	return regions
}

// AskHolders asks some entries of each other region which of their VMs hold the
// model, and calls onReply for each answer, possibly concurrently.
func (p *peers) AskHolders(ctx context.Context, want roster.SearchTarget, onReply func(region string, vms []string)) {
	var wg sync.WaitGroup
	for region, conns := range p.otherRegionConns() {
		rand.Shuffle(len(conns), func(i, j int) { conns[i], conns[j] = conns[j], conns[i] })
		for _, c := range conns[:min(len(conns), entriesAskedPerRegion)] {
			wg.Go(func() {
				var reply holdersReply
				if c.Call(ctx, kindHolders, holdersMessage(want), &reply) == nil {
					onReply(region, reply.VMs)
				}
			})
		}
	}
	wg.Wait()
}

func (p *peers) handleHolders(m *wire.Message) {
	var body holdersMessage
	if m.Decode(&body) != nil {
		return
	}
	_ = m.Reply(holdersReply{p.Holders(roster.SearchTarget(body))})
}

// Fleet returns the state of the fleet as the named entry sees it.
func (p *peers) Fleet(ctx context.Context, name string) (fleetStatus, error) {
	var f fleetStatus
	c := p.conn(name)
	if c == nil {
		return f, fmt.Errorf("entry %q is not connected", name)
	}
	var reply fleetReply
	if err := c.Call(ctx, kindFleet, nil, &reply); err != nil {
		return f, err
	}
	return f, json.Unmarshal(reply.Fleet, &f)
}

func (p *peers) handleFleet(m *wire.Message) {
	go func() {
		body, err := json.Marshal(p.LocalFleet())
		if err == nil {
			err = m.Reply(fleetReply{body})
		}
		if err != nil {
			m.Fail("fleet_not_sent", err)
		}
	}()
}

// Timeline collects the matching events of the other entries. One entry of each
// other region answers for its whole region, agents included. Entries that do not
// answer in time are left out.
func (p *peers) Timeline(ctx context.Context, q timeline.Query) [][]timeline.Event {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	asked := p.ownRegionConns()
	for _, conns := range p.otherRegionConns() {
		asked[conns[0]] = true
	}
	return requestEvents(ctx, q, asked)
}

// ownRegionConns returns the connections to entries of the own region, as a map
// for requestEvents. They are asked for their own events only.
func (p *peers) ownRegionConns() map[*wire.Conn]bool {
	own := make(map[*wire.Conn]bool)
	for name, c := range p.conns() {
		if roster.SameRegion(p.Region, p.peerSettings(name).Region) {
			own[c] = false
		}
	}
	return own
}

// requestEvents queries the given entries. The map's value states whether an entry
// answers for its whole region.
func requestEvents(ctx context.Context, q timeline.Query, asked map[*wire.Conn]bool) [][]timeline.Event {
	return collectEvents(len(asked), func(add func([]timeline.Event), wg *sync.WaitGroup) {
		for c, includeRegion := range asked {
			wg.Go(func() {
				var reply timelineReply
				if c.Call(ctx, kindTimeline, timelineMessage{q, includeRegion}, &reply) == nil {
					add(reply.Events)
				}
			})
		}
	})
}

// Reachable reports whether there is a connection to the named entry.
func (p *peers) Reachable(name string) bool {
	return p.conn(name) != nil
}

// Revisions returns the active revision of each other entry. Entries that do not
// answer in time are left out.
func (p *peers) Revisions(ctx context.Context) map[string]uint64 {
	var mu sync.Mutex
	var wg sync.WaitGroup
	revisions := make(map[string]uint64)
	for name, c := range p.conns() {
		wg.Go(func() {
			var reply revisionReply
			if c.Call(ctx, kindRevision, nil, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			revisions[name] = reply.Revision
		})
	}
	wg.Wait()
	return revisions
}

// collectEvents calls start, which starts goroutines that add lists of events, and
// returns the lists after all goroutines have ended.
func collectEvents(size int, start func(add func([]timeline.Event), wg *sync.WaitGroup)) [][]timeline.Event {
	var mu sync.Mutex
	var wg sync.WaitGroup
	lists := make([][]timeline.Event, 0, size)
	start(func(events []timeline.Event) {
		mu.Lock()
		defer mu.Unlock()
		lists = append(lists, events)
	}, &wg)
	wg.Wait()
	return lists
}

func (p *peers) handleSuspects(m *wire.Message) {
	var body suspectsMessage
	if m.Decode(&body) == nil {
		p.OnSuspects(body.Suspects)
		p.forwardSuspects(m.Conn().Peer().Name, body.Suspects)
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
	go m.Reply(timelineReply{p.collectTimeline(body)})
}

func (p *peers) collectTimeline(body timelineMessage) []timeline.Event {
	own := p.Recorder.Find(body.Query)
	if !body.IncludeRegion {
		return own
	}
	ctx, cancel := context.WithTimeout(context.Background(), regionTimelineTimeout)
	defer cancel()
	lists := append(requestEvents(ctx, body.Query, p.ownRegionConns()), own)
	return timeline.Merge(append(lists, p.AgentTimeline(ctx, body.Query)...)...)
}
