package wire_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bamboostep/bamboostep/wire"
)

// What the library encodes is accepted, and every cut of it is refused.
func TestCheckEncodingOfWholeValues(t *testing.T) {
	tests := map[string]any{
		"nil":        nil,
		"small":      1,
		"negative":   -7,
		"integers":   []int64{0, -1, 127, 128, -128, 255, 256, 65535, 65536, math.MaxInt64, math.MinInt64},
		"unsigned":   []uint64{0, 255, 65535, math.MaxUint64},
		"floats":     []any{float32(1.5), 2.5},
		"bools":      []bool{true, false},
		"strings":    []string{"", "short", strings.Repeat("x", 40), strings.Repeat("x", 300), strings.Repeat("x", 70000)},
		"bytes":      [][]byte{nil, {}, make([]byte, 200), make([]byte, 300), make([]byte, 70000)},
		"time":       time.Unix(1, 2),
		"map":        map[string][]int{"a": {1}, "b": nil},
		"long map":   longMap(20),
		"huge map":   longMap(70000),
		"long list":  make([]int, 300),
		"huge list":  make([]int, 70000),
		"structures": []struct{ A, B any }{{1, "x"}, {nil, []int{1}}},
	}
	for name, v := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := msgpack.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			if err := wire.CheckEncoding(data); err != nil {
				t.Errorf("got error %v, want none", err)
			}
			for cut := 0; cut < len(data); cut += 1 + len(data)/50 {
				if wire.CheckEncoding(data[:cut]) == nil {
					t.Errorf("%d of %d bytes were accepted", cut, len(data))
				}
			}
			if wire.CheckEncoding(append(data, 0)) == nil {
				t.Error("a byte too many was accepted")
			}
		})
	}
}

func longMap(n int) map[int]int {
	m := make(map[int]int)
	for i := range n {
		m[i] = i
	}
	return m
}

// A few damaged bytes must not cost memory or stack in proportion to the lengths
// that they announce.
func TestCheckEncodingRefusesDamage(t *testing.T) {
	tests := map[string][]byte{
		"list of four billion":  {0xdd, 0xff, 0xff, 0xff, 0xff, 0x01},
		"map of four billion":   {0xdf, 0xff, 0xff, 0xff, 0xff, 0x01},
		"bytes of four billion": {0xc6, 0xff, 0xff, 0xff, 0xff, 0x01},
		"nested a million deep": append(bytes.Repeat([]byte{0x91}, 1<<20), 0xc0),
		"unused type":           {0xc1},
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if err := wire.CheckEncoding(data); err == nil {
				t.Error("got no error")
			}
		})
	}
}

// What the check accepts, the library can skip, and it ends at the same byte.
func FuzzCheckEncoding(f *testing.F) {
	f.Add([]byte{0x93, 0x01, 0xa1, 'x', 0xc0})
	f.Add([]byte{0xdd, 0xc5, 0x01, 0x03, 0x85, 0xa4})
	f.Fuzz(func(t *testing.T, data []byte) {
		if wire.CheckEncoding(data) != nil {
			return
		}
		r := bytes.NewReader(data)
		if err := msgpack.NewDecoder(r).Skip(); err != nil {
			t.Fatalf("library: %v", err)
		}
		if r.Len() > 0 {
			t.Fatalf("library left %d bytes", r.Len())
		}
	})
}

func BenchmarkCheckEncoding(b *testing.B) {
	data, err := msgpack.Marshal(map[string]any{"attempt": strings.Repeat("x", 36), "offset": 1234567, "data": make([]byte, 200), "last": false})
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if err := wire.CheckEncoding(data); err != nil {
			b.Fatal(err)
		}
	}
}
