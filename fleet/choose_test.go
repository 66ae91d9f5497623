package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Requests that were involved in the same crashes are retried at the same time. With
// randomization they spread over all backend servers instead of all going to the best one.
func TestRandomizedRequestsSpread(t *testing.T) {
	f := newFleet(engine(1, "a", holding("m")), engine(2, "a", holding("m")), engine(3, "a", holding("m")), engine(4, "a", holding("m")))
	w := want("m")
	w.Randomize = true
	seen := make(map[string]bool)
	for range 64 {
		run, err := f.Choose(start, w)
		if err != nil {
			t.Fatal(err)
		}
		seen[run.Instance] = true
		run.End(EndedCanceled, start)
	}
	if len(seen) != 4 {
		t.Errorf("backend servers: got %v, want all four", seen)
	}
}

// TestChooseByVersion checks that a request that needs a software version goes to no other, and why there is
// no server if there is none.
func TestChooseByVersion(t *testing.T) {
	running := func(n int, version string, models ...bamboostep.LoadedModel) bamboostep.Listing {
		l := engine(n, "a", models...)
		l.SoftwareVersion = version
		return l
	}
	leaving := running(1, "v1", holding("m"))
	leaving.Leaving = true
	for name, c := range map[string]struct {
		listings []bamboostep.Listing
		exclude  []string
		instance string
		reason   Reason
	}{
		"its version":               {[]bamboostep.Listing{running(1, "v2", holding("m")), running(2, "v1", holding("m"))}, nil, "i2", ""},
		"another version only":      {[]bamboostep.Listing{running(1, "v2", holding("m"))}, nil, "", ReasonNoVersion},
		"unknown version only":      {[]bamboostep.Listing{running(1, "", holding("m"))}, nil, "", ReasonNoVersion},
		"its version is leaving":    {[]bamboostep.Listing{leaving, running(2, "v2", holding("m"))}, nil, "", ReasonNoVersion},
		"without the model":         {[]bamboostep.Listing{running(1, "v1"), running(2, "v2", holding("m"))}, nil, "", ReasonNoModel},
		"the only one has failed":   {[]bamboostep.Listing{running(1, "v1", holding("m")), running(2, "v2", holding("m"))}, []string{"10.0.0.1:1"}, "", ReasonNoServer},
		"no servers of the service": {nil, nil, "", ReasonNoVersion},
	} {
		t.Run(name, func(t *testing.T) {
			req := want("m")
			req.Version, req.Exclude = "v1", c.exclude
			run, err := newFleet(c.listings...).Choose(start, req)
			var none *NoServerError
			switch {
			case c.reason != "" && (!errors.As(err, &none) || none.Reason != c.reason):
				t.Errorf("error: got %v, want %s", err, c.reason)
			case c.reason == "" && (err != nil || run.Instance != c.instance || run.ListedVersion() != "v1"):
				t.Errorf("got %+v, %v, want %s with version v1", run, err, c.instance)
			}
		})
	}
}

// TestVersionIsKnownOnceListed checks that a request at an engine that was reported before it was listed has its software
// version once that is known.
func TestVersionIsKnownOnceListed(t *testing.T) {
	f := newFleet()
	f.ApplyReport(Report{Address: "10.0.0.1:1", Instance: "i1", StartedMS: 1, Service: "llm", Domain: "a", Models: []bamboostep.LoadedModel{holding("m")}}, start)
	run, err := f.Choose(start, want("m"))
	if err != nil || run.ListedVersion() != "" {
		t.Fatalf("before the list: got %v, version %q, want an engine of unknown version", err, run.ListedVersion())
	}
	listed := engine(1, "a", holding("m"))
	listed.SoftwareVersion = "v1"
	f.ApplyList([]bamboostep.Listing{listed}, start.Add(time.Second))
	if got := run.ListedVersion(); got != "v1" {
		t.Errorf("after the list: got version %q, want v1", got)
	}
}
