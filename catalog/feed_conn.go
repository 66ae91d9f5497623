package catalog

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

const (
	kindPoll   = "feed.poll"
	kindUpdate = "feed.update"

	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
	subscription = 5 * time.Second // a peer that has not polled for so long gets no pushes
	staleAfter   = 3 * time.Second // age of proof at which more peers are polled
	extraPolls   = 10              // polls a second, over all peers, while stale
	minUpstreams = 3
)

type pollBody struct {
	Revision uint64 `msgpack:"revision"` // what the subscriber has; 0 asks for a snapshot
}

// Feed keeps this process's set current from the ledger and from peers, and
// passes it on. Set the exported fields before Register.
//
// A subscriber polls a few of its peers every second; the poll doubles as a
// subscription, after which newer revisions are pushed at once. The answer to a
// poll is the progress mark: it carries the age of the peer's proof of being
// current.
//
// Polling every peer would cost each of n processes n polls a second. Each
// process therefore draws its few peers by a hash of both names, which makes a
// random graph of small diameter. Such a graph may still be cut where the full
// mesh is not; so a process whose proof grows old polls others as well, at a
// bounded rate, until it is current again.
type Feed struct {
	Node      *wire.Node
	Recorder  *timeline.Recorder
	Registry  prometheus.Registerer
	Changed   func(*Set) // gets each newer set, in order; must not call Offer; may be nil
	Upstreams int        // peers polled every second; at least 3
	File      string     // keeps the newest set over a restart; nothing is kept if empty

	metrics *feedMetrics
	deliver sync.Mutex // held while sets are applied and handed to Changed

	mu          sync.Mutex
	state       feedState
	subscribers map[*wire.Conn]time.Time // when each last polled
	known       map[string]uint64        // revision that each peer is known to have
	upstreams   []*upstream              // in this process's own order of preference
	refusals    map[string]string        // reason last refused, by source
}

// Register registers the message kinds of the feed. Peers subscribe on the
// listener that mux serves, and pushes arrive on the links that it serves.
func (f *Feed) Register(mux *wire.Mux) {
	f.metrics = newFeedMetrics(f.Registry, f)
	f.subscribers = make(map[*wire.Conn]time.Time)
	f.known = make(map[string]uint64)
	f.refusals = make(map[string]string)
	mux.On(kindPoll, f.handlePoll)
	mux.On(kindUpdate, f.handleUpdate)
}

// Set returns the current set, or nil before the first.
func (f *Feed) Set() *Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.set
}

// ProvenAt returns the last moment at which the current set is known to have
// been the newest, or the zero time.
func (f *Feed) ProvenAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.proven
}

// Prove notes that revision was the newest of the ledger at a moment.
func (f *Feed) Prove(revision uint64, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.prove(revision, at)
}

// Offer takes a set learned from the ledger, if it is newer.
func (f *Feed) Offer(s *Set) {
	err := f.apply(func() ([]*Set, error) {
		newer, err := f.state.offer(s)
		if !newer || err != nil {
			return nil, err
		}
		return []*Set{s}, nil
	})
	f.report("ledger", err)
}

// upstream is a peer that may be polled.
type upstream struct {
	conn       *wire.Conn
	preference uint64
	kick       chan struct{} // asks for a poll now
}

// Subscribe follows the peer of c until c ends. Call it when a link to another
// entry is up.
func (f *Feed) Subscribe(c *wire.Conn) {
	u := &upstream{
		conn:       c,
		preference: xxhash.Sum64String(f.Node.Hello.Name + "\x00" + c.Peer().Name),
		kick:       make(chan struct{}, 1),
	}
	f.mu.Lock()
	f.upstreams = append(f.upstreams, u)
	slices.SortFunc(f.upstreams, func(a, b *upstream) int { return cmp.Compare(a.preference, b.preference) })
	f.mu.Unlock()
	go f.follow(u)
}

func (f *Feed) follow(u *upstream) {
	defer f.unfollow(u)
	kicked := false
	for {
		if (kicked || f.due(u)) && refused(f.poll(u.conn)) {
			return
		}
		kicked = false
		t := time.NewTimer(pollInterval/2 + rand.N(pollInterval))
		select {
		case <-u.conn.Done():
			t.Stop()
			return
		case <-u.kick:
			t.Stop()
			kicked = true
		case <-t.C:
		}
	}
}

// refused reports whether err says that a peer has no feed.
func refused(err error) bool {
	var remote *wire.RemoteError
	return errors.As(err, &remote)
}

// due reports whether u is to be polled in this interval.
func (f *Feed) due(u *upstream) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	preferred := f.upstreams[:min(len(f.upstreams), max(f.Upstreams, minUpstreams))]
	if slices.Contains(preferred, u) {
		return true
	}
	stale := time.Since(f.state.proven) > staleAfter
	return stale && rand.IntN(len(f.upstreams)) < extraPolls
}

