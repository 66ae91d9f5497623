package backend

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

// frame is a message on its way between one entry and the agent.
type frame struct {
	conn uint64 // connection that carries it
	body any
}

// caller is the entry's end of one attempt, with what it was told and promised.
type caller struct {
	offer    bamboostep.Offer
	stream   stream
	got      []byte
	notRun   bool // the entry may say "not run"
	ended    bool
	sent     bool
	started  int // times that the agent started the attempt
	produced int // pieces that its engine has produced
}

// world joins a table with callers by a network that loses, repeats, delays and
// swaps frames and changes connections.
type world struct {
	t       *rapid.T
	now     int64
	table   *table
	callers map[bamboostep.AttemptID]*caller
	conn    uint64
	toAgent []frame
	toEntry []frame
	running map[bamboostep.AttemptID]bool
	whole   int
	refused int
}

const pieces = 6

// reference is the answer that an attempt's engine gives.
func reference(id bamboostep.AttemptID, n int) bamboostep.Answer {
	a := bamboostep.Answer{Data: fmt.Appendf(nil, "%s:%d;", id, n), Last: n == pieces-1}
	if n == 0 {
		a = bamboostep.Answer{Status: 200}
	}
	return a
}

func wholeReference(id bamboostep.AttemptID) []byte {
	var all []byte
	for n := range pieces {
		all = append(all, reference(id, n).Data...)
	}
	return all
}

func (w *world) perform(acts []action) {
	for _, a := range acts {
		switch a.kind {
		case actionStart:
			w.start(*a.offer)
		case actionStop:
			delete(w.running, a.attempt)
			w.perform(w.table.ended(w.now, a.attempt, &bamboostep.Failure{Attempt: a.attempt, Outcome: bamboostep.Unknown}))
		case actionAnswer:
			w.toEntry = append(w.toEntry, frame{a.conn, a.answer})
		case actionFailure:
			w.toEntry = append(w.toEntry, frame{a.conn, a.failure})
		}
	}
}

func (w *world) start(offer bamboostep.Offer) {
	c := w.callers[offer.Attempt]
	c.started++
	if c.started > 1 {
		w.t.Fatalf("attempt %q started twice", offer.Attempt)
	}
	if c.notRun {
		w.t.Fatalf("attempt %q started after the entry was told that it did not run", offer.Attempt)
	}
	if offer.StartBy <= w.now {
		w.t.Fatalf("attempt %q started at %d, after its start-by time %d", offer.Attempt, w.now, offer.StartBy)
	}
	w.running[offer.Attempt] = true
}

// dice returns a number below n, all equally likely, unlike rapid's ranges.
func dice(t *rapid.T, n int, label string) int {
	faces := make([]int, n)
	for i := range faces {
		faces[i] = i
	}
	return rapid.SampledFrom(faces).Draw(t, label)
}

// pick returns one known attempt, or "".
func pick[V any](t *rapid.T, m map[bamboostep.AttemptID]V) bamboostep.AttemptID {
	if len(m) == 0 {
		return ""
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m))).Draw(t, "attempt")
}

func (w *world) newOffer(t *rapid.T) {
	id := bamboostep.AttemptID(fmt.Sprint("a", len(w.callers)))
	offer := bamboostep.Offer{
		Attempt:  id,
		StartBy:  w.now + 1e6*int64(dice(t, 12, "start within")-1),
		RunAlone: dice(t, 6, "alone") == 0,
	}
	offer.Request.Class = rapid.SampledFrom([]bamboostep.Class{bamboostep.ClassWrite, bamboostep.ClassQuestion}).Draw(t, "class")
	w.callers[id] = &caller{offer: offer, stream: stream{attempt: id}, sent: true}
	w.toAgent = append(w.toAgent, frame{w.conn, offer})
	if dice(t, 3, "repeated") == 0 {
		w.toAgent = append(w.toAgent, frame{w.conn, offer})
	}
	if dice(t, 3, "cancelled") == 0 {
		w.toAgent = append(w.toAgent, frame{w.conn, cancelBody{id, offer.StartBy}})
	}
}

// produce lets the engine of a running attempt go one piece further.
func (w *world) produce(t *rapid.T) {
	id := pick(t, w.running)
	if id == "" || !w.table.room(id) {
		return
	}
	if dice(t, 100, "breaks") == 0 {
		delete(w.running, id)
		w.perform(w.table.ended(w.now, id, &bamboostep.Failure{Attempt: id, Outcome: bamboostep.Ran, Code: "x"}))
		return
	}
	w.goOn(id)
}

