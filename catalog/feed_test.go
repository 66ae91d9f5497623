package catalog

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/seed"
	"github.com/bamboostep/bamboostep/wire"
)

func init() { seed.Rapid() }

// packet is an update on its way, or a poll if ask is true.
type packet struct {
	from, to int
	ask      bool
	revision uint64 // of a poll
	asked    time.Time
	update   update
}

// network carries packets between feeds in whatever order rapid draws. One
// ledger gives out revisions; each feed may hear of any of them, or of none.
type network struct {
	feeds   []*feedState
	highest []uint64 // highest revision that each feed ever had
	ledger  []*Set   // ledger[i] has revision i+1
	packets []packet
	now     time.Time
	newest  map[uint64]time.Time // last moment at which a revision was the newest
}

func newNetwork(n int) *network {
	net := &network{now: time.Unix(1000, 0), newest: make(map[uint64]time.Time)}
	for range n {
		net.feeds = append(net.feeds, &feedState{})
		net.highest = append(net.highest, 0)
	}
	return net
}

func (n *network) tick() {
	n.now = n.now.Add(time.Second)
	n.newest[uint64(len(n.ledger))] = n.now
}

// publish makes the next revision: it adds, changes or removes one model.
func (n *network) publish(t *rapid.T) {
	var o Objects
	if len(n.ledger) > 0 {
		o = n.ledger[len(n.ledger)-1].Objects()
	}
	name := rapid.SampledFrom([]string{"m1", "m2", "m3"}).Draw(t, "model")
	changed := bamboostep.Model{Name: name, MinCopies: rapid.IntRange(0, 3).Draw(t, "copies")}
	next := Objects{Models: applyList(o.Models, nil, []string{name}, modelName)}
	if changed.MinCopies > 0 {
		next.Models = append(next.Models, changed)
	}
	n.ledger = append(n.ledger, New(next).WithRevision(uint64(len(n.ledger)+1)))
}

func (n *network) poll(from, to int) {
	n.packets = append(n.packets, packet{from: from, to: to, ask: true, revision: n.feeds[from].revision(), asked: n.now})
}

// deliver hands over packet i, and keeps it for a second time if asked to.
func (n *network) deliver(t *rapid.T, i int, keep bool) {
	p := n.packets[i]
	if !keep {
		n.packets = append(n.packets[:i:i], n.packets[i+1:]...)
	}
	f := n.feeds[p.to]
	if p.ask {
		n.packets = append(n.packets, packet{from: p.to, to: p.from, asked: p.asked, update: f.since(p.revision, n.now)})
		return
	}
	sets, err := f.take(p.update)
	if needsSnapshot(err) {
		n.packets = append(n.packets, packet{from: p.to, to: p.from, ask: true, asked: n.now})
		err = nil
	}
	if err != nil {
		t.Fatal(err)
	}
	f.proveFrom(p.update, p.asked)
	n.noteApplied(t, p.to, sets)
}

func (n *network) noteApplied(t *rapid.T, feed int, sets []*Set) {
	for _, s := range sets {
		if s.Revision() <= n.highest[feed] {
			t.Fatalf("feed %d applied revision %d after %d", feed, s.Revision(), n.highest[feed])
		}
		n.highest[feed] = s.Revision()
		if changes := Diff(n.ledger[s.Revision()-1], s); len(changes) > 0 {
			t.Fatalf("feed %d holds another revision %d than the ledger: %v", feed, s.Revision(), changes)
		}
	}
}

func (n *network) check(t *rapid.T) {
	for i, f := range n.feeds {
		if got, want := f.revision(), n.highest[i]; got != want {
			t.Fatalf("feed %d is at revision %d, want %d", i, got, want)
		}
		if f.proven.IsZero() {
			continue
		}
		if newest := n.newestAt(f.proven); f.revision() < newest {
			t.Fatalf("feed %d at revision %d is proven at a moment when %d was the newest", i, f.revision(), newest)
		}
	}
}

// newestAt returns the revision that was the newest at a moment.
func (n *network) newestAt(at time.Time) uint64 {
	var newest uint64
	for revision, last := range n.newest {
		if last.Before(at) {
			newest = max(newest, revision+1)
		}
	}
	return newest
}

