package ledger

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bamboostep/bamboostep"
)

// checker knows what must hold over all voters of a sim.
type checker struct {
	leaders       map[uint64]string // by term
	entries       []entry           // committed, from index 1 on
	states        map[uint64][]byte // encoded machine by index
	commit        uint64
	members       membership // committed
	answeredIndex uint64     // highest entry that a client got an answer for

	operations []*operation
	revision   uint64 // highest that a client has seen
	byNumber   map[uint64]string
	holders    map[string]grant                // newest by entry
	released   map[bamboostep.AttemptID]bool   // was sent a settlement as not run
	notRun     map[bamboostep.AttemptID]uint64 // entry of that settlement, once answered
	settled    map[string]bool                 // names whose settlement as ran was answered
}

// grant is a claim that was granted.
type grant struct {
	attempt bamboostep.AttemptID
	index   uint64 // entry of the claim
}

// operation is one wish of a client, which may be sent several times.
type operation struct {
	command command
	sent    bool
	floor   uint64 // checker.revision when it was first sent
	settled bool   // the name was settled when it was first sent
	answers []result
}

func newChecker() checker {
	return checker{
		leaders:  make(map[uint64]string),
		states:   make(map[uint64][]byte),
		byNumber: make(map[uint64]string),
		holders:  make(map[string]grant),
		notRun:   make(map[bamboostep.AttemptID]uint64),
		released: make(map[bamboostep.AttemptID]bool),
		settled:  make(map[string]bool),
	}
}

// checkLeader: at most one leader a term, and it has all that was committed.
func (c *checker) checkLeader(s *sim, n *simNode) {
	if n.core == nil || n.core.role != roleLeader {
		return
	}
	who := fmt.Sprint(n.name, "/", n.disk.id)
	first, known := c.leaders[n.core.term]
	if !known {
		c.leaders[n.core.term] = who
		c.checkComplete(s, n)
	} else if first != who {
		s.fail("two leaders in term %d: %s and %s", n.core.term, first, who)
	}
}

func (c *checker) checkComplete(s *sim, n *simNode) {
	for i := n.core.log.baseIndex + 1; i <= c.commit; i++ {
		if term, ok := n.core.log.term(i); !ok || term != c.entries[i-1].Term {
			s.fail("leader %q of term %d lacks committed entry %d", n.name, n.core.term, i)
			return
		}
	}
}

// committed: all voters commit the same entries, each in order.
func (c *checker) committed(s *sim, n *simNode, e entry) {
	if want := n.machine.state.index + 1; e.Index != want {
		s.fail("voter %q applies entry %d, want %d", n.name, e.Index, want)
		return
	}
	if e.Index <= c.commit {
		if first := c.entries[e.Index-1]; first.Term != e.Term || !bytes.Equal(first.Data, e.Data) {
			s.fail("voter %q commits another entry %d", n.name, e.Index)
		}
		return
	}
	c.entries = append(c.entries, e)
	c.commit = e.Index
	if e.Kind == entryMembership {
		c.members, _ = decodeMembership(e.Data)
	}
}

// checkLogs: logs that agree on the term of an entry agree on all before it, and
// machines that applied the same entries are the same.
func (c *checker) checkLogs(s *sim) {
	for i, n := range s.nodes {
		if n.core == nil {
			continue
		}
		c.checkMachine(s, n)
		for _, other := range s.nodes[i+1:] {
			if other.core != nil {
				checkMatching(s, n, other)
			}
		}
	}
}

func (c *checker) checkMachine(s *sim, n *simNode) {
	data, err := n.machine.encode()
	if err != nil {
		s.fail("%w", err)
		return
	}
	index := n.machine.state.index
	if first, known := c.states[index]; known && !bytes.Equal(first, data) {
		s.fail("voter %q has another state at entry %d", n.name, index)
	}
	c.states[index] = data
}

func checkMatching(s *sim, a, b *simNode) {
	matched := false
	for i := min(a.core.log.lastIndex(), b.core.log.lastIndex()); i > max(a.core.log.baseIndex, b.core.log.baseIndex); i-- {
		x, y := a.core.log.at(i), b.core.log.at(i)
		matched = matched || x.Term == y.Term
		if matched && (x.Term != y.Term || !bytes.Equal(x.Data, y.Data)) {
			s.fail("logs of %q and %q match after entry %d but differ there", a.name, b.name, i)
			return
		}
	}
}

