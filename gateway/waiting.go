package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bamboostep/bamboostep/admission"
	"github.com/bamboostep/bamboostep/fleet"
)

// Requests that are held back wait here, in the order of package admission. The goroutine of a request
// waits until it is its turn, looks for a backend server once, and passes the turn on. There is
// no other goroutine, and a timer only while something waits. A request of a group of which none waits
// does not take the lock.

const (
	heldShareOfTime   = 4                      // a request waits for at most one part in so many of the time to its deadline
	heldShareOfTarget = 2                      // and of the time in which its route promises the first event
	minRoomInterval   = 5 * time.Millisecond   // between two rounds of turns
	lookInterval      = 500 * time.Microsecond // the same, for each request that waits, so that their looks take little of a core
	roomPollInterval  = 20 * time.Millisecond  // the same, if no request of this entry ends earlier
	maxWaitRequests   = 64
	defaultWaitBytes  = 8 << 20
)

// waitingRequests is the requests that wait at this entry. The zero value is ready for use.
type waitingRequests struct {
	mu     sync.Mutex
	queue  admission.Queue
	poll   *time.Timer  // begins the next round; nil before the first request
	roomAt time.Time    // when the last round began
	count  atomic.Int64 // queue.Len()
}

// hasGroup reports whether requests of a group wait.
func (q *waitingRequests) hasGroup(group string) bool {
	if q.count.Load() == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.HasGroup(group)
}

// enter adds r, and notifies those that are evicted for it.
func (q *waitingRequests) enter(r *admission.Request, maxBytes int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.MaxRequests = maxWaitRequests
	q.queue.MaxBytes = cmp.Or(maxBytes, defaultWaitBytes)
	for _, o := range q.queue.Enter(r.Since, r) {
		o.Turn <- admission.Evicted
	}
	q.update()
}

// room begins a round of turns, since there may be room. If the last one began just now, it puts the round off.
func (q *waitingRequests) room() {
	if q.count.Load() == 0 {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	interval := max(minRoomInterval, time.Duration(q.queue.Len())*lookInterval)
	if wait := interval - now.Sub(q.roomAt); wait > 0 {
		q.poll.Reset(wait)
		return
	}
	q.roomAt = now
	notify(q.queue.Room(now))
	q.update()
	q.poll.Reset(max(interval, roomPollInterval))
}

// missed passes the turn of r on, which has found no room.
func (q *waitingRequests) missed(r *admission.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	notify(q.queue.Missed(time.Now(), r))
}

// leave takes r out.
func (q *waitingRequests) leave(r *admission.Request, sent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	notify(q.queue.Leave(time.Now(), r, sent))
	q.update()
}

// notify tells r that it is its turn. r may be nil.
func notify(r *admission.Request) {
	if r != nil {
		r.Turn <- admission.MayLook
	}
}

// update publishes the count, and starts the timer when requests begin to wait. q.mu is held.
func (q *waitingRequests) update() {
	n := q.queue.Len()
	began := n > 0 && q.count.Swap(int64(n)) == 0
	switch {
	case n == 0:
		q.count.Store(0)
	case q.poll == nil:
		q.poll = time.AfterFunc(roomPollInterval, q.room)
	case began:
		q.poll.Reset(roomPollInterval)
	}
}

// hold is the wait of one request.
type hold struct {
	request *admission.Request
	last    *fleet.NoServerError // why it waits; nil if only since others do
	looks   int
}

// errEvicted is why a request is refused for which the queue has no place.
var errEvicted = errors.New("queue full")

// chooseInTurn chooses a backend server that meets criteria. If it is better for the streams that run, and
// not worse for the request, it first waits here for its turn. The error is a
// *fleet.NoServerError, errEvicted, errTooLate or that of ctx.
func (x *exchange) chooseInTurn(ctx context.Context, criteria func(now time.Time) fleet.Requirements) (*fleet.Assignment, error) {
	if !x.mayWait(time.Now()) {
		return x.choose(criteria, false)
	}
	h := &hold{}
	if x.g.waiting.hasGroup(x.group()) {
		x.beginHold(h)
		x.g.waiting.room()
	} else {
		run, err := x.choose(criteria, true)
		if !errors.As(err, &h.last) || h.last.Reason != fleet.ReasonPaced {
			return run, err
		}
		x.beginHold(h)
	}
	run, err := x.lookInTurn(ctx, h, criteria)
	x.g.waiting.leave(h.request, err == nil)
	if h.last != nil {
		x.recordHold(h, run, err)
	}
	return run, err
}

// lookInTurn looks for a backend server whenever it is the turn of h, until there is one, none can take the request, or it has
// waited for long enough.
func (x *exchange) lookInTurn(ctx context.Context, h *hold, criteria func(now time.Time) fleet.Requirements) (*fleet.Assignment, error) {
	t := time.NewTimer(h.request.MaxWait)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.C:
			return x.choose(criteria, false)
		case v := <-h.request.Turn:
			if v == admission.Evicted {
				return x.chooseEvicted(h, criteria)
			}
		}
		if x.tooLateToRun(0) {
			return nil, errTooLate
		}
		h.looks++
		run, err := x.choose(criteria, true)
		var noServer *fleet.NoServerError
		if !errors.As(err, &noServer) || noServer.Reason != fleet.ReasonPaced {
			return run, err
		}
		h.last = noServer
		x.g.waiting.missed(h.request)
	}
}

