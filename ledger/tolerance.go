package ledger

import (
	"fmt"
	"maps"
)

// What may be lost at once, and what follows for quorums.
//
// A majority of the voters elects a leader, as in Raft. An entry commits once it is on the
// disks of a majority and of one voter more than disks may be lost at once. With 2f+1 voters
// for f disks the two are the same. With fewer, an entry needs more than a majority, and while
// one of these voters is away nothing commits: an entry that a majority acknowledged could be
// lost with their disks, and losing it is worse than a delay.
//
// In return the voters that are left may lead when no majority is left. A candidate wins as a
// survivor if each other seat has either voted for it or lost its disk, and no more disks are
// lost than the tolerance allows:
//
//   - Each committed entry is on a disk that is left. That disk voted, which it does only for
//     a log that holds at least as much.
//   - A lost disk is shown by the process that now has the name of the seat and an empty disk
//     of its own. It holds nothing, and it stores the candidate's term before it answers, so
//     no leader of an earlier term can commit by it afterwards. Silence shows nothing, and
//     neither does another disk that holds entries.
//   - No other leader can be elected in that term, since all voters that are left gave their
//     vote.
//   - The candidate knows the newest membership. A newer one was committed on the disks of
//     f+1 voters; as a change adds or removes one seat, at least one of them is left, has a
//     seat in the candidate's membership, and refuses its vote.
//
// A leader that cannot commit without the disks that are lost, a survivor or one that a majority
// elected, makes the new disks learners.

// Tolerance is what may be lost at the same time with its disks. The zero value is nothing:
// an entry commits on a majority.
type Tolerance struct {
	VMs            int // any VMs with a voter
	FailureDomains int // or all VMs of so many failure domains
}

// disks returns how many voters of m may lose their disks at once.
func (t Tolerance) disks(m membership) int {
	return max(t.VMs, m.votersIn(t.FailureDomains))
}

// minVoters returns with how many voters a majority has an entry on one disk more than may be
// lost.
func (t Tolerance) minVoters(m membership) int { return 2*t.disks(m) + 1 }

// setTolerance gives c the tolerance that all voters have.
func (c *core) setTolerance(t Tolerance) {
	c.tolerance = t
	c.setMembers(c.members, c.membersIndex)
}

// commitQuorum returns on how many voters' disks an entry commits under the membership m.
func (c *core) commitQuorum(m membership) int {
	return max(m.quorum(), min(c.tolerance.disks(m)+1, len(m.voters())))
}

// stepLostDisk handles a message for a disk that c's name had before. If c's own disk is empty,
// it tells a candidate or leader that the other one is lost, after it has stored the term.
func (c *core) stepLostDisk(m message) {
	if !c.heal || c.role != roleUnformed || c.log.lastIndex() > 0 {
		c.eventOnce("message_for_other_disk", m.From)
		return
	}
	switch m.Kind {
	case messagePreVote:
		c.reply(message{Kind: messageDiskLost, Term: m.Term}, m)
	case messageVote, messageAppend, messageSnapshot:
		if m.Term > c.term {
			c.follow(m.Term, "")
		}
		c.reply(message{Kind: messageDiskLost}, m)
	}
}

// stepDiskLost notes that the disk of a seat is lost, for the term that c leads or wants to lead.
// A sender in a later term has answered another candidate; c catches up with it.
func (c *core) stepDiskLost(m message) {
	asked := c.term
	switch c.role {
	case rolePreCandidate:
		asked++
	case roleCandidate, roleLeader:
	default:
		return
	}
	s, ok := c.members.named(m.From)
	if !ok || s.Disk == m.FromDisk || m.Term < asked {
		return
	}
	if m.Term > asked {
		c.follow(m.Term, "")
		return
	}
	c.lostDisks[s.Disk] = m.FromDisk
	if c.role == roleLeader {
		c.replaceLostDisks()
		return
	}
	c.countVotes()
}

// survives reports whether each other seat has voted for c or lost its disk, and no more disks
// are lost than may be.
func (c *core) survives() bool {
	if len(c.lostDisks) > c.tolerance.disks(c.members) || !c.votes[c.disk] {
		return false
	}
	for _, s := range c.members.Seats {
		if _, lost := c.lostDisks[s.Disk]; !lost && !c.votes[s.Disk] {
			return false
		}
	}
	return true
}

// forgetReplacedDisks forgets the lost disks whose replacements vote and hold all that was committed.
func (c *core) forgetReplacedDisks() {
	if c.membersIndex > c.commit {
		return
	}
	maps.DeleteFunc(c.lostDisks, func(_, replacement diskID) bool {
		p := c.progress[replacement]
		return c.members.voter(replacement) && p != nil && p.match >= c.commit
	})
}

// replaceLostDisks makes the new disks learners, in the place of those that are lost, if nothing
// can commit without these. It doesn't wait for the commit of an earlier membership, which could
// never come. Every voter that is left keeps its vote, so any two quorums still meet in one.
func (c *core) replaceLostDisks() {
	m := c.members
	for _, s := range c.members.Seats {
		if disk, lost := c.lostDisks[s.Disk]; lost {
			m = m.With(seat{Member: s.Member, Disk: disk, Learner: true})
		}
	}
	tolerated := len(c.lostDisks) <= c.tolerance.disks(c.members)
	if !tolerated || len(m.voters()) == 0 || len(m.voters()) >= c.commitQuorum(c.members) {
		return
	}
	c.event("lost_disks_replaced", fmt.Sprintf("%d voters are left of %d", len(m.voters()), len(c.members.voters())))
	c.appendOwn(entryMembership, m.encode())
	c.setMembers(m, c.log.lastIndex())
	c.syncProgress()
	c.broadcast()
}
