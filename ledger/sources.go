package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// sources decides which voters a client asks for the state, when, and when it leaves one. It is pure: the time,
// the voters that can be reached and answers go in, questions come out.
//
// A client must know each acknowledged change within a bound, also while some voters are slow, stand still or are cut off. The hard
// point is that a voter that has failed and one that has nothing to tell look the same until an answer is due. So:
//
//   - A client follows more than one voter at a time, in different failure domains, and takes what the first one tells.
//   - A voter is left as soon as an answer is older than a quarter of the bound or does not come within a quarter
//     of the bound after it is due, if there is another. A voter that is followed anew must answer at once, to show that it is well.
//   - Once the proof that the state is the newest (see proof.go) is older than three quarters of the bound, the client asks all voters
//     at once. One of them that is current is then enough. The last quarter of the bound is left for the question, its answer and what
//     the client does with it.
type sources struct {
	bound  time.Duration // within which an acknowledged change must be known
	count  int           // voters followed at a time
	domain string        // failure domain of the client; may be empty
	next   int           // voter to follow next; clients begin with different ones
	lastID uint64

	reachable []Member // at the last tick
	followed  []followedVoter
	restUntil map[string]time.Duration // voters that were left, by address

	proved     time.Duration // when the client's state was last proved to be the newest
	wanted     time.Duration // moment as of which it is wanted to be proved; see want
	checkDue   time.Duration // when all voters may be asked again
	checkDelay time.Duration // until then, after the next time
	checks     int           // times that all were asked since a proof was last young
}

// followedVoter is a voter that has been asked to tell changes.
type followedVoter struct {
	member Member
	id     uint64 // of the question under way
}

// question is a watch call that a client is to make.
type question struct {
	id     uint64
	to     Member
	wait   time.Duration // for which the voter may hold its answer back while there is no change
	expiry time.Duration // after which no answer is waited for
}

// answered is how a question ended.
type answered struct {
	question
	proved time.Duration // when the state of the answer was last proved to be the newest
	failed string        // why there is no answer; "" if there is one
}

// departure is a voter that is no longer followed, and why.
type departure struct {
	member Member
	reason string
}

// newSources returns the sources of a client that starts at time 0. It counts as proved then, so that clients that start all at once do not
// ask all voters for their state.
func newSources(bound time.Duration, count int, domain string, first int) *sources {
	return &sources{bound: bound, count: count, domain: domain, next: first, restUntil: make(map[string]time.Duration), checkDelay: bound / 8}
}

// answerTime is how long an answer may take from the moment at which it is due.
func (s *sources) answerTime() time.Duration { return s.bound / 4 }

// staleAfter is the age of a proof from which on its voter is left.
func (s *sources) staleAfter() time.Duration { return s.bound / 4 }

// waitTime is how long a voter that is followed may hold its answer back.
func (s *sources) waitTime() time.Duration { return s.bound / 2 }

// checkAfter is the age of the client's own proof from which on it asks all voters.
func (s *sources) checkAfter() time.Duration { return s.bound * 3 / 4 }

// restTime is how long a voter that was left is not followed again.
func (s *sources) restTime() time.Duration { return s.bound / 2 }

// retryTime is how long a voter is not asked again that has failed, if there is no other. A question may fail at once, since its
// connection is gone, and a client whose own voter is current does not look which voters can be reached.
func (s *sources) retryTime() time.Duration { return s.bound / 16 }

// tick returns the questions to ask now, given the voters that can be reached.
func (s *sources) tick(now time.Duration, reachable []Member) (asked []question, left []departure) {
	s.reachable = reachable
	maps.DeleteFunc(s.restUntil, func(_ string, until time.Duration) bool { return until <= now })
	s.followed = slices.DeleteFunc(s.followed, func(f followedVoter) bool {
		if slices.ContainsFunc(reachable, f.member.sameVoter) {
			return false
		}
		left = append(left, departure{f.member, "no connection, or no voter any more"})
		return true
	})
	for len(s.followed) < s.count {
		m, ok := s.choose(now, reachable)
		if !ok {
			break
		}
		q := s.ask(m, 0)
		s.followed = append(s.followed, followedVoter{m, q.id})
		asked = append(asked, q)
	}
	return append(asked, s.check(now, reachable)...), left
}

