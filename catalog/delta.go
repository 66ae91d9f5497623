package catalog

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/wire"
)

// Delta is what changes from one revision to a later one. It carries the whole
// of each object that was added or changed, and a checksum of the result, so
// that applying it to a set that merely claims the right revision is noticed.
type Delta struct {
	From    uint64  `msgpack:"from"`
	To      uint64  `msgpack:"to"`
	Set     Objects `msgpack:"set"` // objects added or changed
	Removed Names   `msgpack:"removed"`
	Sum     uint64  `msgpack:"sum"` // checksum of the set at To
}

// Names are names of objects, by kind.
type Names struct {
	Places   []string `msgpack:"places"`
	Versions []string `msgpack:"versions"`
	Models   []string `msgpack:"models"`
	Adapters []string `msgpack:"adapters"`
	Services []string `msgpack:"services"`
}

// DeltaError says that a delta does not belong to the set it was applied to.
type DeltaError struct {
	Revision uint64 // of the set
	From, To uint64 // of the delta
	Issue    string
}

// Error implements error.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from revision %d to %d does not apply to revision %d: %s", e.From, e.To, e.Revision, e.Issue)
}

// Sum returns a checksum of the revision and all objects of s.
func (s *Set) Sum() (uint64, error) {
	data, err := s.Encode()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}

// NewDelta returns what changes from a to b.
func NewDelta(a, b *Set) (Delta, error) {
	sum, err := b.Sum()
	if err != nil {
		return Delta{}, err
	}
	d := Delta{From: a.revision, To: b.revision, Sum: sum}
	for _, c := range Diff(a, b) {
		d.add(c, b)
	}
	return d, nil
}

func (d *Delta) add(c Change, b *Set) {
	if c.Action == Removed {
		list := d.Removed.of(c.Kind)
		*list = append(*list, c.Name)
		return
	}
	switch c.Kind {
	case KindPlace:
		d.Set.Places = append(d.Set.Places, b.places[c.Name])
	case KindVersion:
		d.Set.Versions = append(d.Set.Versions, b.versions[c.Name])
	case KindModel:
		d.Set.Models = append(d.Set.Models, b.models[c.Name])
	case KindAdapter:
		d.Set.Adapters = append(d.Set.Adapters, b.adapters[c.Name])
	case KindService:
		d.Set.Services = append(d.Set.Services, b.services[c.Name])
	}
}

func (n *Names) of(kind Kind) *[]string {
	switch kind {
	case KindPlace:
		return &n.Places
	case KindVersion:
		return &n.Versions
	case KindModel:
		return &n.Models
	case KindAdapter:
		return &n.Adapters
	}
	return &n.Services
}

// Apply returns s after the change d. The error is a *DeltaError if d does not
// begin at s.
func (s *Set) Apply(d Delta) (*Set, error) {
	if d.From != s.revision || d.To <= d.From {
		return nil, &DeltaError{s.revision, d.From, d.To, "it begins elsewhere"}
	}
	old := s.objects
	next := New(Objects{
		Places:   applyList(old.Places, d.Set.Places, d.Removed.Places, placeName),
		Versions: applyList(old.Versions, d.Set.Versions, d.Removed.Versions, versionName),
		Models:   applyList(old.Models, d.Set.Models, d.Removed.Models, modelName),
		Adapters: applyList(old.Adapters, d.Set.Adapters, d.Removed.Adapters, adapterName),
		Services: applyList(old.Services, d.Set.Services, d.Removed.Services, serviceName),
	}).WithRevision(d.To)
	sum, err := next.Sum()
	if err != nil {
		return nil, err
	}
	if sum != d.Sum {
		return nil, &DeltaError{s.revision, d.From, d.To, "its result has another checksum"}
	}
	return next, nil
}

func applyList[T any](old, set []T, removed []string, name func(T) string) []T {
	gone := make(map[string]bool, len(set)+len(removed))
	for _, v := range set {
		gone[name(v)] = true
	}
	for _, n := range removed {
		gone[n] = true
	}
	kept := slices.DeleteFunc(slices.Clone(old), func(v T) bool { return gone[name(v)] })
	return append(kept, set...)
}

// encode returns d in the form that decodeDelta reads.
func (d Delta) encode() ([]byte, error) { return msgpack.Marshal(d) }

func decodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := wire.CheckEncoding(data); err != nil {
		return Delta{}, fmt.Errorf("encoded delta: %w", err)
	}
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return Delta{}, fmt.Errorf("encoded delta: %w", err)
	}
	return d, nil
}
