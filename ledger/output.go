package ledger

import (
	"math"
	"slices"
)

// What the core wants of its shell, and when it learns that it was done.

// actions is what the shell must do, in this order: send Early, save Snapshot,
// Ballot and Entries and report them by saved, send Replies, apply Committed.
type actions struct {
	Early    []message
	Ballot   *ballot   // nil if unchanged
	Snapshot *snapshot // nil unless the leader sent one; replaces the whole log
	Entries  []entry   // replaces the saved log from the first one's index on
	Replies  []message

	Committed []entry
	Reads     []readResult
	Events    []coreEvent
	Err       error // the voter must stop
}

// empty reports whether there is nothing to do.
func (a *actions) empty() bool {
	return len(a.Early) == 0 && a.Ballot == nil && a.Snapshot == nil && len(a.Entries) == 0 &&
		len(a.Replies) == 0 && len(a.Committed) == 0 && len(a.Reads) == 0 && len(a.Events) == 0
}

// mustSave reports whether something must reach the disk.
func (a *actions) mustSave() bool {
	return a.Ballot != nil || a.Snapshot != nil || len(a.Entries) > 0
}

// coreEvent is something worth a line in the time line.
type coreEvent struct {
	Kind   string // snake case
	Detail string
}

// readResult ends a read barrier: all up to Index was committed when it began.
type readResult struct {
	ID    uint64
	Index uint64
	OK    bool // false if this voter no longer leads
}

// take returns what has to be done since the last call.
func (c *core) take() actions {
	c.startReadRound()
	if b := c.ballot(); !sameBallot(b, c.savedBallot) {
		c.out.Ballot = &b
		c.savedBallot = b
	}
	c.out.Entries = c.log.from(max(c.stable, c.log.baseIndex)+1, math.MaxInt)
	c.handOut()
	out := c.out
	c.out = actions{}
	return out
}

// saved tells the core that all of a is on disk.
func (c *core) saved(a *actions) {
	if n := len(a.Entries); n > 0 {
		last := a.Entries[n-1]
		if term, ok := c.log.term(last.Index); ok && term == last.Term {
			c.stable = max(c.stable, last.Index)
		}
	}
	if a.Ballot != nil {
		c.countOwnVote()
	}
	if c.role == roleLeader {
		c.maybeCommit()
	}
}

// handOut gives out the entries that are committed and on disk.
func (c *core) handOut() {
	to := min(c.commit, c.stable)
	if to <= c.handedOut {
		return
	}
	for i := c.handedOut + 1; i <= to; i++ {
		c.out.Committed = append(c.out.Committed, c.log.at(i))
	}
	c.handedOut = to
}

func (c *core) ballot() ballot {
	return ballot{Term: c.term, Vote: c.vote, Accepted: c.accepted}
}

func sameBallot(a, b ballot) bool {
	return a.Term == b.Term && a.Vote == b.Vote && slices.Equal(a.Accepted, b.Accepted)
}
