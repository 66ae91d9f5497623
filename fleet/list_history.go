package fleet

import (
	"slices"

	"github.com/bamboostep/bamboostep"
)

// listHistory versions the platform's list, so that a follower that has one version gets
// only what changed since. A change then costs each follower a few bytes instead of the
// whole list. Removals are retained up to a limit; a follower whose version is older than
// the retained ones gets the full list.
type listHistory struct {
	version        uint64 // of the newest reading that changed anything
	listings       map[ListingKey]versionedListing
	removed        []removal // oldest first
	trimmedVersion uint64    // removals up to this version have been discarded
}

// versionedListing is a listing and the version at which it last changed.
type versionedListing struct {
	listing bamboostep.Listing
	version uint64 // of the list when this listing last changed
}

// removal records that a listing disappeared at a version.
type removal struct {
	key     ListingKey
	version uint64
}

// maxRemovals bounds the retained removals.
const maxRemovals = 2048

// newListHistory returns an empty history whose first version is start+1.
func newListHistory(start uint64) *listHistory {
	return &listHistory{version: start, trimmedVersion: start, listings: make(map[ListingKey]versionedListing)}
}

// update applies a newly read list and reports whether it differs from the previous one.
func (h *listHistory) update(listings []bamboostep.Listing) bool {
	next := h.version + 1
	changed := false
	listed := make(map[ListingKey]bool, len(listings))
	for _, l := range listings {
		k := keyOf(l)
		listed[k] = true
		if old, ok := h.listings[k]; ok && sameListing(old.listing, l) {
			continue
		}
		h.listings[k] = versionedListing{l, next}
		changed = true
	}
	for k := range h.listings {
		if !listed[k] {
			delete(h.listings, k)
			h.removed = append(h.removed, removal{k, next})
			changed = true
		}
	}
	if changed {
		h.version = next
	}
	h.trim()
	return changed
}

// trim discards the oldest removals beyond maxRemovals.
func (h *listHistory) trim() {
	if over := len(h.removed) - maxRemovals; over > 0 {
		h.trimmedVersion = h.removed[over-1].version
		h.removed = slices.Clone(h.removed[over:])
	}
}

// changesSince fills r with the changes since a version, or with the full list if they are
// not known.
func (h *listHistory) changesSince(version uint64, r *ListReply) {
	r.Version = h.version
	r.Full = version < h.trimmedVersion || version > h.version
	for _, n := range h.listings {
		if r.Full || n.version > version {
			r.Listings = append(r.Listings, n.listing)
		}
	}
	if r.Full {
		return
	}
	for _, g := range h.removed {
		if _, back := h.listings[g.key]; g.version > version && !back {
			r.Removed = append(r.Removed, g.key)
		}
	}
}

// sameListing reports whether two listings are equal in what followers need. Adapters are
// ignored; see sameVersion.
func sameListing(x, y bamboostep.Listing) bool {
	return x.Leaving == y.Leaving && x.Address == y.Address && x.Service == y.Service &&
		x.Domain == y.Domain && x.Slots == y.Slots && x.SoftwareVersion == y.SoftwareVersion && slices.EqualFunc(x.Models, y.Models, sameVersion)
}

// sameVersion compares models without their adapters, which change too often for the
// list and are reported by holders.
func sameVersion(a, b bamboostep.LoadedModel) bool { return a.Name == b.Name && a.Version == b.Version }

// followedList is a follower's copy of the list of one voter.
type followedList struct {
	version  uint64
	listings map[ListingKey]bamboostep.Listing
	list     []bamboostep.Listing // the values of listings; rebuilt when they change
}

// apply merges a voter's reply into the copy.
func (f *followedList) apply(r ListReply) {
	if r.Full || f.listings == nil {
		f.listings = make(map[ListingKey]bamboostep.Listing, len(r.Listings))
	}
	for _, l := range r.Listings {
		f.listings[keyOf(l)] = l
	}
	for _, k := range r.Removed {
		delete(f.listings, k)
	}
	f.version = r.Version
	if !r.Full && len(r.Listings) == 0 && len(r.Removed) == 0 {
		return
	}
	f.list = make([]bamboostep.Listing, 0, len(f.listings))
	for _, l := range f.listings {
		f.list = append(f.list, l)
	}
}
