package catalog

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/bamboostep/bamboostep"
)

// drawObjects draws a few objects of every kind, their names and fields from
// small ranges, so that two sets often share some.
func drawObjects(t *rapid.T, label string) Objects {
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.ID[string])
	size := rapid.Int64Range(1, 2)
	var o Objects
	for _, name := range names.Draw(t, label+" places") {
		domains := rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 1).Draw(t, "domains")
		o.Places = append(o.Places, bamboostep.Place{Name: name, MemoryMiB: size.Draw(t, "size"), FailureDomains: domains})
	}
	for _, name := range names.Draw(t, label+" versions") {
		o.Versions = append(o.Versions, bamboostep.Version{Name: name, WeightsMiB: size.Draw(t, "size")})
	}
	for _, name := range names.Draw(t, label+" models") {
		o.Models = append(o.Models, bamboostep.Model{Name: name, CacheMiB: size.Draw(t, "size")})
	}
	for _, name := range names.Draw(t, label+" adapters") {
		o.Adapters = append(o.Adapters, bamboostep.Adapter{Name: name, WeightsMiB: size.Draw(t, "size")})
	}
	for _, name := range names.Draw(t, label+" services") {
		o.Services = append(o.Services, bamboostep.Service{Name: name, AnswerMS: size.Draw(t, "size")})
	}
	return o
}

// Whatever two sets hold, the delta between them, encoded and decoded, leads from
// one to the other, and from no other set.
func TestDeltaLeadsToItsSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(drawObjects(t, "old")).WithRevision(4)
		b := New(drawObjects(t, "new")).WithRevision(9)
		d, err := NewDelta(a, b)
		if err != nil {
			t.Fatal(err)
		}
		data, err := d.encode()
		if err != nil {
			t.Fatal(err)
		}
		if d, err = decodeDelta(data); err != nil {
			t.Fatal(err)
		}
		got, err := a.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(b, got); len(changes) > 0 || got.Revision() != b.Revision() {
			t.Fatalf("got revision %d with changes %v, want revision 9 with none", got.Revision(), changes)
		}
		other := New(drawObjects(t, "other")).WithRevision(4)
		if got, err := other.Apply(d); err == nil && len(Diff(b, got)) > 0 {
			t.Fatalf("the delta led from another set to %v", Diff(b, got))
		}
	})
}
