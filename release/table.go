package release

import (
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
)

// streamID is the fingerprint of the ID of the request that began a stream.
type streamID uint64

func streamIDOf(request string) streamID {
	return streamID(bamboostep.Fingerprint(nil, request))
}

const (
	sweepInterval = time.Second // between two removals of expired streams
	maxOrigins    = 1024        // origins of which a table keeps a single copy
)

// table holds the origins of streams until they expire. It is safe for concurrent use.
type table struct {
	max int // streams; more are not taken

	mu      sync.Mutex
	streams map[streamID]entry
	origins map[Origin]*Origin // so that streams share them
	start   time.Time          // expiry times count from it
	sweptAt time.Time
}

// entry is kept small: a voter holds many.
type entry struct {
	origin  *Origin // nil if two were named, so that none is sure
	expires uint32  // in keepSteps from the table's start
}

func newTable(max int, now time.Time) *table {
	return &table{max: max, streams: make(map[streamID]entry), origins: make(map[Origin]*Origin), start: now, sweptAt: now}
}

// put keeps the origin of a stream for a number of keepSteps, and at least as long as before. It returns false
// if the table is full. A stream for which two origins are named has none.
func (t *table) put(id streamID, o Origin, steps int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	e, known := t.streams[id]
	switch {
	case !known && len(t.streams) >= t.max:
		return false
	case !known:
		e.origin = t.shared(o)
	case e.origin != nil && *e.origin != o:
		e.origin = nil
	}
	e.expires = max(e.expires, t.step(now)+uint32(steps)+1) // one more for the part of a step that has passed
	t.streams[id] = e
	return true
}

// get returns the origin of a stream.
func (t *table) get(id streamID, now time.Time) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.streams[id]
	if !known || e.origin == nil || e.expires <= t.step(now) {
		return Origin{}, false
	}
	return *e.origin, true
}

// forEach calls f with each stream and the keepSteps that it is still kept for, while it holds the lock.
func (t *table) forEach(now time.Time, f func(id streamID, o Origin, steps int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	passed := t.step(now)
	for id, e := range t.streams {
		if e.origin != nil && e.expires > passed {
			f(id, *e.origin, int(e.expires-passed))
		}
	}
}

// size returns the number of streams, of which some may have expired.
func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.streams)
}

func (t *table) step(now time.Time) uint32 { return uint32(max(0, now.Sub(t.start)) / keepStep) }

// shared returns the table's copy of an origin. t.mu is held.
func (t *table) shared(o Origin) *Origin {
	if p := t.origins[o]; p != nil {
		return p
	}
	if len(t.origins) >= maxOrigins {
		clear(t.origins) // streams keep the copies that they have
	}
	p := &o
	t.origins[o] = p
	return p
}

// sweep removes expired streams, at most once in sweepInterval. t.mu is held.
func (t *table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	passed := t.step(now)
	for id, e := range t.streams {
		if e.expires <= passed {
			delete(t.streams, id)
		}
	}
}
