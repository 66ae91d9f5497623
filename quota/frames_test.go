package quota

import (
	"testing"

	"github.com/bamboostep/bamboostep/internal/frames"
)

// Types that are sent to other processes or stored, by their names in the fixture file.
var framedTypes = map[string]any{
	"report_call":  reportRequest{},
	"report_reply": reportReply{},
	"take_call":    takeRequest{},
	"take_reply":   takeReply{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
}
