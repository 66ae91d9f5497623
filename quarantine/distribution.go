package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// Distribution of crash records. An entry sends what it observes to all voters. Each voter
// merges what it receives, and entries follow all voters, so a voter that is partitioned
// or frozen hides nothing. An entry sends all its records when it connects to a voter, and
// a voter answers its first watch with everything, so a process that restarts, entry or
// voter, recovers the records as soon as it is connected to another.

const (
	kindNote  = "quarantine.note"  // entry to voter: Observations; no reply
	kindWatch = "quarantine.watch" // entry to voter: a watchRequest, answered by a watchReply; a long poll
	kindTry   = "quarantine.try"   // entry to voter: a trialRequest, answered by a trialReply

	longPollTimeout  = 5 * time.Second // a watch without changes is answered after this time
	watchCallTimeout = longPollTimeout + 1500*time.Millisecond
	trialCallTimeout = 300 * time.Millisecond
	watchInterval    = 100 * time.Millisecond // pause between two watches, so that changes are batched
)

// watchRequest asks for the changes after a version of the voter's table.
type watchRequest struct {
	AfterVersion uint64 `msgpack:"newer"`
}

// watchReply holds the changes up to a version of the voter's table.
type watchReply struct {
	Version uint64   `msgpack:"number"`
	Records []Record `msgpack:"records"`
	Crashes []Crash  `msgpack:"crashes"`         // new crashes, including those of suspects that the reply does not contain
	Parts   []Record `msgpack:"parts,omitempty"` // of parts of prompts
}

// trialRequest asks whether a request may run once, since its refusal or that of a part of its
// prompt has expired.
type trialRequest struct {
	Fingerprint uint64 `msgpack:"content"`
	Part        bool   `msgpack:"part,omitempty"`    // it is that of a part of prompts
	Token       uint64 `msgpack:"token,omitempty"`   // names the request for a trial
	Release     bool   `msgpack:"release,omitempty"` // give the trial with this token back, if it was granted; no reply
}

// trialReply answers a trialRequest.
type trialReply struct {
	Granted bool `msgpack:"granted"`
}

// Aggregator merges crash records on a voter and serves them to entries. Set the exported fields
// before Register.
type Aggregator struct {
	Table    *Table
	Recorder *timeline.Recorder
	OnChange func() // called after each change; must not block; may be nil
}

// Register adds the message handlers to mux.
func (b *Aggregator) Register(mux *wire.Mux) {
	mux.On(kindNote, b.handleNote)
	mux.On(kindWatch, func(m *wire.Message) { go b.handleWatch(m) })
	mux.On(kindTry, b.handleTry)
}

func (b *Aggregator) handleNote(m *wire.Message) {
	var o Observations
	if m.Decode(&o) != nil {
		return // wire has closed the connection and counts the bad frame
	}
	now := time.Now()
	changed := Observations{b.Table.Merge(now, o.Records), b.Table.MergeParts(now, o.Parts)}
	for _, r := range changed.Records {
		b.logSuspect("request", r, b.Table.Evaluate(now, r.Fingerprint))
	}
	for _, r := range changed.Parts {
		b.logSuspect("prompt_part", r, b.Table.EvaluateParts(now, []uint64{r.Fingerprint}))
	}
	if !changed.empty() && b.OnChange != nil {
		b.OnChange()
	}
}

// logSuspect records an event for a request or a part of prompts with suspectThreshold crashes or
// more, and whether it is refused.
func (b *Aggregator) logSuspect(kind string, r Record, v Verdict) {
	if len(r.Crashes) < suspectThreshold {
		return
	}
	e := timeline.Event{Kind: kind + "_suspected", Content: FormatFingerprint(r.Fingerprint), VM: r.Crashes[len(r.Crashes)-1].Address}
	if v.Refused {
		e.Kind = kind + "_quarantined"
	}
	e.Detail = fmt.Sprintf("at %d crashes, refused for %s", len(r.Crashes), v.RetryAfter.Round(time.Second))
	b.Recorder.Record(e)
}

