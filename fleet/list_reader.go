package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Distribution of the platform's list of backend servers. The platform allows only a few
// list calls per second for all processes together, so only the voters read it. Entries
// follow all voters and use the newest list, so that a partitioned or suspended voter hides
// nothing. An entry that gets no list from any voter for maxListAge reads
// the platform's list itself.

const (
	readInterval         = time.Second
	activePollInterval   = 50 * time.Millisecond // of a voter that does not read the list, until it has to
	readTimeout          = 900 * time.Millisecond
	longPollWait         = readInterval + readTimeout           // a call is answered after this time if no reading has ended
	longPollTimeout      = longPollWait + 1500*time.Millisecond // allows for a slow reply on top of the wait
	unknownListAge       = time.Hour                            // age reported by a voter that has not read the list yet
	maxListAge           = 2500 * time.Millisecond              // an entry whose newest list is older reads the platform's list itself
	directReadInterval   = 2 * time.Second                      // between such reads of one entry
	entryMaxAge          = 5 * time.Second                      // an entry that has not called for this long is no longer counted
	voterRefreshInterval = 200 * time.Millisecond
)

// ListReader reads the platform's list on a voter and serves it to the entries that follow it.
// Set the exported fields before Register.
type ListReader struct {
	Directory bamboostep.Directory
	Fleet     *Fleet      // also receives each list; may be nil
	Active    func() bool // the list is read only while it reports true
	Recorder  *timeline.Recorder

	mu          sync.Mutex
	history     *listHistory
	readAt      time.Time            // start of the newest successful reading; zero if there is none
	wasRead     chan struct{}        // closed and replaced after each successful reading
	entries     map[string]time.Time // time of each entry's last call, by name
	readFailing bool                 // the last reading failed
}

// Register adds the handler of list calls to mux.
func (r *ListReader) Register(mux *wire.Mux) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wasRead = make(chan struct{})
	r.entries = make(map[string]time.Time)
	r.history = newListHistory(uint64(time.Now().UnixMilli())) // must exceed the versions of an earlier start of this voter
	mux.On(KindList, func(m *wire.Message) { go r.handleList(m) })
}

// Run reads the list every readInterval until ctx ends.
func (r *ListReader) Run(ctx context.Context) error {
	t := time.NewTicker(readInterval)
	defer t.Stop()
	for {
		r.awaitActive(ctx)
		r.read(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// awaitActive returns when the list is to be read, or ctx ends.
func (r *ListReader) awaitActive(ctx context.Context) {
	for r.Active != nil && !r.Active() && ctx.Err() == nil {
		time.Sleep(activePollInterval)
	}
}

// read reads the list once and publishes it if it changed.
func (r *ListReader) read(ctx context.Context) {
	began := time.Now()
	listings, err := readList(ctx, r.Directory)
	r.recordReadResult(err)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.history.update(listings)
	r.readAt = began
	close(r.wasRead)
	r.wasRead = make(chan struct{})
	r.mu.Unlock()
	if r.Fleet != nil {
		r.Fleet.ApplyList(listings, began)
	}
}

// readList reads the platform's list, bounded by readTimeout.
func readList(ctx context.Context, d bamboostep.Directory) ([]bamboostep.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return d.Listings(ctx)
}

// recordReadResult records the transitions between readable and unreadable list.
func (r *ListReader) recordReadResult(err error) {
	if (err != nil) == r.readFailing {
		return
	}
	r.readFailing = err != nil
	if err != nil {
		r.Recorder.Record(timeline.Event{Kind: "list_lost", Detail: err.Error()})
		return
	}
	r.Recorder.Record(timeline.Event{Kind: "list_regained"})
}

// handleList answers a ListCall, at once if the caller's version is not the current one,
// else after the next reading, so that callers learn of it before they take their list for too old.
func (r *ListReader) handleList(m *wire.Message) {
	var call ListCall
	if m.Decode(&call) != nil {
		return // package wire counts the bad frame
	}
	received := time.Now()
	r.mu.Lock()
	r.entries[m.Conn().Peer().Name] = received
	wasRead, newer := r.wasRead, r.history.version != call.KnownVersion && !r.readAt.IsZero()
	r.mu.Unlock()
	if !newer && !m.Await(wasRead, longPollWait) {
		return
	}
	now := time.Now() // one reading for both, or the process could stand still between two
	reply := r.listReply(call, now)
	reply.HeldMS = now.Sub(received).Milliseconds()
	m.Reply(reply)
}

// listReply builds the reply to a ListCall and drops entries that have stopped calling.
func (r *ListReader) listReply(call ListCall, now time.Time) ListReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, at := range r.entries {
		if now.Sub(at) > entryMaxAge {
			delete(r.entries, name)
		}
	}
	reply := ListReply{Entries: len(r.entries)}
	if r.readAt.IsZero() {
		reply.Version = call.KnownVersion
		reply.AgeMS = unknownListAge.Milliseconds()
		return reply
	}
	reply.AgeMS = now.Sub(r.readAt).Milliseconds()
	r.history.changesSince(call.KnownVersion, &reply)
	return reply
}
