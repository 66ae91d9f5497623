package backend

import (
	_ "embed"
	"slices"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/chart"
)

// The table of attempts decides which attempt starts, and when.
//
// The hard point is what the agent may forget. A record is kept, as a tombstone,
// at least until its StartBy has passed, since a copy of its offer that arrives
// later is refused for being late. A started record is kept longer, for the entry
// to fetch its answer. When it goes, its StartBy raises the forgotten mark: asked
// about an unknown attempt below that mark, the agent answers "unknown" and not
// "not run". When the table is full of records that it may not forget, it refuses
// an offer without recording it and raises the closed mark to its StartBy; every
// offer at or below that mark is refused, so that the one it did not record cannot
// start when a copy comes later. Both marks only rise.

//go:embed attempt.toml
var attemptText []byte

var attemptChart = chart.MustParse(attemptText)

const (
	stateWaiting   chart.State = "waiting"
	stateStarted   chart.State = "started"
	stateStopping  chart.State = "stopping"
	stateEnded     chart.State = "ended"
	stateRefused   chart.State = "refused"
	stateCancelled chart.State = "cancelled"

	eventAccept chart.Event = "accept"
	eventRefuse chart.Event = "refuse"
	eventCancel chart.Event = "cancel"
	eventStart  chart.Event = "start"
	eventEnd    chart.Event = "end"
)

// Spans on the agent's clock, microseconds.
const (
	keepEnded   = int64(30_000_000) // an ended attempt's output, unless acknowledged
	sweepEvery  = int64(500_000)
	orphanAfter = int64(5_000_000) // without a connection, a started attempt has no reader
)

// maxRecords bounds the table when no limit is set.
const maxRecords = 1 << 16

type actionKind int

const (
	actionStart actionKind = iota // run the attempt
	actionStop                    // cancel the running attempt
	actionAnswer
	actionFailure
)

// action is what the shell must do.
type action struct {
	kind    actionKind
	conn    uint64
	offer   *bamboostep.Offer  // of actionStart
	answer  bamboostep.Answer  // of actionAnswer
	failure bamboostep.Failure // of actionFailure
	attempt bamboostep.AttemptID
	request bamboostep.RequestID // of actionFailure, if known
	target  string               // of actionFailure, if known
}

// table is the agent's table of attempts. It is pure: the time, microseconds on
// the agent's clock, comes with each event.
type table struct {
	concurrency int                           // attempts that run at once
	queue       int                           // attempts that wait at most
	limit       int                           // records kept at most; maxRecords if 0
	resident    func(bamboostep.Request) bool // may be nil; asked just before a start
	stopOrphans bool                          // cancel a started attempt that nobody reads
	maxOutput   int                           // bytes of output that is not acknowledged, beyond which nothing starts and each keeps little; 0 for any number

	outputBytes int // that are not acknowledged

	leaving   bool
	records   map[bamboostep.AttemptID]*record
	queued    []*record                        // waiting, the next to start first
	active    map[bamboostep.AttemptID]*record // started and not ended
	arrivals  uint64
	forgotten int64
	closed    int64
	sweptAt   int64
	dropped   uint64 // repeated offers and events that no state lists
}

func (t *table) get(id bamboostep.AttemptID) *record { return t.records[id] }

// apply moves r along its chart, counts an event that its state does not list,
// and reports whether r moved.
func (t *table) apply(r *record, e chart.Event) bool {
	next, err := attemptChart.Next(r.state, e)
	if err != nil {
		t.dropped++
		return false
	}
	t.index(r, next)
	r.state = next
	return true
}

// index keeps the lists of waiting and running attempts as r goes to state next.
func (t *table) index(r *record, next chart.State) {
	if r.state == stateWaiting {
		t.queued = slices.DeleteFunc(t.queued, func(q *record) bool { return q == r })
	}
	if next == stateWaiting {
		at, _ := slices.BinarySearchFunc(t.queued, r, compareRecords)
		t.queued = slices.Insert(t.queued, at, r)
	}
	if next == stateStarted {
		t.active[r.id] = r
	}
	if attemptChart.Final(next) {
		delete(t.active, r.id)
	}
}

