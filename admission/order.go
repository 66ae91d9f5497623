package admission

import (
	"cmp"
	"slices"
	"time"
)

// The order of turns: priority, then start-time fair queueing between flows, then the earliest
// deadline within a flow.
//
// Start-time fair queueing (Goyal, Vin, Cheng 1996): a flow's next request carries a start
// tag, the flow's tokens so far divided by its weight, and the smallest tag goes first. Virtual time is the
// tag of the request that was sent last. A flow that was idle continues from there, so it has
// saved up nothing. The turns of a flow that sends more than its share are further apart, and a request
// of another one waits for at most one request of each flow.
//
// A request that has waited for half of its time counts as of the next higher priority, and goes first there. Since
// each one's wait is limited, nothing starves.

// fairClock is the virtual time of one priority.
type fairClock struct {
	now   float64            // start tag of the request that was sent last
	flows map[string]float64 // start tag of the next request, by flow
}

// start returns the start tag of the next request of a flow.
func (c *fairClock) start(flow string) float64 { return max(c.now, c.flows[flow]) }

// charge counts a request that is sent.
func (c *fairClock) charge(r *Request) {
	start := c.start(r.Flow)
	c.now = start
	c.flows[r.Flow] = start + r.share()
}

// share returns how far the request advances the tag of its flow.
func (r *Request) share() float64 {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	return float64(max(1, r.Tokens)) / weight
}

func (q *Queue) clock(priority int) *fairClock {
	c := q.clocks[priority]
	if c == nil {
		c = &fairClock{flows: make(map[string]float64)}
		q.clocks[priority] = c
	}
	return c
}

// rank returns the priority that a request counts for at now, and whether that is
// higher than its own.
func (r *Request) rank(now time.Time) (rank int, aged bool) {
	if r.Priority > 0 && now.Sub(r.Since)*2 >= r.MaxWait {
		return r.Priority - 1, true
	}
	return r.Priority, false
}

// place is where a request stands in the order of turns.
type place struct {
	r    *Request
	rank int
	aged bool
	tag  float64 // start tag, if those before it in its flow are sent first
}

// flowKey identifies a flow within its priority.
type flowKey struct {
	priority int
	flow     string
}

// places returns where each waiting request stands at now, in no particular order.
func (q *Queue) places(now time.Time) []place {
	byDeadline := slices.SortedFunc(slices.Values(q.waiting), func(a, b *Request) int {
		return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.sequence, b.sequence))
	})
	next := make(map[flowKey]float64)
	places := make([]place, 0, len(byDeadline))
	for _, r := range byDeadline {
		key := flowKey{r.Priority, r.Flow}
		tag, ok := next[key]
		if !ok {
			tag = q.clock(r.Priority).start(r.Flow)
		}
		next[key] = tag + r.share()
		rank, aged := r.rank(now)
		places = append(places, place{r, rank, aged, tag})
	}
	return places
}

// compare orders places by turn.
func (p place) compare(o place) int {
	if p.rank != o.rank {
		return cmp.Compare(p.rank, o.rank)
	}
	if p.aged != o.aged {
		if p.aged {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.tag, o.tag), p.r.Deadline.Compare(o.r.Deadline), cmp.Compare(p.r.sequence, o.r.sequence))
}

// order returns the waiting requests in the order of their turns.
func (q *Queue) order(now time.Time) []*Request {
	places := q.places(now)
	slices.SortFunc(places, place.compare)
	line := make([]*Request, len(places))
	for i, p := range places {
		line[i] = p.r
	}
	return line
}

// leastWorth returns the request that is evicted first: the last of the lowest priority, which is of the flow that is
// the furthest over its share. The one whose turn it is is never chosen. It returns nil if there is no other.
func (q *Queue) leastWorth(now time.Time) *Request {
	var last *place
	for _, p := range q.places(now) {
		if p.r != q.holder && (last == nil || p.compare(*last) > 0) {
			last = &p
		}
	}
	if last == nil {
		return nil
	}
	return last.r
}
