package quarantine

import (
	"reflect"
	"testing"
)

// TestFileOfEarlierBuild guards against a voter that forgets the suspects that an earlier
// build saved.
func TestFileOfEarlierBuild(t *testing.T) {
	table := &Table{}
	f := &File{Path: "testdata/saved-34f6cf6", Table: table, Recorder: testRecorder()}
	f.Restore()
	want := []Record{{Fingerprint: 7, Crashes: []Crash{{Address: "10.0.0.1:80", At: 4102444800000, Events: 2}, {Address: "10.0.0.2:80", At: 4102444809000}}, ClearedAt: 4102444700000}}
	if got := table.Records(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
