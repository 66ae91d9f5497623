package ledger

import (
	"fmt"
	"testing"
)

// Guards against clients that learn of an acknowledged change later than the bound, or take an older state for the newest, while
// fewer than half of the voters are slow, stand still or are cut off and one well voter can be reached (issue 44).
func TestClientsAreNeverLate(t *testing.T) {
	const seeds = 25
	for _, voters := range []int{3, 5, 7} {
		for _, follow := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d voters, %d followed", voters, follow), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(seeds) {
					s := newFollowSim(seed, voters, follow, followSabotage{})
					if err := s.run(); err != nil {
						t.Errorf("seed %d: %v", seed, err)
					}
					if len(s.changes) < 20 {
						t.Errorf("seed %d: got %d changes, want 20 or more to be of use", seed, len(s.changes))
					}
				}
			})
		}
	}
}

// Each mechanism is needed: with it switched off, some schedule makes a client late or wrong.
func TestClientsNeedTheirMechanisms(t *testing.T) {
	const seeds = 100
	for name, broken := range map[string]followSabotage{
		"more than one source":      {neverAsksAll: true},
		"departure within bound":    {lateDeparture: true},
		"proof by the leader's age": {proofByArrival: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				if err := newFollowSim(seed, 5, 1, broken).run(); err != nil {
					t.Logf("seed %d without it: %v", seed, err)
					return
				}
			}
			t.Errorf("no property fails without it on %d seeds", seeds)
		})
	}
}
