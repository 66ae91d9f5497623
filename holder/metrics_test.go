package holder

import (
	"maps"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep/fleet"
)

func TestOrdersAreCountedByOutcome(t *testing.T) {
	h, e := newTest(t)
	r := prometheus.NewRegistry()
	h.Metrics = NewMetrics(r, h)
	h.applyModelOrder(fleet.OrderCall{Term: 1, Load: true, Model: "n"})
	h.poll(t.Context())
	e.mu.Lock()
	e.unanswered = maxOrderAttempts
	e.mu.Unlock()
	h.applyModelOrder(fleet.OrderCall{Term: 1, Model: "n"})
	h.loadAdapter(fleet.ModelName{Model: "m", Adapter: "a"})
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]float64)
	for _, family := range families {
		for _, m := range family.GetMetric() {
			name := family.GetName()
			for _, l := range m.GetLabel() {
				name += " " + l.GetValue()
			}
			if c := m.GetCounter(); c != nil {
				got[name] = c.GetValue()
			}
		}
	}
	want := map[string]float64{
		"bamboostep_holder_orders_total load_model taken":        1,
		"bamboostep_holder_orders_total unload_model unanswered": 1,
		"bamboostep_holder_orders_total load_adapter taken":      1,
	}
	if !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
