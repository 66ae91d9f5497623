package holder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/route"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// testEngine is an engine that checks what it is ordered, and may leave orders
// without an answer and carry them out later.
type testEngine struct {
	t *testing.T

	mu     sync.Mutex
	report bamboostep.EngineReport
	silent int // orders that get no answer
	late   []bamboostep.EngineOrder
	fence  uint64
	spec   *route.Engine
}

var errSilent = errors.New("no answer")

func (e *testEngine) Report(context.Context) (bamboostep.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.report
	r.Models = slices.Clone(r.Models)
	return r, nil
}

func (e *testEngine) Identify(context.Context) (string, error) { return "i1", nil }

func (e *testEngine) Give(_ context.Context, o bamboostep.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent > 0 {
		e.silent--
		e.late = append(e.late, o)
		return errSilent
	}
	return e.carryOut(o)
}

// carryOut takes an order. mu is held.
func (e *testEngine) carryOut(o bamboostep.EngineOrder) error {
	if o.Fence < e.fence {
		return &bamboostep.OrderError{Status: 412, Fenced: true}
	}
	e.fence = o.Fence
	if o.After != e.report.Orders {
		return &bamboostep.OrderError{Status: 409, Stale: true}
	}
	e.report.Orders++
	i := slices.IndexFunc(e.report.Models, func(m bamboostep.HeldModel) bool { return m.Name == o.Model })
	switch {
	case o.Adapter == "" && o.Load:
		e.report.Models = append(e.report.Models, bamboostep.HeldModel{Name: o.Model})
	case o.Adapter == "":
		e.report.Models = slices.Delete(slices.Clone(e.report.Models), i, i+1)
	case o.Load:
		m := &e.report.Models[i]
		m.Adapters = append(slices.Clone(m.Adapters), o.Adapter)
	default:
		m := &e.report.Models[i]
		m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == o.Adapter })
	}
	e.check()
	return nil
}

func (e *testEngine) check() {
	used, adapters := 0.0, 0
	for _, held := range e.report.Models {
		m := modelNamed(e.spec, held.Name)
		used += m.WeightsMB + float64(len(held.Adapters))*m.AdapterMB
		adapters += len(held.Adapters)
	}
	if used > e.spec.WeightsMB || adapters > e.spec.AdapterSlots {
		e.t.Errorf("engine holds %.0f MB and %d adapters, more than it can", used, adapters)
	}
}

// carryOutLate takes the orders that got no answer.
func (e *testEngine) carryOutLate() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.late {
		_ = e.carryOut(o) // refused where others were taken since
	}
	e.late = nil
}

func newTest(t *testing.T) (*Holder, *testEngine) {
	spec := &route.Engine{WeightsMB: 100, AdapterSlots: 2, Models: []route.Model{
		{Name: "m", WeightsMB: 50, AdapterMB: 1, Adapters: 5}, {Name: "n", WeightsMB: 45}, {Name: "o", WeightsMB: 45},
	}}
	e := &testEngine{t: t, spec: spec, report: bamboostep.EngineReport{Born: 1, Models: []bamboostep.HeldModel{{Name: "m"}}}}
	h := &Holder{
		Name: "vm", Address: "10.0.0.1:1", Service: "llm", Engine: e,
		Spec:     func() *route.Engine { return spec },
		Recorder: &timeline.Recorder{Clock: &timeline.Clock{Wall: daemon.SystemClock{}}},
	}
	h.Register(&wire.Mux{})
	h.poll(context.Background())
	return h, e
}

func TestModelOrders(t *testing.T) {
	h, e := newTest(t)
	for _, c := range []struct {
		name string
		call fleet.OrderCall
		code string
	}{
		{"fits", fleet.OrderCall{Term: 2, Load: true, Model: "n"}, ""},
		{"no room", fleet.OrderCall{Term: 2, Load: true, Model: "o"}, codeNoRoom},
		{"not declared", fleet.OrderCall{Term: 2, Load: true, Model: "x"}, codeNoModel},
		{"deposed leader", fleet.OrderCall{Term: 1, Model: "n"}, codeStale},
		{"makes way", fleet.OrderCall{Term: 3, Model: "n"}, ""},
		{"fits now", fleet.OrderCall{Term: 3, Load: true, Model: "o"}, ""},
	} {
		if got := h.modelOrder(c.call).Code; got != c.code {
			t.Errorf("%s: got code %q, want %q", c.name, got, c.code)
		}
		h.poll(context.Background())
	}
	if len(e.report.Models) != 2 {
		t.Errorf("models: got %v, want m and o", e.report.Models)
	}
}

// TestAdaptersTakeTurns is more adapters than places: the one that was used least
// recently makes room, and the engine is never overfull.
func TestAdaptersTakeTurns(t *testing.T) {
	h, _ := newTest(t)
	for _, a := range []string{"a1", "a2", "a1", "a3", "a4"} {
		h.mu.Lock()
		for n := range h.used {
			h.used[n] = h.used[n].Add(-time.Second)
		}
		h.mu.Unlock()
		n := fleet.ModelName{Model: "m", Adapter: a}
		if r := h.loadAdapter(n); r.Code != "" {
			t.Fatalf("adapter %s: got code %q", a, r.Code)
		}
		if !holdsAdapter(h.report, n) {
			t.Errorf("adapter %s: got none", a)
		}
	}
	if r := h.loadAdapter(fleet.ModelName{Model: "n", Adapter: "a1"}); r.Code != codeNoModel {
		t.Errorf("adapter of a model that is not held: got code %q, want %q", r.Code, codeNoModel)
	}
}

