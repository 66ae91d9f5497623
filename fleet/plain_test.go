package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Servers of a plain service whose VMs are slow at times: the answers say so, but each entry
// hears from a server only now and then. Fewer requests than by equal shares may meet a slow VM,
// one that is slow for good gets little, and one that was slow gets its share again.
func TestPlainServersOfUnevenSpeed(t *testing.T) {
	const (
		servers  = 4
		requests = 4000
		slowness = 2.5
		period   = 600 * time.Millisecond
		slowPart = 0.15
	)
	for name, c := range map[string]struct {
		interval time.Duration // between two requests of the entry
		slow     func(n int, rng *rand.Rand, at time.Duration) bool
		server0  [2]float64 // lowest and highest share of the requests at the first server
		atSlow   float64    // highest share of requests that meet a slow VM
	}{
		"noise":                       {20 * time.Millisecond, func(_ int, rng *rand.Rand, _ time.Duration) bool { return rng.Float64() < slowPart }, [2]float64{0.15, 0.35}, slowPart * 0.8},
		"noise, few requests":         {2 * time.Second, func(_ int, rng *rand.Rand, _ time.Duration) bool { return rng.Float64() < slowPart }, [2]float64{0.15, 0.35}, slowPart * 1.1},
		"slow for good":               {20 * time.Millisecond, func(n int, _ *rand.Rand, _ time.Duration) bool { return n == 0 }, [2]float64{0, 0.1}, 0.1},
		"slow for good, few requests": {time.Second, func(n int, _ *rand.Rand, _ time.Duration) bool { return n == 0 }, [2]float64{0, 0.2}, 0.2},
		"slow for a time":             {20 * time.Millisecond, func(n int, _ *rand.Rand, at time.Duration) bool { return n == 0 && at < period }, [2]float64{0.15, 0.35}, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			var listings []bamboostep.Listing
			for n := range servers {
				l := engine(n, "a")
				l.Slots = 6
				listings = append(listings, l)
			}
			f := newFleet(listings...)
			slow := make([]bool, servers)
			at0, atSlow := 0, 0
			changed := -period
			for i := range requests {
				at := time.Duration(i) * c.interval
				if at-changed >= period {
					changed = at
					for n := range slow {
						slow[n] = c.slow(n, rng, at)
					}
				}
				r, err := f.Choose(start.Add(at), Requirements{Service: "llm"})
				if err != nil {
					t.Fatal(err)
				}
				n := int(r.Instance[1] - '0')
				load := bamboostep.Load{Running: 1 + rng.IntN(3), Slots: 6, Slowness: 1}
				took := 15 * time.Millisecond
				if slow[n] {
					load.Slowness, took = slowness, time.Duration(slowness*float64(took))
					atSlow++
				}
				if n == 0 {
					at0++
				}
				r.ObserveHeader(bamboostep.AnswerInfo{Load: load, LoadKnown: true}, start.Add(at+took))
				r.End(EndedOK, start.Add(at+took))
			}
			if got := float64(at0) / requests; got < c.server0[0] || got > c.server0[1] {
				t.Errorf("share of the first server: got %.2f, want %.2f to %.2f", got, c.server0[0], c.server0[1])
			}
			if got := float64(atSlow) / requests; got > c.atSlow {
				t.Errorf("share of requests that meet a slow VM: got %.3f, want at most %.3f", got, c.atSlow)
			}
		})
	}
}

// A reported value fades to what is usual at its server, and that to the mean of the service.
func TestFadingValue(t *testing.T) {
	var v fadingValue
	if got := v.value(start, 1.2); got != 1.2 {
		t.Errorf("unknown: got %g, want the mean", got)
	}
	v.observe(3, 1, start)
	now, soon, late := v.value(start, 1), v.value(start.Add(2*momentDecay), 1), v.value(start.Add(10*usualDecay), 1)
	if now < 2 || soon > 1.5 || soon < 1 || late > 1.01 {
		t.Errorf("at once, soon and late: got %.2f, %.2f, %.2f, want at least 2, less than 1.5, 1", now, soon, late)
	}
}

// The time of a run is learned from answers, without the part that queue and VM explain.
func TestLearnedRunTime(t *testing.T) {
	l := engine(1, "a")
	l.Slots = 6
	f := newFleet(l)
	for i := range 200 {
		now := start.Add(time.Duration(i) * time.Second)
		r, err := f.Choose(now, Requirements{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}
		took := time.Duration(r.expectedFactor * float64(10*time.Millisecond))
		r.ObserveHeader(bamboostep.AnswerInfo{Load: bamboostep.Load{Running: 3, Slots: 6, Slowness: 2}, LoadKnown: true}, now.Add(took))
		r.End(EndedOK, now.Add(took))
	}
	if got := f.plainServices["llm"].runTime; got < 9*time.Millisecond || got > 11*time.Millisecond {
		t.Errorf("time of a run: got %v, want about 10 ms", got)
	}
}
