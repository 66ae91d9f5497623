package ledger

import "fmt"

// Changes of the membership, one voter at a time. A new member starts as a
// learner and gets its vote once it has caught up, so it never counts in a
// quorum that it cannot help to reach. To replace a voter, add the new one
// first: the old quorum stands until the new voter is whole.

// ContradictionError says that a leader sent another entry for an index that was
// already committed here. The voter stops, since its log or the leader's is
// damaged.
type ContradictionError struct {
	Index uint64
	Term  uint64
}

// Error implements error.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("leader of term %d contradicts committed entry %d", e.Term, e.Index)
}

// MembershipError says why a change of the membership was refused.
type MembershipError struct {
	Member    string
	Issue     string
	Transient bool // the same change may succeed later
}

// Error implements error.
func (e *MembershipError) Error() string {
	return fmt.Sprintf("membership of %q cannot change: %s", e.Member, e.Issue)
}

// addLearner adds a member. It does nothing if the member has this disk already.
func (c *core) addLearner(m Member, disk diskID) error {
	if s, ok := c.members.named(m.Name); ok {
		if s.Disk == disk {
			return nil
		}
		return &MembershipError{Member: m.Name, Issue: "another disk is known under this name; remove it first"}
	}
	return c.changeMembers(m.Name, c.members.With(seat{Member: m, Disk: disk, Learner: true}))
}

// remove takes a member out. It does nothing if there is none of that name.
func (c *core) remove(name string) error {
	s, ok := c.members.named(name)
	if !ok {
		return nil
	}
	rest := c.members.Without(name)
	if !s.Learner && c.following(rest) < c.commitQuorum(rest) {
		return &MembershipError{name, "the voters that remain would have no quorum now", true}
	}
	return c.changeMembers(name, rest)
}

// promoteLearner gives a learner that has caught up its vote.
func (c *core) promoteLearner() {
	for _, s := range c.members.Seats {
		if !s.Learner || !c.caughtUp(s.Disk) {
			continue
		}
		s.Learner = false
		_ = c.changeMembers(s.Member.Name, c.members.With(s)) // tried again at the next heartbeat
		return
	}
}

// caughtUp reports whether a disk lags so little that it may vote. A leader that is a learner
// itself has all entries.
func (c *core) caughtUp(disk diskID) bool {
	if disk == c.disk {
		return true
	}
	p := c.progress[disk]
	return p != nil && p.match+caughtUpEntries >= c.log.lastIndex() && c.follows(p)
}

// follows reports whether a follower has answered of late.
func (c *core) follows(p *progress) bool {
	return p.match > 0 && c.now-p.heard < minElectionTimeout
}

// following counts the voters of m that follow now, c included.
func (c *core) following(m membership) int {
	n := 0
	for _, d := range m.voters() {
		p := c.progress[d]
		if d == c.disk || (p != nil && c.follows(p)) {
			n++
		}
	}
	return n
}

func (c *core) changeMembers(name string, m membership) error {
	if c.role != roleLeader {
		return &MembershipError{name, "this voter does not lead", true}
	}
	if c.membersIndex > c.commit {
		return &MembershipError{name, "another change is under way", true}
	}
	if term, ok := c.log.term(c.commit); !ok || term != c.term {
		return &MembershipError{name, "the leader has not committed in its term yet", true}
	}
	if len(m.voters()) == 0 {
		return &MembershipError{Member: name, Issue: "no voter would remain"}
	}
	c.appendOwn(entryMembership, m.encode())
	c.setMembers(m, c.log.lastIndex())
	c.syncProgress()
	c.broadcast()
	return nil
}
