package stock

import (
	"fmt"
	"testing"
	"time"

	"github.com/bamboostep/bamboostep"
)

// BenchmarkPlace measures one round on workers with full memory, after demand has
// shifted and one worker in 29 has restarted empty. The largest size is the design
// target; the others show how the cost grows with models and with workers.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ models, workers int }{{210, 1600}, {105, 1600}, {210, 800}, {105, 800}} {
		b.Run(fmt.Sprintf("models=%d/workers=%d", size.models, size.workers), func(b *testing.B) {
			f := shiftedFleet(size.models, size.workers)
			moves := 0
			for b.Loop() {
				moves = len((&Placer{}).Place(time.Unix(100, 0), f.Fleet))
			}
			b.ReportMetric(float64(moves), "moves/op")
		})
	}
}

func shiftedFleet(models, workers int) *testFleet {
	const loadsAtOnce = 64
	f := newTestFleet(workers, models, 6000)
	f.Places[0].LoadsAtOnce = workers * models
	f.settle(&Static{}, 5)
	f.Places[0].LoadsAtOnce = loadsAtOnce
	for i := 0; i < len(f.VMs); i += 29 {
		f.VMs[i].Replicas = nil
		f.VMs[i].ReservedMiB = 0
	}
	for i, m := range f.Models {
		f.Models[i] = m.WithMinCopies(workers / 80)
		f.Demand[m.Name] = bamboostep.Demand{Name: m.Name, RequestRate: float64(i), TokenRate: float64(i * 20), LateShare: 0.2}
	}
	return f
}
