package quarantine

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkJudge is what a request costs at an entry that knows of no suspect, and at one
// where many are known.
func BenchmarkJudge(b *testing.B) {
	for name, suspects := range map[string]int{"none": 0, "many": maxRecords} {
		b.Run(name, func(b *testing.B) {
			table := fullTable(suspects)
			b.ReportAllocs()
			for i := range b.N {
				table.Judge(noon, uint64(i%(2*maxRecords)))
			}
		})
	}
}

// BenchmarkCrash is one crash with as many members as an engine runs, at a full voter.
func BenchmarkCrash(b *testing.B) {
	const members = 96
	table := fullTable(maxRecords)
	for i := range b.N {
		at := noon.Add(time.Duration(i+10) * 2 * time.Second).UnixMilli()
		records := make([]Record, members)
		for m := range records {
			records[m] = Record{Content: uint64(m), Crashes: []Crash{{Address: "a", At: at}}}
		}
		table.Note(noon, records)
	}
}

// BenchmarkMemory tells how many bytes a record takes.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := fullTable(maxRecords)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
		runtime.KeepAlive(table)
	}
}

// fullTable returns a table with suspects that were at two of a few crashes each.
func fullTable(suspects int) *Table {
	t := &Table{}
	records := make([]Record, suspects)
	for i := range records {
		records[i] = at(uint64(i), string(rune('a'+i%40)), string(rune('a'+(i+1)%40)))
	}
	t.Note(noon, records)
	return t
}
