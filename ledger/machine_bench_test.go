package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// BenchmarkSnapshot measures the encoding of a machine with 10000 settled claims
// of a small answer each, which the voter's loop waits for at a checkpoint.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	m := newMachine()
	for i := range 10000 {
		name := fmt.Sprint("order-", i)
		m.claims.claim(bamboostep.Claim{Name: name, Attempt: "x", Retention: time.Hour}, 0)
		m.claims.settle(*settlementOf(name, "x", bamboostep.Ran, string(make([]byte, 200))).Settle, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := 0
	for b.Loop() {
		data, err := m.encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/10000, "bytes/claim")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/10000, "heap_bytes/claim")
}
