package route

import (
	"fmt"

	"github.com/bamboostep/bamboostep"
)

// Workspace is a tenant of the deployment. Its callers authenticate with one of its API
// keys.
type Workspace struct {
	Name        string
	Keys        []bamboostep.KeyDigest
	Priority    int  // priority of its requests; 0 is the highest
	HasPriority bool // Rank is set and overrides the route's Rank
	Quota       Quota

	weight float64 // see Weight; set by Freeze
}

// Weight returns the share of the workspace in engines that are full, relative to 1 for a mean workspace: its rate against
// the mean of those whose quota counts the same. It is 1 without a quota. w may be nil.
func (w *Workspace) Weight() float64 {
	if w == nil || w.weight <= 0 {
		return 1
	}
	return w.weight
}

// Quota is the rate limit of a workspace, across all entries.
type Quota struct {
	PerSecond     float64 // requests or tokens per second; 0 for no limit
	Burst         float64 // token bucket capacity, in the unit of PerSecond
	CountsTokens  bool    // PerSecond and Burst count tokens, not requests
	DefaultTokens float64 // cost of a request that does not declare its tokens
}

// Cost returns how much of the quota a request consumes. tokens is the number that the
// request declares, or 0 if it declares none.
func (q Quota) Cost(tokens int) float64 {
	switch {
	case !q.CountsTokens:
		return 1
	case tokens == 0:
		return q.DefaultTokens
	}
	return float64(tokens)
}

// RequiresKeys reports whether requests to routes that are not public require an API key.
func (t *Table) RequiresKeys() bool { return t.Workspaces != nil }

// Workspace returns the workspace that key k belongs to, or nil.
func (t *Table) Workspace(k bamboostep.KeyDigest) *Workspace { return t.byKey[k] }

// Quota returns the quota of the named workspace, and false if there is no such workspace.
// t may be nil.
func (t *Table) Quota(workspace string) (Quota, bool) {
	if t == nil {
		return Quota{}, false
	}
	w := t.workspaces[workspace]
	if w == nil {
		return Quota{}, false
	}
	return w.Quota, true
}

// indexWorkspaces builds the indexes by key and by name. Two workspaces that have the same key are
// invalid.
func (t *Table) indexWorkspaces() []*ValidationError {
	t.byKey = make(map[bamboostep.KeyDigest]*Workspace)
	t.workspaces = make(map[string]*Workspace, len(t.Workspaces))
	var issues []*ValidationError
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, k := range w.Keys {
			if other := t.byKey[k]; other != nil && other != w {
				issues = append(issues, &ValidationError{Issue: fmt.Sprintf("workspaces %q and %q have the same API key", other.Name, w.Name)})
				continue
			}
			t.byKey[k] = w
		}
	}
	t.weighWorkspaces(true)
	t.weighWorkspaces(false)
	return issues
}

// weighWorkspaces sets the weights of the workspaces whose quota counts tokens, or of those whose quota counts requests.
func (t *Table) weighWorkspaces(tokens bool) {
	sum, n := 0.0, 0
	for _, w := range t.workspaces {
		if w.Quota.PerSecond > 0 && w.Quota.CountsTokens == tokens {
			sum += w.Quota.PerSecond
			n++
		}
	}
	for _, w := range t.workspaces {
		if w.Quota.PerSecond > 0 && w.Quota.CountsTokens == tokens {
			w.weight = w.Quota.PerSecond * float64(n) / sum
		}
	}
}