func (w *world) goOn(id bamboostep.AttemptID) {
	c := w.callers[id]
	w.perform(w.table.piece(id, reference(id, c.produced)))
	c.produced++
	if c.produced == pieces {
		delete(w.running, id)
		w.perform(w.table.ended(w.now, id, nil))
	}
}

// draw takes one frame out of a queue, mostly the oldest. It may leave a copy.
func draw(t *rapid.T, queue *[]frame) (frame, bool) {
	if len(*queue) == 0 {
		return frame{}, false
	}
	i := 0
	if dice(t, 4, "swap") == 0 {
		i = rapid.IntRange(0, len(*queue)-1).Draw(t, "which")
	}
	f := (*queue)[i]
	if dice(t, 20, "copy") > 0 {
		*queue = slices.Delete(slices.Clone(*queue), i, i+1)
	}
	return f, dice(t, 40, "keep") > 0
}

func (w *world) deliverToAgent(t *rapid.T) {
	if f, ok := draw(t, &w.toAgent); ok {
		w.agentGets(f)
	}
}

func (w *world) agentGets(f frame) {
	if f.conn != w.conn {
		f.conn = 0
	}
	switch b := f.body.(type) {
	case bamboostep.Offer:
		w.perform(w.table.offered(w.now, f.conn, b, false, ""))
	case resumeBody:
		w.perform(w.table.resumed(w.now, f.conn, b.Attempt, b.StartBy, b.Offset))
	case ackBody:
		w.table.acked(b.Attempt, b.Offset, b.Whole)
	case cancelBody:
		outcome, acts := w.table.cancelled(w.now, b.Attempt, b.StartBy)
		w.perform(acts)
		w.toEntry = append(w.toEntry, frame{f.conn, cancelReply{b.Attempt, outcome}})
	}
}

type cancelReply struct {
	id      bamboostep.AttemptID
	outcome bamboostep.Outcome
}

func (w *world) deliverToEntry(t *rapid.T) {
	if f, ok := draw(t, &w.toEntry); ok {
		w.entryGets(f)
	}
}

func (w *world) entryGets(f frame) {
	switch b := f.body.(type) {
	case bamboostep.Answer:
		w.takeAnswer(b)
	case bamboostep.Failure:
		w.end(w.callers[b.Attempt], b.Outcome)
	case cancelReply:
		w.end(w.callers[b.id], b.outcome)
	}
}

func (w *world) takeAnswer(a bamboostep.Answer) {
	c := w.callers[a.Attempt]
	if c.ended {
		return
	}
	for id, other := range w.callers {
		if id != a.Attempt && other.stream.take(a) != pieceDropped {
			w.t.Fatalf("attempt %q took a piece of %q", id, a.Attempt)
		}
	}
	switch c.stream.take(a) {
	case pieceGap:
		if c.stream.ask() {
			w.resume(c)
		}
	case pieceTaken:
		c.got = append(c.got, a.Data...)
		w.check(c)
	}
}

func (w *world) resume(c *caller) {
	w.toAgent = append(w.toAgent, frame{w.conn, resumeBody{c.offer.Attempt, c.offer.StartBy, c.stream.offset}})
}

// check compares what a caller got with the reference answer.
func (w *world) check(c *caller) {
	want := wholeReference(c.offer.Attempt)
	if !bytes.HasPrefix(want, c.got) {
		w.t.Fatalf("got %q, want a prefix of %q", c.got, want)
	}
	w.toAgent = append(w.toAgent, frame{w.conn, ackBody{c.offer.Attempt, c.stream.offset, c.stream.whole}})
	if !c.stream.whole {
		return
	}
	c.ended = true
	w.whole++
	if !bytes.Equal(want, c.got) {
		w.t.Fatalf("got whole answer %q, want %q", c.got, want)
	}
}

// end takes an agent's word on how an attempt ended.
func (w *world) end(c *caller, outcome bamboostep.Outcome) {
	if outcome == bamboostep.NotRun {
		c.notRun = true
		w.refused++
		if c.started > 0 {
			w.t.Fatalf("attempt %q is said not to have run, but did", c.offer.Attempt)
		}
	}
	c.ended = true
}

