package gateway

import "net/http"

// Callers authenticate with an API key of their workspace and use its quota. A revoked key
// must stop working on every VM within a bounded time, even on one that is cut off from
// the updates. An entry therefore trusts its keys only while its lease on them is valid.
// After that it neither accepts nor denies a key, but responds with 503.

// workspaceName returns the name of the caller's workspace, or "" for none.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// priority returns the priority of the request, 0 for the highest: that of its workspace if
// it has one, else that of its route.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.HasPriority {
		return x.workspace.Priority
	}
	return x.route.Priority
}

// admitByQuota charges the cost of the request to the quota of its workspace. If the quota
// is used up, it responds with 429 and returns false.
func (x *exchange) admitByQuota() bool {
	if x.route.Public {
		return true
	}
	d := x.g.QuotaLimiter.Admit(x.r.Context(), x.workspace, x.quotaCost())
	if d.Admitted {
		return true
	}
	setRetryAfter(x.w, d.RetryAfter)
	return x.fail(http.StatusTooManyRequests, "quota_used", x.workspaceName())
}

// refundQuota refunds the cost of a request that has not run.
func (x *exchange) refundQuota() {
	if x.provablyNotRun && !x.route.Public {
		x.g.QuotaLimiter.Refund(x.workspace, x.quotaCost())
	}
}

// quotaCost returns what the request costs in its workspace's quota.
func (x *exchange) quotaCost() float64 {
	if x.workspace == nil {
		return 0
	}
	return x.workspace.Quota.Cost(x.call.PromptTokens + x.call.MaxAnswerTokens)
}