func (b *Aggregator) handleWatch(m *wire.Message) {
	var call watchRequest
	if m.Decode(&call) != nil {
		return // wire has closed the connection and counts the bad frame
	}
	reply, changed := b.Table.changesSince(call.AfterVersion)
	if reply.Version == call.AfterVersion {
		if !m.Await(changed, longPollTimeout) {
			return
		}
		reply, _ = b.Table.changesSince(call.AfterVersion)
	}
	_ = m.Reply(reply) // on an error the entry watches again
}

func (b *Aggregator) handleTry(m *wire.Message) {
	var call trialRequest
	if m.Decode(&call) != nil {
		return // wire has closed the connection and counts the bad frame
	}
	id := SuspectID{call.Fingerprint, call.Part}
	if call.Release {
		b.Table.releaseTrial(id, call.Token)
		return
	}
	_ = m.Reply(trialReply{b.Table.grantTrial(time.Now(), id, call.Token)}) // on an error the entry counts it as not granted
}

// Follower exchanges crash records with the voters on an entry. Set the exported fields
// before the first use.
type Follower struct {
	Table    *Table
	Voters   func() (conns []*wire.Conn, all int) // open connections, and the number of all voters
	Recorder *timeline.Recorder

	synced atomic.Bool
}

// Synced reports whether any voter has answered a watch.
func (f *Follower) Synced() bool { return f.synced.Load() }

// Broadcast sends observations to all connected voters.
func (f *Follower) Broadcast(o Observations) {
	conns, _ := f.Voters()
	for _, c := range conns {
		_ = c.Send(kindNote, o) // after a failure, Watch sends all records on the next connection
	}
}

// RequestTrial asks all voters for a trial of a suspect whose refusal has expired, and reports
// whether a majority of all voters, connected or not, has granted it. If not, it gives back what
// was granted, so that entries that ask at the same time do not keep each other from a majority.
// It takes at most trialCallTimeout.
func (f *Follower) RequestTrial(ctx context.Context, id SuspectID) bool {
	ctx, cancel := context.WithTimeout(ctx, trialCallTimeout)
	defer cancel()
	call := trialRequest{Fingerprint: id.Fingerprint, Part: id.Part, Token: rand.Uint64()}
	conns, all := f.Voters()
	replies := make(chan bool, len(conns))
	for _, c := range conns {
		go func() {
			var r trialReply
			err := c.Call(ctx, kindTry, call, &r)
			replies <- err == nil && r.Granted
		}()
	}
	granted := 0
	for range conns {
		if <-replies {
			granted++
		}
	}
	f.Recorder.Record(timeline.Event{Kind: "suspect_tried", Content: FormatFingerprint(id.Fingerprint), Detail: fmt.Sprintf("%d of %d voters granted the trial", granted, all)})
	if granted > all/2 {
		return true
	}
	call.Release = true
	for _, c := range conns {
		_ = c.Send(kindTry, call) // otherwise the trial expires
	}
	return false
}

// Watch sends all records to one voter and merges its changes until the connection or ctx
// ends. It closes a connection on which a watch fails.
func (f *Follower) Watch(ctx context.Context, c *wire.Conn) {
	_ = c.Send(kindNote, Observations{f.Table.Records(), f.Table.PartRecords()}) // fails only if the connection has ended
	var version uint64
	for ctx.Err() == nil && c.Err() == nil {
		var reply watchReply
		if err := callWatch(ctx, c, version, &reply); err != nil {
			if c.Err() == nil && ctx.Err() == nil {
				f.Recorder.Record(timeline.Event{Kind: "quarantine_not_followed", VM: c.Peer().Name, Detail: err.Error()})
				c.Close()
			}
			return
		}
		version = reply.Version
		f.Table.MergeCrashes(reply.Crashes)
		now := time.Now()
		f.Table.Merge(now, reply.Records)
		f.Table.MergeParts(now, reply.Parts)
		f.synced.Store(true)
		timer.Sleep(ctx, watchInterval)
	}
}

func callWatch(ctx context.Context, c *wire.Conn, version uint64, reply *watchReply) error {
	ctx, cancel := context.WithTimeout(ctx, watchCallTimeout)
	defer cancel()
	return c.Call(ctx, kindWatch, watchRequest{version}, reply)
}