// reconnect changes the connection; frames of the old one may still arrive.
func (w *world) reconnect(t *rapid.T) {
	w.table.connectionLost(w.now, w.conn)
	w.conn++
	for _, id := range slices.Sorted(maps.Keys(w.callers)) {
		if c := w.callers[id]; !c.ended {
			w.resume(c)
		}
	}
	if rapid.Bool().Draw(t, "old frames are lost") {
		w.toEntry = nil
	}
}

func (w *world) step(t *rapid.T) {
	switch n := dice(t, 200, "what"); {
	case n < 8:
		w.newOffer(t)
	case n < 70:
		repeat(t, w.deliverToAgent)
	case n < 120:
		repeat(t, w.produce)
	case n < 182:
		repeat(t, w.deliverToEntry)
	case n < 192:
		w.now += 2e4 * int64(dice(t, 20, "pause"))
		w.perform(w.table.tick(w.now))
	case n < 195:
		w.reconnect(t)
	case n < 198:
		w.cancel(t)
	case n < 199:
		w.perform(w.table.setLeaving(dice(t, 4, "leaving") == 0))
	case dice(t, 4, "long pause") == 0:
		w.now += 40e6
		w.perform(w.table.tick(w.now))
	}
}

// checkOutput compares the output that the table counts with what its records hold.
func (w *world) checkOutput() {
	output := 0
	for _, r := range w.table.records {
		output += r.out.bytes
	}
	if w.table.outputBytes != output {
		w.t.Fatalf("output that is not acknowledged: got %d bytes, want %d", w.table.outputBytes, output)
	}
}

func repeat(t *rapid.T, f func(*rapid.T)) {
	for range 1 + dice(t, 6, "times") {
		f(t)
	}
}

func (w *world) cancel(t *rapid.T) {
	if c := w.callers[pick(t, w.callers)]; c != nil {
		w.toAgent = append(w.toAgent, frame{w.conn, cancelBody{c.offer.Attempt, c.offer.StartBy}})
	}
}

// heal ends all disturbance and lets everything that is under way come to its
// end.
func (w *world) heal() {
	w.toAgent, w.toEntry = nil, nil
	w.table.connectionLost(w.now, w.conn)
	w.conn++
	for _, id := range slices.Sorted(maps.Keys(w.callers)) {
		if c := w.callers[id]; !c.ended {
			w.resume(c)
		}
	}
	for range 100 {
		for len(w.toAgent)+len(w.toEntry) > 0 {
			w.deliver()
		}
		for _, id := range slices.Sorted(maps.Keys(w.running)) {
			w.goOn(id)
		}
		w.now += 1e5
		w.perform(w.table.tick(w.now))
	}
	for id, c := range w.callers {
		if !c.ended {
			w.t.Fatalf("attempt %q came to no end on a healed network", id)
		}
	}
}

func (w *world) deliver() {
	agent, entry := w.toAgent, w.toEntry
	w.toAgent, w.toEntry = nil, nil
	for _, f := range agent {
		w.agentGets(f)
	}
	for _, f := range entry {
		w.entryGets(f)
	}
}

// Whatever the network does, an attempt starts at most once and before its
// start-by time, never after or before anybody was told that it did not run, and
// what a caller gets is a prefix of its own answer, whole when it is said to be.
func TestAttemptsUnderAnyNetwork(t *testing.T) {
	var whole, refused int
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t:    t,
			conn: 1,
			table: &table{concurrency: 3, queue: 4, limit: rapid.IntRange(5, 40).Draw(t, "limit"), stopOrphans: true,
				maxOutput: rapid.IntRange(0, 10).Draw(t, "max_output")},
			callers: make(map[bamboostep.AttemptID]*caller),
			running: make(map[bamboostep.AttemptID]bool),
		}
		for range 400 {
			w.step(t)
			w.checkOutput()
			if len(w.table.records) > w.table.limit {
				t.Fatalf("table keeps %d records, limit %d", len(w.table.records), w.table.limit)
			}
			alone := w.table.aloneRuns()
			if n := len(w.table.active); n > 3 || (alone && n > 1) {
				t.Fatalf("%d attempts run, a suspect among them: %v", n, alone)
			}
		}
		w.heal()
		whole += w.whole
		refused += w.refused
	})
	if whole < 100 || refused < 100 {
		t.Errorf("only %d whole answers and %d refusals: the test tests too little", whole, refused)
	}
	t.Logf("%d whole answers, %d refusals", whole, refused)
}
