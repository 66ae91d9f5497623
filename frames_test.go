package bamboostep

import (
	"testing"

	"github.com/bamboostep/bamboostep/internal/frames"
)

// Types that are sent to other processes or stored, by their names in the fixture file.
var framedTypes = map[string]any{
	"adapter":      Adapter{},
	"answer":       Answer{},
	"claim":        Claim{},
	"claim_result": ClaimResult{},
	"failure":      Failure{},
	"fence":        FencingToken{},
	"held_model":   LoadedModel{},
	"kv":           KV{},
	"listing":      Listing{},
	"model":        Model{},
	"offer":        Offer{},
	"order":        Order{},
	"order_result": OrderResult{},
	"place":        Place{},
	"publication":  Publication{},
	"replica":      Replica{},
	"report":       Report{},
	"request":      Request{},
	"revision":     Revision{},
	"service":      Service{},
	"settlement":   Settlement{},
	"suspect":      Suspect{},
	"vm":           VM{},
	"version":      Version{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
}
