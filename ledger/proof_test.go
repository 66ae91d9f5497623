package ledger

import (
	"math/rand/v2"
	"testing"
	"time"
)

// trio is three cores whose messages are delivered by hand. Whatever they want saved is saved at once.
type trio struct {
	cores map[string]*core
	held  map[string][]message // messages on their way, by receiver
	lost  map[string]bool      // receivers that get nothing, not even later
}

func newTrio() *trio {
	t := &trio{cores: make(map[string]*core), held: make(map[string][]message), lost: make(map[string]bool)}
	for i, name := range []string{"a", "b", "c"} {
		st := stored{Disk: diskID(name[0]), Ballot: ballot{Term: 2}, Entries: []entry{membershipEntry(1, 1, "abc")}}
		t.cores[name] = newCore(name, nil, st, rand.New(rand.NewPCG(uint64(i), 1)))
	}
	return t
}

// settle takes what the cores want done. Messages are sent, but wait for deliver.
func (t *trio) settle() {
	for _, name := range []string{"a", "b", "c"} {
		for a := t.cores[name].take(); !a.empty(); a = t.cores[name].take() {
			t.cores[name].saved(&a)
			for _, m := range append(a.Early, a.Replies...) {
				if !t.lost[m.To] {
					t.held[m.To] = append(t.held[m.To], m)
				}
			}
		}
	}
}

// deliver hands receivers what waits for them, until nothing does.
func (t *trio) deliver(now time.Duration, receivers ...string) {
	for busy := true; busy; {
		busy = false
		for _, name := range receivers {
			waiting := t.held[name]
			t.held[name] = nil
			for _, m := range waiting {
				busy = true
				t.cores[name].step(now, m)
			}
			t.settle()
		}
	}
}

// run lets time pass from one moment to another, while the receivers named get their messages at once.
func (t *trio) run(from, to time.Duration, running ...string) {
	for now := from; now < to; now += 10 * time.Millisecond {
		for _, name := range running {
			t.cores[name].tick(now)
		}
		t.settle()
		t.deliver(now, running...)
	}
}

// elect makes a core the leader at a time.
func (t *trio) elect(name string, at time.Duration, voters ...string) {
	c := t.cores[name]
	c.electionDue = at
	c.tick(at)
	t.settle()
	t.deliver(at, voters...)
}

// Guards against a voter that was slow, cut off or frozen and takes old messages of the leader for the newest state: it is as
// current as the moment at which the leader sent them, not that at which it handles them (issue 44).
func TestLateMessagesOfLeaderProveOldState(t *testing.T) {
	trio := newTrio()
	trio.elect("a", time.Second, "a", "b", "c")
	trio.run(time.Second, 2*time.Second, "a", "b", "c")
	leader, follower := trio.cores["a"], trio.cores["c"]
	if leader.role != roleLeader || follower.currentAt == 0 {
		t.Fatalf("got role %q and a follower that was current at %v, want a leader and a current follower", leader.role, follower.currentAt)
	}
	sent := 2*time.Second + 50*time.Millisecond
	trio.run(2*time.Second, sent, "a", "b") // what is sent to c waits
	late := trio.held["c"]
	trio.held["c"] = nil
	trio.lost["c"] = true
	if _, ok := leader.propose([][]byte{[]byte("change")}); !ok {
		t.Fatal("got a leader that takes no change")
	}
	trio.run(sent, 5*time.Second, "a", "b")
	if leader.commit <= follower.commit {
		t.Fatalf("got commit %d at the leader and %d at the follower, want the leader ahead", leader.commit, follower.commit)
	}
	for _, m := range late {
		follower.step(5*time.Second, m)
	}
	trio.settle()
	if follower.currentAt > sent {
		t.Errorf("follower that handles messages 3 s late: got a state proved current at %v, want at %v at the latest", follower.currentAt, sent)
	}
}

// Guards against a leader that proves a state to be the newest before it knows what its predecessor had committed (issue 44).
func TestNewLeaderProvesNothingBeforeItCommits(t *testing.T) {
	trio := newTrio()
	trio.elect("a", time.Second, "a", "b", "c")
	trio.run(time.Second, 2*time.Second, "a", "b", "c")
	a, b, c := trio.cores["a"], trio.cores["b"], trio.cores["c"]
	trio.lost["c"] = true
	a.propose([][]byte{[]byte("change")})
	trio.settle()
	trio.deliver(2*time.Second, "b") // b has the entry, and does not learn that it is committed
	trio.deliver(2*time.Second, "a")
	acknowledged := a.commit
	if acknowledged <= b.commit {
		t.Fatalf("got commit %d at the leader and %d at the follower, want the leader ahead", acknowledged, b.commit)
	}
	trio.lost = map[string]bool{"a": true}
	trio.held = make(map[string][]message)
	b.electionDue, c.electionDue = 4*time.Second, time.Hour
	b.tick(4 * time.Second)
	trio.settle()
	for range 2 { // the vote before the election and that of the election
		trio.deliverTo(4*time.Second, "c")
		trio.deliverTo(4*time.Second, "b")
	}
	trio.deliverTo(4*time.Second, "c") // the first message of the new leader
	if b.role != roleLeader || b.commit >= acknowledged {
		t.Fatalf("got role %q and commit %d, want a new leader that does not know that %d is committed", b.role, b.commit, acknowledged)
	}
	if c.currentAt > 3*time.Second {
		t.Errorf("follower of the new leader: got entry %d proved newest at %v, though %d was acknowledged at 2s", c.commit, c.currentAt, acknowledged)
	}
	if at, proves := b.provenAt(); proves && at > 3*time.Second {
		t.Errorf("new leader: got entry %d proved newest at %v, though %d was acknowledged at 2s", b.commit, at, acknowledged)
	}
}

// deliverTo hands a receiver what waits for it now, and no answers to that.
func (t *trio) deliverTo(now time.Duration, name string) {
	waiting := t.held[name]
	t.held[name] = nil
	for _, m := range waiting {
		t.cores[name].step(now, m)
	}
	t.settle()
}
