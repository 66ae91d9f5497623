package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRound times one round of turns in which no request finds room.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{1, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newTestEntry(func(*Request) bool { return false })
			for i := range n {
				e.Enter(start, waitingSince(start, i%3, fmt.Sprint(i%16)))
			}
			b.ReportAllocs()
			for i := range b.N {
				e.room(start.Add(time.Duration(i) * time.Microsecond))
			}
		})
	}
}
