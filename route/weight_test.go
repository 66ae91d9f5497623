package route

import "testing"

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
