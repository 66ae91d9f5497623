package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// Guards against a stream that goes on at another software version than it began at, since an entry takes a version for the
// only one that was not.
func TestSoleVersion(t *testing.T) {
	at := func(n int, version string) bamboostep.Listing {
		l := engine(n, "a")
		l.SoftwareVersion = version
		return l
	}
	lists := func(lists ...[]bamboostep.Listing) func(f *Fleet) {
		return func(f *Fleet) {
			for i, l := range lists {
				f.ApplyList(l, start.Add(time.Duration(i)*2*time.Second))
			}
		}
	}
	one, both, two := []bamboostep.Listing{at(1, "v1"), at(2, "v1")}, []bamboostep.Listing{at(1, "v1"), at(2, "v2")}, []bamboostep.Listing{at(2, "v2")}
	reported := func(f *Fleet) {
		f.ApplyReport(Report{Address: "10.0.0.9:1", Instance: "i9", StartedMS: 5, Service: "llm"}, start.Add(time.Second))
	}
	for name, c := range map[string]struct {
		happens func(f *Fleet)
		since   time.Duration // after the first list
		want    string
	}{
		"one version":                         {lists(one, one), 0, "v1"},
		"nothing known":                       {lists(), 0, ""},
		"known for too short":                 {lists(one), -time.Second, ""},
		"two versions":                        {lists(both), 0, ""},
		"another version within the time":     {lists(one, both, one), 0, ""},
		"another version before the time":     {lists(one, both, one), 5 * time.Second, "v1"},
		"replaced by the next version":        {lists(one, two, two), 0, ""},
		"replaced long ago":                   {lists(one, two, two), 5 * time.Second, "v2"},
		"a server that is not listed yet":     {func(f *Fleet) { lists(one)(f); reported(f) }, 0, ""},
		"a server that left before a listing": {func(f *Fleet) { lists(one)(f); reported(f); f.ApplyList(one, start.Add(9*time.Second)) }, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := &Fleet{Domain: "a"}
			c.happens(f)
			got, sole := f.SoleVersion("llm", start.Add(c.since))
			if got != c.want || sole != (c.want != "") {
				t.Errorf("got %q, %v, want %q", got, sole, c.want)
			}
		})
	}
}