// Under any order, loss and duplication of messages, and old sets offered again,
// no feed's revision falls, none is proven current while it is not, and once all
// can talk along a line they all hold the newest revision that one of them has.
func TestFeedsNeverFallAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.IntRange(2, 5).Draw(t, "feeds"))
		feed := rapid.IntRange(0, len(n.feeds)-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { n.tick(); n.publish(t); n.tick() },
			"offer": func(t *rapid.T) {
				if len(n.ledger) == 0 {
					t.Skip("nothing published")
				}
				i := feed.Draw(t, "feed")
				s := rapid.SampledFrom(n.ledger).Draw(t, "set")
				newer, err := n.feeds[i].offer(s)
				if err != nil {
					t.Fatal(err)
				}
				if newer {
					n.noteApplied(t, i, []*Set{s})
				}
			},
			"prove": func(t *rapid.T) { n.feeds[feed.Draw(t, "feed")].prove(uint64(len(n.ledger)), n.now) },
			"poll":  func(t *rapid.T) { n.tick(); n.poll(feed.Draw(t, "from"), feed.Draw(t, "to")) },
			"push": func(t *rapid.T) {
				from, to := feed.Draw(t, "from"), feed.Draw(t, "to")
				u := n.feeds[from].since(rapid.Uint64Range(0, 9).Draw(t, "known"), n.now)
				u.AgeMicros = never
				n.packets = append(n.packets, packet{from: from, to: to, update: u})
			},
			"deliver": func(t *rapid.T) {
				if len(n.packets) == 0 {
					t.Skip("no packet")
				}
				n.deliver(t, rapid.IntRange(0, len(n.packets)-1).Draw(t, "packet"), rapid.Bool().Draw(t, "keep"))
			},
			"lose": func(t *rapid.T) {
				if len(n.packets) == 0 {
					t.Skip("no packet")
				}
				i := rapid.IntRange(0, len(n.packets)-1).Draw(t, "packet")
				n.packets = append(n.packets[:i:i], n.packets[i+1:]...)
			},
			"": n.check,
		})
		n.converge(t)
	})
}

// converge lets each feed poll its neighbours until nothing is on its way, as
// often as there are feeds.
func (n *network) converge(t *rapid.T) {
	var want uint64
	for _, f := range n.feeds {
		want = max(want, f.revision())
	}
	for range n.feeds {
		for i := range len(n.feeds) - 1 {
			n.poll(i, i+1)
			n.poll(i+1, i)
		}
		for len(n.packets) > 0 {
			n.deliver(t, 0, false)
		}
	}
	for i, f := range n.feeds {
		if f.revision() != want {
			t.Fatalf("feed %d ended at revision %d, want %d", i, f.revision(), want)
		}
	}
}

// A subscriber within the history gets deltas, an older one a snapshot, and the
// history stays about as small as a snapshot.
func TestFeedHistoryIsBounded(t *testing.T) {
	const revisions = 2000
	var f feedState
	for i := range revisions {
		m := bamboostep.Model{Name: "m", Version: fmt.Sprintf("v%d", i), MinCopies: 1}
		if _, err := f.offer(New(Objects{Models: []bamboostep.Model{m}}).WithRevision(uint64(i + 1))); err != nil {
			t.Fatal(err)
		}
	}
	if f.historyBytes > minHistoryBytes {
		t.Errorf("got %d bytes of history, want at most %d", f.historyBytes, minHistoryBytes)
	}
	tests := map[string]struct {
		revision uint64
		want     string
	}{
		"nothing yet": {0, "snapshot"},
		"too old":     {1, "snapshot"},
		"one behind":  {revisions - 1, "delta"},
		"many behind": {revisions - 200, "delta"},
		"current":     {revisions, "mark"},
		"ahead":       {revisions + 5, "mark"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := f.since(test.revision, time.Unix(0, 0)).form(); got != test.want {
				t.Errorf("got a %s, want a %s", got, test.want)
			}
		})
	}
}

// Two sets under one revision are told apart, and neither replaces the other.
func TestFeedNoticesFork(t *testing.T) {
	var f, g feedState
	for i, state := range []*feedState{&f, &g} {
		m := bamboostep.Model{Name: "m", MinCopies: i}
		if _, err := state.offer(New(Objects{Models: []bamboostep.Model{m}}).WithRevision(7)); err != nil {
			t.Fatal(err)
		}
	}
	_, err := f.take(g.since(7, time.Unix(0, 0)))
	var fork *ForkError
	if !errors.As(err, &fork) || fork.Revision != 7 {
		t.Errorf("got error %v, want *ForkError at revision 7", err)
	}
}

// Whatever a peer sends, a feed neither panics nor falls back.
func FuzzTakeUpdate(f *testing.F) {
	var state feedState
	for n := range uint64(3) {
		m := bamboostep.Model{Name: "m", MinCopies: int(n)}
		if _, err := state.offer(New(Objects{Models: []bamboostep.Model{m}}).WithRevision(n + 5)); err != nil {
			f.Fatal(err)
		}
	}
	for _, revision := range []uint64{0, 5, 6, 7} {
		data, err := msgpack.Marshal(state.since(revision, time.Unix(0, 0)))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var u update
		if wire.CheckEncoding(data) != nil || msgpack.Unmarshal(data, &u) != nil {
			return
		}
		var g feedState
		if _, err := g.offer(New(Objects{}).WithRevision(6)); err != nil {
			t.Fatal(err)
		}
		last := g.revision()
		sets, _ := g.take(u)
		for _, s := range sets {
			if s.Revision() <= last {
				t.Fatalf("applied revision %d after %d", s.Revision(), last)
			}
			last = s.Revision()
		}
	})
}