func (t *table) add(offer bamboostep.Offer, conn uint64) *record {
	if t.records == nil {
		t.records = make(map[bamboostep.AttemptID]*record)
		t.active = make(map[bamboostep.AttemptID]*record)
	}
	t.arrivals++
	r := &record{
		id:      offer.Attempt,
		startBy: offer.StartBy,
		request: offer.Request.ID,
		target:  target(offer.Request),
		offer:   &offer,
		state:   attemptChart.Initial(),
		arrival: t.arrivals,
		conn:    conn,
		out:     output{all: &t.outputBytes},
	}
	t.records[offer.Attempt] = r
	return r
}

func (t *table) full() bool {
	limit := t.limit
	if limit == 0 {
		limit = maxRecords
	}
	return len(t.records) >= limit
}

// offered takes an offer that came by conn. With held, it waits for release. A
// nonempty code refuses it.
func (t *table) offered(now int64, conn uint64, offer bamboostep.Offer, held bool, code string) []action {
	if r := t.get(offer.Attempt); r != nil {
		return t.repeated(r, conn)
	}
	if offer.StartBy <= t.forgotten {
		return []action{failureAction(conn, forgotten(offer.Attempt))}
	}
	if offer.StartBy <= now {
		return []action{refusal(conn, offer, codeTooLate)}
	}
	if offer.StartBy <= t.closed || t.full() {
		t.closed = max(t.closed, offer.StartBy)
		return []action{refusal(conn, offer, codeQueueFull)}
	}
	r := t.add(offer, conn)
	if t.leaving {
		code = codeLeaving
	}
	if code != "" {
		return t.refuse(r, code)
	}
	t.apply(r, eventAccept)
	r.held = held
	return append(t.shed(), t.schedule(now)...)
}

// outputFull reports whether entries have yet to fetch as much output as may be kept.
func (t *table) outputFull() bool { return t.maxOutput > 0 && t.outputBytes >= t.maxOutput }

func (t *table) repeated(r *record, conn uint64) []action {
	t.dropped++
	if r.state != stateRefused && r.state != stateCancelled {
		return nil
	}
	return []action{failureAction(conn, r.failure)}
}

func (t *table) refuse(r *record, code string) []action {
	if !t.apply(r, eventRefuse) {
		return nil
	}
	return t.makeTombstone(r, notRun(r.id, code))
}

// makeTombstone turns r into the tombstone of an attempt that never ran.
func (t *table) makeTombstone(r *record, f bamboostep.Failure) []action {
	r.failure = f
	r.failed = true
	r.offer = nil
	if r.conn == 0 {
		return nil
	}
	return []action{r.failureAction()}
}

// release lets a held attempt start; a nonempty code refuses it instead.
func (t *table) release(now int64, id bamboostep.AttemptID, code string) []action {
	r := t.get(id)
	if r == nil || r.state != stateWaiting {
		return nil
	}
	if code != "" {
		return t.refuse(r, code)
	}
	r.held = false
	return t.schedule(now)
}

// cancelled makes sure that the attempt does not start any more, and returns
// whether it ran. An ID that is not known gets a tombstone.
func (t *table) cancelled(now int64, id bamboostep.AttemptID, startBy int64) (bamboostep.Outcome, []action) {
	r := t.get(id)
	if r == nil {
		return t.cancelUnknown(now, id, startBy), nil
	}
	switch r.state {
	case stateRefused, stateCancelled:
		return bamboostep.NotRun, nil
	case stateEnded, stateStopping:
		return r.outcome(), nil
	case stateStarted:
		t.apply(r, eventCancel)
		r.orphan = true
		r.out.drop()
		return r.outcome(), []action{{kind: actionStop, attempt: id}}
	}
	t.apply(r, eventCancel)
	r.conn = 0
	t.makeTombstone(r, notRun(id, codeCancelled))
	return bamboostep.NotRun, t.schedule(now)
}

func (t *table) cancelUnknown(now int64, id bamboostep.AttemptID, startBy int64) bamboostep.Outcome {
	if startBy <= t.forgotten {
		return bamboostep.Unknown
	}
	if startBy <= now || startBy <= t.closed {
		return bamboostep.NotRun
	}
	if t.full() {
		t.closed = max(t.closed, startBy)
		return bamboostep.NotRun
	}
	r := t.add(bamboostep.Offer{Attempt: id, StartBy: startBy}, 0)
	t.apply(r, eventCancel)
	t.makeTombstone(r, notRun(id, codeNeverArrived))
	return bamboostep.NotRun
}

