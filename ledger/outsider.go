package ledger

import (
	"slices"
	"time"
)

// Settings may come to name only processes that are no voters: observers, or VMs that are about to be
// taken in. After a loss of power of all VMs, these and whoever starts with such settings would know
// no voter. So each voter tells the outsiders that its settings name now which voters there are.

const tellOutsidersInterval = 500 * time.Millisecond

// outsiders returns the members that settings name and that have no seat.
func (m membership) outsiders(named []Member) []Member {
	return slices.DeleteFunc(slices.Clone(named), func(member Member) bool {
		_, seated := m.named(member.Name)
		return seated
	})
}

// tickOutsiders announces the membership to those outside it.
func (c *core) tickOutsiders() {
	if c.now < c.tellDue || len(c.members.Seats) == 0 {
		return
	}
	c.tellDue = c.now + tellOutsidersInterval
	for _, m := range c.members.outsiders(c.seeds) {
		if m.Name != c.name {
			c.out.Replies = append(c.out.Replies, c.announcementTo(m.Name))
		}
	}
}
