package gateway

import (
	"context"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
)

// Streams that an engine cannot end before it goes move to another one.
//
// Some engines go at short notice, and say when. A stream that still runs shortly
// before is stopped there, its KV cache goes to another engine that holds the model, and
// the request goes on there after the last event that the caller has. It is the same
// run still, so it is allowed on every route.
//
// The hard point is that the engine ends the stream as soon as it is told to stop, while
// the cache is still on its way. Whoever reads the stream meets an unfinished one, and
// must wait for the move to end before it can tell what that means.

const (
	moveLead    = 600 * time.Millisecond // before the engine goes, when nearly all that still runs would be cut off
	moveTimeout = 500 * time.Millisecond
	dropTimeout = time.Second
)

// move takes one stream from its engine to another.
type move struct {
	x    *exchange
	from *fleet.Run
	stop chan struct{} // closed when the stream has ended
	done chan struct{} // closed when nothing more happens

	to    *fleet.Run // nil if it was not moved; valid once done is closed
	cache bamboostep.MovedCache
}

// followDeparture begins to watch whether the engine of a stream goes. Call end once
// the stream has ended.
func (x *exchange) followDeparture(ctx context.Context, run *fleet.Run) *move {
	m := &move{x: x, from: run, stop: make(chan struct{}), done: make(chan struct{})}
	mover, ok := x.g.Dialect.(bamboostep.CacheMover)
	if !ok || x.service.Engine == nil {
		close(m.done)
		return m
	}
	go m.run(ctx, mover)
	return m
}

// end waits until the move is over, and reports whether the stream can go on elsewhere.
func (m *move) end() bool {
	close(m.stop)
	<-m.done
	return m.to != nil
}

func (m *move) run(ctx context.Context, mover bamboostep.CacheMover) {
	defer close(m.done)
	select {
	case <-m.stop:
		return
	case <-m.from.Leaves():
	}
	t := time.NewTimer(time.Until(m.from.GoesAt()) - moveLead)
	defer t.Stop()
	select {
	case <-m.stop:
		return
	case <-t.C:
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	m.carryOut(ctx, mover)
}

// carryOut moves the stream, if there is an engine for it and the retry budget allows
// one more sending.
func (m *move) carryOut(ctx context.Context, mover bamboostep.CacheMover) {
	x, now := m.x, time.Now()
	want := x.want(now)
	want.Avoid = append([]string{m.from.Address}, want.Avoid...)
	to, err := x.g.Fleet.Choose(now, want)
	if err != nil {
		x.record("stream_not_moved", m.from.Address, err.Error())
		return
	}
	cache, err := m.moveTo(ctx, mover, to)
	if err != nil {
		to.End(fleet.EndedByUs, time.Now())
		x.record("stream_not_moved", m.from.Address, err.Error())
		return
	}
	x.record("stream_moved", to.Address, "from "+m.from.Address+", which goes in "+milliseconds(time.Until(m.from.GoesAt())))
	m.to, m.cache = to, cache
}

func (m *move) moveTo(ctx context.Context, mover bamboostep.CacheMover, to *fleet.Run) (bamboostep.MovedCache, error) {
	x := m.x
	if !x.g.Budget(x.service.Name).Retry(time.Now()) {
		return bamboostep.MovedCache{}, errBudget
	}
	if !to.Adapter {
		if err := x.g.Adapters.LoadAdapter(ctx, to.Address, x.name()); err != nil {
			return bamboostep.MovedCache{}, err
		}
	}
	return mover.StopAndMove(ctx, m.from.Address, to.Address, x.call.ID)
}

// drop frees a moved cache that will not be used.
func (m *move) drop() {
	m.to.End(fleet.EndedByUs, time.Now())
	mover, ok := m.x.g.Dialect.(bamboostep.CacheMover)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		if err := mover.DropCache(ctx, m.cache); err != nil {
			m.x.record("cache_not_dropped", m.cache.Source, err.Error())
		}
	}()
}
