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

// Types of the limits of backend servers, which came later.
var serverLimitTypes = map[string]any{
	"limit_answer":      limitAnswer{},
	"limit_hand_in":     limitHandIn{},
	"limit_take":        limitTake{},
	"limit_take_reply":  limitTakeReply{},
	"limit_use":         limitUse{},
	"limit_watch":       limitWatch{},
	"limit_watch_reply": limitWatchReply{},
}

// Types of what entries tell of their usage, which came later still.
var usageTypes = map[string]any{
	"report_reply_recent": reportReply{},
	"usage_reply":         usageReply{},
	"usage_report":        usageReport{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
	frames.Check(t, "testdata/frames-server-limits.txt", serverLimitTypes)
	frames.Check(t, "testdata/frames-usage.txt", usageTypes)
}
