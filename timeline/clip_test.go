package timeline

import (
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/bamboostep/bamboostep"
)

// Guards against a Recorder whose memory callers fill with long IDs and paths.
func TestLongTextsAreClipped(t *testing.T) {
	long := strings.Repeat("é", 1<<20)
	r := &Recorder{Clock: &Clock{Wall: wall{}}}
	r.Record(Event{Kind: "k", Request: bamboostep.RequestID(long), Model: long, Detail: long, Content: "short"})
	found := r.Find(Query{Request: bamboostep.RequestID(long), Model: long})
	if len(found) != 1 {
		t.Fatalf("events of the long ID: got %d, want 1", len(found))
	}
	e := found[0]
	for name, c := range map[string]struct {
		text string
		most int
	}{
		"request": {string(e.Request), maxNameBytes},
		"model":   {e.Model, maxNameBytes},
		"detail":  {e.Detail, maxDetailBytes},
	} {
		if len(c.text) > c.most || !strings.HasSuffix(c.text, clippedMark) || !utf8.ValidString(c.text) || len(c.text) < c.most-utf8.UTFMax {
			t.Errorf("%s: got %d bytes that end in %q, want at most %d and the mark", name, len(c.text), c.text[len(c.text)-5:], c.most)
		}
	}
	var written strings.Builder
	if err := r.Write(&written, Query{}); err != nil || written.Len() > 3*maxNameBytes+maxDetailBytes {
		t.Errorf("written: got %d bytes and %v", written.Len(), err)
	}
	if e.Content != "short" {
		t.Errorf("content: got %q, want it whole", e.Content)
	}
}
