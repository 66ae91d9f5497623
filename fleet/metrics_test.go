package fleet

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bamboostep/bamboostep"
)

func TestSummary(t *testing.T) {
	now := time.Unix(1000, 0)
	listing := func(address string) bamboostep.Listing {
		return bamboostep.Listing{Instance: "i" + address, StartedMS: 1, Service: "llm", Address: address}
	}
	report := func(address string, waiting int) Report {
		return Report{Instance: "i" + address, StartedMS: 1, Service: "llm", Address: address, Waiting: waiting}
	}
	f := &Fleet{}
	if got, want := f.summary(now), (summary{listAge: -1, reportAge: -1}); got != want {
		t.Errorf("before the first list: got %+v, want %+v", got, want)
	}
	f.ApplyList([]bamboostep.Listing{listing("a"), listing("b"), listing("c"), listing("d")}, now.Add(-2*time.Second))
	f.ApplyReport(report("a", 3), now.Add(-100*time.Millisecond))
	f.ApplyReport(report("b", 5), now.Add(-200*time.Millisecond))
	f.ApplyReport(report("c", 9), now.Add(-reportMaxAge-time.Second))
	want := summary{servers: 4, stale: 1, waiting: 8, mostWaiting: 5, listAge: 2 * time.Second, reportAge: reportMaxAge + time.Second}
	if got := f.summary(now); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// The number of exported metrics must not depend on the number of backend servers.
func TestMetricsDoNotGrowWithFleet(t *testing.T) {
	r := prometheus.NewRegistry()
	f := &Fleet{}
	f.RegisterMetrics(r)
	var listings []bamboostep.Listing
	for i := range 2000 {
		listings = append(listings, bamboostep.Listing{Instance: time.Duration(i).String(), StartedMS: 1, Service: "llm", Address: time.Duration(i).String()})
	}
	f.ApplyList(listings, time.Now())
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, family := range families {
		count += len(family.GetMetric())
	}
	if count > 10 {
		t.Errorf("got %d metrics, want at most 10", count)
	}
}
