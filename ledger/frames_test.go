package ledger

import (
	"testing"

	"github.com/bamboostep/bamboostep/internal/frames"
)

// Types that are sent to other processes or stored, by their names in the fixture file.
var framedTypes = map[string]any{
	"member":          Member{},
	"announcement":    announcement{},
	"ballot":          ballot{},
	"change_call":     changeCall{},
	"claim_entry":     claimEntry{},
	"command":         command{},
	"conflict":        conflict{},
	"drain_command":   drainCommand{},
	"encoded_claims":  encodedClaims{},
	"encoded_machine": encodedMachine{},
	"encoded_memory":  encodedMemory{},
	"encoded_state":   encodedState{},
	"entry":           entry{},
	"file_header":     fileHeader{},
	"identity_reply":  identityReply{},
	"membership":      membership{},
	"message":         message{},
	"number_command":  numberCommand{},
	"propose_call":    proposeCall{},
	"propose_reply":   proposeReply{},
	"record":          record{},
	"result":          result{},
	"seat":            seat{},
	"snapshot":        snapshot{},
	"snapshot_chunk":  snapshotChunk{},
	"watch_call":      watchCall{},
	"watch_reply":     watchReply{},
}

// TestFramesOfEarlierBuild guards against a message or stored record that an earlier build
// can't read, or whose bytes this build can't read.
func TestFramesOfEarlierBuild(t *testing.T) {
	frames.Check(t, "testdata/frames-34f6cf6.txt", framedTypes)
}
