// Package release keeps which software version of which service began each stream, so that a stream that
// breaks off goes on only where its version serves.
//
// What two software versions write does not fit together. A caller that takes a stream up names the request
// that began it and nothing else, comes to any entry, and may come after all entries and voters have lost
// power. So an entry tells voters of each stream as its first event goes to the caller, and voters keep that in
// memory and, if they have a disk, in a file.
//
//   - A stream is kept for as long as its caller may come back, which its deadline tells, and at most for maxKeep.
//     No time of day is stored: after a restart, a voter keeps what its file holds for the whole time again.
//   - Each stream goes to copies of the voters, chosen by rendezvous hashing, and a search asks all of them.
//   - Nothing waits for voters but the search. A stream that was noted a moment before all of its
//     voters lost power is unknown afterwards, as is one that was not kept because too many are. An
//     unknown stream goes on nowhere.
package release

import "time"

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the backend server's software; not empty
}

// known reports whether o names a version.
func (o Origin) known() bool { return o.Version != "" }

const (
	maxKeep  = 250 * time.Second
	keepStep = 5 * time.Second // streams are kept for a whole number of these, so that notes have few groups
)

// keepSteps returns for how many keepSteps a stream is kept: at least for a time, and at most for maxKeep.
func keepSteps(keep time.Duration) int {
	keep = min(max(keep, 0), maxKeep)
	return max(1, int((keep+keepStep-1)/keepStep))
}
