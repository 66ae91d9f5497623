package fleet

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// A server has left the list, and a voter then delivers an older list that still contains
// it.
func TestStaleListDoesNotBringBackServer(t *testing.T) {
	stays, leaves := engine(1, "a", holding("other")), engine(2, "a", holding("m"))
	leaving := leaves
	leaving.Leaving = true
	both, one := []bamboostep.Listing{stays, leaves}, []bamboostep.Listing{stays}
	for name, c := range map[string]struct {
		last []bamboostep.Listing // that contains it
		old  []bamboostep.Listing
		at   time.Duration // of the old list, as its voter states
		want bool          // the server is used again
	}{
		"older list":                                      {both, both, 2 * time.Second, false},
		"list of a voter that was suspended":              {both, both, 5 * time.Second, false},
		"later list that contains it":                     {both, both, 20 * time.Second, true},
		"later list, but it had announced that it leaves": {[]bamboostep.Listing{stays, leaving}, both, 20 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.last...)
			f.ApplyList(one, start.Add(4*time.Second))
			f.ApplyList(c.old, start.Add(c.at))
			_, err := f.Choose(start.Add(c.at), want("m"))
			if got := err == nil; got != c.want {
				t.Errorf("in use: got %v (%v), want %v", got, err, c.want)
			}
		})
	}
}
