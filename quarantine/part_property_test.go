package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bounds that the platform states for a part of prompts that crashes backend servers: from
// propagationTime after the fifth crash, at most maxLateRetries requests with it reach a backend
// server; from twice that on, harmless requests with the same first part begin at least half as often
// as before.
const partCrashes = 5

const (
	simPartsEnd         = 40 * time.Second
	minHarmlessRequests = 20 // for the second bound to be checked
	harmlessPerCrashing = 3  // harmless requests for each crashing one at least
	maxCrashingRate     = 3  // crashing requests for each backend server in ten seconds; with more, hardly any is ever up
)

// simPrompts draws prompts. A part's fingerprint holds its place in the upper half.
type simPrompts struct {
	places int
	shared int // different parts at each place of harmless prompts
}

func partAt(place, n int) uint64 { return uint64(place+1)<<32 | uint64(n) }

// harmless returns the parts of a harmless prompt that begins with the first part.
func (p simPrompts) harmless(s *crashSim, first int) []uint64 {
	parts := []uint64{partAt(0, first)}
	for place := 1; place < p.places; place++ {
		parts = append(parts, partAt(place, s.rng.IntN(p.shared)))
	}
	return parts
}

// crashing returns the parts of a harmless prompt with a crashing part in a fixed place, before,
// after or instead of another.
func (p simPrompts) crashing(s *crashSim, part uint64, place int, replace bool) []uint64 {
	parts := p.harmless(s, 0)
	if replace {
		parts[min(place, len(parts)-1)] = part
		return parts
	}
	return slices.Insert(parts, min(place, len(parts)), part)
}

// TestCrashingPartIsContainedHarmlessPromptsAreNot guards against a part of prompts that crashes one
// backend server after another (issue 31), under load, beside crashes of other causes and restarts of
// entries. Requests with it must stop within the bound, and harmless requests that share all other parts
// must go on.
func TestCrashingPartIsContainedHarmlessPromptsAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCrashSim(t)
		p := simPrompts{rapid.IntRange(1, 4).Draw(t, "places"), rapid.IntRange(1, 30).Draw(t, "parts at each place")}
		crashingParts := rapid.IntRange(1, 2).Draw(t, "crashing parts")
		place := rapid.IntRange(0, p.places).Draw(t, "place of the crashing part")
		replaces := rapid.Bool().Draw(t, "crashing part instead of another")
		crashingRate := rapid.IntRange(1, maxCrashingRate*len(s.servers)).Draw(t, "crashing requests per ten seconds")
		unrelated := rapid.IntRange(0, len(s.servers)/2).Draw(t, "unrelated crashes per ten seconds")
		arrivals := rapid.IntRange(harmlessPerCrashing*crashingRate/10+2, 60).Draw(t, "harmless requests per second")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		fingerprint := uint64(100)
		next := func() uint64 { fingerprint++; return fingerprint }
		for ; s.now < simPartsEnd; s.now += simStep {
			s.deliver()
			if s.rng.Float64() < float64(unrelated)/10*simStep.Seconds() {
				s.crash(s.servers[s.rng.IntN(len(s.servers))], false)
			}
			if s.rng.Float64() < 0.1*simStep.Seconds() {
				s.restartEntry()
			}
			if s.rng.Float64() < float64(crashingRate)/10*simStep.Seconds() {
				r := s.addRequest(next(), true, 2, attempts, 300*time.Millisecond)
				r.crashingPart = partAt(99, s.rng.IntN(crashingParts))
				r.parts = p.crashing(s, r.crashingPart, place, replaces)
			}
			if s.rng.Float64() < float64(arrivals)*simStep.Seconds() {
				r := s.addRequest(next(), false, 1, 1, time.Second)
				r.parts = p.harmless(s, s.rng.IntN(3))
			}
			s.advanceAll()
		}
		s.checkParts(t)
	})
}

// checkParts checks the bounds for each crashing part.
func (s *crashSim) checkParts(t *rapid.T) {
	crashes, reached := make(map[uint64][]simCrash), make(map[uint64][]time.Duration)
	for _, r := range s.culprits {
		crashes[r.crashingPart] = append(crashes[r.crashingPart], r.crashes...)
		reached[r.crashingPart] = append(reached[r.crashingPart], r.dispatchedAt...)
	}
	lastFifth := time.Duration(0)
	for part, at := range crashes {
		at = distinctCrashes(at)
		if len(at) < partCrashes {
			continue
		}
		fifth := at[partCrashes-1].at
		lastFifth = max(lastFifth, fifth)
		late := countAfter(reached[part], fifth+propagationTime)
		if late > maxLateRetries {
			t.Errorf("part %x: got %d requests later than %v after the fifth crash (crashes %v), want at most %d", part, late, propagationTime, at, maxLateRetries)
		}
	}
	if lastFifth > 0 {
		s.checkHarmlessPrompts(t, lastFifth+2*propagationTime)
	}
}

// checkHarmlessPrompts checks, for each first part, that harmless requests go on from a time on.
func (s *crashSim) checkHarmlessPrompts(t *rapid.T, from time.Duration) {
	sent, begun := make(map[uint64]int), make(map[uint64]int)
	for _, r := range slices.Concat(s.innocents, s.endedInnocents) {
		if r.sentAt < from {
			continue
		}
		sent[r.parts[0]]++
		if r.refusedForPart == 0 {
			begun[r.parts[0]]++
		}
	}
	for first, n := range sent {
		if n >= minHarmlessRequests && begun[first] < n/2 {
			t.Errorf("harmless requests with first part %x: got %d of %d that were not refused for a part, want at least half", first, begun[first], n)
		}
	}
}

func countAfter(times []time.Duration, from time.Duration) int {
	n := 0
	for _, at := range times {
		if at > from {
			n++
		}
	}
	return n
}
