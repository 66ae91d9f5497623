package ledger

import (
	"slices"
	"time"
)

// Replication. One message both appends and serves as heartbeat: it names the
// entry before its entries, so a follower that missed something refuses it and
// the leader goes back. Each broadcast has a round number that replies echo. A
// round that a quorum answered proves that c still led when the round began:
// this carries check-quorum, read barriers and Voter.Leader.

// progress is what a leader knows of one follower.
type progress struct {
	match    uint64 // last entry known to be on its disk
	next     uint64 // next entry to send
	probing  bool   // next is a guess: one message at a time
	waiting  bool   // a probe is out
	round    uint64 // last round it answered
	heard    time.Duration
	flight   []flight
	snapshot *outgoingSnapshot
}

// flight is a message that a follower has not acknowledged.
type flight struct {
	last  uint64 // its last entry
	bytes int
}

// hasRoom reports whether more entries may be sent before an acknowledgement.
func (p *progress) hasRoom() bool {
	bytes := 0
	for _, f := range p.flight {
		bytes += f.bytes
	}
	return len(p.flight) < maxFlightMessages && bytes < maxFlightBytes
}

// depart notes that entries were sent.
func (p *progress) depart(entries []entry) {
	if len(entries) == 0 {
		return
	}
	f := flight{last: entries[len(entries)-1].Index}
	for _, e := range entries {
		f.bytes += e.size()
	}
	p.flight = append(p.flight, f)
	p.next = f.last + 1
}

// arrive forgets the messages that were acknowledged.
func (p *progress) arrive() {
	for len(p.flight) > 0 && p.flight[0].last <= p.match {
		p.flight = p.flight[1:]
	}
}

// syncProgress follows the membership.
func (c *core) syncProgress() {
	for _, s := range c.members.Seats {
		if s.Disk != c.disk && c.progress[s.Disk] == nil {
			c.progress[s.Disk] = &progress{next: c.log.lastIndex() + 1, probing: true}
		}
	}
	for d := range c.progress {
		if !c.known(d) {
			delete(c.progress, d)
		}
	}
}

// propose adds commands to the log in one batch and returns the index of the
// first, and false if c does not lead.
func (c *core) propose(commands [][]byte) (first uint64, ok bool) {
	if c.role != roleLeader || !c.members.voter(c.disk) {
		return 0, false
	}
	first = c.log.lastIndex() + 1
	for _, data := range commands {
		c.appendOwn(entryCommand, data)
	}
	c.sendNew()
	return first, true
}

func (c *core) appendOwn(kind entryKind, data []byte) {
	c.log.append(entry{Index: c.log.lastIndex() + 1, Term: c.term, Kind: kind, Data: data})
}

func (c *core) tickLeader() {
	if c.now-c.quorumAt > quorumTimeout {
		c.leader = ""
		c.become("quorum_lost")
		c.endLeading()
		c.resetElection()
		return
	}
	if c.now < c.heartbeat {
		return
	}
	c.heartbeat = c.now + heartbeatInterval
	c.promoteLearner()
	c.tickHeal()
	c.tickHandOver()
	c.broadcast()
	c.tickProof()
}

// broadcast begins a round.
func (c *core) broadcast() {
	c.round++
	c.rounds = append(c.rounds, roundStart{c.round, c.now})
	for _, s := range c.members.Seats {
		if s.Disk == c.disk {
			continue
		}
		c.progress[s.Disk].waiting = false
		c.sendAppend(s)
	}
	c.countRound()
}

// sendNew sends new entries to the followers that can take them.
func (c *core) sendNew() {
	for _, s := range c.members.Seats {
		if s.Disk == c.disk {
			continue
		}
		c.sendMore(s)
	}
}

func (c *core) sendMore(s seat) {
	p := c.progress[s.Disk]
	for !p.probing && p.snapshot == nil && p.next <= c.log.lastIndex() && p.hasRoom() {
		c.sendAppend(s)
	}
}

// sendAppend sends one message to a follower: entries, or none as a heartbeat,
// or a part of the snapshot if the entries were compacted away.
func (c *core) sendAppend(s seat) {
	p := c.progress[s.Disk]
	if p.snapshot != nil || p.next <= c.log.baseIndex {
		c.sendSnapshot(s, p)
		return
	}
	if p.probing && p.waiting {
		return
	}
	prev := p.next - 1
	term, _ := c.log.term(prev)
	m := message{Kind: messageAppend, Index: prev, LogTerm: term, Commit: c.commit, Round: c.round}
	if p.hasRoom() {
		m.Entries = c.log.from(p.next, maxAppendBytes)
	}
	if p.probing {
		p.waiting = true
	} else {
		p.depart(m.Entries)
	}
	c.out.Early = append(c.out.Early, c.addressed(m, s))
}

