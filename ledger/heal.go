package ledger

import (
	"maps"
	"slices"
	"time"
)

// Healing replaces lost voters without an operator.
//
// A process with an empty disk that starts later than the whole system announces
// itself to the voters that its settings name, and so does a voter that has heard
// from no leader for a while: it may have been removed while it was away. Whoever
// hears of it tells the leader. The leader takes it in as a learner, which votes
// once it has caught up. A disk that comes under a known name takes the place of
// the one that was lost, and leaves the quorum in the same entry of the log.
//
// A silent voter is removed only while at least as many voters as at the first
// start remain, and as many as the losses to be borne require, so that one that is
// merely away costs the system no voter. It is done soon, because until then a dead
// voter counts in every quorum.
//
// An empty disk never votes and never takes part in the formation, whatever its
// settings name: what it held is lost, and only the others know that.

const (
	applicantMaxAge = 1500 * time.Millisecond // an announcement counts so long
	seekAfter       = 1500 * time.Millisecond // without a leader, until a voter announces itself
	retireAfter     = 1500 * time.Millisecond // of silence, for voters above the first number
	dropLearner     = 8 * time.Second         // of silence
	maxSeats        = 9
)

// applicant is a process that wants to be a voter.
type applicant struct {
	member Member
	disk   diskID
	heard  time.Duration
}

// seek announces c to all voters that it knows.
func (c *core) seek() {
	if !c.heal || c.now < c.announceDue {
		return
	}
	c.announceDue = c.now + announceInterval
	for _, name := range c.knownNames() {
		if name != c.name {
			c.out.Replies = append(c.out.Replies, c.announcementTo(name))
		}
	}
}

func (c *core) knownNames() []string {
	names := make(map[string]bool)
	for _, m := range c.initial {
		names[m.Name] = true
	}
	for _, s := range c.members.Seats {
		names[s.Member.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// hearApplicant takes the announcement of a process that may want to be a voter.
func (c *core) hearApplicant(m message) {
	a := m.Announce
	if !c.heal || a.Self.Address == "" || c.known(a.Disk) {
		return
	}
	if c.role == roleLeader {
		c.applicants[a.Disk] = applicant{member: a.Self, disk: a.Disk, heard: c.now}
		return
	}
	if c.leader == "" || c.leader == c.name || a.Relayed {
		return
	}
	relayed := *a
	relayed.Relayed = true
	m.To, m.Announce = c.leader, &relayed
	c.out.Replies = append(c.out.Replies, m)
}

// tickHeal makes at most one change of the membership.
func (c *core) tickHeal() {
	if !c.heal || c.membersIndex > c.commit {
		return
	}
	maps.DeleteFunc(c.applicants, func(d diskID, a applicant) bool {
		return c.known(d) || c.now-a.heard > applicantMaxAge
	})
	for _, d := range slices.Sorted(maps.Keys(c.applicants)) {
		if c.takeIn(c.applicants[d]) {
			return
		}
	}
	c.retire()
}

// takeIn makes an applicant a learner, in the place of the disk that had its name.
func (c *core) takeIn(a applicant) bool {
	old, named := c.members.named(a.member.Name)
	rest := c.members.Without(a.member.Name)
	switch {
	case named && !old.Learner && c.following(rest) < c.commitQuorum(rest):
		return false
	case !named && len(rest.Seats) >= max(maxSeats, c.tolerance.minVoters(rest)):
		return false
	}
	return c.tryChange(a.member.Name, rest.With(seat{Member: a.member, Disk: a.disk, Learner: true}), "voter_taken_in")
}

// retire removes one seat that has been silent.
func (c *core) retire() {
	for _, s := range c.members.Seats {
		if s.Disk == c.disk {
			continue
		}
		rest := c.members.Without(s.Member.Name)
		silence := c.now - max(c.progress[s.Disk].heard, c.leadSince)
		switch {
		case s.Learner && silence < dropLearner:
		case !s.Learner && (silence < retireAfter || len(rest.voters()) < max(len(c.initial), c.tolerance.minVoters(rest))):
		case !s.Learner && c.following(rest) < c.commitQuorum(rest):
		default:
			c.tryChange(s.Member.Name, rest, "voter_retired")
			return
		}
	}
}

func (c *core) tryChange(name string, m membership, kind string) bool {
	if err := c.changeMembers(name, m); err != nil {
		return false // tried again at the next heartbeat
	}
	c.event(kind, name)
	return true
}
