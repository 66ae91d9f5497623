package quarantine

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// How news spreads. An entry tells all voters what it saw. Each voter puts together
// what it hears, and entries follow all voters, so one that is cut off or frozen hides
// nothing. Whoever connects tells all that it knows, so a process that restarts, entry
// or voter, has it back as soon as it reaches another.

const (
	kindNote  = "quarantine.note"  // entry to voter: a note; no answer
	kindWatch = "quarantine.watch" // entry to voter: a watchCall, answered by a watchReply
	kindTry   = "quarantine.try"   // entry to voter: a tryCall, answered by a tryReply

	watchWait    = 5 * time.Second // a call that has nothing new is answered after so long
	watchTimeout = watchWait + 1500*time.Millisecond
	tryTimeout   = 300 * time.Millisecond
	watchRest    = 100 * time.Millisecond // between two calls, so that news comes together
)

type note struct {
	Records []Record `msgpack:"records"`
}

type watchCall struct {
	Newer uint64 `msgpack:"newer"`
}

type watchReply struct {
	Number  uint64   `msgpack:"number"`
	Records []Record `msgpack:"records"`
	Crashes []Crash  `msgpack:"crashes"` // new ones, whoever was at them
}

type tryCall struct {
	Content uint64 `msgpack:"content"`
}

type tryReply struct {
	Granted bool `msgpack:"granted"`
}

// Board is a voter's part. Set the exported fields before Register.
type Board struct {
	Table    *Table
	Recorder *timeline.Recorder
	Changed  func() // called after each change; must not block; may be nil
}

// Register adds the handlers to mux.
func (b *Board) Register(mux *wire.Mux) {
	mux.On(kindNote, b.handleNote)
	mux.On(kindWatch, func(m *wire.Message) { go b.handleWatch(m) })
	mux.On(kindTry, b.handleTry)
}

func (b *Board) handleNote(m *wire.Message) {
	var n note
	if m.Decode(&n) != nil {
		return // the frame is counted by wire
	}
	now := time.Now()
	news := b.Table.Note(now, n.Records)
	for _, r := range news {
		b.record(now, r)
	}
	if len(news) > 0 && b.Changed != nil {
		b.Changed()
	}
}

// record logs what makes a request a suspect of more than one crash, and its refusal.
func (b *Board) record(now time.Time, r Record) {
	if len(r.Crashes) < suspectCrashes {
		return
	}
	e := timeline.Event{Kind: "request_suspected", Content: FormatContent(r.Content), VM: r.Crashes[len(r.Crashes)-1].Address}
	v := b.Table.Judge(now, r.Content)
	if v.Refused {
		e.Kind = "request_quarantined"
	}
	e.Detail = fmt.Sprintf("at %d crashes, refused for %s", len(r.Crashes), v.RetryAfter.Round(time.Second))
	b.Recorder.Record(e)
}

func (b *Board) handleWatch(m *wire.Message) {
	var call watchCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	reply, changed := b.Table.since(call.Newer)
	if reply.Number == call.Newer {
		if !m.Await(changed, watchWait) {
			return
		}
		reply, _ = b.Table.since(call.Newer)
	}
	_ = m.Reply(reply) // who asked asks again
}

func (b *Board) handleTry(m *wire.Message) {
	var call tryCall
	if m.Decode(&call) != nil {
		return // the frame is counted by wire
	}
	_ = m.Reply(tryReply{b.Table.grant(time.Now(), call.Content)}) // who asked counts it as refused
}

// Follower is an entry's part. Set the exported fields before the first use.
type Follower struct {
	Table    *Table
	Voters   func() (conns []*wire.Conn, all int) // those that are reached, of all
	Recorder *timeline.Recorder

	synced atomic.Bool
}

// Synced reports whether any voter has told what it knows.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Tell tells all voters what this entry saw.
func (f *Follower) Tell(records []Record) {
	conns, _ := f.Voters()
	for _, c := range conns {
		_ = c.Send(kindNote, note{records}) // the next connection is told all
	}
}

// Try asks all voters whether this entry may try a request whose refusal is over. It
// takes more than half of them.
func (f *Follower) Try(ctx context.Context, content uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	conns, all := f.Voters()
	answers := make(chan bool, len(conns))
	for _, c := range conns {
		go func() {
			var r tryReply
			err := c.Call(ctx, kindTry, tryCall{content}, &r)
			answers <- err == nil && r.Granted
		}()
	}
	granted := 0
	for range conns {
		if <-answers {
			granted++
		}
	}
	f.Recorder.Record(timeline.Event{Kind: "suspect_tried", Content: FormatContent(content), Detail: fmt.Sprintf("%d of %d voters agree", granted, all)})
	return granted > all/2
}

// Watch follows one voter until its connection or ctx ends.
func (f *Follower) Watch(ctx context.Context, c *wire.Conn) {
	_ = c.Send(kindNote, note{f.Table.All()}) // fails only if the connection has ended
	var newer uint64
	for ctx.Err() == nil && c.Err() == nil {
		var reply watchReply
		if err := callWatch(ctx, c, newer, &reply); err != nil {
			if c.Err() == nil && ctx.Err() == nil {
				f.Recorder.Record(timeline.Event{Kind: "quarantine_not_followed", VM: c.Peer().Name, Detail: err.Error()})
				c.Close()
			}
			return
		}
		newer = reply.Number
		f.Table.NoteCrashes(reply.Crashes)
		f.Table.Note(time.Now(), reply.Records)
		f.synced.Store(true)
		pause(ctx, watchRest)
	}
}

func callWatch(ctx context.Context, c *wire.Conn, newer uint64, reply *watchReply) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return c.Call(ctx, kindWatch, watchCall{newer}, reply)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
