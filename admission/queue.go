// Package admission orders the requests that wait at an entry for a backend server, and
// bounds them. It answers two loads: prompts that would stop the streams of every engine
// that could read them, and workspaces of which one sends many times its usual.
//
// A request waits only while no engine would begin it sooner if it were sent. The package knows
// no engines: its caller finds out whether there is room for a request, and Queue says
// which one may look for it next. One request looks at a time, so those of a higher
// rank find the room first. The turn passes down the whole line, because the room that is too
// small for one request may do for the next: a queue never holds a request that a
// free engine could run.
//
// Nothing here does I/O or reads a clock; the time is passed in.
package admission

import (
	"slices"
	"time"
)

// Request is a request that waits in a Queue. Its exported fields must not change while it does.
type Request struct {
	Priority int           // 0 is the highest
	Flow     string        // workspace of the caller; requests without one are a flow of their own
	Weight   float64       // of the flow, relative to the others; 0 counts as 1
	Group    string        // requests of a group compete for the same engines
	Tokens   int           // what it costs its flow
	Bytes    int64         // memory that it occupies
	Since    time.Time     // when it began to wait
	MaxWait  time.Duration // after which its caller takes it out
	Deadline time.Time

	// Turn receives the verdicts on the request. It needs a capacity of 1. Queue does not
	// use it: whoever is given a Request to notify sends on it.
	Turn chan Verdict

	state    state
	sequence uint64 // order of arrival
}

// Verdict is what a waiting request is told.
type Verdict int

const (
	MayLook Verdict = iota // it is its turn to look for room
	Evicted                // the queue is full, and it has been taken out
)

// state is where a Request stands.
type state int

const (
	stateOutside state = iota
	stateWaiting
)

// Queue is the requests that wait at one entry. It is not safe for concurrent use. Set the exported fields
// before the first request.
type Queue struct {
	MaxRequests int
	MaxBytes    int64

	waiting  []*Request
	bytes    int64
	groups   map[string]int // waiting requests, by group
	clocks   map[int]*fairClock
	arrivals uint64

	line   []*Request // those that have not had their turn since there was room
	holder *Request   // whose turn it is; nil for none
	again  bool       // there was room since the line was drawn up
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Bytes returns the memory that they occupy.
func (q *Queue) Bytes() int64 { return q.bytes }

// HasGroup reports whether requests of a group wait.
func (q *Queue) HasGroup(group string) bool { return q.groups[group] > 0 }

// Enter adds a request. It returns those that are evicted for it, which may include the request
// itself: the ones that are worth least, see worse. The one whose turn it is stays.
func (q *Queue) Enter(now time.Time, r *Request) (evicted []*Request) {
	q.init()
	q.arrivals++
	r.sequence = q.arrivals
	r.state = stateWaiting
	q.waiting = append(q.waiting, r)
	q.groups[r.Group]++
	q.bytes += r.Bytes
	for len(q.waiting) > q.MaxRequests || q.bytes > q.MaxBytes {
		victim := q.leastWorth(now)
		if victim == nil {
			break
		}
		q.remove(victim)
		evicted = append(evicted, victim)
	}
	return evicted
}

// Room is called when there may be room: an engine has got further, or some time has passed. It returns the
// request whose turn it becomes, or nil.
func (q *Queue) Room(now time.Time) *Request {
	if len(q.waiting) == 0 {
		return nil
	}
	q.again = true
	if q.holder != nil {
		return nil
	}
	return q.pass(now)
}

// Missed is called by the request whose turn it is when it has found no room. It returns
// the one whose turn is next, or nil. From any other request it has no effect.
func (q *Queue) Missed(now time.Time, r *Request) *Request {
	if q.holder != r {
		return nil
	}
	return q.pass(now)
}

// Leave takes a request out. sent says that it was sent, which counts as a turn of its flow. Leave returns the
// request whose turn it becomes, or nil.
func (q *Queue) Leave(now time.Time, r *Request, sent bool) *Request {
	if r.state != stateWaiting {
		return nil
	}
	if sent {
		q.clock(r.Priority).charge(r)
	}
	q.remove(r)
	if q.holder != r {
		return nil
	}
	return q.pass(now)
}

// pass gives the turn to the next in line, and draws up a new line if there was room
// meanwhile.
func (q *Queue) pass(now time.Time) *Request {
	q.holder = nil
	for {
		for len(q.line) > 0 {
			r := q.line[0]
			q.line = q.line[1:]
			if r.state == stateWaiting {
				q.holder = r
				return r
			}
		}
		if !q.again || len(q.waiting) == 0 {
			q.again = false
			return nil
		}
		q.again = false
		q.line = q.order(now)
	}
}

// remove takes r out of the indexes. Once nothing waits, all flows begin anew.
func (q *Queue) remove(r *Request) {
	r.state = stateOutside
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Request) bool { return o == r })
	q.bytes -= r.Bytes
	q.groups[r.Group]--
	if q.groups[r.Group] == 0 {
		delete(q.groups, r.Group)
	}
	if len(q.waiting) == 0 {
		clear(q.clocks)
	}
}

func (q *Queue) init() {
	if q.groups == nil {
		q.groups = make(map[string]int)
		q.clocks = make(map[int]*fairClock)
	}
}