// choose returns the next voter that is neither followed nor at rest: one in another failure domain than those that are
// followed if there is one, and among these one in the client's own, since traffic between domains costs more.
func (s *sources) choose(now time.Duration, reachable []Member) (chosen Member, ok bool) {
	best := 0
	for range reachable {
		m := reachable[s.next%len(reachable)]
		s.next = (s.next + 1) % len(reachable)
		if now < s.restUntil[m.Address] || s.follows(m.sameVoter) {
			continue
		}
		if value := s.preference(m); value > best {
			best, chosen = value, m
		}
	}
	return chosen, best > 0
}

// preference ranks a voter that may be followed, above 0.
func (s *sources) preference(m Member) int {
	switch {
	case s.follows(m.sameDomain):
		return 1
	case m.FailureDomain != s.domain:
		return 2
	}
	return 3
}

// follows reports whether a voter is followed that matches.
func (s *sources) follows(matches func(Member) bool) bool {
	return slices.ContainsFunc(s.followed, func(f followedVoter) bool { return matches(f.member) })
}

func (s *sources) ask(m Member, wait time.Duration) question {
	s.lastID++
	return question{s.lastID, m, wait, wait + s.answerTime()}
}

// check asks all voters if the client's proof is too old, less often the longer none has a better one.
func (s *sources) check(now time.Duration, reachable []Member) (asked []question) {
	if !s.checkNeeded(now) || now < s.checkDue || len(reachable) == 0 {
		return nil
	}
	s.checkDue = now + s.checkDelay
	s.checkDelay = min(2*s.checkDelay, s.bound/2)
	s.checks++
	for _, m := range reachable {
		asked = append(asked, s.ask(m, 0))
	}
	return asked
}

func (s *sources) checkNeeded(now time.Duration) bool {
	return now-s.proved > s.checkAfter() || s.wanted > s.proved
}

// want asks for a proof as of a moment.
func (s *sources) want(at time.Duration) { s.wanted = max(s.wanted, at) }

// answer takes how a question ended. It returns what to ask next, and the voter if it is left.
func (s *sources) answer(now time.Duration, a answered) (asked []question, left []departure) {
	if a.failed == "" {
		s.prove(now, a.proved)
	}
	i := slices.IndexFunc(s.followed, func(f followedVoter) bool { return f.id == a.id })
	if i < 0 {
		return nil, nil // asked in a check, or left meanwhile
	}
	reason := a.failed
	if age := now - a.proved; reason == "" && age > s.staleAfter() {
		reason = fmt.Sprintf("its state was last proved the newest %v ago", age.Round(time.Millisecond))
	}
	next, wait := a.to, s.waitTime()
	if reason != "" {
		other, ok := s.choose(now, s.reachable)
		switch {
		case ok:
			s.restUntil[a.to.Address] = now + s.restTime()
			left = []departure{{a.to, reason}}
			next, wait = other, 0
		case a.failed != "":
			s.restUntil[a.to.Address] = now + s.retryTime()
			s.followed = slices.Delete(s.followed, i, i+1)
			return nil, nil // the next tick after that follows it anew, if it can be reached
		}
	}
	q := s.ask(next, wait)
	s.followed[i] = followedVoter{next, q.id}
	return []question{q}, left
}

// prove notes that the client's state was the newest at a moment. Only a proof that leaves nothing to be wanted lets the next check come at
// once: else each answer of a check would begin another one.
func (s *sources) prove(now, at time.Duration) {
	s.proved = max(s.proved, at)
	if now-s.proved <= s.staleAfter() && s.wanted <= s.proved {
		s.checkDue, s.checkDelay, s.checks = 0, s.bound/8, 0
	}
}

// unprovable reports whether there is no voter to ask or those that were asked have not proved anything for a while, so
// that it is of no use to wait for the next answer.
func (s *sources) unprovable() bool { return len(s.reachable) == 0 || s.checks > unprovableChecks }

const unprovableChecks = 2

// due returns when tick is next needed if nothing happens.
func (s *sources) due(now time.Duration) time.Duration {
	at := max(s.proved+s.checkAfter(), s.checkDue)
	if s.wanted > s.proved {
		at = max(now, s.checkDue)
	}
	if len(s.followed) < s.count {
		for _, until := range s.restUntil {
			if until > now {
				at = min(at, until)
			}
		}
	}
	return at
}
