package ledger

import (
	"os"
	"reflect"
	"testing"
)

// TestFolderOfEarlierBuild guards against a voter that can't start on the folder of an
// earlier build: it holds a snapshot, and a log with entries before and after a checkpoint.
func TestFolderOfEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/folder-34f6cf6")); err != nil {
		t.Fatal(err)
	}
	fs, err := openFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer fs.close()
	d, got := mustOpen(t, fs)
	defer d.close()
	want := stored{
		Disk:     fixedDisk(),
		Ballot:   ballot{Term: 2, Vote: 7},
		Snapshot: snapshot{Index: 3, Term: 2, Data: []byte("machine")},
		Entries:  testEntries(3, 6, 2),
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if d.cut != 0 {
		t.Errorf("got %d bytes cut off the log, want 0", d.cut)
	}
}
