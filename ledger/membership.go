package ledger

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Member is one voter as settings name it.
type Member struct {
	Name          string `msgpack:"name" toml:"name" json:"name"`
	Address       string `msgpack:"address" toml:"address" json:"address"` // host and port
	FailureDomain string `msgpack:"failure_domain" toml:"failure_domain" json:"failure_domain"`
}

// sameVoter reports whether m and other name the same process. Settings name no failure domain, so that may differ.
func (m Member) sameVoter(other Member) bool { return m.Address == other.Address }

// sameDomain reports whether m and other are known to be in one failure domain.
func (m Member) sameDomain(other Member) bool {
	return m.FailureDomain != "" && m.FailureDomain == other.FailureDomain
}

// seat is a member with the disk that holds its log.
type seat struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Member  Member
	Disk    diskID
	Learner bool // receives entries but does not vote yet
}

// membership is the set of seats, sorted by name. It is immutable.
type membership struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Seats []seat
}

func newMembership(seats []seat) membership {
	sorted := slices.Clone(seats)
	slices.SortFunc(sorted, func(a, b seat) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return membership{Seats: sorted}
}

// named returns the seat of a name.
func (m membership) named(name string) (seat, bool) {
	i := slices.IndexFunc(m.Seats, func(s seat) bool { return s.Member.Name == name })
	if i < 0 {
		return seat{}, false
	}
	return m.Seats[i], true
}

// onDisk returns the seat of a disk.
func (m membership) onDisk(disk diskID) (seat, bool) {
	i := slices.IndexFunc(m.Seats, func(s seat) bool { return s.Disk == disk })
	if i < 0 {
		return seat{}, false
	}
	return m.Seats[i], true
}

// voter reports whether a disk's seat votes.
func (m membership) voter(disk diskID) bool {
	s, ok := m.onDisk(disk)
	return ok && !s.Learner
}

// voters returns the disks that vote.
func (m membership) voters() []diskID {
	var disks []diskID
	for _, s := range m.Seats {
		if !s.Learner {
			disks = append(disks, s.Disk)
		}
	}
	return disks
}

// quorum returns how many voters are a majority.
func (m membership) quorum() int { return len(m.voters())/2 + 1 }

// votersIn returns how many voters the n failure domains with most of them have.
func (m membership) votersIn(n int) int {
	perDomain := make(map[string]int)
	for _, s := range m.Seats {
		if !s.Learner {
			perDomain[s.Member.FailureDomain]++
		}
	}
	counts := slices.Sorted(maps.Values(perDomain))
	sum := 0
	for _, count := range counts[max(0, len(counts)-n):] {
		sum += count
	}
	return sum
}

// With returns m with a seat added, or replaced if the name has one.
func (m membership) With(s seat) membership {
	return newMembership(append(m.Without(s.Member.Name).Seats, s))
}

// Without returns m without the seat of a name.
func (m membership) Without(name string) membership {
	kept := slices.DeleteFunc(slices.Clone(m.Seats), func(s seat) bool { return s.Member.Name == name })
	return membership{Seats: kept}
}

// members returns the voting members.
func (m membership) members() []Member {
	var all []Member
	for _, s := range m.Seats {
		if !s.Learner {
			all = append(all, s.Member)
		}
	}
	return all
}

func (m membership) encode() []byte {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		panic(fmt.Sprintf("membership cannot be encoded: %v", err))
	}
	return data
}

func decodeMembership(data []byte) (membership, error) {
	var m membership
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return membership{}, fmt.Errorf("membership: %w", err)
	}
	return m, nil
}

// refreshMembers finds the newest membership in the log.
func (c *core) refreshMembers() {
	c.setMembers(c.findMembers(c.log.lastIndex()))
}

// findMembers returns the newest membership up to an entry, and where it is.
func (c *core) findMembers(last uint64) (membership, uint64) {
	for i := last; i > max(c.log.baseIndex, c.snap.Index); i-- {
		e := c.log.at(i)
		if e.Kind != entryMembership {
			continue
		}
		if m, err := decodeMembership(e.Data); err == nil {
			return m, i
		}
	}
	return c.snap.Members, c.snap.Index
}
