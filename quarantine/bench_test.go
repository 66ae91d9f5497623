package quarantine

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkEvaluate measures the cost per request with an empty table and with a full one.
func BenchmarkEvaluate(b *testing.B) {
	for name, suspects := range map[string]int{"none": 0, "many": maxRecords} {
		b.Run(name, func(b *testing.B) {
			table := fullTable(suspects)
			b.ReportAllocs()
			for i := range b.N {
				table.Evaluate(baseTime, uint64(i%(2*maxRecords)))
			}
		})
	}
}

// BenchmarkCrash measures merging one crash with as many requests as an engine runs into a
// full table.
func BenchmarkCrash(b *testing.B) {
	const members = 96
	table := fullTable(maxRecords)
	for i := range b.N {
		at := baseTime.Add(time.Duration(i+10) * 2 * time.Second).UnixMilli()
		records := make([]Record, members)
		for m := range records {
			records[m] = Record{Fingerprint: uint64(m), Crashes: []Crash{{Address: "a", At: at}}}
		}
		table.Merge(baseTime, records)
	}
}

// BenchmarkMemory reports the heap bytes per record.
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

// fullTable returns a table of suspects, each with two of forty crashes.
func fullTable(suspects int) *Table {
	t := &Table{}
	records := make([]Record, suspects)
	for i := range records {
		records[i] = crashRecord(uint64(i), string(rune('a'+i%40)), string(rune('a'+(i+1)%40)))
	}
	t.Merge(baseTime, records)
	return t
}
