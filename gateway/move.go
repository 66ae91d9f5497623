package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/fleet"
	"github.com/bamboostep/bamboostep/quota"
)

// Streams that an engine cannot finish before it shuts down are moved to another engine.
//
// Some engines shut down at short notice and announce the time. A stream that is still
// running shortly before that is stopped, its KV cache is moved to another engine that
// holds the model, and the request resumes there after the last event that the caller
// has. This continues the same run, so it is allowed on every route.
//
// The engine ends the stream as soon as it is told to stop, while the cache is still
// being transferred. The reader of the stream sees it end early, and must wait for the
// move to finish before it can tell a moved stream from a broken one.

const (
	moveLeadTime     = 600 * time.Millisecond // before the engine shuts down; nearly every stream that still runs then would be cut off
	moveTimeout      = 500 * time.Millisecond
	cacheDropTimeout = time.Second
)

// streamMove moves one stream from its engine to another.
type streamMove struct {
	x           *exchange
	source      *fleet.Assignment
	streamEnded chan struct{} // closed by finish, when the stream has ended
	finished    chan struct{} // closed when run has returned

	// valid once finished is closed
	target         *fleet.Assignment // nil if the stream was not moved
	permit         quota.Permit      // for the request at target
	cache          bamboostep.MovedCache
	mayHaveStopped bool // source was told to stop the run, and did not say that it has no such run
}

// watchDeparture starts watching for a shutdown of the engine that runs a stream. Call
// finish once the stream has ended.
func (x *exchange) watchDeparture(ctx context.Context, run *fleet.Assignment) *streamMove {
	m := &streamMove{x: x, source: run, streamEnded: make(chan struct{}), finished: make(chan struct{})}
	mover, ok := x.g.Dialect.(bamboostep.CacheMover)
	if !ok || x.service.Engine == nil {
		close(m.finished)
		return m
	}
	go m.run(ctx, mover)
	return m
}

// finish waits until a move in progress is over, and reports whether the stream can resume
// on another engine.
func (m *streamMove) finish() bool {
	close(m.streamEnded)
	<-m.finished
	return m.target != nil
}

// run moves the stream if it is still running moveLeadTime before its engine shuts down.
func (m *streamMove) run(ctx context.Context, mover bamboostep.CacheMover) {
	defer close(m.finished)
	select {
	case <-m.streamEnded:
		return
	case <-m.source.DepartureKnown():
	}
	t := time.NewTimer(time.Until(m.source.DepartsAt()) - moveLeadTime)
	defer t.Stop()
	select {
	case <-m.streamEnded:
		return
	case <-t.C:
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	m.moveStream(ctx, mover)
}

// moveStream selects a target engine and moves the cache there, if there is such an engine and
// the retry budget allows another attempt.
func (m *streamMove) moveStream(ctx context.Context, mover bamboostep.CacheMover) {
	x := m.x
	to, permit, err := m.chooseTarget(ctx)
	if err != nil {
		x.recordEvent("stream_not_moved", m.source.Address, err.Error())
		return
	}
	cache, err := m.moveCache(ctx, mover, to)
	if err != nil {
		to.End(fleet.EndedCanceled, time.Now())
		x.g.ServerLimits.Refund(permit)
		x.recordEvent("stream_not_moved", m.source.Address, err.Error())
		return
	}
	x.recordEvent("stream_moved", to.Address, "from "+m.source.Address+", which shuts down in "+formatMilliseconds(time.Until(m.source.DepartsAt())))
	m.target, m.permit, m.cache = to, permit, cache
}

// chooseTarget selects an engine to move to, and takes a permit for the request there.
func (m *streamMove) chooseTarget(ctx context.Context) (*fleet.Assignment, quota.Permit, error) {
	x := m.x
	version := m.source.ListedVersion()
	if version == "" {
		return nil, quota.Permit{}, errVersionUnknown
	}
	exclude := []string{m.source.Address}
	for {
		now := time.Now()
		criteria := x.serverCriteria(now)
		criteria.Version = version
		criteria.Exclude = slices.Concat(criteria.Exclude, exclude)
		to, err := x.g.Fleet.Choose(now, criteria)
		if err != nil {
			return nil, quota.Permit{}, err
		}
		p := x.g.ServerLimits.Take(ctx, serverID(to), arrivals(to), 0)
		if p.Granted {
			return to, p, nil
		}
		to.Defer(p.Wait, time.Now())
		exclude = append(exclude, to.Address)
	}
}

// moveCache charges the retry budget, loads the adapter at the target if needed and moves
// the KV cache there.
func (m *streamMove) moveCache(ctx context.Context, mover bamboostep.CacheMover, to *fleet.Assignment) (bamboostep.MovedCache, error) {
	x := m.x
	if !x.g.RetryBudget(x.service.Name).TakeRetry(time.Now()) {
		return bamboostep.MovedCache{}, errRetryBudgetEmpty
	}
	if !to.AdapterReady {
		if err := x.g.Adapters.LoadAdapter(ctx, to.Address, x.modelName()); err != nil {
			return bamboostep.MovedCache{}, err
		}
	}
	x.g.ServerLimits.Charge(serverID(m.source))
	cache, err := mover.StopAndMove(ctx, m.source.Address, to.Address, x.call.ID)
	var refused *bamboostep.MoveError
	m.mayHaveStopped = !errors.As(err, &refused) || refused.Status != http.StatusNotFound
	return cache, err
}

// discard frees a moved cache that will not be used, in the background.
func (m *streamMove) discard() {
	m.target.End(fleet.EndedCanceled, time.Now())
	m.x.g.ServerLimits.Refund(m.permit)
	mover, ok := m.x.g.Dialect.(bamboostep.CacheMover)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cacheDropTimeout)
		defer cancel()
		m.x.g.ServerLimits.Charge(serverID(m.source))
		if err := mover.DropCache(ctx, m.cache); err != nil {
			m.x.recordEvent("cache_not_dropped", m.cache.Source, err.Error())
		}
	}()
}
