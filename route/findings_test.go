package route

import (
	"fmt"
	"testing"
	"time"
)

func ExampleTable_Findings() {
	t := Table{
		Services: []Service{{Name: "book"}, {Name: "old"}},
		Routes: []Route{{
			Name: "orders", Host: "shop.example", Prefix: "/orders/", Kind: NonIdempotent,
			Timeout: time.Second, LatencyTarget: 2 * time.Second, Attempts: 1, Split: []WeightedService{{Service: "book", Weight: 1}},
		}},
	}
	for _, f := range t.Findings() {
		fmt.Println(f)
	}
	// Output:
	// warning: route "orders": latency target 2s is above the timeout 1s (target_after_timeout)
	// warning: service "old": no route sends requests to it (service_unused)
}

// Guards against a check that says other than the system does.
func TestErrorsAreThoseOfFreeze(t *testing.T) {
	for name, change := range map[string]func(*Table){
		"valid":           func(*Table) {},
		"unknown service": func(t *Table) { t.Routes[1].Split[0].Service = "none" },
		"two errors":      func(t *Table) { t.Routes[0].Timeout, t.Routes[1].Attempts = 0, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			table := testTable()
			change(&table)
			first := ""
			for _, f := range table.Findings() {
				if f.Severity == SeverityError && first == "" {
					first = f.Detail
				}
			}
			_, err := table.Freeze()
			refused := ""
			if err != nil {
				refused = err.(*ValidationError).Issue
			}
			if first != refused {
				t.Errorf("first error: got %q, want %q as of Freeze", first, refused)
			}
		})
	}
}

func TestTableHasNoChangesFromItself(t *testing.T) {
	if got := testTable().ChangesFrom(testTable()); len(got) > 0 {
		t.Errorf("got %v, want no change", got)
	}
}
