package ledger

import (
	"sort"
	"time"
)

// Proofs that a state is the newest. A proof has a time, on the clock of the process that has it: the state
// holds all that was committed before. What it rests on is the leader's word, and the hard point is how old
// that word is when it is heard, since messages wait on slow links and in processes that stand still:
//
//   - A leader has a proof of its own state as of the beginning of the last round that a quorum answered
//     (see replication.go), once an entry of its term is committed. Before that it does not know what its predecessors
//     committed.
//   - It sends each follower its commit index, the age of that proof, and the last round that this follower
//     has answered. So the follower knows that the message was sent after its own answer, and dates the proof by the
//     time of that answer, less the age. Its clock is compared with no other.
//   - The follower has the proof once its own commit index is that of the message.
//
// Whatever is passed on from there adds the time that it took, and takes none away; see Client.

// proofInterval is the time between two proofs to a follower.
const proofInterval = 200 * time.Millisecond

// tickProof sends proofs to the followers, after a broadcast.
func (c *core) tickProof() {
	at, proven := c.provenAt()
	if c.now < c.proofDue || !proven {
		return
	}
	c.proofDue = c.now + proofInterval
	age := uint64((c.now-at)/time.Millisecond) + 1 // rounded up
	for _, s := range c.members.Seats {
		p := c.progress[s.Disk]
		if s.Disk == c.disk || p == nil || p.round == 0 {
			continue
		}
		m := message{Kind: messageProof, Commit: c.commit, Round: p.round, Index: age}
		c.out.Early = append(c.out.Early, c.addressed(m, s))
	}
}

// stepProof takes a proof, or keeps it until c has what it is about.
func (c *core) stepProof(m message) {
	answeredAt, ok := c.answered.at(c.term, m.Round)
	if c.role == roleLeader || !ok {
		return
	}
	p := awaitedProof{commit: m.Commit, at: answeredAt - time.Duration(m.Index)*time.Millisecond}
	if p.commit <= c.commit || c.awaited.at <= 0 {
		c.awaited = p // an older one that is still awaited comes first, or a follower that always lags a little would never have one
	}
	c.checkAwaitedProof()
}

// checkAwaitedProof takes the proof that is awaited, if c has what it is about.
func (c *core) checkAwaitedProof() {
	if c.awaited.at <= 0 || c.commit < c.awaited.commit {
		return
	}
	c.currentAt = max(c.currentAt, c.awaited.at)
	c.awaited = awaitedProof{}
}

// provenAt returns when the state of c was last proved to be the newest, and false if it never was.
func (c *core) provenAt() (time.Duration, bool) {
	at := c.currentAt
	if term, ok := c.log.term(c.commit); c.role == roleLeader && ok && term == c.term {
		at = max(at, c.quorumAt)
	}
	return at, at > 0
}

// awaitedProof is a proof for a state that c may not have yet. The zero value is none.
type awaitedProof struct {
	commit uint64
	at     time.Duration
}

// answeredRounds holds when a follower answered the rounds of its leader, for the last seconds.
type answeredRounds struct {
	term   uint64
	newest uint64 // round that was answered last
	rounds []roundStart
}

const (
	answeredStep = 10 * time.Millisecond // rounds that were answered sooner after another are left out
	answeredKept = 256                   // rounds, of 2.5 s and more
)

// note notes that a round is answered. Only the first answer counts.
func (a *answeredRounds) note(term, round uint64, now time.Duration) {
	if term != a.term {
		*a = answeredRounds{term: term}
	}
	if round <= a.newest {
		return
	}
	a.newest = round
	if n := len(a.rounds); n > 0 && now-a.rounds[n-1].at < answeredStep {
		return
	}
	a.rounds = append(a.rounds, roundStart{round, now})
	if len(a.rounds) > 2*answeredKept {
		a.rounds = append([]roundStart(nil), a.rounds[answeredKept:]...)
	}
}

// at returns a time at or after which the first answer to a round was given, and false if none is known.
func (a *answeredRounds) at(term, round uint64) (time.Duration, bool) {
	if term != a.term || round > a.newest {
		return 0, false
	}
	after := sort.Search(len(a.rounds), func(i int) bool { return a.rounds[i].round > round })
	if after == 0 {
		return 0, false
	}
	return a.rounds[after-1].at, true
}
