package ledger

import "slices"

// Formation agrees on the first membership, disks included, when all disks are
// empty. A voter with an empty disk cannot tell by itself whether the system
// starts for the first time or whether it has lost its disk, so:
//
//  1. Each unformed voter announces its name and disk to all initial members.
//  2. Once it knows the disks of all of them, it accepts that membership on disk,
//     once and for good, and announces it.
//  3. Once all of them have announced that they accepted the same one, the
//     membership is entry 1 of its log.
//
// Two different memberships cannot both be formed, because each needs the word
// of every member. A member that has a log answers with what it accepted and with
// its membership, so a voter that lost its disk learns that it is refused.
//
// The first voter that is formed may be elected and lost before another has
// anything of its log. The others then form by themselves: a voter announces what
// it accepted before it can be formed, and one that hears from a leader but has an
// empty log stays unformed. A disk lost between steps 2 and 3 blocks the first
// start, and so does a voter that dies there until it is back; nothing was
// accepted from anyone yet, and the operator may empty all disks.
//
// An initial member without a disk says so and is left out; see Observer. The others still agree on
// one membership: whoever accepts one that lacks a member has heard from that member.

// announcement is what a voter says before or after formation.
type announcement struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Disk     diskID
	Accepted []seat     // what the sender has accepted, or nil
	Formed   bool       // the sender has a log
	Members  membership // if formed
	Self     Member     // how the sender is reached
	Relayed  bool       // by a voter that does not lead
}

func (c *core) tickUnformed() {
	if c.now < c.announceDue {
		return
	}
	if c.heal && (c.joining || !c.isInitial()) {
		c.seek()
		return
	}
	c.announceDue = c.now + announceInterval
	if !c.isInitial() {
		return
	}
	c.announce()
	c.tryForm()
}

func (c *core) isInitial() bool {
	return slices.ContainsFunc(c.initial, func(m Member) bool { return m.Name == c.name })
}

func (c *core) announce() {
	for _, m := range c.initial {
		if m.Name == c.name {
			continue
		}
		c.out.Replies = append(c.out.Replies, c.announcementTo(m.Name))
	}
}

func (c *core) announcementTo(name string) message {
	a := announcement{Disk: c.disk, Accepted: c.accepted, Self: c.self}
	if c.role != roleUnformed {
		a.Formed = true
		a.Members = c.members
	}
	return message{Kind: messageAnnounce, To: name, From: c.name, FromDisk: c.disk, Announce: &a}
}

func (c *core) stepAnnounce(m message) {
	if m.Announce == nil {
		return
	}
	if c.role != roleUnformed {
		c.hearApplicant(m)
		if !m.Announce.Formed {
			c.out.Replies = append(c.out.Replies, c.announcementTo(m.From))
		}
		return
	}
	c.announced[m.From] = *m.Announce
	if m.Announce.Formed {
		c.hearFormed(m)
	}
	c.tryForm()
}

const eventDiskRefused = "disk_refused"

// hearFormed learns that others have a log. If it names another disk for c, then
// c has lost its own.
func (c *core) hearFormed(m message) {
	s, ok := m.Announce.Members.named(c.name)
	if ok && s.Disk != c.disk && !c.heal {
		c.eventOnce(eventDiskRefused, "voters know another disk under this name; remove the voter and add it anew")
	}
}

// stepDiskless learns that a member named by the settings has no disk. It takes no part in the
// formation.
func (c *core) stepDiskless(m message) {
	if c.role != roleUnformed || c.diskless[m.From] {
		return
	}
	c.diskless[m.From] = true
	c.event("member_without_disk", m.From)
	c.tryForm()
}

// founders returns the initial members that may have a disk.
func (c *core) founders() []Member {
	return slices.DeleteFunc(slices.Clone(c.initial), func(m Member) bool { return c.diskless[m.Name] })
}

// tryForm accepts and forms the first membership as soon as it can.
func (c *core) tryForm() {
	if !c.isInitial() || c.joining {
		return
	}
	if c.accepted == nil {
		c.accept()
	}
	if c.accepted == nil || !c.allAccepted() {
		return
	}
	// The terms of elections begin at 2, so no leader's entry can be taken for
	// this one.
	c.term = max(c.term, formationTerm)
	c.log.append(entry{Index: 1, Term: formationTerm, Kind: entryMembership, Data: newMembership(c.accepted).encode()})
	c.refreshMembers()
	c.commit = 1
	c.become("formed")
	c.resetElection()
}

const formationTerm = 1

func (c *core) accept() {
	founders := c.founders()
	seats := make([]seat, 0, len(founders))
	for _, m := range founders {
		a, ok := c.announced[m.Name]
		if m.Name == c.name {
			a, ok = announcement{Disk: c.disk, Self: c.self}, true
		}
		if !ok || a.Formed {
			return
		}
		if m.FailureDomain == "" {
			m.FailureDomain = a.Self.FailureDomain
		}
		seats = append(seats, seat{Member: m, Disk: a.Disk})
	}
	c.accepted = newMembership(seats).Seats
	c.announce()
}

func (c *core) allAccepted() bool {
	for _, m := range c.founders() {
		if m.Name != c.name && !slices.Equal(c.announced[m.Name].Accepted, c.accepted) {
			return false
		}
	}
	return true
}
