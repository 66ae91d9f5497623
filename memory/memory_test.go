package memory

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep/internal/seed"
)

func init() { seed.Rapid() }

const (
	testTotal   = 1000
	testReserve = 10
	testStall   = time.Second
	testLong    = longStay * testStall
)

func newTestBudget() *Budget {
	return &Budget{Total: testTotal, Reserve: testReserve, Stall: testStall}
}

// open returns a holder that has so many bytes since at.
func open(t *testing.T, b *Budget, at time.Time, bytes int64) *Holder {
	t.Helper()
	h := b.Open()
	if err := h.Resize(at, bytes); err != nil {
		t.Fatal(err)
	}
	return &h
}

// Guards against a flood that takes the memory from those who hold little, and against one that ends a process: who goes when the budget is used up.
func TestWhoGoesWhenTheBudgetIsUsedUp(t *testing.T) {
	start := time.Unix(0, 0)
	type held struct {
		bytes int64
		still time.Duration // since it moved
		stays time.Duration // since it came
		kept  bool          // it runs
	}
	for name, c := range map[string]struct {
		held   []held
		asks   int64
		grants bool
		gone   []int // of held
	}{
		"alone, all but what is left to others":    {nil, 875 + testReserve, true, nil},
		"alone, more than that":                    {nil, 876 + testReserve, false, nil},
		"within the reserve of a full budget":      {[]held{{885, 0, 0, false}}, testReserve, true, nil},
		"little, from what is left":                {[]held{{885, 0, 0, false}}, 60, true, nil},
		"little, all has been taken":               {[]held{{885, 0, 0, false}, {70, 0, 0, false}, {70, 0, 0, false}}, 60, false, nil},
		"less than the largest, which moves":       {[]held{{600, 0, 0, false}, {260, 0, 0, false}}, 200, false, nil},
		"less than the largest, there for long":    {[]held{{600, 0, testLong, false}, {260, 0, testLong, false}}, 200, true, []int{0}},
		"more than the largest, there for long":    {[]held{{600, 0, testLong, false}, {260, 0, 0, false}}, 700, false, nil},
		"more than the largest, which stands":      {[]held{{600, testStall, testStall, false}, {260, 0, 0, false}}, 600, true, []int{0}},
		"what stands goes before what is large":    {[]held{{500, 0, testLong, false}, {200, testStall, testLong, false}, {150, testStall, testLong, false}}, 100, true, []int{1}},
		"all that stand go":                        {[]held{{280, testStall, testStall, false}, {280, testStall, testStall, false}, {280, testStall, testStall, false}}, 880, true, []int{0, 1, 2}},
		"what runs stays":                          {[]held{{600, testLong, testLong, true}, {260, testLong, testLong, true}}, 200, false, nil},
		"stalled ones do not go where room is":     {[]held{{500, time.Hour, time.Hour, false}}, 300, true, nil},
		"what has no more than its reserve is not": {[]held{{testReserve, time.Hour, time.Hour, false}, {880, 0, 0, true}}, 500, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBudget()
			var gaveUp int
			b.GaveUp = func(GivenUp) { gaveUp++ }
			now := start.Add(time.Hour)
			released := make(map[int]bool)
			var holders []*Holder
			for i, other := range c.held {
				h := b.Open()
				h.Owner = OwnerFunc(func() { released[i] = true })
				for _, at := range []time.Duration{other.stays, other.still} {
					if err := h.Resize(now.Add(-at), other.bytes); err != nil {
						t.Fatal(err)
					}
				}
				h.Keep(now.Add(-other.still), other.kept)
				holders = append(holders, &h)
			}
			asking := b.Open()
			err := asking.Resize(now, c.asks)
			var full *FullError
			if c.grants != (err == nil) || !c.grants && !errors.As(err, &full) {
				t.Errorf("asking for %d: got %v, want granted %v", c.asks, err, c.grants)
			}
			if len(released) != len(c.gone) || gaveUp != len(c.gone) {
				t.Errorf("holders that went: got %v and %d reports, want %v", released, gaveUp, c.gone)
			}
			for _, i := range c.gone {
				if !released[i] || holders[i].Keep(now, true) || holders[i].Resize(now, 1) == nil {
					t.Errorf("holder %d: want that it has to go and learns it", i)
				}
			}
			if err == nil && b.State().Used > b.Total {
				t.Errorf("used: got %d, want at most %d", b.State().Used, b.Total)
			}
		})
	}
}

