package catalog

import "testing"

// TestSetFileOfEarlierBuild guards against a feed that can't start on the saved set of an
// earlier build.
func TestSetFileOfEarlierBuild(t *testing.T) {
	set, err := readSetFile("testdata/feed-34f6cf6.set")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := set.Revision(), uint64(3); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	if got, want := len(set.Objects().Models), 2; got != want {
		t.Errorf("got %d models, want %d", got, want)
	}
}