func (f *Feed) unfollow(u *upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = slices.DeleteFunc(f.upstreams, func(other *upstream) bool { return other == u })
}

// poll asks the peer for what is newer, and once more for a snapshot if the
// answer does not fit.
func (f *Feed) poll(c *wire.Conn) error {
	f.mu.Lock()
	revision := f.state.revision()
	f.mu.Unlock()
	err := f.pollFrom(c, revision)
	if needsSnapshot(err) {
		err = f.pollFrom(c, 0)
	}
	return err
}

func (f *Feed) pollFrom(c *wire.Conn, revision uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	asked := time.Now()
	var u update
	if err := c.Call(ctx, kindPoll, pollBody{revision}, &u); err != nil {
		return err
	}
	err := f.takeUpdate(c, u)
	f.report(c.Peer().Name, err)
	if err == nil {
		f.mu.Lock()
		f.state.proveFrom(u, asked)
		f.mu.Unlock()
	}
	return err
}

func (f *Feed) takeUpdate(c *wire.Conn, u update) error {
	f.metrics.countTaken(u)
	return f.apply(func() ([]*Set, error) {
		f.known[c.Peer().Name] = max(f.known[c.Peer().Name], u.Revision)
		return f.state.take(u)
	})
}

// apply runs change under the lock and passes on the sets that it returns.
func (f *Feed) apply(change func() ([]*Set, error)) error {
	f.deliver.Lock()
	defer f.deliver.Unlock()
	f.mu.Lock()
	sets, err := change()
	f.mu.Unlock()
	if len(sets) == 0 {
		return err
	}
	f.keep(sets[len(sets)-1])
	f.push()
	for _, s := range sets {
		if f.Changed != nil {
			f.Changed(s)
		}
	}
	return err
}

// keep writes s to the feed's file. If that fails the set is in force all the
// same: a full disk must not hold up a change.
func (f *Feed) keep(s *Set) {
	if f.File == "" {
		return
	}
	if err := writeSetFile(f.File, s); err != nil {
		f.metrics.countUnkept()
		f.Recorder.Record(timeline.Event{Kind: "revision_not_kept", Revision: s.Revision(), Detail: err.Error()})
	}
}

// push sends the subscribers what they are not known to have.
func (f *Feed) push() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for c, polled := range f.subscribers {
		if now.Sub(polled) < subscription {
			f.pushTo(c, now)
		}
	}
}

func (f *Feed) pushTo(c *wire.Conn, now time.Time) {
	name := c.Peer().Name
	known := f.known[name]
	if known >= f.state.revision() {
		return
	}
	u := f.state.since(known, now)
	f.metrics.countSent(u)
	if c.Send(kindUpdate, u) == nil {
		f.known[name] = f.state.revision()
	}
}

func (f *Feed) handlePoll(m *wire.Message) {
	var body pollBody
	if m.Decode(&body) != nil {
		return
	}
	f.mu.Lock()
	now := time.Now()
	f.addSubscriber(m.Conn(), now)
	u := f.state.since(body.Revision, now)
	f.known[m.Conn().Peer().Name] = max(body.Revision, u.Revision)
	f.mu.Unlock()
	f.metrics.countSent(u)
	m.Reply(u)
}

func (f *Feed) addSubscriber(c *wire.Conn, now time.Time) {
	_, old := f.subscribers[c]
	f.subscribers[c] = now
	if old {
		return
	}
	go func() {
		<-c.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, c)
	}()
}

// handleUpdate takes a pushed update. One that does not fit is fetched again by
// a poll.
func (f *Feed) handleUpdate(m *wire.Message) {
	var u update
	if m.Decode(&u) != nil {
		return
	}
	go func() {
		err := f.takeUpdate(m.Conn(), u)
		if needsSnapshot(err) {
			f.kick(m.Conn())
			return
		}
		f.report(m.Conn().Peer().Name, err)
	}()
}

func (f *Feed) kick(c *wire.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		if u.conn != c {
			continue
		}
		select {
		case u.kick <- struct{}{}:
		default:
		}
	}
}

// report notes an update that was refused, once for each source and reason.
func (f *Feed) report(source string, err error) {
	if err == nil {
		f.noteRefusal(source, "")
		return
	}
	f.metrics.countRefused()
	if f.noteRefusal(source, err.Error()) {
		f.Recorder.Record(timeline.Event{Kind: "update_refused", Detail: source + ": " + err.Error()})
	}
}

// noteRefusal reports whether a source's last refusal was another one.
func (f *Feed) noteRefusal(source, reason string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusals[source] == reason {
		return false
	}
	f.refusals[source] = reason
	return true
}

// Following returns the number of peers that the feed may poll.
func (f *Feed) Following() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.upstreams)
}
