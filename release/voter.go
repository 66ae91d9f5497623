package release

import (
	"fmt"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// maxVoterStreams bounds the memory of a voter: about 12 MB, and 2 MB in its file.
const maxVoterStreams = 1 << 18

// Registry keeps the origins of streams on a voter. Set the exported fields before Register.
type Registry struct {
	File     *File // nil on a VM without a disk
	Recorder *timeline.Recorder
	Metrics  *Metrics // may be nil

	table *table

	mu      sync.Mutex
	full    bool // the last note was not taken whole
	dropped int  // streams since the table was found full
}

// Register restores the file and adds the message handlers to mux.
func (r *Registry) Register(mux *wire.Mux) {
	r.table = newTable(maxVoterStreams, time.Now())
	r.Metrics.observeTable(r.table)
	if r.File != nil {
		r.File.restore(r.table)
	}
	mux.On(kindNote, func(m *wire.Message) {
		var n note
		if m.Decode(&n) == nil { // else package wire counts the bad frame
			r.take(n, time.Now())
		}
	})
	mux.On(kindFind, func(m *wire.Message) {
		var call findRequest
		if m.Decode(&call) != nil {
			return // package wire counts the bad frame
		}
		o, known := r.table.get(streamID(call.Stream), time.Now())
		_ = m.Reply(findReply{known, o.Service, o.Version}) // on an error the entry asks other voters
	})
}

// take keeps the streams of a note.
func (r *Registry) take(n note, now time.Time) {
	r.recordFull(n.putInto(r.table, now))
	if r.File != nil {
		r.File.append(n)
	}
}

// recordFull records when streams begin and cease to be dropped.
func (r *Registry) recordFull(dropped int) {
	r.Metrics.countDropped(dropped)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped += dropped
	if full := dropped > 0; full != r.full {
		r.full = full
		r.Recorder.Record(timeline.Event{Kind: "stream_origins_full", Detail: fmt.Sprintf("%v, dropped %d", full, r.dropped)})
		r.dropped = 0
	}
}
