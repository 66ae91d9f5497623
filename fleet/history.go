package fleet

import (
	"slices"

	"github.com/bamboostep/bamboostep"
)

// history is the platform's list as it changed from reading to reading. Whoever knows
// the list under a number gets what has changed since, so that a change costs each
// follower a few bytes and not the whole list. What went is kept for a while only; a
// follower that is further behind gets all.
type history struct {
	number   uint64 // of the newest reading that changed anything
	listings map[ListingKey]numbered
	gone     []numberedKey // oldest first
	from     uint64        // what went up to this number is not kept
}

type numbered struct {
	listing bamboostep.Listing
	number  uint64 // when it last changed
}

type numberedKey struct {
	key    ListingKey
	number uint64
}

// maxGone bounds what is kept of listings that went.
const maxGone = 2048

// newHistory returns a history whose numbers are above start.
func newHistory(start uint64) *history {
	return &history{number: start, from: start, listings: make(map[ListingKey]numbered)}
}

// note takes a reading and reports whether it changed anything.
func (h *history) note(listings []bamboostep.Listing) bool {
	next := h.number + 1
	changed := false
	listed := make(map[ListingKey]bool, len(listings))
	for _, l := range listings {
		k := keyOf(l)
		listed[k] = true
		if old, ok := h.listings[k]; ok && sameListing(old.listing, l) {
			continue
		}
		h.listings[k] = numbered{l, next}
		changed = true
	}
	for k := range h.listings {
		if !listed[k] {
			delete(h.listings, k)
			h.gone = append(h.gone, numberedKey{k, next})
			changed = true
		}
	}
	if changed {
		h.number = next
	}
	h.trim()
	return changed
}

func (h *history) trim() {
	if over := len(h.gone) - maxGone; over > 0 {
		h.from = h.gone[over-1].number
		h.gone = slices.Clone(h.gone[over:])
	}
}

// since fills in what has changed since a number.
func (h *history) since(number uint64, r *ListReply) {
	r.Number = h.number
	r.Whole = number < h.from || number > h.number
	for _, n := range h.listings {
		if r.Whole || n.number > number {
			r.Listings = append(r.Listings, n.listing)
		}
	}
	if r.Whole {
		return
	}
	for _, g := range h.gone {
		if _, back := h.listings[g.key]; g.number > number && !back {
			r.Gone = append(r.Gone, g.key)
		}
	}
}

func sameListing(x, y bamboostep.Listing) bool {
	return x.Leaving == y.Leaving && x.Address == y.Address && x.Service == y.Service &&
		x.Domain == y.Domain && x.Slots == y.Slots && slices.EqualFunc(x.Models, y.Models, sameWeights)
}

// sameWeights leaves adapters out: they change all the time, and holders tell them.
func sameWeights(a, b bamboostep.HeldModel) bool { return a.Name == b.Name && a.Version == b.Version }

// followed is the list as a follower has it from one voter.
type followed struct {
	number   uint64
	listings map[ListingKey]bamboostep.Listing
	all      []bamboostep.Listing // those of listings; made anew when they change
}

// apply takes a reply.
func (f *followed) apply(r ListReply) {
	if r.Whole || f.listings == nil {
		f.listings = make(map[ListingKey]bamboostep.Listing, len(r.Listings))
	}
	for _, l := range r.Listings {
		f.listings[keyOf(l)] = l
	}
	for _, k := range r.Gone {
		delete(f.listings, k)
	}
	f.number = r.Number
	if !r.Whole && len(r.Listings) == 0 && len(r.Gone) == 0 {
		return
	}
	f.all = make([]bamboostep.Listing, 0, len(f.listings))
	for _, l := range f.listings {
		f.all = append(f.all, l)
	}
}