// Guards against bytes that are never given back: callers leave halfway, all at once.
func TestLeavingGivesBack(t *testing.T) {
	b := newTestBudget()
	var all []*Holder
	for range 4 {
		all = append(all, open(t, b, time.Unix(0, 0), 200))
	}
	for _, h := range all {
		h.Close()
		h.Close()
	}
	if got := b.State().Used; got != 0 {
		t.Errorf("used after all have left: got %d, want 0", got)
	}
	open(t, b, time.Unix(0, 0), 875)
}

// Guards against a budget that is exceeded, lost or blocked for good by any order of requests.
func TestBudgetHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBudget()
		now := time.Unix(0, 0)
		holders := make([]Holder, 5)
		for i := range holders {
			holders[i] = b.Open()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(holders)-1).Draw(t, "holder")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				holders[i].Close()
				holders[i] = b.Open()
			case 1:
				holders[i].Keep(now, rapid.Bool().Draw(t, "kept"))
			default:
				_ = holders[i].Resize(now, rapid.Int64Range(0, testTotal+2*testReserve).Draw(t, "bytes"))
			}
			var sum int64
			for j := range holders {
				sum += holders[j].counted
			}
			if used := b.State().Used; used != sum || used > b.Total {
				t.Fatalf("used: got %d, want the sum %d and at most %d", used, sum, b.Total)
			}
		}
		for i := range holders {
			holders[i].Close()
		}
		alone := b.Open()
		if err := alone.Resize(now, testTotal-testTotal/leftPart); err != nil {
			t.Fatalf("a request that is alone: %v", err)
		}
	})
}

// Guards against a crowd whose newcomers make those go that are nearly done, so that nobody is ever served.
func TestQuickOnesEndHoweverManyArrive(t *testing.T) {
	b := newTestBudget()
	now := time.Unix(0, 0)
	first := open(t, b, now, 500)
	for now.Sub(time.Unix(0, 0)) < testLong-testStall {
		now = now.Add(testStall / 2)
		for range 50 {
			h := b.Open()
			_ = h.Resize(now, 120) // most are refused
			defer h.Close()
		}
		if err := first.Resize(now, first.Bytes()); err != nil {
			t.Fatalf("the first one, which moves, had to go: %v", err)
		}
	}
}

// Guards against a body that is taken beyond its limit or the budget, and against bytes that stay counted after it failed.
func TestReadAll(t *testing.T) {
	for name, c := range map[string]struct {
		body  string
		limit int64
		held  int64 // before
		want  error // as its type
	}{
		"empty":                      {"", 10, 0, nil},
		"at its limit":               {strings.Repeat("x", 10), 10, 0, nil},
		"beyond its limit":           {strings.Repeat("x", 11), 10, 0, &TooLargeError{}},
		"without a limit":            {strings.Repeat("x", 400), 0, 0, nil},
		"beyond the budget":          {strings.Repeat("x", 2000), 0, 0, &FullError{}},
		"its copy beyond the budget": {strings.Repeat("x", 800), 0, 0, &FullError{}},
		"beside an answer":           {strings.Repeat("x", 200), 0, 300, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBudget()
			h := open(t, b, time.Unix(0, 0), c.held)
			got, err := ReadAll(iotest.HalfReader(strings.NewReader(c.body)), h, c.limit, func() time.Time { return time.Unix(0, 0) }, nil)
			var large *TooLargeError
			var full *FullError
			switch c.want.(type) {
			case nil:
				if err != nil || string(got) != c.body {
					t.Errorf("got %d bytes and %v, want all %d", len(got), err, len(c.body))
				}
			case *TooLargeError:
				if !errors.As(err, &large) {
					t.Errorf("error: got %v, want a *TooLargeError", err)
				}
			case *FullError:
				if !errors.As(err, &full) {
					t.Errorf("error: got %v, want a *FullError", err)
				}
			}
			if want := c.held + int64(len(got)); h.Bytes() != want {
				t.Errorf("held after it: got %d, want %d", h.Bytes(), want)
			}
		})
	}
	failing := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(io.ErrUnexpectedEOF))
	h := newTestBudget().Open()
	if _, err := ReadAll(failing, &h, 0, time.Now, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error of a body that breaks off: got %v, want that of its reader", err)
	}
}
