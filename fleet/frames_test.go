package fleet

import (
	"testing"

	"github.com/bamboostep/bamboostep/internal/frames"
)

// Types that are sent to other processes or stored, by their names in the fixture file.
var framedTypes = map[string]any{
	"adapter_call": AdapterRef{},
	"demand":       Demand{},
	"demand_note":  DemandUpdate{},
	"kept_note":    PrefixUpdate{},
	"kept_part":    PromptPrefix{},
	"list_call":    ListCall{},
	"list_reply":   ListReply{},
	"listing_key":  ListingKey{},
	"load_note":    LoadUpdate{},
	"order_call":   OrderCall{},
	"order_reply":  OrderReply{},
	"report":       Report{},
	"used_note":    AdapterUse{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
}