func (c *core) stepAppend(m message) {
	if c.role == roleLeader {
		c.event("second_leader", m.From)
		return
	}
	c.hear(m)
	c.answered.note(c.term, m.Round, c.now)
	if m.Index < c.log.baseIndex {
		// Everything up to baseIndex is committed and so the same here.
		skip := min(uint64(len(m.Entries)), c.log.baseIndex-m.Index)
		m.Entries = m.Entries[skip:]
		m.Index += skip
		if m.Index < c.log.baseIndex {
			c.reply(message{Kind: messageAppendReply, OK: true, Index: m.Index}, m)
			return
		}
		m.LogTerm = c.log.baseTerm
	}
	if term, ok := c.log.term(m.Index); !ok || term != m.LogTerm {
		hint := c.log.matchBefore(m.Index-1, m.LogTerm)
		c.reply(message{Kind: messageAppendReply, Index: hint}, m)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	c.store(m.Entries)
	c.leaveUnformed()
	c.commit = max(c.commit, min(m.Commit, last))
	c.checkAwaitedProof()
	c.reply(message{Kind: messageAppendReply, OK: true, Index: last}, m)
}

// hear notes a sign of life from the leader of the term.
func (c *core) hear(m message) {
	c.follow(m.Term, m.From)
	c.leaderHeard = c.now
	c.heardOnce = true
}

// store adds the entries that are new and drops what contradicts them.
func (c *core) store(entries []entry) {
	for i, e := range entries {
		if term, ok := c.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= c.commit {
			c.out.Err = &ContradictionError{Index: e.Index, Term: e.Term}
			return
		}
		if e.Index <= c.log.lastIndex() {
			c.log.truncate(e.Index)
			c.stable = min(c.stable, e.Index-1)
		}
		c.log.append(entries[i:]...)
		c.refreshMembers()
		return
	}
}

func (c *core) stepAppendReply(m message) {
	if c.role != roleLeader {
		return
	}
	p := c.progress[m.FromDisk]
	s, _ := c.members.onDisk(m.FromDisk)
	if p == nil {
		return
	}
	c.noteRound(p, m)
	p.waiting = false
	if m.OK {
		c.advance(p, m.Index)
	} else if m.Index+1 < p.next || p.probing {
		p.next = max(p.match, min(m.Index, p.next-1)) + 1
		p.probing = true
		p.flight = nil
		c.sendAppend(s)
	}
	c.countRound()
	c.maybeCommit()
	if c.role == roleLeader {
		c.sendMore(s)
	}
}

// noteRound notes a follower's answer to a round.
func (c *core) noteRound(p *progress, m message) {
	p.round = max(p.round, m.Round)
	p.heard = c.now
}

func (c *core) advance(p *progress, match uint64) {
	p.match = max(p.match, min(match, c.log.lastIndex()))
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.arrive()
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
}

// maybeCommit commits what enough voters have on disk.
func (c *core) maybeCommit() {
	index := c.reachedBy(c.commitQuorum(c.members), c.stable, func(p *progress) uint64 { return p.match })
	term, ok := c.log.term(index)
	if !ok || term != c.term || index <= c.commit {
		return
	}
	c.commit = index
	c.forgetReplacedDisks()
	if c.membersIndex <= c.commit && !c.known(c.disk) {
		c.broadcast()
		c.leader = ""
		c.become("removed")
		c.endLeading()
	}
}

// reachedBy returns the largest value that n voters have reached.
func (c *core) reachedBy(n int, own uint64, of func(p *progress) uint64) uint64 {
	var values []uint64
	for _, d := range c.members.voters() {
		switch p := c.progress[d]; {
		case d == c.disk:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		default:
			values = append(values, 0)
		}
	}
	if len(values) < n {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-n]
}

// countRound notes the last round that a quorum answered and ends the reads that
// waited for it.
func (c *core) countRound() {
	done := c.reachedBy(c.members.quorum(), c.round, func(p *progress) uint64 { return p.round })
	for len(c.rounds) > 0 && c.rounds[0].round <= done {
		c.quorumAt = c.rounds[0].at
		c.rounds = c.rounds[1:]
	}
	for len(c.reads) > 0 && c.reads[0].round <= done {
		c.out.Reads = append(c.out.Reads, readResult{ID: c.reads[0].id, Index: c.reads[0].index, OK: true})
		c.reads = c.reads[1:]
	}
}

// read begins a read barrier. It reports false if c does not lead or has not yet
// committed an entry of its own term, without which it cannot know what its
// predecessors committed.
func (c *core) read(id uint64) bool {
	term, ok := c.log.term(c.commit)
	if c.role != roleLeader || !ok || term != c.term {
		return false
	}
	c.reads = append(c.reads, pendingRead{id, c.commit, c.round + 1})
	return true
}

// startReadRound begins one round for all reads that wait for a new one.
func (c *core) startReadRound() {
	if n := len(c.reads); c.role == roleLeader && n > 0 && c.reads[n-1].round > c.round {
		c.broadcast()
	}
}

// quorumStart returns when the last round that a quorum answered began, and
// false if c does not lead.
func (c *core) quorumStart() (time.Duration, bool) { return c.quorumAt, c.role == roleLeader }
