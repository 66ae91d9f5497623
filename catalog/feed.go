package catalog

// Revisions spread between processes as in a watch with resume: a subscriber says
// which revision it has and gets the deltas from there, or a snapshot when that
// revision is older than the history, and after that each newer one.
//
// The state below is pure: sets and updates in, sets and updates out, in any
// order and any number of times. One rule carries the promise that an accepted
// configuration never reverts: nothing whose revision is not above the current
// one is ever taken, whether it comes from the ledger or from a peer.
//
// A process must also know how old its knowledge may be. The ledger's leader
// proves that a revision was the newest at some moment; the proof is passed on
// with its age. Whoever holds that revision or a later one was current at that
// moment. Ages are counted back from the moment at which the subscriber asked,
// so time spent on the way or in a frozen process only makes a proof look older.

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// minHistoryBytes is the size of encoded deltas that is always kept.
const minHistoryBytes = 64 << 10

// never is the age of a proof that was never given.
const never = -1

// update carries revisions from one feed to another.
type update struct {
	Revision  uint64   `msgpack:"revision"` // the sender's own
	AgeMicros int64    `msgpack:"age"`      // age of the proof that it was the newest, or never
	Snapshot  []byte   `msgpack:"snapshot"` // encoded set, or empty
	Deltas    [][]byte `msgpack:"deltas"`   // encoded deltas, oldest first
	Sum       uint64   `msgpack:"sum"`      // checksum of the sender's set
}

// ForkError says that two processes hold different sets under one revision,
// which the ledger never lets happen. Neither is replaced.
type ForkError struct{ Revision uint64 }

// Error implements error.
func (e *ForkError) Error() string {
	return fmt.Sprintf("peer holds another set under revision %d", e.Revision)
}

type historyEntry struct {
	from, to uint64
	data     []byte
}

// feedState is the current set, the deltas that led to it and its proof.
type feedState struct {
	set          *Set // nil before the first
	sum          uint64
	snapshot     []byte // encoded set
	history      []historyEntry
	historyBytes int
	proven       time.Time
}

func (f *feedState) revision() uint64 {
	if f.set == nil {
		return 0
	}
	return f.set.Revision()
}

// offer takes s if it is newer than the current set, and reports whether it was.
func (f *feedState) offer(s *Set) (bool, error) {
	if s.Revision() < f.revision() || s.Revision() == 0 {
		return false, nil
	}
	sum, err := s.Sum()
	if err != nil {
		return false, err
	}
	if s.Revision() == f.revision() {
		return false, f.compare(s.Revision(), sum)
	}
	return true, f.replace(s)
}

// compare checks that a peer at the same revision holds the same set.
func (f *feedState) compare(revision, sum uint64) error {
	if revision == f.revision() && revision != 0 && sum != f.sum {
		return &ForkError{revision}
	}
	return nil
}

// replace makes s, which is newer, the current set.
func (f *feedState) replace(s *Set) error {
	snapshot, err := s.Encode()
	if err != nil {
		return err
	}
	sum, err := s.Sum()
	if err != nil {
		return err
	}
	if f.set != nil {
		if err := f.remember(s); err != nil {
			return err
		}
	}
	f.set, f.snapshot, f.sum = s, snapshot, sum
	f.trim()
	return nil
}

// remember adds the delta from the current set to s to the history.
func (f *feedState) remember(s *Set) error {
	d, err := NewDelta(f.set, s)
	if err != nil {
		return err
	}
	data, err := d.encode()
	if err != nil {
		return err
	}
	f.history = append(f.history, historyEntry{d.From, d.To, data})
	f.historyBytes += len(data)
	return nil
}

// trim drops the oldest deltas beyond the size of a snapshot: sending one is
// cheaper from there on.
func (f *feedState) trim() {
	limit := max(minHistoryBytes, len(f.snapshot))
	drop := 0
	for f.historyBytes > limit {
		f.historyBytes -= len(f.history[drop].data)
		drop++
	}
	f.history = slices.Delete(f.history, 0, drop)
}

// since returns what a subscriber at revision lacks.
func (f *feedState) since(revision uint64, now time.Time) update {
	u := update{Revision: f.revision(), Sum: f.sum, AgeMicros: f.age(now)}
	if revision >= u.Revision {
		return u
	}
	i := slices.IndexFunc(f.history, func(h historyEntry) bool { return h.from == revision })
	if i < 0 {
		u.Snapshot = f.snapshot
		return u
	}
	for _, h := range f.history[i:] {
		u.Deltas = append(u.Deltas, h.data)
	}
	return u
}

func (f *feedState) age(now time.Time) int64 {
	if f.proven.IsZero() {
		return never
	}
	return max(0, now.Sub(f.proven).Microseconds())
}

// take applies an update and returns the sets that became current, in order. An
// error is a *DeltaError if the update does not continue the current set; the
// subscriber then asks again.
func (f *feedState) take(u update) ([]*Set, error) {
	if len(u.Snapshot) > 0 {
		return f.takeSnapshot(u)
	}
	var sets []*Set
	for _, data := range u.Deltas {
		next, err := f.takeDelta(data)
		if err != nil {
			return sets, err
		}
		if next != nil {
			sets = append(sets, next)
		}
	}
	return sets, f.compare(u.Revision, u.Sum)
}

func (f *feedState) takeSnapshot(u update) ([]*Set, error) {
	s, err := Decode(u.Snapshot)
	if err != nil {
		return nil, err
	}
	newer, err := f.offer(s)
	if !newer || err != nil {
		return nil, err
	}
	return []*Set{s}, nil
}

// takeDelta returns the new current set, or nil if the delta is an old one.
func (f *feedState) takeDelta(data []byte) (*Set, error) {
	d, err := decodeDelta(data)
	if err != nil || d.To <= f.revision() {
		return nil, err
	}
	if f.set == nil {
		return nil, &DeltaError{0, d.From, d.To, "there is no set yet"}
	}
	next, err := f.set.Apply(d)
	if err != nil {
		return nil, err
	}
	return next, f.replace(next)
}

// prove notes that revision was the newest at a moment.
func (f *feedState) prove(revision uint64, at time.Time) {
	if f.revision() >= revision && at.After(f.proven) {
		f.proven = at
	}
}

// proveFrom notes the proof that came with the answer to a question asked at a
// moment.
func (f *feedState) proveFrom(u update, asked time.Time) {
	if u.AgeMicros != never {
		f.prove(u.Revision, asked.Add(-time.Duration(u.AgeMicros)*time.Microsecond))
	}
}

// needsSnapshot reports whether err says that a delta did not fit the current set.
func needsSnapshot(err error) bool {
	var bad *DeltaError
	return errors.As(err, &bad)
}
