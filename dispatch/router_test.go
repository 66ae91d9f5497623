package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/dispatch"
	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

// candidatesOf returns n candidates with varied state.
func candidatesOf(n int) []bamboostep.Candidate {
	list := make([]bamboostep.Candidate, n)
	for i := range list {
		list[i] = bamboostep.Candidate{
			VM:             fmt.Sprint("vm-", i),
			Local:          i%3 == 0,
			Resident:       i%5 != 0,
			InFlight:       i % 4,
			InFlightTokens: float64(i*37%400) + 1,
			QueuedTokens:   float64(i * 91 % 900),
			ReportAge:      time.Duration(i%7) * 50 * time.Millisecond,
			CachedBlocks:   i % 3,
		}
	}
	return list
}

// Of candidates with nearly equal scores, one in the entry's own failure domain wins. A
// cached prefix or a shorter queue wins if it makes a difference beyond the slack.
func ExampleBalanced_Pick() {
	show := func(list ...bamboostep.Candidate) {
		i, _ := dispatch.Balanced{}.Pick(time.Time{}, bamboostep.Request{}, list, 1)
		fmt.Println(list[i].VM)
	}
	idle := bamboostep.Candidate{VM: "idle", Resident: true}
	near := bamboostep.Candidate{VM: "near", Resident: true, Local: true, InFlightTokens: 20}
	busy := bamboostep.Candidate{VM: "busy", Resident: true, Local: true, InFlightTokens: 900}
	warm := bamboostep.Candidate{VM: "warm", Resident: true, InFlightTokens: 100, CachedBlocks: 30}
	show(idle, near)
	show(idle, busy)
	show(idle, warm)
	// Output:
	// near
	// idle
	// warm
}

// TestRoutersPickACandidate checks that each router picks one of the candidates
// whenever there is one.
func TestRoutersPickACandidate(t *testing.T) {
	routers := map[string]bamboostep.Router{
		"balanced":    dispatch.Balanced{},
		"round robin": &dispatch.RoundRobin{},
		"least load":  dispatch.LeastLoad{},
	}
	for name, r := range routers {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				list := candidatesOf(rapid.IntRange(0, 50).Draw(rt, "n"))
				for i := range list {
					list[i].Resident = rapid.Bool().Draw(rt, "resident")
					list[i].InFlightTokens = rapid.Float64Range(0, 1e6).Draw(rt, "work")
				}
				i, ok := r.Pick(time.Time{}, bamboostep.Request{}, list, rapid.Uint64().Draw(rt, "seed"))
				if ok != (len(list) > 0) || ok && (i < 0 || i >= len(list)) {
					rt.Fatalf("picked %d, %v of %d", i, ok, len(list))
				}
			})
		})
	}
}

// TestBalancedSpreadsNearEquals checks that requests spread over candidates with nearly
// equal scores. Otherwise all entries, which see the same reports, would send their
// requests to the same one.
func TestBalancedSpreadsNearEquals(t *testing.T) {
	list := make([]bamboostep.Candidate, 10)
	for i := range list {
		list[i] = bamboostep.Candidate{VM: fmt.Sprint(i), Resident: true, QueuedTokens: float64(5 * i)}
	}
	counts := make([]int, len(list))
	for s := range uint64(1000) {
		i, _ := dispatch.Balanced{}.Pick(time.Time{}, bamboostep.Request{}, list, s)
		counts[i]++
	}
	for i, n := range counts[:9] {
		if n == 0 || n > 300 {
			t.Errorf("candidate %d got %d of 1000 requests", i, n)
		}
	}
	if counts[0] < counts[8] {
		t.Errorf("the candidate with the shortest queue got %d requests, one with a long queue %d", counts[0], counts[8])
	}
}

// TestBalancedLoadsAdaptersOnlyForShorterQueues checks that for any seed a candidate that
// holds the adapter wins unless the queue of another is shorter by more than the slack
// and the cost of loading.
func TestBalancedLoadsAdaptersOnlyForShorterQueues(t *testing.T) {
	tests := map[string]struct {
		work float64 // queue of the candidate that holds the adapter, tokens
		want int
	}{
		"equal queues":   {0, 0},
		"slightly more":  {60, 0},
		"far more":       {900, 1},
		"just a request": {20, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := []bamboostep.Candidate{{VM: "holder", Resident: true, InFlightTokens: test.work}, {VM: "other", Local: true}}
			for seed := range uint64(100) {
				if got, _ := (dispatch.Balanced{}).Pick(time.Time{}, bamboostep.Request{}, list, seed); got != test.want {
					t.Fatalf("seed %d: got candidate %d, want %d", seed, got, test.want)
				}
			}
		})
	}
}

func TestRoundRobinTakesTurns(t *testing.T) {
	list := candidatesOf(3)
	for i := range list {
		list[i].Resident = true
	}
	r := &dispatch.RoundRobin{}
	counts := make([]int, 3)
	for range 9 {
		i, _ := r.Pick(time.Time{}, bamboostep.Request{}, list, 0)
		counts[i]++
	}
	if got, want := fmt.Sprint(counts), "[3 3 3]"; got != want {
		t.Errorf("got turns %s, want %s", got, want)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 200, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := candidatesOf(n)
			var r bamboostep.Router = dispatch.Balanced{}
			req := bamboostep.Request{}
			b.ReportAllocs()
			for i := range b.N {
				r.Pick(time.Time{}, req, list, uint64(i))
			}
		})
	}
}
