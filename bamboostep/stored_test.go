package main

import (
	"os"
	"path/filepath"
	"testing"
)

// TestStateOfEarlierBuild guards against a publish that isn't repeated because this build
// can't read what an earlier one noted before it sent the publish.
func TestStateOfEarlierBuild(t *testing.T) {
	const saved = "revision = 4\npending_id = 'a-1'\npending_based = 3\npending_sum = 'ff'\n"
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, ".bamboostep.toml"), []byte(saved), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readState(dir)
	if err != nil {
		t.Fatal(err)
	}
	if want := (folderState{Revision: 4, PendingID: "a-1", PendingBased: 3, PendingSum: "ff"}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
