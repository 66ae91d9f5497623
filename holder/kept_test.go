package holder

import (
	"testing"

	"github.com/bamboostep/bamboostep/fleet"
)

// TestKeptParts are told once, are bounded, and the newest stay.
func TestKeptParts(t *testing.T) {
	var k keptParts
	k.note([]fleet.KeptPart{{Hash: 1, Tokens: 10}, {Hash: 2, Tokens: 20}})
	k.note([]fleet.KeptPart{{Hash: 2, Tokens: 20}})
	if got := k.takeNews(); len(got) != 2 {
		t.Errorf("news: got %v, want two beginnings", got)
	}
	if got := k.takeNews(); len(got) != 0 {
		t.Errorf("news again: got %v, want none", got)
	}
	for n := range uint64(3 * maxKept) {
		k.note([]fleet.KeptPart{{Hash: 100 + n, Tokens: 1}})
	}
	all := k.all()
	if len(all) != maxKept || all[len(all)-1].Hash != 100+3*maxKept-1 {
		t.Errorf("kept: got %d beginnings, the last %v", len(all), all[len(all)-1])
	}
	if got := k.takeNews(); len(got) != maxKept {
		t.Errorf("news after many: got %d, want %d", len(got), maxKept)
	}
}
