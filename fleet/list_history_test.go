package fleet

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

// However many versions a follower skips, its list equals the reader's after each reply.
func TestFollowedListMatchesReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newListHistory(100)
		followers := make([]followedList, 3)
		present := make(map[int]bamboostep.Listing)
		for range rapid.IntRange(1, 60).Draw(t, "readings") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				n := rapid.IntRange(0, 6).Draw(t, "server")
				if _, there := present[n]; there && rapid.Bool().Draw(t, "goes") {
					delete(present, n)
					continue
				}
				l := engine(n, "a")
				l.Leaving = rapid.Bool().Draw(t, "leaving")
				present[n] = l
			}
			var reading []bamboostep.Listing
			for _, l := range present {
				reading = append(reading, l)
			}
			h.update(reading)
			f := &followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
			var r ListReply
			h.changesSince(f.version, &r)
			f.apply(r)
			if got, want := names(f.list), names(reading); !slices.Equal(got, want) {
				t.Fatalf("list: got %v, want %v", got, want)
			}
		}
	})
}

func names(listings []bamboostep.Listing) []string {
	out := make([]string, 0, len(listings))
	for _, l := range listings {
		out = append(out, fmt.Sprint(l.Instance, l.Leaving))
	}
	slices.Sort(out)
	return out
}

// If one of 3000 backend servers leaves, the reply to a follower holds only that change,
// and a reading without changes creates no new version.
func TestReplyHoldsOnlyChanges(t *testing.T) {
	var all []bamboostep.Listing
	for n := range 3000 {
		all = append(all, engine(n, "a"))
	}
	h := newListHistory(100)
	h.update(all)
	var f followedList
	var first ListReply
	h.changesSince(f.version, &first)
	f.apply(first)
	if !first.Full || len(first.Listings) != 3000 {
		t.Fatalf("first reply: got %d listings, full %v", len(first.Listings), first.Full)
	}
	if h.update(all) {
		t.Error("a reading without changes: got a change")
	}
	changed := slices.Clone(all)
	changed[7].Leaving = true
	h.update(changed[:2999])
	var next ListReply
	h.changesSince(f.version, &next)
	if next.Full || len(next.Listings) != 1 || len(next.Removed) != 1 {
		t.Errorf("next reply: got %d listings, %d removed, full %v, want 1 and 1", len(next.Listings), len(next.Removed), next.Full)
	}
}

// The retained removals are bounded, and a follower that is too far behind gets the full
// list.
func TestHistoryIsBounded(t *testing.T) {
	h := newListHistory(100)
	for n := range 3 * maxRemovals {
		h.update([]bamboostep.Listing{engine(n, "a")})
	}
	if len(h.removed) > maxRemovals {
		t.Errorf("removals: got %d, want at most %d", len(h.removed), maxRemovals)
	}
	var r ListReply
	h.changesSince(101, &r)
	if !r.Full || len(r.Listings) != 1 {
		t.Errorf("reply: got %d listings, full %v, want 1, full", len(r.Listings), r.Full)
	}
}
