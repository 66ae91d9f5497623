package quarantine

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

// TestCulpritsAreRefusedInnocentsAreNot guards against requests that crash one backend
// server after another under load (issue 20): culprits must stop within the bound, and the
// requests that run beside them must not be refused longer than maxInnocentRefusal.
func TestCulpritsAreRefusedInnocentsAreNot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCrashSim(t)
		for i := range rapid.IntRange(0, 2).Draw(t, "culprits") {
			for range rapid.IntRange(1, 5).Draw(t, "callers per culprit") {
				s.addRequest(uint64(1+i), true, rapid.IntRange(1, 30).Draw(t, "sends"), rapid.IntRange(1, 3).Draw(t, "attempts"),
					time.Duration(rapid.IntRange(10, 1500).Draw(t, "send interval"))*time.Millisecond)
			}
		}
		unrelated := rapid.IntRange(0, 8).Draw(t, "unrelated crashes per ten seconds")
		arrivals := rapid.IntRange(1, 60).Draw(t, "innocents per second")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts of innocents")
		fingerprint := uint64(100)
		for ; s.now < 25*time.Second; s.now += simStep {
			s.deliver()
			if s.rng.Float64() < float64(unrelated)/10*simStep.Seconds() {
				s.crash(s.servers[s.rng.IntN(len(s.servers))], false)
			}
			if s.rng.Float64() < 0.1*simStep.Seconds() {
				s.restartEntry()
			}
			if s.now < 15*time.Second && s.rng.Float64() < float64(arrivals)*simStep.Seconds() {
				fingerprint++
				s.addRequest(fingerprint, false, 2, attempts, 300*time.Millisecond)
			}
			s.advanceAll()
		}
		s.checkBounds(t)
	})
}

// maxInnocentRefusal bounds a single refusal of a request that is not a culprit, by the
// number of crashes at which it was present.
func maxInnocentRefusal(crashes int) time.Duration {
	switch {
	case crashes < refuseThreshold:
		return 0
	case crashes == refuseThreshold:
		return time.Minute
	case crashes < longRefusalThreshold:
		return 15 * time.Minute
	}
	return 36 * time.Hour
}

func (s *crashSim) checkBounds(t *rapid.T) {
	crashes, reached := make(map[uint64][]simCrash), make(map[uint64][]time.Duration)
	for _, r := range s.culprits {
		crashes[r.fingerprint] = append(crashes[r.fingerprint], r.crashes...)
		reached[r.fingerprint] = append(reached[r.fingerprint], r.dispatchedAt...)
	}
	for fingerprint, at := range crashes {
		at = distinctCrashes(at)
		if len(at) < refuseThreshold {
			continue
		}
		known := at[refuseThreshold-1].at + propagationTime
		late := 0
		for _, dispatched := range reached[fingerprint] {
			if dispatched > known {
				late++
			}
		}
		if late > maxLateRetries {
			t.Errorf("culprit: got %d retries later than %v after the third crash (crashes %v, dispatched at %v), want at most %d", late, propagationTime, at, reached[fingerprint], maxLateRetries)
		}
	}
	for _, r := range slices.Concat(s.innocents, s.endedInnocents) {
		if want := maxInnocentRefusal(len(r.crashes)); r.maxRetryAfter > want {
			t.Errorf("innocent request: refused for %v after crashes %v, want at most %v", r.maxRetryAfter, r.crashes, want)
		}
	}
}
