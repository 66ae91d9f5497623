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

// How the platform's list spreads. The list takes few calls a second from all
// processes together, so only the voters read it. Entries follow all voters and
// take the newest of each; one voter that is cut off or frozen hides nothing. An
// entry that no voter has brought a list for a while reads it itself.

const (
	readInterval  = time.Second
	readTimeout   = 900 * time.Millisecond
	listWait      = time.Second // a call that has nothing new is answered after so long
	listTimeout   = listWait + 1500*time.Millisecond
	listAge       = 2500 * time.Millisecond // without a list for so long an entry reads it itself
	ownInterval   = 2 * time.Second
	entryMaxAge   = 5 * time.Second // an entry that did not call for so long is not counted
	votersRefresh = 200 * time.Millisecond
)

// Reader reads the platform's list on a voter and answers entries that follow it.
// Set the exported fields before Run.
type Reader struct {
	Directory bamboostep.Directory
	Fleet     *Fleet // told of each list; may be nil
	Recorder  *timeline.Recorder

	mu       sync.Mutex
	number   uint64
	listings []bamboostep.Listing
	at       time.Time
	changed  chan struct{}
	entries  map[string]time.Time
	failing  bool
}

// Register adds the handler to mux.
func (r *Reader) Register(mux *wire.Mux) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = make(chan struct{})
	r.entries = make(map[string]time.Time)
	r.number = uint64(time.Now().UnixMilli()) // above that of an earlier start
	mux.On(KindList, func(m *wire.Message) { go r.answer(m) })
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	t := time.NewTicker(readInterval)
	defer t.Stop()
	for {
		r.read(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (r *Reader) read(ctx context.Context) {
	began := time.Now()
	listings, err := readList(ctx, r.Directory)
	r.noteOutcome(err)
	if err != nil {
		return
	}
	r.mu.Lock()
	if !sameListings(r.listings, listings) {
		r.number++
		r.listings = listings
		close(r.changed)
		r.changed = make(chan struct{})
	}
	r.at = began
	r.mu.Unlock()
	if r.Fleet != nil {
		r.Fleet.NoteList(listings, began)
	}
}

func readList(ctx context.Context, d bamboostep.Directory) ([]bamboostep.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return d.Listings(ctx)
}

// noteOutcome records when the platform's list is lost and when it is there again.
func (r *Reader) noteOutcome(err error) {
	if (err != nil) == r.failing {
		return
	}
	r.failing = err != nil
	if err != nil {
		r.Recorder.Record(timeline.Event{Kind: "list_lost", Detail: err.Error()})
		return
	}
	r.Recorder.Record(timeline.Event{Kind: "list_regained"})
}

func sameListings(a, b []bamboostep.Listing) bool {
	return slices.EqualFunc(a, b, func(x, y bamboostep.Listing) bool {
		return x.Instance == y.Instance && x.Born == y.Born && x.Leaving == y.Leaving &&
			x.Address == y.Address && x.Service == y.Service &&
			slices.EqualFunc(x.Models, y.Models, sameHeld)
	})
}

func sameHeld(a, b bamboostep.HeldModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

func (r *Reader) answer(m *wire.Message) {
	var call ListCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	r.mu.Lock()
	r.entries[m.Conn().Peer().Name] = time.Now()
	changed, newer := r.changed, r.number > call.Newer && !r.at.IsZero()
	r.mu.Unlock()
	if !newer {
		t := time.NewTimer(listWait)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-m.Conn().Done():
			return
		}
	}
	m.Reply(r.reply(call, time.Now()))
}

func (r *Reader) reply(call ListCall, now time.Time) ListReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.entries {
		if now.Sub(at) > entryMaxAge {
			delete(r.entries, name)
		}
	}
	reply := ListReply{Number: r.number, AgeMS: now.Sub(r.at).Milliseconds(), Entries: len(r.entries)}
	if r.at.IsZero() {
		return ListReply{Entries: len(r.entries), AgeMS: listAge.Milliseconds()}
	}
	if r.number > call.Newer {
		reply.Changed, reply.Listings = true, r.listings
	}
	return reply
}

// Follower follows the lists of all voters for an entry. Set the exported fields
// before Run.
type Follower struct {
	Node      *wire.Node
	Fleet     *Fleet
	Voters    func() []string      // addresses
	Directory bamboostep.Directory // read when no voter brings a list
	Recorder  *timeline.Recorder

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
		},
		Down: func(*wire.Conn) { f.Recorder.Record(timeline.Event{Kind: "voter_lost", VM: address}) },
	}
	f.links[address] = &holderLink{link, cancel}
	go link.Run(ctx)
}

// watch follows one voter until its connection ends.
func (f *Follower) watch(ctx context.Context, c *wire.Conn) {
	var have ListReply
	for ctx.Err() == nil && c.Err() == nil {
		var r ListReply
		if err := callList(ctx, c, have.Number, &r); err != nil {
			c.Close()
			return
		}
		if r.Changed {
			have = r
		}
		f.take(have, r, time.Now())
	}
}

func callList(ctx context.Context, c *wire.Conn, newer uint64, r *ListReply) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return c.Call(ctx, KindList, ListCall{newer}, r)
}

func (f *Follower) take(have, r ListReply, now time.Time) {
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	f.mu.Lock()
	f.entries = max(r.Entries, f.entries*9/10)
	if r.Number == have.Number && at.After(f.lastAt) {
		f.lastAt = at
	}
	f.mu.Unlock()
	if have.Number != 0 && r.Number == have.Number {
		f.Fleet.NoteList(have.Listings, at)
	}
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

// Entries returns how many entries there are, as far as voters have said.
func (f *Follower) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.entries)
}

// SendDemand tells all voters what callers asked of this entry.
func (f *Follower) SendDemand(n DemandNote) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.links {
		if c := h.link.Conn(); c != nil {
			_ = c.Send(KindDemand, n) // the next one makes up for a lost one
		}
	}
}
