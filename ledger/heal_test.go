package ledger

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// allVote reports whether the present disk of every node votes.
func (s *sim) allVote() bool {
	return !slices.ContainsFunc(s.nodes, func(n *simNode) bool {
		return n.core == nil || !s.checker.members.voter(n.disk.id)
	})
}

// Voters that lose their disks, one at a time, and one that was not there at the
// first start come to vote without an operator, under all other faults, and nothing
// that was answered is lost.
func TestHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		p.Change, p.Heal = 0, true
		s := newSim(rapid.Uint64().Draw(t, "seed"), p, sabotage{})
		if err := s.run(); err != nil {
			t.Fatal(err)
		}
		if len(s.lost) > 0 && s.checker.commit <= 1 {
			return // a disk lost during the first start blocks it
		}
		s.until("vote of every node", s.allVote)
		if s.err != nil {
			t.Fatal(s.err)
		}
	})
}

// An empty disk under a name that votes is taken in again, although the others have
// not lost their quorum and nobody removes the old seat.
func TestLostDiskHeals(t *testing.T) {
	s := newSim(1, profile{Heal: true}, sabotage{})
	s.quiet = true
	s.until("vote of every node", s.allVote)
	for _, n := range s.nodes {
		n.crash()
		s.lost[n.disk.id] = true
		n.fs = newMemoryFS()
		s.until("vote of every node", s.allVote)
	}
	if s.err != nil {
		t.Fatal(s.err)
	}
}

// Without the mechanism a lost disk stays out.
func TestLostDiskNeedsHealing(t *testing.T) {
	s := newSim(1, profile{}, sabotage{})
	s.quiet = true
	s.until("a leader", func() bool { return s.checker.commit > 3 })
	lost := s.nodes[0]
	lost.crash()
	lost.fs = newMemoryFS()
	s.passTime(10 * retireAfter)
	if s.checker.members.voter(lost.disk.id) {
		t.Error("an empty disk votes without healing")
	}
}

// TestNumberedRevisions is operators who race, and orders that come again: the highest
// number wins, whatever the order.
func TestNumberedRevisions(t *testing.T) {
	m := newMachine()
	publish := func(number uint64, set string) uint64 {
		return m.publishNumbered(numberCommand{number, []byte(set)}, time.Time{}).Revision.Number
	}
	for name, c := range []struct {
		number, want uint64
	}{{7, 7}, {7, 7}, {3, 7}, {12, 12}, {7, 12}} {
		if got := publish(c.number, "set"); got != c.want {
			t.Errorf("step %d, number %d: got newest %d, want %d", name, c.number, got, c.want)
		}
	}
	if publish(12, "other"); string(m.state.set) != "set" {
		t.Errorf("set of a number that is held: got %q, want the first", m.state.set)
	}
	for name, c := range map[string]struct {
		have  uint64
		after int
		reset bool
	}{
		"nothing": {0, 2, true}, "first": {7, 1, false}, "newest": {12, 0, false}, "unknown": {9, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			after, reset := m.state.revisionsAfter(c.have)
			if len(after) != c.after || reset != c.reset {
				t.Errorf("revisions after %d: got %d, reset %v, want %d, %v", c.have, len(after), reset, c.after, c.reset)
			}
		})
	}
}
