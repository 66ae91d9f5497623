package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bamboostep/bamboostep/catalog"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// How the parts of an entry begin, and how they end without cutting off a request.

// Run runs all parts until ctx ends, then drains: readiness goes off, running
// requests finish, and only then do the connections to agents and other entries
// end.
func (e *entry) Run(ctx context.Context) error {
	if err := e.restoreSet(); err != nil {
		return err
	}
	wireListener, err := net.Listen("tcp", e.cfg.Listen)
	if err != nil {
		return err
	}
	defer e.recorder.Flush()
	parts, stopParts := context.WithCancel(context.Background())
	defer stopParts()
	g, parts := errgroup.WithContext(parts)
	listener := &wire.Listener{Node: e.node, Net: wireListener, Handler: e.mux, Patient: true}
	g.Go(func() error { return ignoreCanceled(listener.Run(parts)) })
	g.Go(func() error { return ignoreCanceled(e.runLedger(parts)) })
	g.Go(func() error { return ignoreCanceled(e.peers.Run(parts)) })
	g.Go(func() error { return ignoreCanceled(e.servers.Run(parts)) })
	g.Go(func() error { return ignoreCanceled(e.placementLoop.Run(parts)) })
	g.Go(func() error { return e.forwardProofs(parts) })
	g.Go(func() error { return e.serveOperators(parts) })
	g.Go(func() error {
		defer stopParts()
		return e.serveCallers(ctx, parts)
	})
	return g.Wait()
}

// restore takes the set that was in force before a restart. A damaged file is
// passed over, since the ledger has the set too.
func (e *entry) restoreSet() error {
	if e.cfg.DataDir == "" {
		return nil
	}
	if err := os.MkdirAll(e.cfg.DataDir, 0o700); err != nil {
		return err
	}
	err := e.feed.Restore()
	var damaged *catalog.FileError
	if errors.As(err, &damaged) {
		e.log.Error("feed_file_damaged", "error", err)
		return nil
	}
	return err
}

// stopped returns err unless it only says that the context ended.
func ignoreCanceled(err error) error {
	if err == context.Canceled {
		return nil
	}
	return err
}

func (e *entry) runLedger(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if e.voter != nil {
		g.Go(func() error { return e.voter.Run(ctx) })
	}
	g.Go(func() error { return e.client.Run(ctx) })
	return g.Wait()
}

// serveCallers serves until ctx ends, the balancer has had time to notice and the
// running requests have finished. It ends early if another part failed.
func (e *entry) serveCallers(ctx, parts context.Context) error {
	closing, closeNow := context.WithCancel(parts)
	defer closeNow()
	stopDrain := context.AfterFunc(ctx, func() {
		e.draining.Store(true)
		e.recorder.Record(timeline.Event{Kind: "draining"})
		time.AfterFunc(e.cfg.DrainDelay.Duration, closeNow)
	})
	defer stopDrain()
	if e.cfg.Callers == "" {
		<-closing.Done()
		return nil
	}
	if !e.waitConfigured(closing) {
		return nil
	}
	nl, err := net.Listen("tcp", e.cfg.Callers)
	if err != nil {
		return err
	}
	e.recorder.Record(timeline.Event{Kind: "serving", Detail: nl.Addr().String()})
	s := &http.Server{
		Handler:           http.HandlerFunc(e.serveCaller),
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          e.log.StandardLog(),
	}
	return daemon.ServeHTTP(closing, nl, s, e.cfg.DrainTimeout.Duration)
}

// waitConfigured waits until a set is in force, and reports whether one is. An
// entry that has just started would refuse every caller, so it does not listen
// yet and leaves them to the others.
func (e *entry) waitConfigured(ctx context.Context) bool {
	select {
	case <-e.configured:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveCaller answers one request. While the entry drains, it asks the caller to
// open its next connection anew, which the balancer then sends elsewhere.
func (e *entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	e.callerHandler.ServeHTTP(w, r)
}
