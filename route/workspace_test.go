package route

import (
	"errors"
	"strings"
	"testing"

	"github.com/bamboostep/bamboostep"
)

func TestWorkspaceLookupByKey(t *testing.T) {
	a, b, c := bamboostep.NewKeyDigest("key-a"), bamboostep.NewKeyDigest("key-b"), bamboostep.NewKeyDigest("key-c")
	table := testTable()
	if frozen, err := table.Freeze(); err != nil || frozen.RequiresKeys() {
		t.Errorf("table without workspaces: got %v, %v, want one that requires no key", frozen, err)
	}
	table.Workspaces = []Workspace{{Name: "one", Keys: []bamboostep.KeyDigest{a, b, a}}, {Name: "two", Keys: []bamboostep.KeyDigest{c}}}
	frozen, err := table.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	for k, want := range map[bamboostep.KeyDigest]string{a: "one", b: "one", c: "two", {}: "", bamboostep.NewKeyDigest("key-d"): ""} {
		got := ""
		if w := frozen.Workspace(k); w != nil {
			got = w.Name
		}
		if got != want {
			t.Errorf("key %x: got workspace %q, want %q", k[:4], got, want)
		}
	}
	table.Workspaces[1].Keys = append(table.Workspaces[1].Keys, a)
	var bad *ValidationError
	if _, err := table.Freeze(); !errors.As(err, &bad) || strings.Contains(err.Error(), "key-a") {
		t.Errorf("key shared by two workspaces: got %v, want a *CheckError that does not contain the key", err)
	}
}

func TestQuotaCost(t *testing.T) {
	for name, c := range map[string]struct {
		quota  Quota
		tokens int
		want   float64
	}{
		"requests, declares tokens": {Quota{DefaultTokens: 200}, 900, 1},
		"tokens, declares many":     {Quota{CountsTokens: true, DefaultTokens: 200}, 900, 900},
		"tokens, declares 1 token":  {Quota{CountsTokens: true, DefaultTokens: 200}, 1, 1},
		"tokens, declares none":     {Quota{CountsTokens: true, DefaultTokens: 200}, 0, 200},
		"requests, declares none":   {Quota{}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.quota.Cost(c.tokens); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestWorkspaceWeight compares workspaces whose quotas count tokens with each other, and those whose quotas count requests.
func TestWorkspaceWeight(t *testing.T) {
	tokens := func(perSecond float64) Quota { return Quota{PerSecond: perSecond, CountsTokens: true} }
	table, err := Table{Workspaces: []Workspace{
		{Name: "large", Quota: tokens(3000)},
		{Name: "small", Quota: tokens(1000)},
		{Name: "requests", Quota: Quota{PerSecond: 5}},
		{Name: "unlimited"},
	}}.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{"large": 1.5, "small": 0.5, "requests": 1, "unlimited": 1}
	for i := range table.Workspaces {
		w := &table.Workspaces[i]
		if got := w.Weight(); got != want[w.Name] {
			t.Errorf("workspace %s: got %g, want %g", w.Name, got, want[w.Name])
		}
	}
	if got := (*Workspace)(nil).Weight(); got != 1 {
		t.Errorf("no workspace: got %g, want 1", got)
	}
}
