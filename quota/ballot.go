package quota

import (
	"context"
	"time"
)

// A ballot asks all voters whether a request may be sent to a backend server with a limit. It
// is granted if the first majority to reply grants it, at the latest time that any of these
// names.
//
// One voter would not do: an entry that cannot reach it would ask another, and two voters that
// do not hear of each other's grants admit twice the limit. Any two majorities have a voter
// in common, which has counted the requests of both. A voter that has just started or was cut
// off, and so has counted too little, does not decide alone either. Every voter ends up with
// what was decided: one that denied is told of a use, one that granted in vain gets it back.

// ballotKind is the outcome of a ballot.
type ballotKind int

const (
	ballotUndecided ballotKind = iota // no majority has replied
	ballotGranted
	ballotDenied
	ballotLifted // a majority says that the limit is no longer in force
)

// ballotOutcome is the outcome with the longest wait that a voter named.
type ballotOutcome struct {
	kind ballotKind
	wait time.Duration
}

// ballot is one question to all voters.
type ballot struct {
	take      limitTake
	startedAt time.Time
	needed    int // replies for a majority of all voters, connected or not
	replies   chan ballotReply
	counted   []ballotReply
	pending   int // voters asked whose reply is not in counted
}

// ballotReply is the reply of one voter, or the error of asking it.
type ballotReply struct {
	voter LimitVoter
	limitTakeReply
	err error
}

// startBallot asks all connected voters. The calls go on after the request has ended, so that
// settle can follow up.
func (m *ServerLimiter) startBallot(take limitTake, now time.Time) *ballot {
	conns, all := m.Voters()
	b := &ballot{take: take, startedAt: now, needed: all/2 + 1, replies: make(chan ballotReply, len(conns)), pending: len(conns)}
	for _, c := range conns {
		go func() {
			r := ballotReply{voter: c}
			r.err = callWithTimeout(context.Background(), c, takeTimeout, kindLimitTake, take, &r.limitTakeReply)
			b.replies <- r
		}()
	}
	return b
}

// await returns the outcome once a majority has replied, or ballotUndecided once that is
// impossible or ctx has ended.
func (b *ballot) await(ctx context.Context) ballotOutcome {
	valid := 0
	for valid < b.needed && valid+b.pending >= b.needed {
		select {
		case r := <-b.replies:
			b.pending--
			b.counted = append(b.counted, r)
			if r.err == nil {
				valid++
			}
		case <-ctx.Done():
			return ballotOutcome{}
		}
	}
	if valid < b.needed {
		return ballotOutcome{}
	}
	return b.outcome()
}

// outcome decides by the replies that were counted.
func (b *ballot) outcome() ballotOutcome {
	out := ballotOutcome{kind: ballotLifted}
	for _, r := range b.counted {
		if r.err != nil || r.Lifted {
			continue
		}
		out.wait = max(out.wait, time.Duration(r.WaitMS*float64(time.Millisecond)))
		switch {
		case !r.Granted:
			out.kind = ballotDenied
		case out.kind == ballotLifted:
			out.kind = ballotGranted
		}
	}
	return out
}

// settle tells each voter whose reply differs from the decision, also those that reply later.
func (b *ballot) settle(granted bool) {
	for _, r := range b.counted {
		b.settleOne(r, granted)
	}
	if b.pending == 0 {
		return
	}
	go func() {
		for range b.pending {
			b.settleOne(<-b.replies, granted)
		}
	}()
}

// settleOne corrects the bucket of one voter. One that did not reply may have counted the
// request or not; it is told nothing, and the others make up for it.
func (b *ballot) settleOne(r ballotReply, granted bool) {
	if r.err != nil || r.Lifted || r.Granted == granted {
		return
	}
	cost := b.take.Cost
	if r.Granted {
		cost = -cost
	}
	_ = r.voter.Send(kindLimitUse, limitUse{b.take.Known.Server, cost}) // fails only if the connection has ended
}
