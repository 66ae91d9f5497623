package catalog

import (
	"testing"

	"github.com/bamboostep/bamboostep/internal/frames"
)

// Types that are sent to other processes or stored, by their names in the fixture file.
var framedTypes = map[string]any{
	"delta":       Delta{},
	"names":       Names{},
	"objects":     Objects{},
	"encoded_set": encodedSet{},
	"poll_body":   pollBody{},
	"update":      update{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
}
