package catalog

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bamboostep/bamboostep"
)

// fullSize returns a set of the size to design for: 210 models, 800 adapters.
func fullSize() *Set {
	o := Objects{Places: []bamboostep.Place{{Name: "place", Kind: bamboostep.EnginePlace, Workers: 1600, MemoryMiB: 81920}}}
	for i := range 210 {
		name := fmt.Sprintf("model-with-a-name-%03d", i)
		o.Versions = append(o.Versions, bamboostep.Version{Name: name + "-v1", WeightsMiB: 26000})
		o.Models = append(o.Models, bamboostep.Model{Name: name, Version: name + "-v1", Place: "place", CacheMiB: 8000,
			MinCopies: 2, Class: bamboostep.ClassQuote, FirstTokenMS: 390, BetweenTokensMS: 71})
	}
	for i := range 800 {
		name := fmt.Sprintf("adapter-with-a-name-%03d", i)
		o.Adapters = append(o.Adapters, bamboostep.Adapter{Name: name, Model: o.Models[i%210].Name, Version: name + "-v1", WeightsMiB: 200})
	}
	return New(o).WithRevision(1)
}

// oneChange returns s with one model changed, as the next revision.
func oneChange(s *Set) *Set {
	o := s.Objects()
	models := append([]bamboostep.Model(nil), o.Models...)
	models[100] = models[100].WithMinCopies(models[100].MinCopies%5 + 1)
	o.Models = models
	return New(o).WithRevision(s.Revision() + 1)
}

func BenchmarkEncodeSet(b *testing.B) {
	s := fullSize()
	b.ReportAllocs()
	for b.Loop() {
		data, err := s.WithRevision(2).Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "encoded_bytes")
	}
}

func BenchmarkDecodeSet(b *testing.B) {
	data, err := fullSize().Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

// The cost of one change in a process that takes it and passes it on: decoding
// and applying the delta, and keeping it for others.
func BenchmarkTakeDelta(b *testing.B) {
	f, g := new(feedState), new(feedState)
	s := fullSize()
	for _, state := range []*feedState{f, g} {
		if _, err := state.offer(s); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s = oneChange(s)
		if _, err := f.offer(s); err != nil {
			b.Fatal(err)
		}
		u := f.since(s.Revision()-1, f.proven)
		b.StartTimer()
		if _, err := g.take(u); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(u.Deltas[0])), "delta_bytes")
	}
}

func BenchmarkCheckSet(b *testing.B) {
	o := fullSize().Objects()
	b.ReportAllocs()
	for b.Loop() {
		if err := Check(o); err != nil {
			b.Fatal(err)
		}
	}
}

// The memory that one set holds, measured as the heap's growth over many.
func BenchmarkSetMemory(b *testing.B) {
	data, err := fullSize().Encode()
	if err != nil {
		b.Fatal(err)
	}
	const sets = 50
	for b.Loop() {
		before := heapBytes()
		kept := make([]*Set, sets)
		for i := range kept {
			if kept[i], err = Decode(data); err != nil {
				b.Fatal(err)
			}
		}
		perSet := float64(heapBytes()-before) / sets
		b.ReportMetric(perSet, "bytes/set")
		b.ReportMetric(perSet/float64(len(kept[0].objects.Models)+len(kept[0].objects.Adapters)+len(kept[0].objects.Versions)), "bytes/object")
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
