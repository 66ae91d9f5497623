package quarantine

import (
	"testing"

	"github.com/bamboostep/bamboostep/internal/frames"
)

// Types that are sent to other processes or stored, by their names in the fixture file.
var framedTypes = map[string]any{
	"crash":       Crash{},
	"record":      Record{},
	"note":        Observations{},
	"try_call":    trialRequest{},
	"try_reply":   trialReply{},
	"watch_call":  watchRequest{},
	"watch_reply": watchReply{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
}

// TestFramesWithParts is TestFramesOfEarlierBuild for the build that added parts of prompts.
func TestFramesWithParts(t *testing.T) {
	frames.Check(t, "testdata/frames-30046e8.txt", map[string]any{"note": Observations{}, "try_call": trialRequest{}, "watch_reply": watchReply{}})
}