// operation makes a new wish or repeats an old one.
func (c *checker) operation(r *rand.Rand) *operation {
	if len(c.operations) > 0 && r.IntN(4) == 0 {
		return c.operations[r.IntN(len(c.operations))]
	}
	id := fmt.Sprint(len(c.operations))
	op := &operation{}
	name := fmt.Sprint("name-", r.IntN(12))
	switch holder, held := c.holders[name]; {
	case r.IntN(2) == 0:
		based := c.revision - min(c.revision, uint64(r.IntN(3)/2))
		op.command.Publish = &bamboostep.Publication{ID: id, BaseRevision: based, Set: []byte("set " + id)}
	case held && !c.released[holder.attempt] && r.IntN(2) == 0:
		outcome := []bamboostep.Outcome{bamboostep.NotRun, bamboostep.Ran, bamboostep.Unknown}[r.IntN(3)]
		op.command.Settle = &bamboostep.Settlement{Name: name, Attempt: holder.attempt, Outcome: outcome, Status: 200, Body: []byte(id)}
	default:
		op.command.Claim = &bamboostep.Claim{Name: name, Attempt: bamboostep.AttemptID(id), Retention: 1000 * time.Hour}
	}
	c.operations = append(c.operations, op)
	return op
}

func (c *checker) invoked(op *operation) {
	if settle := op.command.Settle; settle != nil && settle.Outcome == bamboostep.NotRun {
		c.released[settle.Attempt] = true
	}
	if op.sent {
		return
	}
	op.sent = true
	op.floor = c.revision
	if claim := op.command.Claim; claim != nil {
		op.settled = c.settled[claim.Name]
	}
}

// answered: what clients see is linearizable.
func (c *checker) answered(s *sim, op *operation, index uint64, r result) {
	c.answeredIndex = max(c.answeredIndex, index)
	switch {
	case op.command.Publish != nil:
		c.answeredPublish(s, op, r)
	case op.command.Claim != nil:
		c.answeredClaim(s, op, index, r.Claim)
	case op.command.Settle.Outcome == bamboostep.Ran && r.Refused == "":
		c.settled[op.command.Settle.Name] = true
	case op.command.Settle.Outcome == bamboostep.NotRun && r.Refused == "":
		c.notRun[op.command.Settle.Attempt] = index
	}
	op.answers = append(op.answers, r)
}

func (c *checker) answeredPublish(s *sim, op *operation, r result) {
	id := op.command.Publish.ID
	if len(op.answers) > 0 {
		first := op.answers[0]
		if first.Revision != r.Revision || (first.Conflict == nil) != (r.Conflict == nil) {
			s.fail("publication %q was answered %+v and then %+v", id, first, r)
		}
		return
	}
	if r.Conflict != nil {
		if r.Conflict.Newest.Number < op.floor {
			s.fail("publication %q lost against revision %d after %d was answered", id, r.Conflict.Newest.Number, op.floor)
		}
		c.revision = max(c.revision, r.Conflict.Newest.Number)
		return
	}
	if r.Revision.Number <= op.floor {
		s.fail("publication %q became revision %d after %d was answered", id, r.Revision.Number, op.floor)
	}
	if other, taken := c.byNumber[r.Revision.Number]; taken {
		s.fail("publications %q and %q both became revision %d", other, id, r.Revision.Number)
	}
	c.byNumber[r.Revision.Number] = id
	c.revision = max(c.revision, r.Revision.Number)
}

// answeredClaim: a name is granted to one attempt unless its holder did not run,
// and never to an attempt that did not run. Answers may come in another order than
// the entries, so the grants are compared by entry.
func (c *checker) answeredClaim(s *sim, op *operation, index uint64, r bamboostep.ClaimResult) {
	claim := op.command.Claim
	if r.State != bamboostep.ClaimGranted {
		return
	}
	if op.settled {
		s.fail("name %q was granted to attempt %q after it was settled as ran", claim.Name, claim.Attempt)
	}
	if at, ended := c.notRun[claim.Attempt]; ended && at < index {
		s.fail("name %q was granted to attempt %q at entry %d, which had ended as not run at %d", claim.Name, claim.Attempt, index, at)
	}
	older, newer := c.holders[claim.Name], grant{claim.Attempt, index}
	if older.index > newer.index {
		older, newer = newer, older
	}
	if older.attempt != "" && older.attempt != newer.attempt && !c.released[older.attempt] {
		s.fail("name %q was granted to attempts %q and %q", claim.Name, older.attempt, newer.attempt)
	}
	c.holders[claim.Name] = newer
}
