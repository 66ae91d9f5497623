package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep"
)

// machine is the replicated state machine. It is deterministic: it reads no
// clock and no random source, so all voters reach the same state from the same
// entries.
//
// Time is the hard point. A claim's name is kept for a while after it was
// settled, and a leader whose wall clock is ahead must not end that early. So
// ledger time is a count of its own: each leader goes on from the last applied
// command's and adds what its monotonic clock says has passed since it began to
// lead. It stands still while nobody leads, and names are then kept longer.
type machine struct {
	state     *State
	now       time.Duration // ledger time of the last command
	published memory        // publications by ID
	drains    memory        // drains by ID
	claims    *claimTable
}

func newMachine() *machine {
	return &machine{
		state:     encodedState{}.state(),
		published: newMemory(maxHistory),
		drains:    newMemory(maxHistory),
		claims:    newClaimTable(),
	}
}

// apply applies one committed entry.
func (m *machine) apply(e entry) result {
	before := m.state
	var r result
	switch e.Kind {
	case entryCommand:
		r = m.applyCommand(e.Data)
	case entryMembership:
		if members, err := decodeMembership(e.Data); err == nil {
			m.state = m.state.withMembers(members.members())
		}
	}
	m.state = m.state.at(e.Index, e.Term, m.state != before)
	return r
}

func (m *machine) applyCommand(data []byte) result {
	c, err := decodeCommand(data)
	if err != nil {
		return result{Refused: refusedBadCommand, Detail: err.Error()}
	}
	m.now = max(m.now, c.Elapsed)
	m.claims.expire(m.now)
	switch {
	case c.Publish != nil:
		return m.publish(*c.Publish, c.At)
	case c.Number != nil:
		return m.publishNumbered(*c.Number, c.At)
	case c.Claim != nil:
		return m.claims.claim(*c.Claim, m.now)
	case c.Settle != nil:
		return m.claims.settle(*c.Settle, m.now)
	case c.Drain != nil:
		return m.drain(*c.Drain)
	}
	return result{Refused: refusedBadCommand, Detail: "command is empty"}
}

func (m *machine) publish(p bamboostep.Publication, at time.Time) result {
	if first, ok := m.published.find(p.ID); ok {
		return first
	}
	newest := m.state.newest()
	r := result{Revision: bamboostep.Revision{Number: newest.Number + 1, ID: p.ID, Author: p.Author, At: at}}
	if p.BaseRevision != newest.Number {
		r = result{Conflict: &conflict{Based: p.BaseRevision, Newest: newest}}
	} else {
		m.state = m.state.withRevision(r.Revision, p.Set)
	}
	m.published.add(p.ID, r)
	return r
}

// publishNumbered takes a set whose number is higher than that of the newest. A
// lower one was overtaken or is sent again; both are acknowledged with the newest.
func (m *machine) publishNumbered(n numberCommand, at time.Time) result {
	if newest := m.state.newest(); len(m.state.revisions) > 0 && n.Number <= newest.Number {
		return result{Revision: newest}
	}
	r := bamboostep.Revision{Number: n.Number, At: at}
	m.state = m.state.withRevision(r, n.Set)
	return result{Revision: r}
}

func (m *machine) drain(d drainCommand) result {
	if first, ok := m.drains.find(d.ID); ok {
		return first
	}
	m.state = m.state.withDrain(d.VM, d.Leaving)
	m.drains.add(d.ID, result{})
	return result{}
}

// memory keeps the answers to the last commands, by ID.
type memory struct {
	limit   int
	order   []string // oldest first
	answers map[string]result
}

func newMemory(limit int) memory {
	return memory{limit: limit, answers: make(map[string]result)}
}

func (m *memory) find(id string) (result, bool) {
	r, ok := m.answers[id]
	return r, ok
}

func (m *memory) add(id string, r result) {
	m.order = append(m.order, id)
	m.answers[id] = r
	if len(m.order) > m.limit {
		delete(m.answers, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *memory) freeze() memory {
	return memory{limit: m.limit, order: slices.Clone(m.order), answers: maps.Clone(m.answers)}
}

type encodedMemory struct {
	Order   []string `msgpack:"order"`
	Answers []result `msgpack:"answers"`
}

func (m *memory) encoded() encodedMemory {
	e := encodedMemory{Order: m.order}
	for _, id := range m.order {
		e.Answers = append(e.Answers, m.answers[id])
	}
	return e
}

func (e encodedMemory) memory(limit int) memory {
	m := newMemory(limit)
	for i, id := range e.Order {
		m.add(id, e.Answers[i])
	}
	return m
}

type encodedMachine struct {
	State     encodedState  `msgpack:"state"`
	Now       time.Duration `msgpack:"now"`
	Published encodedMemory `msgpack:"published"`
	Drains    encodedMemory `msgpack:"drains"`
	Claims    encodedClaims `msgpack:"claims"`
}

// freeze returns a copy that may be encoded while m goes on.
func (m *machine) freeze() *machine {
	return &machine{
		state:     m.state,
		now:       m.now,
		published: m.published.freeze(),
		drains:    m.drains.freeze(),
		claims:    m.claims.freeze(),
	}
}

// encode returns the whole machine for a snapshot.
func (m *machine) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&encodedMachine{
		State:     m.state.encoded(),
		Now:       m.now,
		Published: m.published.encoded(),
		Drains:    m.drains.encoded(),
		Claims:    m.claims.encoded(),
	})
	if err != nil {
		return nil, fmt.Errorf("ledger state: %w", err)
	}
	return data, nil
}

func decodeMachine(data []byte) (*machine, error) {
	var e encodedMachine
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("ledger state: %w", err)
	}
	return &machine{
		state:     e.State.state(),
		now:       e.Now,
		published: e.Published.memory(maxHistory),
		drains:    e.Drains.memory(maxHistory),
		claims:    e.Claims.table(),
	}, nil
}
