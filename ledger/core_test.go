package ledger

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() {
	seed.Rapid()
	set := func(name, value string) {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	set("rapid.checks", "250")
	set("rapid.nofailfile", "true")
}

func drawProfile(t *rapid.T) profile {
	share := func(name string, limit int) int { return rapid.IntRange(0, limit).Draw(t, name) }
	return profile{
		Loss:      share("loss", 200),
		Duplicate: share("duplicate", 200),
		Late:      share("late", 200),
		Cut:       share("cut", 20),
		Crash:     share("crash", 20),
		LoseDisk:  share("lose_disk", 5),
		Change:    share("change", 10),
		Steps:     rapid.IntRange(500, 4000).Draw(t, "steps"),
	}
}

// Under loss, duplication, reordering, partitions, crashes at each step of a
// save, lost disks and membership changes: one leader a term, logs match,
// committed entries stay, are applied in order and give the same state; answers
// to publications, claims and reads are linearizable; and after all faults end
// the voters serve again.
func TestConsensus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProfile(t)
		if err := newSim(rapid.Uint64().Draw(t, "seed"), p, sabotage{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// Each mechanism is needed: with it switched off, some schedule breaks a property.
func TestConsensusNeedsItsMechanisms(t *testing.T) {
	tests := map[string]struct {
		broken sabotage
		faults profile
	}{
		"vote on disk":         {sabotage{forgetVote: true}, profile{Crash: 20, Cut: 10, Late: 100}},
		"sync before answer":   {sabotage{ackBeforeSync: true}, profile{Crash: 20, Cut: 10, Late: 100}},
		"identity of the disk": {sabotage{sameDisk: true}, profile{LoseDisk: 5, Cut: 20, Late: 100}},
	}
	const seeds = 400
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.faults.Steps = 1500
			for n := range uint64(seeds) {
				if err := newSim(n, test.faults, test.broken).run(); err != nil {
					t.Logf("seed %d without it: %v", n, err)
					if err := newSim(n, test.faults, sabotage{}).run(); err != nil {
						t.Errorf("seed %d with it: %v", n, err)
					}
					return
				}
			}
			t.Errorf("no property fails without it on %d seeds", seeds)
		})
	}
}
