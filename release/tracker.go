package release

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/timer"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	copies            = 3                      // voters that keep a stream
	noteInterval      = 20 * time.Millisecond  // between notes to a voter
	maxTrackerStreams = 1 << 14                // streams that an entry keeps itself
	findTimeout       = 300 * time.Millisecond // of a search, once enough voters have answered
	reconnectTimeout  = 800 * time.Millisecond // of a search before that: after a loss of power voters come back one after the other
	findPollInterval  = 20 * time.Millisecond  // for voters that have come back
)

// Voter is a connection to a voter; a *wire.Conn is one.
type Voter interface {
	Peer() wire.Hello
	Send(kind string, v any) error
	Call(ctx context.Context, kind string, v, reply any) error
}

// Tracker keeps the origins of an entry's streams and shares them with voters. Set the exported fields before
// Run. The methods of a nil Tracker keep and find nothing.
type Tracker struct {
	Voters  func() (connected []Voter, all int)
	Metrics *Metrics // may be nil

	once  sync.Once
	table *table
	ready chan struct{} // capacity 1; there are new streams

	mu      sync.Mutex
	pending []newStream
}

// newStream is a stream that voters have not been told yet.
type newStream struct {
	id     streamID
	origin Origin
	steps  int
}

func (t *Tracker) init() {
	t.once.Do(func() {
		t.table = newTable(maxTrackerStreams, time.Now())
		t.ready = make(chan struct{}, 1)
	})
}

// Note keeps where a stream began, by the ID of its request, for as long as its caller may come back, and has
// voters told. An origin of unknown version is not kept. It does not block.
func (t *Tracker) Note(request string, o Origin, keep time.Duration) {
	if t == nil || !o.known() || request == "" {
		return
	}
	t.init()
	s := newStream{streamIDOf(request), o, keepSteps(keep)}
	t.table.put(s.id, o, s.steps, time.Now()) // if the table is full, the voters still have it
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= maxTrackerStreams {
		t.Metrics.countDropped(1)
		return
	}
	t.pending = append(t.pending, s)
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// Run tells voters of new streams until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	t.init()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.ready:
		}
		t.flush()
		timer.Sleep(ctx, noteInterval)
	}
}

// flush tells voters of the streams that are pending. A note that is lost with its connection is sent
// again with the next one, see Resend.
func (t *Tracker) flush() {
	t.mu.Lock()
	pending := t.pending
	t.pending = nil
	t.mu.Unlock()
	connected, _ := t.Voters()
	notes := make([]noteBuilder, len(connected))
	for _, s := range pending {
		for _, i := range keepers(connected, s.id) {
			if notes[i] == nil {
				notes[i] = make(noteBuilder)
			}
			notes[i].add(s.id, s.origin, s.steps)
		}
	}
	for i, b := range notes {
		if b != nil {
			t.Metrics.countNote()
			_ = connected[i].Send(kindNote, b.note()) // fails only if the connection has ended, see Resend
		}
	}
}

// Resend tells a voter that has just been connected of all streams that this entry keeps, since the voter may have
// missed or lost them.
func (t *Tracker) Resend(v Voter) {
	if t == nil {
		return
	}
	t.init()
	b := make(noteBuilder)
	t.table.forEach(time.Now(), b.add)
	if len(b) > 0 {
		_ = v.Send(kindNote, b.note()) // fails only if the connection has ended
	}
}

// keepers returns the indexes of the voters that keep a stream: the first copies by rendezvous hashing.
func keepers(voters []Voter, id streamID) []int {
	chosen := make([]int, len(voters))
	for i := range chosen {
		chosen[i] = i
	}
	if len(voters) <= copies {
		return chosen
	}
	weights := make([]uint64, len(voters))
	for i, v := range voters {
		weights[i] = bamboostep.Fingerprint(binary.BigEndian.AppendUint64(nil, uint64(id)), v.Peer().Name)
	}
	slices.SortFunc(chosen, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	return chosen[:copies]
}

// Find returns where a stream began that a request has begun. It asks voters unless this entry has begun
// the stream, and returns false if nobody knows: after all voters have answered, after findTimeout if enough of them have,
// and after reconnectTimeout in any case.
func (t *Tracker) Find(ctx context.Context, request string) (Origin, bool) {
	if t == nil || request == "" {
		return Origin{}, false
	}
	t.init()
	began := time.Now()
	id := streamIDOf(request)
	o, known := t.table.get(id, began)
	if !known {
		o, known = t.ask(ctx, id, began)
	}
	t.Metrics.observeFind(known, time.Since(began))
	return o, known
}

// ask asks all voters, also those that are connected meanwhile, and returns the first origin that one knows.
func (t *Tracker) ask(ctx context.Context, id streamID, began time.Time) (Origin, bool) {
	ctx, cancel := context.WithDeadline(ctx, began.Add(reconnectTimeout))
	defer cancel()
	replies := make(chan findReply)
	asked := make(map[Voter]bool)
	answered := 0
	poll := time.NewTicker(findPollInterval)
	defer poll.Stop()
	for {
		connected, all := t.Voters()
		for _, v := range connected {
			if !asked[v] {
				asked[v] = true
				go askVoter(ctx, v, id, replies)
			}
		}
		select {
		case <-ctx.Done():
			return Origin{}, false
		case r := <-replies:
			if r.Known {
				return Origin{r.Service, r.Version}, true
			}
			answered++
		case <-poll.C:
		}
		if answered >= all && all > 0 || enoughAnswered(answered, all) && time.Since(began) >= findTimeout {
			return Origin{}, false
		}
	}
}

// enoughAnswered reports whether a majority of the voters has answered, and so many that one of those that keep the
// stream is among them.
func enoughAnswered(answered, all int) bool { return 2*answered > all && all-answered < copies }

// askVoter sends the reply of a voter, unless there is none before ctx ends.
func askVoter(ctx context.Context, v Voter, id streamID, replies chan<- findReply) {
	var r findReply
	if v.Call(ctx, kindFind, findRequest{uint64(id)}, &r) != nil {
		return // the voter is asked again once it is connected again
	}
	select {
	case replies <- r:
	case <-ctx.Done():
	}
}
