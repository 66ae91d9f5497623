package route

import (
	"testing"
	"time"
)

// Guards against a stream that goes on at another service than it began at, since its route has moved meanwhile.
func TestSoleServiceSince(t *testing.T) {
	began := time.Unix(1000, 0)
	moved := began.Add(time.Minute)
	frozen := func(change func(r *Route)) *Table {
		table := testTable()
		change(&table.Routes[0])
		f, err := table.Freeze()
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	for name, c := range map[string]struct {
		change       func(r *Route) // of the second table
		early, later string         // wanted since the first table, and since the second one
	}{
		"unchanged":         {func(*Route) {}, "book", "book"},
		"another timeout":   {func(r *Route) { r.Timeout = time.Minute }, "book", "book"},
		"another service":   {func(r *Route) { r.Split = []WeightedService{{"gpu", 1}} }, "", "gpu"},
		"split":             {func(r *Route) { r.Split = []WeightedService{{"book", 1}, {"gpu", 1}} }, "", ""},
		"all weight on one": {func(r *Route) { r.Split = []WeightedService{{"book", 1}, {"gpu", 0}} }, "book", "book"},
		"another prefix":    {func(r *Route) { r.Prefix = "/other/" }, "", "book"},
	} {
		t.Run(name, func(t *testing.T) {
			first := frozen(func(*Route) {}).WithHistory(nil, began)
			second := frozen(c.change).WithHistory(first, moved)
			r := &second.Routes[0]
			if got := second.SoleServiceSince(r, began); got != c.early {
				t.Errorf("since the first table: got %q, want %q", got, c.early)
			}
			if got := second.SoleServiceSince(r, moved); got != c.later {
				t.Errorf("since the second table: got %q, want %q", got, c.later)
			}
			if got := second.SoleServiceSince(r, began.Add(-time.Second)); got != "" {
				t.Errorf("before the first table: got %q, want none", got)
			}
		})
	}
	if got := frozen(func(*Route) {}); got.SoleServiceSince(&got.Routes[0], moved) != "" {
		t.Error("a table without history: got a service, want none")
	}
}
