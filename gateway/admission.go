package gateway

import (
	"context"
	"net/http"
	"time"
)

// How a request is looked up in the routing table. A response that says that a route or a key does not exist is a statement about the
// newest configuration. An entry can be behind, so it makes that statement only from a table that
// holds all that must be in force, and refuses with 503 while it cannot find that out. What its table does have is served from it, however old it
// is: refusing that would turn each failure of the voters into an outage for all callers.

// RouteProof tells since when the routing table is known to be the newest. *ledger.Client is one.
type RouteProof interface {
	Current() time.Time // when the table was last proved to be the newest; zero for never
	Source() string     // process that proved it

	// ConfirmApplied reports whether the table holds all that must be in force at a time. It may ask other processes and
	// does not block for long.
	ConfirmApplied(ctx context.Context, at time.Time) bool
}

// lookUp finds the route of the request and the workspace of its key in the current table. It reports whether there are both, as
// far as they are needed.
func (x *exchange) lookUp() bool {
	x.leased = x.g.KeyLease.Valid(time.Now()) // before the table that it is about
	x.table = x.g.RouteTable()
	x.workspace = nil
	x.route = x.table.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		return false
	}
	x.workspace = x.table.Workspace(x.call.Key)
	return x.workspace != nil || x.route.Public || !x.table.RequiresKeys()
}

// findRoute finds the route of the request and authenticates its caller. If the request is rejected, findRoute writes the
// response and returns false.
func (x *exchange) findRoute() bool {
	found := x.lookUp()
	if !found && x.g.Proof != nil {
		if !x.g.Proof.ConfirmApplied(x.r.Context(), x.arrived) {
			return x.refuseWithDetail("routes_not_proved", x.call.Host+x.call.Path+x.proofDetail(), retryAfterShort)
		}
		found = x.lookUp()
	}
	switch {
	case x.route == nil:
		return x.fail(http.StatusNotFound, "no_route", x.call.Host+x.call.Path+x.proofDetail())
	case x.table.RequiresKeys() && !x.route.Public && !x.leased:
		return x.refuse("keys_not_proved", retryAfterShort)
	case !found:
		return x.fail(http.StatusUnauthorized, "key_unknown", "")
	}
	return true
}

// proofDetail formats what the routing table rests on, for the event log.
func (x *exchange) proofDetail() string {
	if x.g.Proof == nil {
		return ""
	}
	at := x.g.Proof.Current()
	if at.IsZero() {
		return ", routes never proved the newest"
	}
	return ", routes proved the newest " + formatMilliseconds(time.Since(at)) + " ago by " + x.g.Proof.Source()
}
