package stock

import (
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// BenchmarkPlace is one round at 210 models and 1,600 workers whose memory is full,
// with demand that has shifted and one worker in 29 come back empty.
func BenchmarkPlace(b *testing.B) {
	f := newTestFleet(1600, 210, 6000)
	f.Places[0].LoadsAtOnce = 10000
	f.settle(&Static{}, 5)
	f.Places[0].LoadsAtOnce = 64
	for i := 0; i < len(f.VMs); i += 29 {
		f.VMs[i].Replicas = nil
		f.VMs[i].ReservedMiB = 0
	}
	for i := range f.Models {
		f.Models[i] = f.Models[i].WithMinCopies(20)
	}
	for i, m := range f.Models {
		f.Demand[m.Name] = bamboostep.Demand{Name: m.Name, Rate: float64(i), Work: float64(i * 20), LateShare: 0.2}
	}
	moves := 0
	b.ResetTimer()
	for range b.N {
		moves = len((&Placer{}).Place(time.Unix(100, 0), f.Fleet))
	}
	b.ReportMetric(float64(moves), "moves/op")
}
