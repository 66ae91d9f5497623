package ledger

import "time"

// What other goroutines may know of a voter: a copy that the loop replaces after each step, so that
// readers need no lock and never see the core halfway.

// status is what other goroutines may know of the core.
type status struct {
	leader   string
	term     uint64
	self     bool
	quorumAt time.Time // self: when the last round began that a quorum answered
	current  time.Time // when this voter last had all that a leader had committed
	members  membership
	disk     diskID

	coordinates bool
}

func (v *Voter) publishStatus() {
	old := v.status.Load()
	at, leads := v.core.quorumStart()
	s := &status{
		leader:   v.core.leader,
		term:     v.core.term,
		self:     leads,
		quorumAt: v.started.Add(at),
		members:  v.core.members,
		disk:     v.core.disk,

		coordinates: v.core.coordinates() || leads,
	}
	if at, proven := v.core.provenAt(); proven {
		s.current = v.started.Add(at)
	}
	v.status.Store(s)
	v.metrics.indexes(v.core.log.lastIndex(), v.core.commit, v.machine.state.index)
	if !leads {
		v.dropPending(codeUncertain)
	}
	if old.leader == s.leader && old.term == s.term {
		return
	}
	v.clockBase, v.clockAt = v.machine.now, v.now()
	v.metrics.leading(leads, s.term)
	v.record("ledger_leader_changed", s.leader)
	if v.LeaderChanged != nil {
		v.LeaderChanged(s.leader, s.term)
	}
}

// State returns the last applied state.
func (v *Voter) State() *State {
	v.init()
	return v.state.Load()
}

// Leader returns the leader as this voter knows it, "" for none, and the term.
// self is true while this voter leads and a quorum has lately followed it.
func (v *Voter) Leader() (name string, term uint64, self bool) {
	v.init()
	s := v.status.Load()
	return s.leader, s.term, s.self && time.Since(s.quorumAt) < minElectionTimeout
}

// Coordinates reports whether this voter is a coordinator or leads, as far as it knows.
func (v *Voter) Coordinates() bool {
	v.init()
	return v.status.Load().coordinates
}

// leads reports whether this voter leads, as far as it knows.
func (v *Voter) leads() bool {
	v.init()
	return v.status.Load().self
}

// current returns when this voter last had all that a leader had committed.
func (v *Voter) current() time.Time {
	v.init()
	return v.status.Load().current
}
