package main

import (
	"testing"

	"github.com/bamboostep/bamboostep/internal/frames"
)

// Types that are sent to other processes or stored, by their names in the fixture file.
var framedTypes = map[string]any{
	"demand_message":   demandMessage{},
	"fleet_reply":      fleetReply{},
	"holders_message":  holdersMessage{},
	"holders_reply":    holdersReply{},
	"revision_reply":   revisionReply{},
	"suspects_message": suspectsMessage{},
	"timeline_message": timelineMessage{},
	"timeline_reply":   timelineReply{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
}
