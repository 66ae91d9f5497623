package ledger

import (
	"errors"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() {
	seed.Rapid()
	set := func(name, value string) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.checks", "250")
	set("rapid.nofailfile", "true")
}

func drawProfile(t *rapid.T) profile {
	share := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
	return profile{
		Loss:      share("loss", 200),
		Duplicate: share("duplicate", 200),
		Late:      share("late", 400),
		Cut:       share("cut", 50),
		Crash:     share("crash", 20),
		LoseDisk:  share("lose_disk", 5),
		Change:    share("change", 50),
		Steps:     rapid.IntRange(500, 4000).Draw(t, "steps"),
	}
}

// Under loss, duplication, reordering, partitions, crashes at each step of a
// save, lost disks and membership changes: one leader a term, logs match,
// committed entries stay, are applied in order and give the same state; answers
// to publications, claims and reads are linearizable; and after all faults end
// the voters serve again.
func TestConsensus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		if err := newSim(rapid.Uint64().Draw(t, "seed"), p, sabotage{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// Each mechanism is needed: with it switched off, some schedule breaks a property.
func TestConsensusNeedsItsMechanisms(t *testing.T) {
	tests := map[string]struct {
		broken   sabotage
		schedule func(s *sim) error
	}{
		"vote on disk":         {sabotage{forgetVote: true}, (*sim).run},
		"sync before answer":   {sabotage{ackBeforeSync: true}, (*sim).run},
		"identity of the disk": {sabotage{sameDisk: true}, loseDiskBehindPartition},
	}
	faults := profile{Crash: 20, Cut: 10, Late: 100, Steps: 1500}
	const seeds = 100
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for n := range uint64(seeds) {
				if err := test.schedule(newSim(n, faults, test.broken)); err != nil {
					t.Logf("seed %d without it: %v", n, err)
					if err := test.schedule(newSim(n, faults, sabotage{})); err != nil {
						t.Errorf("seed %d with it: %v", n, err)
					}
					return
				}
			}
			t.Errorf("no property fails without it on %d seeds", seeds)
		})
	}
}

// loseDiskBehindPartition commits on two voters while the third is cut off, then
// empties the disk of one and cuts off the other: the two that remain must not
// elect a leader, since none of them has what was committed. Then the lost voter
// is replaced.
func loseDiskBehindPartition(s *sim) error {
	s.quiet = true
	s.until("a leader", func() bool { return s.checker.commit > 3 })
	kept := s.leader()
	var behind, lost *simNode
	for _, n := range s.nodes[:3] {
		if n != kept {
			behind, lost = lost, n
		}
	}
	s.isolate(behind)
	want := s.checker.commit + 10
	s.until("commits of two voters", func() bool { return s.checker.commit > want })
	lost.crash()
	s.lost[lost.disk.id] = true
	lost.fs = newMemoryFS()
	s.isolate(kept)
	for range 1000 {
		s.step()
	}
	s.profile.Change = 1000
	s.quiet = false
	s.isolate(nil)
	s.until("three voters", func() bool {
		seat, in := s.checker.members.named(lost.name)
		return in && !seat.Learner && !s.lost[seat.Disk]
	})
	s.profile = profile{}
	s.heal()
	return s.err
}

// The first leader is lost for good soon after it leads. The two that remain elect
// another, also where they have heard from it but hold nothing of its log yet.
func TestFirstLeaderIsLost(t *testing.T) {
	const seeds = 200
	for n := range uint64(seeds) {
		s := newSim(n, profile{}, sabotage{})
		s.quiet, s.allAnnounced = true, true
		s.until("a leader", func() bool { return s.leader() != nil })
		first := s.leader()
		s.passTime(time.Duration(n%4) * 10 * time.Millisecond)
		s.isolate(first)
		s.pool = slices.DeleteFunc(s.pool, func(m message) bool { return m.From == first.name })
		s.until("another leader", func() bool {
			return slices.ContainsFunc(s.nodes, func(n *simNode) bool { return n != first && n.core.role == roleLeader })
		})
		if s.err != nil {
			t.Errorf("seed %d: %v", n, s.err)
		}
	}
}

// A voter that was cut off for long and comes back does not depose the leader,
// and a leader that is cut off stops leading before long.
func TestCutOffVoter(t *testing.T) {
	s := newSim(1, profile{}, sabotage{})
	s.quiet = true
	s.until("a leader", func() bool { return s.checker.commit > 3 })
	leader := s.leader()
	term := leader.core.term
	follower := s.nodes[0]
	if follower == leader {
		follower = s.nodes[1]
	}

	s.isolate(follower)
	s.passTime(10 * time.Second)
	s.isolate(nil)
	s.passTime(2 * time.Second)
	if s.leader() != leader || leader.core.term != term {
		t.Errorf("after a follower came back, got term %d, want %q to lead term %d", leader.core.term, leader.name, term)
	}

	s.isolate(leader)
	s.passTime(quorumTimeout + 2*heartbeatInterval)
	if leader.core.role == roleLeader {
		t.Errorf("leader %q still leads %v after it was cut off", leader.name, quorumTimeout+2*heartbeatInterval)
	}
	if s.err != nil {
		t.Error(s.err)
	}
}

