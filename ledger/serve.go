package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bamboostep/bamboostep/wire"
)

// How a Voter serves clients: commands, read barriers and membership changes go
// through its loop; watches are answered beside it.

// Register adds the handlers of the ledger to mux, which serves the process's one
// listener.
func (v *Voter) Register(mux *wire.Mux) {
	v.init()
	mux.On(kindStep, v.handleStep)
	mux.On(kindPropose, v.handlePropose)
	mux.On(kindBarrier, v.handleBarrier)
	mux.On(kindChange, v.handleChange)
	mux.On(kindWatch, func(m *wire.Message) { v.watches.handle(m, v.State, v.leadership) })
	mux.On(kindIdentity, v.handleIdentity)
}

func (v *Voter) handleStep(m *wire.Message) {
	var got message
	if m.Decode(&got) != nil {
		return
	}
	select {
	case v.inbox <- received{got, m.Conn()}:
	default:
		v.metrics.dropped()
	}
}

func (v *Voter) handlePropose(m *wire.Message) {
	var call proposeCall
	if m.Decode(&call) != nil {
		return
	}
	v.request(request{command: &call.Command, done: replyTo(m)})
}

func (v *Voter) handleBarrier(m *wire.Message) {
	v.request(request{barrier: true, done: replyTo(m)})
}

func (v *Voter) handleChange(m *wire.Message) {
	var call changeCall
	if m.Decode(&call) != nil {
		return
	}
	go v.change(call, replyTo(m))
}

func (v *Voter) handleIdentity(m *wire.Message) {
	m.Reply(identityReply{Name: v.Name, Disk: v.status.Load().disk})
}

func replyTo(m *wire.Message) func(proposeReply) {
	return func(r proposeReply) { m.Reply(r) }
}

// request hands r to the loop, or refuses it if too many wait.
func (v *Voter) request(r request) {
	select {
	case v.requests <- r:
	default:
		r.done(proposeReply{Code: codeBusy})
		return
	}
	if v.ended.Load() {
		v.refuseWaiting()
	}
}

// refuseWaiting answers the requests that no loop will take any more.
func (v *Voter) refuseWaiting() {
	for {
		select {
		case r := <-v.requests:
			r.done(proposeReply{Code: codeNotLeader})
		default:
			return
		}
	}
}

// change asks a new member for its disk before the loop sees the change.
func (v *Voter) change(call changeCall, done func(proposeReply)) {
	if !v.status.Load().self {
		done(v.notLeader())
		return
	}
	change := &memberChange{member: call.Member, add: call.Add}
	if call.Add {
		ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
		defer cancel()
		disk, err := askIdentity(ctx, v.Node, call.Member)
		if err != nil {
			done(proposeReply{Code: codeBusy, Detail: err.Error()})
			return
		}
		change.disk = disk
	}
	v.request(request{change: change, done: done})
}

const identityTimeout = 2 * time.Second

// askIdentity asks a process that may not be a member yet for its disk.
func askIdentity(ctx context.Context, node *wire.Node, m Member) (diskID, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	up := make(chan *wire.Conn, 1)
	link := &wire.Link{
		Node:    node,
		Address: m.Address,
		Handler: wire.HandlerFunc(func(*wire.Message) {}),
		Up: func(c *wire.Conn) {
			select {
			case up <- c:
			default:
			}
		},
	}
	go link.Run(ctx)
	select {
	case <-ctx.Done():
		return 0, fmt.Errorf("voter %q at %q cannot be reached: %w", m.Name, m.Address, ctx.Err())
	case c := <-up:
		var r identityReply
		if err := c.Call(ctx, kindIdentity, struct{}{}, &r); err != nil {
			return 0, fmt.Errorf("voter %q at %q: %w", m.Name, m.Address, err)
		}
		if r.Name != m.Name || r.Disk == 0 {
			return 0, fmt.Errorf("voter at %q is %q and not %q, or not ready", m.Address, r.Name, m.Name)
		}
		return r.Disk, nil
	}
}

