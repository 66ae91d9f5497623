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

// An entry follows all voters concurrently and uses the newest information from any of
// them, so that a voter that is partitioned, suspended or behind hides nothing.

// ListFollower follows the lists of all voters on behalf of an entry. Set the exported fields
// before Run.
type ListFollower struct {
	Node      *wire.Node
	Fleet     *Fleet
	Voters    func() []string      // addresses of the voters
	Directory bamboostep.Directory // read directly while no voter provides a list
	Recorder  *timeline.Recorder

	// OnConnect, if not nil, is called in a new goroutine for each established connection to a
	// voter. ctx ends when the voter is no longer followed.
	OnConnect func(ctx context.Context, c *wire.Conn)

	mu            sync.Mutex
	links         map[string]*peerLink // by address of the voter
	newestList    time.Time            // time as of which the newest list was read; initially the start time
	entries       int                  // estimated number of entries; see Entries
	readsDirectly bool                 // the list is read from Directory
}

// Run follows the voters until ctx ends.
func (f *ListFollower) Run(ctx context.Context) error {
	go f.readDirectly(ctx)
	t := time.NewTicker(voterRefreshInterval)
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

// follow opens links to new voters and closes those to removed ones.
func (f *ListFollower) follow(ctx context.Context) {
	voters := f.Voters()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.links == nil {
		f.links = make(map[string]*peerLink)
		f.newestList = time.Now()
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

// open starts connecting to a voter. f.mu is held.
func (f *ListFollower) open(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	link := &wire.Link{
		Node:    f.Node,
		Address: address,
		Handler: wire.HandlerFunc(func(*wire.Message) {}),
		Up: func(c *wire.Conn) {
			f.Recorder.Record(timeline.Event{Kind: "voter_reached", VM: address})
			go f.followVoter(ctx, c)
			if f.OnConnect != nil {
				go f.OnConnect(ctx, c)
			}
		},
		Down: func(*wire.Conn) { f.Recorder.Record(timeline.Event{Kind: "voter_lost", VM: address}) },
	}
	f.links[address] = &peerLink{link, cancel}
	go link.Run(ctx)
}

// followVoter long-polls one voter for its list until the connection fails or ctx ends.
func (f *ListFollower) followVoter(ctx context.Context, c *wire.Conn) {
	var have followedList
	for ctx.Err() == nil && c.Err() == nil {
		var r ListReply
		asked := time.Now()
		if err := callList(ctx, c, have.version, &r); err != nil {
			c.Close()
			return
		}
		if r.Version != 0 {
			have.apply(r)
			f.applyReply(have.list, r, asked)
		}
	}
}

// callList asks a voter for changes since a version.
func callList(ctx context.Context, c *wire.Conn, known uint64, r *ListReply) error {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout)
	defer cancel()
	return c.Call(ctx, KindList, ListCall{known}, r)
}

// applyReply passes a list to Fleet, dated by the moment at which it was asked for. The number of entries
// falls by at most a tenth per reply, so that one voter with a lower count does not reduce
// it at once.
func (f *ListFollower) applyReply(listings []bamboostep.Listing, r ListReply, asked time.Time) {
	at := r.readAt(asked)
	f.mu.Lock()
	f.entries = max(r.Entries, f.entries*9/10)
	if at.After(f.newestList) {
		f.newestList = at
	}
	f.mu.Unlock()
	f.Fleet.SetEntryCount(f.Entries())
	f.Fleet.ApplyList(listings, at)
}

// readDirectly reads the platform's list while the voters provide none.
func (f *ListFollower) readDirectly(ctx context.Context) {
	t := time.NewTicker(directReadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !f.votersSilent(time.Now()) {
			continue
		}
		began := time.Now()
		listings, err := readList(ctx, f.Directory)
		if err != nil {
			f.Recorder.Record(timeline.Event{Kind: "list_unreadable", Detail: err.Error()})
			continue
		}
		f.Fleet.ApplyList(listings, began)
	}
}

// votersSilent reports whether the newest list is older than maxListAge, and records when
// that changes.
func (f *ListFollower) votersSilent(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	silent := now.Sub(f.newestList) > maxListAge
	if silent != f.readsDirectly {
		f.readsDirectly = silent
		kind := "list_from_voters"
		if silent {
			kind = "list_read_directly"
		}
		f.Recorder.Record(timeline.Event{Kind: kind})
	}
	return silent
}

// Entries returns the number of entries as reported by voters, 0 if none has.
func (f *ListFollower) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

// SendDemand sends an entry's recent demand to all voters.
func (f *ListFollower) SendDemand(n DemandUpdate) {
	conns, _ := f.Conns()
	for _, c := range conns {
		_ = c.Send(KindDemand, n) // not resent if lost: the next note follows soon
	}
}

// Conns returns the established connections to voters, and the number of voters.
func (f *ListFollower) Conns() (conns []*wire.Conn, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.links {
		if c := h.link.Conn(); c != nil {
			conns = append(conns, c)
		}
	}
	return conns, len(f.links)
}