// TestOrderWithoutAnswer is an engine that leaves orders without an answer and
// carries them out after newer ones: at most one of two takes effect.
func TestOrderWithoutAnswer(t *testing.T) {
	for name, silent := range map[string]int{"answered when sent again": 1, "never answered": orderTries} {
		t.Run(name, func(t *testing.T) {
			h, e := newTest(t)
			e.silent = silent
			r := h.modelOrder(fleet.OrderCall{Term: 1, Load: true, Model: "n"})
			if got, want := r.Code == fleet.CodeNoAnswer, silent == orderTries; got != want {
				t.Errorf("no answer: got %v, want %v (code %q)", got, want, r.Code)
			}
			h.poll(context.Background())
			if r := h.loadAdapter(fleet.ModelName{Model: "m", Adapter: "a1"}); r.Code != "" {
				t.Errorf("adapter meanwhile: got code %q", r.Code)
			}
			e.carryOutLate()
			h.poll(context.Background())
			if silent == orderTries && holds(e.report, "n") {
				t.Error("an order was carried out after a newer one")
			}
		})
	}
}

// TestFenceIsRaised is a holder that starts again with a clock that is behind.
func TestFenceIsRaised(t *testing.T) {
	h, e := newTest(t)
	e.fence = h.fence + 1
	if r := h.modelOrder(fleet.OrderCall{Term: 1, Load: true, Model: "n"}); r.Code != "" {
		t.Errorf("order: got code %q", r.Code)
	}
}

// TestReportFromBeforeAnOrder must not free the places that the order has taken.
func TestReportFromBeforeAnOrder(t *testing.T) {
	h, e := newTest(t)
	before, err := e.Report(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range []string{"a1", "a2"} {
		if r := h.loadAdapter(fleet.ModelName{Model: "m", Adapter: a}); r.Code != "" {
			t.Fatalf("adapter %s: got code %q", a, r.Code)
		}
	}
	h.mu.Lock()
	h.take(before, time.Now())
	got := h.adapters()
	h.mu.Unlock()
	if got != 2 {
		t.Errorf("places taken: got %d, want 2", got)
	}
}

// TestUsedAdapterStays is an adapter that entries say they use: the other one makes
// room, though it was loaded later.
func TestUsedAdapterStays(t *testing.T) {
	h, _ := newTest(t)
	a1, a2, a3 := fleet.ModelName{Model: "m", Adapter: "a1"}, fleet.ModelName{Model: "m", Adapter: "a2"}, fleet.ModelName{Model: "m", Adapter: "a3"}
	for _, n := range []fleet.ModelName{a1, a2} {
		if r := h.loadAdapter(n); r.Code != "" {
			t.Fatalf("adapter %v: got code %q", n, r.Code)
		}
	}
	h.mu.Lock()
	h.used[a1], h.used[a2] = time.Now().Add(-3*time.Second), time.Now().Add(-2*time.Second)
	h.mu.Unlock()
	h.noteUsed([]fleet.AdapterCall{fleet.AdapterCall(a1)}, time.Now().Add(-time.Second))
	if r := h.loadAdapter(a3); r.Code != "" {
		t.Fatalf("adapter a3: got code %q", r.Code)
	}
	if !holdsAdapter(h.report, a1) || holdsAdapter(h.report, a2) {
		t.Errorf("adapters: got %v, want a1 and a3", h.report.Models)
	}
}

func TestPendingName(t *testing.T) {
	for in, want := range map[string]fleet.ModelName{
		"m/a1@3": {Model: "m", Adapter: "a1"},
		"m/a1":   {Model: "m", Adapter: "a1"},
		"m":      {Model: "m"},
	} {
		if got := pendingName(in); got != want {
			t.Errorf("%s: got %v, want %v", in, got, want)
		}
	}
}

// All VMs have lost power. The engine is up, and no leader has said anything yet.
func TestEmptyEngineLoadsWhatItsDiskTookUpLast(t *testing.T) {
	for name, c := range map[string]struct {
		report bamboostep.EngineReport
		term   uint64
		want   []string
	}{
		"empty, with weights on disk":   {bamboostep.EngineReport{Born: 1, OnDisk: []string{"n", "o"}}, 0, []string{"o"}},
		"empty, with an empty disk":     {bamboostep.EngineReport{Born: 1}, 0, nil},
		"holds a model already":         {bamboostep.EngineReport{Born: 1, OnDisk: []string{"n", "o"}, Models: []bamboostep.HeldModel{{Name: "n"}}}, 0, []string{"n"}},
		"leaves":                        {bamboostep.EngineReport{Born: 1, OnDisk: []string{"n", "o"}, Leaving: true}, 0, nil},
		"a leader has given orders":     {bamboostep.EngineReport{Born: 1, OnDisk: []string{"n", "o"}}, 3, nil},
		"carries out an order":          {bamboostep.EngineReport{Born: 1, OnDisk: []string{"n", "o"}, Busy: true}, 0, nil},
		"its report has not been heard": {bamboostep.EngineReport{OnDisk: []string{"n", "o"}}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h, e := newTest(t)
			h.Spec = func() *route.Engine { return nil } // no routes yet
			e.report = c.report
			h.term = c.term
			ctx, cancel := context.WithTimeout(t.Context(), 4*pollInterval)
			defer cancel()
			_ = h.Run(ctx) // ends with ctx
			h.orders.Lock()
			defer h.orders.Unlock()
			var got []string
			for _, m := range e.report.Models {
				got = append(got, m.Name)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got models %v, want %v", got, c.want)
			}
		})
	}
}
