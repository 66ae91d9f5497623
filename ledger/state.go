package ledger

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bamboostep/bamboostep"
)

// maxHistory is the number of revisions that a State describes, and of publish
// IDs that are remembered.
const maxHistory = 1024

// State is the part of the replicated state that every process follows. It is
// immutable.
type State struct {
	index     uint64
	term      uint64
	content   uint64 // index of the last entry that changed more than index and term
	set       []byte
	revisions []bamboostep.Revision // oldest first
	drained   map[string]bool
	members   []Member
}

// Set returns the newest published set, encoded, and its revision. The revision
// is 0 before the first publication. A state watched with NoSet has no set.
func (s *State) Set() (encoded []byte, revision uint64) { return s.set, s.newest().Number }

// Revisions returns the last revisions, oldest first.
func (s *State) Revisions() []bamboostep.Revision { return s.revisions }

// Drained reports whether an operator has marked a VM as leaving.
func (s *State) Drained(vm string) bool { return s.drained[vm] }

// Drains returns the VMs that are marked as leaving, sorted.
func (s *State) Drains() []string { return slices.Sorted(maps.Keys(s.drained)) }

// Members returns the voters.
func (s *State) Members() []Member { return s.members }

// Index returns the last log entry that s includes.
func (s *State) Index() uint64 { return s.index }

// Term returns the term of that entry.
func (s *State) Term() uint64 { return s.term }

func (s *State) newest() bamboostep.Revision {
	if len(s.revisions) == 0 {
		return bamboostep.Revision{}
	}
	return s.revisions[len(s.revisions)-1]
}

func (s *State) at(index, term uint64, changed bool) *State {
	c := *s
	c.index, c.term = index, term
	if changed {
		c.content = index
	}
	return &c
}

func (s *State) withRevision(r bamboostep.Revision, set []byte) *State {
	c := *s
	c.set = set
	c.revisions = boundHistory(append(slices.Clone(s.revisions), r))
	return &c
}

func boundHistory(revisions []bamboostep.Revision) []bamboostep.Revision {
	return revisions[max(0, len(revisions)-maxHistory):]
}

// revisionsAfter returns the revisions that follow one, or all of them and reset
// if some of those are not kept any more.
func (s *State) revisionsAfter(number uint64) (after []bamboostep.Revision, reset bool) {
	i, found := slices.BinarySearchFunc(s.revisions, number, func(r bamboostep.Revision, n uint64) int { return cmp.Compare(r.Number, n) })
	switch {
	case found:
		return s.revisions[i+1:], false
	case number == 0 && len(s.revisions) > 0 && s.revisions[0].Number == 1:
		return s.revisions, false
	}
	return s.revisions, true
}

func (s *State) withDrain(vm string, leaving bool) *State {
	c := *s
	c.drained = make(map[string]bool, len(s.drained)+1)
	maps.Copy(c.drained, s.drained)
	if leaving {
		c.drained[vm] = true
	} else {
		delete(c.drained, vm)
	}
	return &c
}

func (s *State) withMembers(members []Member) *State {
	c := *s
	c.members = members
	return &c
}

// encodedState is how a State travels and is kept in snapshots.
type encodedState struct {
	Index     uint64                `msgpack:"index"`
	Term      uint64                `msgpack:"term"`
	Content   uint64                `msgpack:"content"`
	Set       []byte                `msgpack:"set"`
	Revisions []bamboostep.Revision `msgpack:"revisions"`
	Drained   []string              `msgpack:"drained"`
	Members   []Member              `msgpack:"members"`
}

func (s *State) encoded() encodedState {
	return encodedState{s.index, s.term, s.content, s.set, s.revisions, s.Drains(), s.members}
}

func (e encodedState) state() *State {
	s := &State{
		index:     e.Index,
		term:      e.Term,
		content:   e.Content,
		set:       e.Set,
		revisions: e.Revisions,
		drained:   make(map[string]bool),
		members:   e.Members,
	}
	for _, vm := range e.Drained {
		s.drained[vm] = true
	}
	return s
}
