package gateway

import "net/http"

// Callers show by a key which workspace they belong to, whose quota they use. A key that
// was taken away must be of no use on any VM after a while, also on one that cannot hear
// of it, so an entry goes by the keys that it knows only while its lease on them holds.
// After that it says neither yes nor no.

// identify finds the workspace of the caller's key, by a table that was taken after the
// lease was found to hold or not. It answers and returns false if the request goes no
// further.
func (x *exchange) identify(leased bool) bool {
	if !x.table.Keyed() {
		return true
	}
	if !leased && !x.route.Public {
		return x.refuse("keys_not_proved", retrySoon)
	}
	x.workspace = x.table.Workspace(x.call.Key)
	if x.workspace == nil && !x.route.Public {
		return x.fail(http.StatusUnauthorized, "key_unknown", "")
	}
	return true
}

// workspaceName returns the name of the caller's workspace, empty for none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// rank returns how urgent the request is: by its workspace, else by its route.
func (x *exchange) rank() int {
	if x.workspace != nil && x.workspace.Ranked {
		return x.workspace.Rank
	}
	return x.route.Rank
}

// admitByQuota takes the request's cost from the quota of its workspace. It answers and
// returns false if nothing is left of that.
func (x *exchange) admitByQuota() bool {
	if x.route.Public {
		return true
	}
	d := x.g.Quotas.Admit(x.r.Context(), x.workspace, x.cost())
	if d.Admitted {
		return true
	}
	setRetryAfter(x.w, d.RetryAfter)
	return x.fail(http.StatusTooManyRequests, "quota_used", x.workspaceName())
}

// giveBackQuota returns the cost of a request that has not run.
func (x *exchange) giveBackQuota() {
	if x.promised && !x.route.Public {
		x.g.Quotas.GiveBack(x.workspace, x.cost())
	}
}

// cost is what the request takes of its workspace's quota.
func (x *exchange) cost() float64 {
	if x.workspace == nil {
		return 0
	}
	return x.workspace.Quota.Cost(x.call.PromptTokens + x.call.AnswerTokens)
}
