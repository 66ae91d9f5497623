package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/internal/measure"
	"github.com/bamboostep/bamboostep/ledger"
	"github.com/bamboostep/bamboostep/timeline"
)

// A voter that lost its disk is refused under its old name: it counts in no
// quorum, so with one more voter down nothing is committed. Removed and added
// anew it catches up and may then stand in for another that fails.
func TestVoterWithLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	mustPublish(t, c.running["a"].client, publication("p1", 0))
	lost := c.other(c.leader())
	name := lost.voter.Name
	c.stop(name)
	if err := os.RemoveAll(filepath.Join(c.root, name)); err != nil {
		t.Fatal(err)
	}
	lost = c.start(c.member(name))
	c.eventually("refusal of the empty disk", func() bool { return recorded(lost.voter.Recorder, "ledger_disk_refused") })

	c.eventually("the others' state beside a refused voter", func() bool {
		_, revision := lost.client.State().Set()
		return revision == 1
	})

	leader := c.leader()
	third := c.third(leader, name)
	c.stop(third)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	_, err := c.running[leader].client.Publish(ctx, publication("p2", 1))
	cancel()
	var unavailable *bamboostep.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Fatalf("published with one voter and an empty disk: got error %v, want *UnavailableError", err)
	}

	c.start(c.member(third))
	client := c.running[c.leader()].client
	ctx, cancel = context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	if err := client.RemoveVoter(ctx, c.member(name)); err != nil {
		t.Fatal(err)
	}
	if err := client.AddVoter(ctx, c.member(name)); err != nil {
		t.Fatal(err)
	}
	c.stop(third)
	r := mustPublish(t, lost.client, publication("p2", 1))
	if r.Number != 2 {
		t.Errorf("got revision %d, want 2", r.Number)
	}
	c.eventually("three voters, as the one that was taken in knows them", func() bool {
		return len(lost.voter.State().Members()) == 3
	})
	if err := lost.client.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	if got := len(lost.client.State().Members()); got != 3 {
		t.Errorf("got %d voters after a barrier, want 3", got)
	}
}

// A new voter under a new name takes the place of another, and knows what was
// published before it came, hundreds of changes later.
func TestVoterIsAddedAndAnotherRemoved(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	client := c.running[c.leader()].client
	for i := range uint64(300) {
		mustPublish(t, client, publication(fmt.Sprint("p", i), i))
	}
	d := c.newMember("d")
	c.start(d)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	if err := client.AddVoter(ctx, d); err != nil {
		t.Fatal(err)
	}
	if err := client.RemoveVoter(ctx, c.member("a")); err != nil {
		t.Fatal(err)
	}
	c.stop("a")
	added := c.running["d"]
	if err := added.client.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	if _, revision := added.voter.State().Set(); revision != 300 {
		t.Errorf("got revision %d on the new voter, want 300", revision)
	}
	c.stop(c.third("d", "a"))
	if r := mustPublish(t, added.client, publication("p300", 300)); r.Number != 301 {
		t.Errorf("got revision %d with the new voter in the quorum, want 301", r.Number)
	}
}

// Of many entries that claim one name at once, one attempt is granted it, though
// the leader stops in the middle.
func TestClaimIsGrantedOnce(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	leader := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	const names, attempts = 20, 4
	results := make([]bamboostep.ClaimResult, names*attempts)
	var all sync.WaitGroup
	for i := range results {
		client := c.running[c.members[i%len(c.members)].Name].client
		if client.Local.Name == leader {
			client = c.other(leader).client
		}
		all.Go(func() {
			claim := bamboostep.Claim{Name: fmt.Sprint("order-", i/attempts), Attempt: bamboostep.AttemptID(fmt.Sprint(i)), Retention: time.Hour}
			r, err := client.Claim(ctx, claim)
			if err != nil {
				t.Error(err)
			}
			results[i] = r
		})
	}
	c.stop(leader)
	all.Wait()
	for n := range names {
		granted := 0
		for _, r := range results[n*attempts : (n+1)*attempts] {
			if r.State == bamboostep.ClaimGranted {
				granted++
			}
		}
		if granted != 1 {
			t.Errorf("name %d was granted to %d attempts, want 1", n, granted)
		}
	}
}

// Every voter counts the names that are taken, so that operators see the table fill.
func TestClaimedNamesAreCounted(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	client := c.running[c.leader()].client
	for _, name := range []string{"order-1", "order-2"} {
		if _, err := client.Claim(t.Context(), bamboostep.Claim{Name: name, Attempt: "1", Retention: time.Hour}); err != nil {
			t.Fatal(err)
		}
	}
	for name, p := range c.running {
		c.eventually("count of 2 names on "+name, func() bool {
			return measure.Gauge(t, p.registry, "bamboostep_ledger_claimed_names") == 2
		})
	}
}

func (c *cluster) member(name string) ledger.Member {
	for _, m := range c.members {
		if m.Name == name {
			return m
		}
	}
	c.t.Fatalf("no member %q", name)
	return ledger.Member{}
}

// third returns a running voter other than two.
func (c *cluster) third(a, b string) string {
	for name := range c.running {
		if name != a && name != b {
			return name
		}
	}
	c.t.Fatal("no third voter")
	return ""
}

func recorded(r *timeline.Recorder, kind string) bool {
	for _, e := range r.Find(timeline.Query{}) {
		if e.Kind == kind {
			return true
		}
	}
	return false
}

// A log that has grown is replaced by a snapshot. A voter that comes new gets the
// snapshot, and all come back from it.
func TestCheckpoint(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.startAll()
	client := c.running[c.leader()].client
	const sets, setBytes = 12, 1 << 20
	for i := range uint64(sets) {
		p := publication(fmt.Sprint("p", i), i)
		p.Set = append(p.Set, make([]byte, setBytes)...)
		mustPublish(t, client, p)
	}
	for _, p := range c.running {
		c.eventually("checkpoint", func() bool { return recorded(p.voter.Recorder, "ledger_checkpoint") })
	}
	d := c.newMember("d")
	added := c.start(d)
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	if err := client.AddVoter(ctx, d); err != nil {
		t.Fatal(err)
	}
	if err := added.client.Barrier(ctx); err != nil {
		t.Fatal(err)
	}
	c.stopAll()
	c.startAll()
	c.start(d)
	for name, p := range c.running {
		if again := mustPublish(t, p.client, publication("p3", 3)); again.Number != 4 {
			t.Errorf("publication sent again to %q: got revision %d, want 4", name, again.Number)
		}
		c.eventually("newest revision", func() bool {
			_, revision := p.voter.State().Set()
			return revision == sets
		})
	}
}
