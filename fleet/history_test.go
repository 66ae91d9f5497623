package fleet

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

// Followers that miss readings, however many, have the same list as the reader after
// each answer.
func TestFollowedListIsTheReadersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(100)
		followers := make([]followed, 3)
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
			h.note(reading)
			f := &followers[rapid.IntRange(0, len(followers)-1).Draw(t, "follower")]
			var r ListReply
			h.since(f.number, &r)
			f.apply(r)
			if got, want := names(f.all), names(reading); !slices.Equal(got, want) {
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

// One backend server of three thousand that leaves costs each follower one listing,
// and a reading that brings nothing new costs none.
func TestChangeCostsItsSize(t *testing.T) {
	var all []bamboostep.Listing
	for n := range 3000 {
		all = append(all, engine(n, "a"))
	}
	h := newHistory(100)
	h.note(all)
	var f followed
	var first ListReply
	h.since(f.number, &first)
	f.apply(first)
	if !first.Whole || len(first.Listings) != 3000 {
		t.Fatalf("first answer: got %d listings, whole %v", len(first.Listings), first.Whole)
	}
	if h.note(all) {
		t.Error("a reading without changes: got a change")
	}
	changed := slices.Clone(all)
	changed[7].Leaving = true
	h.note(changed[:2999])
	var next ListReply
	h.since(f.number, &next)
	if next.Whole || len(next.Listings) != 1 || len(next.Gone) != 1 {
		t.Errorf("next answer: got %d listings, %d gone, whole %v, want 1 and 1", len(next.Listings), len(next.Gone), next.Whole)
	}
}

// What went is kept within bounds: a follower that is too far behind gets all.
func TestHistoryIsBounded(t *testing.T) {
	h := newHistory(100)
	for n := range 3 * maxGone {
		h.note([]bamboostep.Listing{engine(n, "a")})
	}
	if len(h.gone) > maxGone {
		t.Errorf("kept: got %d, want at most %d", len(h.gone), maxGone)
	}
	var r ListReply
	h.since(101, &r)
	if !r.Whole || len(r.Listings) != 1 {
		t.Errorf("answer: got %d listings, whole %v, want 1, whole", len(r.Listings), r.Whole)
	}
}