// choose chooses a backend server now.
func (x *exchange) choose(criteria func(now time.Time) fleet.Requirements, mayWait bool) (*fleet.Assignment, error) {
	now := time.Now()
	req := criteria(now)
	req.MayWait = mayWait
	return x.g.Fleet.Choose(now, req)
}

// chooseEvicted returns the outcome for a request that the queue has no place for: it is refused if the engines are loaded, else it is
// sent without waiting.
func (x *exchange) chooseEvicted(h *hold, criteria func(now time.Time) fleet.Requirements) (*fleet.Assignment, error) {
	if h.last == nil || !h.last.Loaded {
		return x.choose(criteria, false)
	}
	x.noRoom = h.last
	return nil, errEvicted
}

// mayWait reports whether the request may wait here. Its route must promise a time for the first event: nothing tells how long others
// can wait. And there must be workspaces whose turns are to be shared: engines order priorities themselves, and a request that yields
// to nobody would only get later.
func (x *exchange) mayWait(now time.Time) bool {
	return x.call.Model != "" && x.service.Engine != nil && x.table.RequiresKeys() && x.route.LatencyTarget > 0 && !x.stream.hasStarted() &&
		!x.quarantineVerdict.Isolated && (x.heldUntil.IsZero() || now.Before(x.heldUntil))
}

// group identifies the requests that compete with this one for engines.
func (x *exchange) group() string { return x.service.Name + "/" + x.call.Model }

// beginHold lets the request wait from now on. All its waits together have one limit.
func (x *exchange) beginHold(h *hold) {
	now := time.Now()
	if x.heldUntil.IsZero() {
		x.heldUntil = now.Add(min(x.deadline.Sub(now)/heldShareOfTime, x.route.LatencyTarget/heldShareOfTarget))
	}
	h.request = &admission.Request{
		Priority: x.priority(),
		Flow:     x.workspaceName(),
		Weight:   x.workspace.Weight(),
		Group:    x.group(),
		Tokens:   x.call.PromptTokens + x.call.MaxAnswerTokens,
		Bytes:    int64(len(x.call.Body)),
		Since:    now,
		MaxWait:  x.heldUntil.Sub(now),
		Deadline: x.deadline,
		Turn:     make(chan admission.Verdict, 1),
	}
	x.g.waiting.enter(h.request, x.g.MaxWaitingBytes)
}

// recordHold records a wait that has ended.
func (x *exchange) recordHold(h *hold, run *fleet.Assignment, err error) {
	waited := time.Since(h.request.Since)
	outcome, address := holdOutcome(err), ""
	detail := fmt.Sprintf("%s after %s and %d looks, priority %d", outcome, formatMilliseconds(waited), h.looks, h.request.Priority) + roomDetail(h.last)
	if run != nil {
		address = run.Address
		detail += fmt.Sprintf(", now expected %s from a report %s old", formatMilliseconds(run.EstimatedWait), formatMilliseconds(run.ReportAge))
	}
	x.g.Metrics.observeHold(outcome, waited)
	x.recordEvent("request_held", address, detail)
}

// roomDetail formats what was known when no backend server had room, for the event log. err may be nil.
func roomDetail(err *fleet.NoServerError) string {
	if err == nil || err.Room == 0 {
		return ""
	}
	detail := ", room expected in " + formatMilliseconds(err.Room)
	if err.EstimatedWait > 0 {
		detail += fmt.Sprintf(", first event in %s by a report %s old", formatMilliseconds(err.EstimatedWait), formatMilliseconds(err.ReportAge))
	}
	return detail
}

// holdOutcome names how a wait ended, for the event log and the metrics.
func holdOutcome(err error) string {
	var noServer *fleet.NoServerError
	switch {
	case err == nil:
		return "sent"
	case errors.As(err, &noServer):
		return string(noServer.Reason)
	case errors.Is(err, errEvicted):
		return reasonQueueFull
	case errors.Is(err, errTooLate):
		return reasonStopping
	}
	return "left"
}
