package ledger

import (
	"slices"
	"strings"
	"time"
)

// Coordinators are the voters that also do what needs no log: they read lists, count and share news
// with processes that follow them all. Each costs every such process a connection and a share of its
// messages, so there are no more than the losses to be borne require, one in each failure domain
// at least, while every disk may vote. The leader should be one of them, as it needs what they know:
// other voters wait longer before they campaign, and hand the lead over.

const handOverInterval = time.Second // between attempts of a leader that is no coordinator; the first after it has led so long

// Coordinators returns which voters are coordinators. All are for a tolerance of nothing.
func (t Tolerance) Coordinators(voters []Member) []Member {
	if t == (Tolerance{}) {
		return voters
	}
	var chosen, rest []Member
	domains := make(map[string]bool)
	for _, m := range slices.SortedFunc(slices.Values(voters), func(a, b Member) int { return strings.Compare(a.Name, b.Name) }) {
		if domains[m.FailureDomain] {
			rest = append(rest, m)
			continue
		}
		domains[m.FailureDomain] = true
		chosen = append(chosen, m)
	}
	missing := min(max(t.VMs+1-len(chosen), 0), len(rest))
	return append(chosen, rest[:missing]...)
}

// setMembers makes m, which entry index holds, the membership.
func (c *core) setMembers(m membership, index uint64) {
	c.members, c.membersIndex = m, index
	c.coordinators = make(map[diskID]bool)
	for _, member := range c.tolerance.Coordinators(m.members()) {
		s, _ := m.named(member.Name)
		c.coordinators[s.Disk] = true
	}
}

// coordinates reports whether c is a coordinator, or may become one, as far as it knows.
func (c *core) coordinates() bool { return len(c.coordinators) == 0 || c.coordinators[c.disk] }

// tickHandOver hands the lead over to a coordinator that has all entries.
func (c *core) tickHandOver() {
	if c.coordinates() || c.now < c.handOverDue {
		return
	}
	c.handOverDue = c.now + handOverInterval
	for _, s := range c.members.Seats {
		p := c.progress[s.Disk]
		if c.coordinators[s.Disk] && p != nil && p.match == c.log.lastIndex() && c.follows(p) {
			c.out.Early = append(c.out.Early, c.addressed(message{Kind: messageElectNow}, s))
			return
		}
	}
}