// serve takes one request into the loop.
func (v *Voter) serve(r request) {
	switch {
	case r.command != nil:
		v.proposeAll([]request{r})
	case r.barrier:
		v.serveBarrier(r)
	case r.change != nil:
		v.serveChange(r)
	}
}

// proposeAll appends a batch of commands.
func (v *Voter) proposeAll(batch []request) {
	if len(batch) == 0 {
		return
	}
	var encoded [][]byte
	var taken []request
	for _, r := range batch {
		if len(v.pending)+len(taken) >= maxPending || v.waiting > pendingBytes {
			r.done(proposeReply{Code: codeBusy})
			continue
		}
		r.command.At = v.Node.Clock.Wall.Now()
		r.command.Elapsed = v.ledgerNow()
		data, err := r.command.encode()
		if err != nil {
			r.done(proposeReply{Code: codeRefused, Detail: err.Error()})
			continue
		}
		encoded = append(encoded, data)
		taken = append(taken, r)
	}
	first, ok := v.core.propose(encoded)
	for i, r := range taken {
		if !ok {
			r.done(v.notLeader())
			continue
		}
		v.pending[first+uint64(i)] = pendingCommand{v.core.term, len(encoded[i]), r.done}
		v.waiting += len(encoded[i])
	}
}

// ledgerNow returns the ledger time; see machine.
func (v *Voter) ledgerNow() time.Duration {
	return max(v.clockBase+v.now()-v.clockAt, v.machine.now)
}

func (v *Voter) notLeader() proposeReply {
	s := v.status.Load()
	r := proposeReply{Code: codeNotLeader}
	if leader, ok := s.members.named(s.leader); ok && s.leader != v.Name {
		r.Leader = leader.Member
	}
	return r
}

// answer tells the client of an entry, if it waits here, what came of it.
func (v *Voter) answer(e entry, r result) {
	p, ok := v.pending[e.Index]
	if !ok {
		return
	}
	delete(v.pending, e.Index)
	v.waiting -= p.size
	if p.term != e.Term {
		p.done(proposeReply{Code: codeDropped})
		return
	}
	p.done(proposeReply{Code: codeDone, Index: e.Index, Result: r})
}

func (v *Voter) dropPending(code callCode) {
	for _, p := range v.pending {
		p.done(proposeReply{Code: code})
	}
	clear(v.pending)
	v.waiting = 0
}

func (v *Voter) serveBarrier(r request) {
	v.lastRead++
	if !v.core.read(v.lastRead) {
		r.done(v.notLeader())
		return
	}
	v.barriers[v.lastRead] = r.done
}

func (v *Voter) endReads(reads []readResult) {
	for _, r := range reads {
		done := v.barriers[r.ID]
		delete(v.barriers, r.ID)
		if !r.OK {
			done(v.notLeader())
			continue
		}
		done(proposeReply{Code: codeDone, Index: r.Index})
	}
}

// serveChange starts a membership change. The client asks again until Joined, or
// until the member is gone.
func (v *Voter) serveChange(r request) {
	if !v.status.Load().self {
		r.done(v.notLeader())
		return
	}
	var err error
	if r.change.add {
		err = v.core.addLearner(r.change.member, r.change.disk)
	} else {
		err = v.core.remove(r.change.member.Name)
	}
	if err != nil {
		r.done(changeRefused(err))
		return
	}
	s, in := v.core.members.named(r.change.member.Name)
	settled := v.core.membersIndex <= v.core.commit
	r.done(proposeReply{Code: codeDone, Settled: settled, Joined: settled && in && r.change.add && !s.Learner})
}

func changeRefused(err error) proposeReply {
	var refused *MembershipError
	if !errors.As(err, &refused) {
		return proposeReply{Code: codeRefused, Detail: err.Error()}
	}
	if refused.Transient {
		return proposeReply{Code: codeBusy, Detail: refused.Issue}
	}
	return proposeReply{Code: codeRefused, Detail: refused.Issue}
}
