package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/quarantine"
)

// Requests whose backend servers crashed under them. Package quarantine says which are
// refused; suspects that are not run apart from each other, since those that were at
// the same crash come back at the same moment, to the same few backend servers.

// reasonCrashes is why a request is refused that crashes what runs it.
const reasonCrashes = "crashes_backend_servers"

// apartDelay is the longest that a suspect waits so as to run apart from others.
const apartDelay = 400 * time.Millisecond

// admitContent finds out how the request may run, and returns false if it may not.
func (x *exchange) admitContent() bool {
	x.verdict = x.g.Guard.Admit(x.r.Context(), time.Now(), x.content)
	return !x.verdict.Refused
}

// judge is admitContent for a request that was admitted before.
func (x *exchange) judge() bool {
	x.verdict = x.g.Guard.Judge(time.Now(), x.content)
	return !x.verdict.Refused
}

// keepApart holds a suspect back for a random time.
func (x *exchange) keepApart(ctx context.Context) {
	if !x.verdict.Apart {
		return
	}
	longest := min(apartDelay, time.Until(x.deadline)/4)
	if longest <= 0 {
		return
	}
	t := time.NewTimer(rand.N(longest))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// brokeOff takes an answer that ended before it was whole, though neither the caller
// nor this entry ended it.
func (x *exchange) brokeOff(run *fleet.Run) {
	if run.Leaving() {
		return // it ends as it was told to
	}
	x.g.Guard.Broken(x.r.Context(), run.Address, x.content, x.stream.position())
}

// passed takes an answer that is whole, or further than it was when backend servers
// crashed.
func (x *exchange) passed() {
	x.g.Guard.Passed(time.Now(), x.content)
	x.verdict = quarantine.Verdict{}
}
