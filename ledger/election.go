package ledger

import "github.com/bamboostep/bamboostep/chart"

// Elections. A voter whose election timeout passes first asks the others whether
// they would vote for it, without raising its term (pre-vote). They would not
// while they hear from a leader, so a voter that was cut off and comes back does
// not depose a leader that a quorum follows.

func (c *core) tickElection() {
	if c.now < c.electionDue {
		return
	}
	c.leader = ""
	if c.now-c.leaderHeard > seekAfter {
		c.seek()
	}
	if !c.mayCampaign() {
		c.resetElection()
		return
	}
	c.become("timeout")
	c.votes = map[diskID]bool{c.disk: true}
	c.lostDisks = make(map[diskID]diskID)
	c.resetElection()
	c.countVotes()
	if c.role != rolePreCandidate {
		return
	}
	if !c.heardOnce {
		c.resetFirstElection()
	}
	c.askVotes(message{Kind: messagePreVote, Term: c.term + 1})
}

// mayCampaign reports whether c may lead. A voter whose removal is in its log but
// may not be committed still may: it can be the only one that has the newest
// entries, and the others then cannot win without it. So can a learner whose leader has lost its
// disk; it waits, since a voter that is as far ahead should lead.
func (c *core) mayCampaign() bool {
	if c.members.voter(c.disk) {
		return true
	}
	if c.known(c.disk) && c.now-c.leaderHeard > seekAfter {
		return true
	}
	return c.membersIndex > c.commit && c.membersBefore(c.membersIndex).voter(c.disk)
}

// campaign raises the term and asks for votes. Upon elect_now the voters grant
// theirs although they still hear from the leader, since it asked for this.
func (c *core) campaign(why chart.Event) {
	c.become(why)
	c.term++
	c.vote = c.disk
	c.leader = ""
	c.votes = make(map[diskID]bool)
	c.lostDisks = make(map[diskID]diskID)
	c.resetElection()
	c.askVotes(message{Kind: messageVote, Term: c.term, OK: why == "elect_now"})
}

// askVotes asks all seats. A learner's vote counts only for a survivor; see tolerance.go.
func (c *core) askVotes(m message) {
	m.Index, m.LogTerm = c.log.lastIndex(), c.log.lastTerm()
	for _, s := range c.members.Seats {
		if s.Disk != c.disk {
			c.out.Replies = append(c.out.Replies, c.addressed(m, s))
		}
	}
}

// countOwnVote counts c's vote for itself, which has reached the disk.
func (c *core) countOwnVote() {
	if c.role != roleCandidate || c.vote != c.disk || c.savedBallot.Term != c.term {
		return
	}
	c.votes[c.disk] = true
	c.countVotes()
}

// countVotes goes on to the next step of an election that is won.
func (c *core) countVotes() {
	if !c.won() && !c.survives() {
		return
	}
	switch c.role {
	case rolePreCandidate:
		c.campaign("pre_vote_won")
	case roleCandidate:
		c.lead()
	}
}

// won reports whether a majority of the voters has voted for c.
func (c *core) won() bool {
	n := 0
	for _, d := range c.members.voters() {
		if c.votes[d] {
			n++
		}
	}
	return n >= c.members.quorum()
}

func (c *core) stepPreVote(m message) {
	granted := m.Term > c.term && !c.heardLeader() && c.log.upToDate(m.Index, m.LogTerm)
	r := message{Kind: messagePreVoteReply, OK: granted}
	if granted {
		r.Term = m.Term
	}
	c.reply(r, m)
}

func (c *core) stepPreVoteReply(m message) {
	if c.role != rolePreCandidate || !m.OK || m.Term != c.term+1 {
		return
	}
	c.votes[m.FromDisk] = true
	c.countVotes()
}

func (c *core) stepVote(m message) {
	free := c.vote == 0 || c.vote == m.FromDisk
	granted := free && c.log.upToDate(m.Index, m.LogTerm)
	if granted {
		c.vote = m.FromDisk
		c.resetElection()
	}
	c.reply(message{Kind: messageVoteReply, OK: granted}, m)
}

func (c *core) stepVoteReply(m message) {
	if c.role != roleCandidate || !m.OK {
		return
	}
	c.votes[m.FromDisk] = true
	c.countVotes()
}

// stepElectNow campaigns at once, since the leader stops.
func (c *core) stepElectNow(m message) {
	if c.role != roleFollower || !c.members.voter(c.disk) || m.From != c.leader {
		return
	}
	c.campaign("elect_now")
}

// lead makes c the leader of its term.
func (c *core) lead() {
	c.become("vote_won")
	c.leader = c.name
	c.leadSince = c.now
	c.handOverDue = c.now + handOverInterval
	c.votes = nil
	c.quorumAt = c.now
	c.heartbeat = c.now + heartbeatInterval
	c.rounds = nil
	c.progress = make(map[diskID]*progress)
	c.syncProgress()
	c.appendOwn(entryNoop, nil)
	c.broadcast()
	c.replaceLostDisks()
}

// handOver asks the follower that is furthest ahead to take over.
func (c *core) handOver() {
	if c.role != roleLeader {
		return
	}
	var best seat
	var match uint64
	for _, s := range c.members.Seats {
		p := c.progress[s.Disk]
		if s.Learner || p == nil || p.match < match {
			continue
		}
		best, match = s, p.match
	}
	if best.Disk == 0 || match < c.log.lastIndex() {
		return
	}
	c.out.Early = append(c.out.Early, c.addressed(message{Kind: messageElectNow}, best))
}
