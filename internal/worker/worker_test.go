package worker_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bamboostep/bamboostep/internal/worker"
)

// Every task runs once, and at once, though the ones before it have not ended.
func TestTasksRunAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 50
		p := worker.NewPool()
		var ran atomic.Int32
		for range 3 {
			release := make(chan struct{})
			var all sync.WaitGroup
			ran.Store(0)
			for range tasks {
				all.Add(1)
				p.Go(func() {
					defer all.Done()
					ran.Add(1)
					<-release
				})
			}
			synctest.Wait()
			if got, want := ran.Load(), int32(tasks); got != want {
				t.Errorf("%d tasks run, want %d", got, want)
			}
			close(release)
			all.Wait()
			synctest.Wait()
		}
		time.Sleep(time.Minute) // until the workers have ended, as the bubble requires
	})
}

// BenchmarkGo is one task with the stack that an attempt takes.
func BenchmarkGo(b *testing.B) {
	p := worker.NewPool()
	done := make(chan byte)
	for b.Loop() {
		p.Go(func() { done <- deep(40) })
		<-done
	}
}

//go:noinline
func deep(n int) byte {
	var frame [256]byte
	if n > 0 {
		frame[n] = deep(n - 1)
	}
	return frame[n]
}
