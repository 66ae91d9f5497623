package holder

import (
	"testing"

	"github.com/bamboostep/bamboostep/fleet"
)

// Prefixes are returned as unsent once, and the newest ones are retained within the bound.
func TestPrefixLog(t *testing.T) {
	var k prefixLog
	k.add([]fleet.PromptPrefix{{Hash: 1, Tokens: 10}, {Hash: 2, Tokens: 20}})
	k.add([]fleet.PromptPrefix{{Hash: 2, Tokens: 20}})
	if got := k.takeUnsent(); len(got) != 2 {
		t.Errorf("unsent: got %v, want two prefixes", got)
	}
	if got := k.takeUnsent(); len(got) != 0 {
		t.Errorf("unsent again: got %v, want none", got)
	}
	for n := range uint64(3 * maxPrefixes) {
		k.add([]fleet.PromptPrefix{{Hash: 100 + n, Tokens: 1}})
	}
	all := k.all()
	if len(all) != maxPrefixes || all[len(all)-1].Hash != 100+3*maxPrefixes-1 {
		t.Errorf("retained: got %d prefixes, the last %v", len(all), all[len(all)-1])
	}
	if got := k.takeUnsent(); len(got) != maxPrefixes {
		t.Errorf("unsent after many: got %d, want %d", len(got), maxPrefixes)
	}
}
