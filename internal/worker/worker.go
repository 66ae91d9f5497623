// Package worker runs short tasks in goroutines that are used again.
//
// A new goroutine starts with a small stack, which is copied each time that it must
// grow. A task that encodes a message and sends a request grows it several times
// over, on the path of the request. A goroutine that has run such a task has the
// stack already.
package worker

import "time"

const idleTime = 5 * time.Second // before an idle worker ends

// Pool runs tasks. The zero value is not usable; call NewPool.
type Pool struct{ tasks chan func() }

// NewPool returns a pool without workers. It starts one whenever all are busy.
func NewPool() *Pool { return &Pool{make(chan func())} }

// Go runs task in an idle worker or a new one. It does not wait.
func (p *Pool) Go(task func()) {
	select {
	case p.tasks <- task:
	default:
		go p.work(task)
	}
}

func (p *Pool) work(task func()) {
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		task()
		idle.Reset(idleTime)
		select {
		case task = <-p.tasks:
		case <-idle.C:
			return
		}
	}
}
