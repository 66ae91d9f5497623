package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// An entry follows all voters at once, so that one that is cut off, frozen or behind
// hides nothing, and takes the newest that any of them says of a backend server.

// Follower follows the lists of all voters for an entry. Set the exported fields
// before Run.
type Follower struct {
	Node      *wire.Node
	Fleet     *Fleet
	Voters    func() []string      // addresses
	Directory bamboostep.Directory // read when no voter brings a list
	Recorder  *timeline.Recorder

	// Reached is called with each connection to a voter that comes up, in a goroutine of its
	// own, with a context that ends when the voter is followed no more. May be nil.
	Reached func(ctx context.Context, c *wire.Conn)

	mu      sync.Mutex
	links   map[string]*holderLink // by address of the voter
	lastAt  time.Time              // newest list that came
	entries int
	own     bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	go f.readOwn(ctx)
	t := time.NewTicker(votersRefresh)
	defer t.Stop()
	for {
		f.follow(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (f *Follower) follow(ctx context.Context) {
	voters := f.Voters()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links == nil {
		f.links = make(map[string]*holderLink)
		f.lastAt = time.Now()
	}
	for address, h := range f.links {
		if !slices.Contains(voters, address) {
			h.cancel()
			delete(f.links, address)
		}
	}
	for _, address := range voters {
		if f.links[address] == nil {
			f.open(ctx, address)
		}
	}
}

func (f *Follower) open(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	link := &wire.Link{
		Node:    f.Node,
		Address: address,
		Handler: wire.HandlerFunc(func(*wire.Message) {}),
		Up: func(c *wire.Conn) {
			f.Recorder.Record(timeline.Event{Kind: "voter_reached", VM: address})
			go f.watch(ctx, c)
			if f.Reached != nil {
				go f.Reached(ctx, c)
			}
		},
		Down: func(*wire.Conn) { f.Recorder.Record(timeline.Event{Kind: "voter_lost", VM: address}) },
	}
	f.links[address] = &holderLink{link, cancel}
	go link.Run(ctx)
}

// watch follows one voter until its connection ends.
func (f *Follower) watch(ctx context.Context, c *wire.Conn) {
	var have followed
	for ctx.Err() == nil && c.Err() == nil {
		var r ListReply
		if err := callList(ctx, c, have.number, &r); err != nil {
			c.Close()
			return
		}
		if r.Number != 0 {
			have.apply(r)
			f.take(have.all, r, time.Now())
		}
	}
}

func callList(ctx context.Context, c *wire.Conn, newer uint64, r *ListReply) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return c.Call(ctx, KindList, ListCall{newer}, r)
}

// take notes a list that was true so long ago as r says.
func (f *Follower) take(listings []bamboostep.Listing, r ListReply, now time.Time) {
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	f.mu.Lock()
	f.entries = max(r.Entries, f.entries*9/10)
	if at.After(f.lastAt) {
		f.lastAt = at
	}
	f.mu.Unlock()
	f.Fleet.NoteEntries(f.Entries())
	f.Fleet.NoteList(listings, at)
}

// readOwn reads the platform's list while no voter brings one.
func (f *Follower) readOwn(ctx context.Context) {
	t := time.NewTicker(ownInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !f.silent(time.Now()) {
			continue
		}
		began := time.Now()
		listings, err := readList(ctx, f.Directory)
		if err != nil {
			f.Recorder.Record(timeline.Event{Kind: "list_unreadable", Detail: err.Error()})
			continue
		}
		f.Fleet.NoteList(listings, began)
	}
}

// silent reports whether no voter has brought a list of late.
func (f *Follower) silent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := now.Sub(f.lastAt) > listAge
	if silent != f.own {
		f.own = silent
		kind := "list_from_voters"
		if silent {
			kind = "list_read_directly"
		}
		f.Recorder.Record(timeline.Event{Kind: kind})
	}
	return silent
}

// Entries returns how many entries there are, as far as voters have said, 0 if none
// has.
func (f *Follower) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

// SendDemand tells all voters what callers asked of this entry.
func (f *Follower) SendDemand(n DemandNote) {
	conns, _ := f.Conns()
	for _, c := range conns {
		_ = c.Send(KindDemand, n) // the next one makes up for a lost one
	}
}

// Conns returns the connections to the voters that are reached, and how many voters
// there are.
func (f *Follower) Conns() (conns []*wire.Conn, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.links {
		if c := h.link.Conn(); c != nil {
			conns = append(conns, c)
		}
	}
	return conns, len(f.links)
}
