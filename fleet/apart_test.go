package fleet

import "testing"

// TestSuspectsAreSpread is requests that were at the same crashes and come back at the same
// moment: one that runs apart goes to any backend server, not where all others go.
func TestSuspectsAreSpread(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")), engine(2, "a", holding("m")), engine(3, "a", holding("m")), engine(4, "a", holding("m")))
	w := want("m")
	w.Apart = true
	seen := make(map[string]bool)
	for range 64 {
		run, err := f.Choose(start, w)
		if err != nil {
			t.Fatal(err)
		}
		seen[run.Instance] = true
		run.End(EndedByUs, start)
	}
	if len(seen) != 4 {
		t.Errorf("backend servers: got %v, want all four", seen)
	}
}
