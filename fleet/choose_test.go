package fleet

import "testing"

// Requests that were involved in the same crashes are retried at the same time. With
// randomization they spread over all backend servers instead of all going to the best one.
func TestRandomizedRequestsSpread(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")), engine(2, "a", holding("m")), engine(3, "a", holding("m")), engine(4, "a", holding("m")))
	w := want("m")
	w.Randomize = true
	seen := make(map[string]bool)
	for range 64 {
		run, err := f.Choose(start, w)
		if err != nil {
			t.Fatal(err)
		}
		seen[run.Instance] = true
		run.End(EndedCanceled, start)
	}
	if len(seen) != 4 {
		t.Errorf("backend servers: got %v, want all four", seen)
	}
}