// A leader that was cut off and is not aware of its successor yet answers no read
// that misses what the successor committed.
func TestReadOfDeposedLeader(t *testing.T) {
	const seeds = 20
	overlaps := 0
	for n := range uint64(seeds) {
		s := newSim(n, profile{}, sabotage{})
		s.quiet = true
		s.until("a leader", func() bool { return s.checker.commit > 3 })
		old := s.leader()
		s.isolate(old)
		before := s.checker.answeredIndex
		for i := 0; old.core.role == roleLeader && i < healSteps; i++ {
			s.step()
			if i%20 == 0 {
				old.read()
				old.settle()
			}
			if s.checker.answeredIndex > before {
				overlaps++
				old.read()
				break
			}
		}
		s.passTime(100 * time.Millisecond)
		if s.err != nil {
			t.Fatalf("seed %d: %v", n, s.err)
		}
	}
	if overlaps == 0 {
		t.Errorf("no successor on %d seeds before the old leader stepped down", seeds)
	}
}

// An answer to a message of an older term carries no round: a restarted leader
// counts rounds anew and would take it for an answer to one to come.
func TestOldRoundProvesNothing(t *testing.T) {
	st := stored{Disk: 2, Ballot: ballot{Term: 3}}
	c := newCore("b", []Member{{Name: "a"}, {Name: "b"}}, st, rand.New(rand.NewPCG(1, 1)))
	c.step(0, message{Kind: messageAppend, From: "a", FromDisk: 1, ToDisk: 2, Term: 1, Round: 50})
	replies := c.take().Replies
	if len(replies) != 1 || replies[0].Term != 3 || replies[0].Round != 0 {
		t.Errorf("got replies %+v, want one of term 3 and round 0", replies)
	}
}

func membershipEntry(index, term uint64, names string) entry {
	var m membership
	for _, name := range names {
		m = m.With(seat{Member: Member{Name: string(name)}, Disk: diskID(name)})
	}
	return entry{Index: index, Term: term, Kind: entryMembership, Data: m.encode()}
}

// A voter that finds its own removal in its log, not knowing it committed, still
// campaigns after a restart: it may be the only one with the newest entries.
func TestUncommittedRemovalDoesNotSilence(t *testing.T) {
	st := stored{
		Disk:    'b',
		Ballot:  ballot{Term: 2},
		Entries: []entry{membershipEntry(1, 1, "abc"), membershipEntry(2, 2, "ac")},
	}
	c := newCore("b", nil, st, rand.New(rand.NewPCG(1, 1)))
	c.tick(maxElectionTimeout)
	if asked := len(c.take().Replies); c.role != rolePreCandidate || asked != 2 {
		t.Errorf("got role %q and %d voters asked, want %q and 2", c.role, asked, rolePreCandidate)
	}
}

// A new leader changes no membership before an entry of its term has committed:
// its predecessor's change may be committed unknown to it.
func TestNewLeaderWaitsToChangeMembers(t *testing.T) {
	members, err := decodeMembership(membershipEntry(1, 1, "abc").Data)
	if err != nil {
		t.Fatal(err)
	}
	st := stored{Disk: 'b', Ballot: ballot{Term: 2}, Snapshot: snapshot{Index: 1, Term: 1, Members: members}}
	c := newCore("b", nil, st, rand.New(rand.NewPCG(1, 1)))
	settle := func() {
		for a := c.take(); !a.empty(); a = c.take() {
			c.saved(&a)
		}
	}
	from := func(kind messageKind, term, index uint64) message {
		return message{Kind: kind, From: "a", FromDisk: 'a', ToDisk: 'b', Term: term, OK: true, Index: index, Round: c.round}
	}
	c.tick(maxElectionTimeout)
	c.step(c.now, from(messagePreVoteReply, 3, 0))
	settle()
	c.step(c.now, from(messageVoteReply, 3, 0))
	settle()
	var refused *MembershipError
	if err := c.addLearner(Member{Name: "d"}, 'd'); !errors.As(err, &refused) || !refused.Transient {
		t.Errorf("before the commit: got error %v, want a transient *MembershipError", err)
	}
	c.step(c.now, from(messageAppendReply, 3, 2))
	if err := c.addLearner(Member{Name: "d"}, 'd'); err != nil {
		t.Errorf("after the commit: got error %v, want none", err)
	}
	if err := c.addLearner(Member{Name: "e"}, 'e'); !errors.As(err, &refused) || !refused.Transient {
		t.Errorf("second change at once: got error %v, want a transient *MembershipError", err)
	}
}

// After a loss of power on all VMs, voters come back one after the other. The first
// two that are up find each other within the next asking, not after whole timeouts.
func TestRestartedVoterAsksOftenUntilItHearsALeader(t *testing.T) {
	const within = 100 * time.Millisecond
	for seed := range uint64(50) {
		st := stored{Disk: 'b', Ballot: ballot{Term: 2}, Entries: []entry{membershipEntry(1, 1, "abc")}}
		c := newCore("b", nil, st, rand.New(rand.NewPCG(seed, 1)))
		for now := within; now < 10*within; now += within {
			c.tick(now)
			asked := c.take()
			if got, want := len(asked.Replies), 2; got != want {
				t.Fatalf("seed %d at %v: got %d voters asked, want %d", seed, now, got, want)
			}
			c.saved(&asked)
		}
		if got, want := c.term, uint64(2); got != want {
			t.Errorf("seed %d: got term %d, want %d", seed, got, want)
		}
		c.step(c.now, message{Kind: messageAppend, From: "a", FromDisk: 'a', ToDisk: 'b', Term: 2})
		c.take()
		c.tick(c.now + minElectionTimeout - time.Millisecond)
		if got := len(c.take().Replies); got != 0 {
			t.Errorf("seed %d: got %d voters asked soon after a leader was heard, want none", seed, got)
		}
	}
}
