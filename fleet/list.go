package fleet

import (
	"context"
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
	noListAge     = time.Hour               // of a voter that has not read the list yet
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

	mu      sync.Mutex
	history *history
	at      time.Time // of the newest reading; zero for none
	changed chan struct{}
	entries map[string]time.Time
	failing bool
}

// Register adds the handler to mux.
func (r *Reader) Register(mux *wire.Mux) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = make(chan struct{})
	r.entries = make(map[string]time.Time)
	r.history = newHistory(uint64(time.Now().UnixMilli())) // above those of an earlier start
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
	if r.history.note(listings) {
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

func (r *Reader) answer(m *wire.Message) {
	var call ListCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	r.mu.Lock()
	r.entries[m.Conn().Peer().Name] = time.Now()
	changed, newer := r.changed, r.history.number != call.Newer && !r.at.IsZero()
	r.mu.Unlock()
	if !newer && !m.Await(changed, listWait) {
		return
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
	reply := ListReply{Entries: len(r.entries)}
	if r.at.IsZero() {
		reply.Number = call.Newer
		reply.AgeMS = noListAge.Milliseconds()
		return reply
	}
	reply.AgeMS = now.Sub(r.at).Milliseconds()
	r.history.since(call.Newer, &reply)
	return reply
}