// resumed binds an attempt to another connection and sends its answer from
// offset on. An ID that is not known gets a tombstone, because its offer may
// still be on its way.
func (t *table) resumed(now int64, conn uint64, id bamboostep.AttemptID, startBy, offset int64) []action {
	r := t.get(id)
	if r == nil {
		return []action{failureAction(conn, t.unknownFailure(now, id, startBy))}
	}
	if r.state == stateRefused || r.state == stateCancelled {
		return []action{failureAction(conn, r.failure)}
	}
	if conn < r.conn || (offset < r.out.base && !r.out.gone) {
		t.dropped++ // overtaken by a later connection or acknowledgement
		return nil
	}
	r.conn = conn
	if r.out.gone {
		f := bamboostep.Failure{Attempt: id, Outcome: r.outcome(), Code: codeForgotten, Message: "the answer is no longer kept"}
		return []action{failureAction(conn, f)}
	}
	r.out.acked(offset)
	acts := r.answers()
	if r.failed {
		acts = append(acts, failureAction(conn, r.failure))
	}
	return append(acts, t.schedule(now)...)
}

func (t *table) unknownFailure(now int64, id bamboostep.AttemptID, startBy int64) bamboostep.Failure {
	if t.cancelUnknown(now, id, startBy) == bamboostep.NotRun {
		return notRun(id, codeNeverArrived)
	}
	return forgotten(id)
}

// acked drops output that the entry has.
func (t *table) acked(id bamboostep.AttemptID, offset int64, whole bool) {
	r := t.get(id)
	if r == nil {
		return
	}
	r.out.acked(offset)
	if whole {
		r.out.drop()
		r.conn = 0
	}
}

// piece takes one piece of a started attempt's output; the table sets its offset.
func (t *table) piece(id bamboostep.AttemptID, a bamboostep.Answer) []action {
	r := t.get(id)
	if r == nil || (r.state != stateStarted && r.state != stateStopping) {
		t.dropped++
		return nil
	}
	if r.orphan {
		r.out.end += int64(len(a.Data))
		return nil
	}
	a.Attempt = id
	a = r.out.add(a)
	if r.conn == 0 {
		return nil
	}
	return []action{{kind: actionAnswer, conn: r.conn, answer: a, attempt: id}}
}

// room reports whether a started attempt may produce more output now.
func (t *table) room(id bamboostep.AttemptID) bool {
	r := t.get(id)
	if r == nil || r.orphan {
		return true
	}
	if t.outputFull() {
		return r.out.bytes < minWindowBytes
	}
	return r.out.bytes < windowBytes
}

// ended takes the end of a started attempt; failure is nil when its answer is
// whole.
func (t *table) ended(now int64, id bamboostep.AttemptID, failure *bamboostep.Failure) []action {
	r := t.get(id)
	if r == nil || !t.apply(r, eventEnd) {
		return nil
	}
	r.endedAt = now
	r.offer = nil
	var acts []action
	if failure != nil {
		r.failure = *failure
		r.failed = true
		if r.conn != 0 && !r.orphan {
			acts = append(acts, r.failureAction())
		}
	}
	if r.orphan {
		r.out.drop()
	}
	return append(acts, t.schedule(now)...)
}

// setLeaving makes the table refuse offers, the waiting ones too, or take them
// again.
func (t *table) setLeaving(leaving bool) []action {
	t.leaving = leaving
	if !leaving {
		return nil
	}
	return t.refuseWaiting(codeLeaving)
}

// refuseWaiting refuses every attempt that has not started.
func (t *table) refuseWaiting(code string) []action {
	var acts []action
	for _, r := range slices.Clone(t.queued) {
		acts = append(acts, t.refuse(r, code)...)
	}
	return acts
}

// unfetched reports whether an entry has not yet got the whole answer of an
// attempt that is running or has ended.
func (t *table) unfetched() bool {
	for _, r := range t.records {
		if r.conn != 0 && r.state == stateEnded && !r.out.gone {
			return true
		}
	}
	return len(t.active) > 0
}

// connectionLost notes that conn has ended.
func (t *table) connectionLost(now int64, conn uint64) {
	for _, r := range t.records {
		if r.conn == conn {
			r.conn = 0
			r.lostAt = now
		}
	}
}
