package gateway

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep/memory"
)

// A caller may read slowly, or not at all. While a write to it blocks, nothing of its stream would be read, and a backend server cuts off a response
// that stays unread for some seconds. So one loop watches the writes of all requests. When one has blocked for a while, a goroutine reads that
// stream on into memory, as far as the budget allows, until the write returns. Streams whose callers read have neither a goroutine nor a timer of their own.
//
// A write that still blocks when the time of its request is over, and has for longer than a connection may be idle, has lost its caller: the
// connection is closed.

const (
	watchInterval = 250 * time.Millisecond
	readAheadSize = 16 << 10 // bytes of one read
	writePiece    = 64 << 10 // bytes of a plain response that are written at once, so that a caller who reads is seen to
)

// abortableReader is a response that is read ahead. *origin.Response is one.
type abortableReader interface {
	io.Reader
	Abort() // ends a Read that is waiting; may be called concurrently with it
}

// callerWrite is the writing of one response to its caller.
type callerWrite struct {
	since    atomic.Int64 // when the write that goes on began, in nanoseconds of Unix time; 0 while there is none
	deadline time.Time    // of the request
	patience time.Duration
	caller   memory.Owner // its Release ends the write; may be called again
	ahead    *readAhead   // nil for a response that has been read whole
}

func (w *callerWrite) begin(now time.Time) { w.since.Store(now.UnixNano()) }
func (w *callerWrite) end()                { w.since.Store(0) }

// check does what a write needs that blocks at now.
func (w *callerWrite) check(now time.Time) {
	since := w.since.Load()
	if since == 0 {
		return
	}
	blocked := now.Sub(time.Unix(0, since))
	if blocked >= watchInterval && w.ahead != nil {
		w.ahead.start()
	}
	if blocked >= w.patience && now.After(w.deadline) {
		w.caller.Release()
	}
}

// writeWatch watches the writes to all callers. Its loop runs while there are any.
type writeWatch struct {
	mu      sync.Mutex
	writes  map[*callerWrite]bool
	running bool
}

func (a *writeWatch) add(w *callerWrite) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writes == nil {
		a.writes = make(map[*callerWrite]bool)
	}
	a.writes[w] = true
	if !a.running {
		a.running = true
		go a.loop()
	}
}

func (a *writeWatch) remove(w *callerWrite) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.writes, w)
}

func (a *writeWatch) loop() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for now := range t.C {
		if !a.check(now) {
			return
		}
	}
}

// check checks all writes, and reports whether there are any; else the loop ends.
func (a *writeWatch) check(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.writes {
		w.check(now)
	}
	a.running = len(a.writes) > 0
	return a.running
}

// readAhead reads a stream, directly or what was read ahead of it. Read and close are called by the goroutine that writes to the caller.
type readAhead struct {
	source abortableReader
	held   memory.Holder // what was read ahead
	busy   atomic.Bool   // a goroutine reads ahead
	wanted atomic.Bool   // the writer wants to read, or nothing is wanted any more

	mu     sync.Mutex // held while source is read
	pieces [][]byte   // read ahead
	size   int64      // bytes of pieces
	err    error      // that ended source
}

// start reads ahead until the next Read, unless that is done already.
func (a *readAhead) start() {
	if a.busy.CompareAndSwap(false, true) {
		go func() {
			defer a.busy.Store(false)
			for a.readOnce() {
			}
		}()
	}
}

// readOnce reads one piece ahead. It reports false if no more is wanted, or the budget allows no more.
func (a *readAhead) readOnce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wanted.Load() || a.err != nil || a.held.Resize(time.Now(), a.size+readAheadSize) != nil {
		return false
	}
	piece := make([]byte, readAheadSize)
	n, err := a.source.Read(piece)
	if n > 0 {
		a.pieces = append(a.pieces, append([]byte(nil), piece[:n]...))
		a.size += int64(n)
	}
	a.err = err
	return err == nil
}

// Read implements io.Reader.
func (a *readAhead) Read(p []byte) (int, error) {
	a.wanted.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	defer a.wanted.Store(false)
	switch {
	case len(a.pieces) > 0:
		return a.take(p), nil
	case a.err != nil:
		return 0, a.err
	}
	return a.source.Read(p)
}

func (a *readAhead) take(p []byte) int {
	n := copy(p, a.pieces[0])
	a.size -= int64(n)
	if a.pieces[0] = a.pieces[0][n:]; len(a.pieces[0]) == 0 {
		a.pieces = a.pieces[1:]
	}
	if len(a.pieces) == 0 {
		a.pieces = nil
	}
	_ = a.held.Resize(time.Now(), a.size) // less than before
	return n
}

// close ends reading ahead, and gives back what was. If a read goes on, source is aborted.
func (a *readAhead) close() {
	a.wanted.Store(true)
	if a.busy.Load() {
		a.source.Abort()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pieces, a.size = nil, 0
	a.held.Close()
}

// watchWrite watches the writing w of a response to the caller, until it is removed. ahead is nil for a response that has been read whole.
func (x *exchange) watchWrite(w *callerWrite, ahead *readAhead) {
	x.responding.Store(true)
	w.deadline, w.patience, w.caller, w.ahead = x.deadline, x.bodyStall(), x, ahead
	x.g.writes.add(w)
}

// writeWhole writes a response that has been read whole, in pieces. A caller may be reading it slowly or not at all; if others need the
// memory, its connection is closed.
func (x *exchange) writeWhole(body []byte) error {
	if len(body) <= writePiece {
		_, err := x.w.Write(body)
		return err
	}
	var w callerWrite
	x.watchWrite(&w, nil)
	defer x.g.writes.remove(&w)
	for len(body) > 0 {
		now := time.Now()
		x.held.Keep(now, false)
		w.begin(now)
		n, err := x.w.Write(body[:min(len(body), writePiece)])
		w.end()
		if err != nil {
			return err
		}
		body = body[n:]
	}
	x.held.Keep(time.Now(), true) // its connection may carry another request
	return nil
}
