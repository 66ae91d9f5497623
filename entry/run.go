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

// This file starts the components of an entry and shuts them down without
// interrupting running requests.

// Run runs all components until ctx ends and then drains the entry: it reports not
// ready, lets running requests finish, and only then closes the connections to
// agents and other entries.
func (e *entry) Run(ctx context.Context) error {
	e.cfg.memory().LimitHeap()
	if err := e.restoreSet(); err != nil {
		return err
	}
	wireListener, err := net.Listen("tcp", e.cfg.Listen)
	if err != nil {
		return err
	}
	defer e.recorder.Flush()
	componentsCtx, stopComponents := context.WithCancel(context.Background())
	defer stopComponents()
	g, componentsCtx := errgroup.WithContext(componentsCtx)
	listener := &wire.Listener{Node: e.node, Net: wireListener, Handler: e.mux, Limit: e.cfg.resources().Connections(daemon.EntryPeersPart), Patient: true}
	g.Go(func() error { return ignoreCanceled(listener.Run(componentsCtx)) })
	g.Go(func() error { return ignoreCanceled(e.runLedger(componentsCtx)) })
	g.Go(func() error { return ignoreCanceled(e.peers.Run(componentsCtx)) })
	g.Go(func() error { return ignoreCanceled(e.servers.Run(componentsCtx)) })
	g.Go(func() error { return ignoreCanceled(e.placementLoop.Run(componentsCtx)) })
	g.Go(func() error { return e.forwardProofs(componentsCtx) })
	g.Go(func() error { return e.serveOperators(componentsCtx) })
	g.Go(func() error {
		defer stopComponents()
		return e.serveCallers(ctx, componentsCtx)
	})
	return g.Wait()
}

// restoreSet loads the configuration that was active before a restart. A damaged
// file is only logged, since the ledger holds the configuration too.
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

// ignoreCanceled returns err, or nil if err is context.Canceled.
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

// serveCallers serves callers until ctx ends, the load balancer has had time to
// notice (DrainDelay) and the running requests have finished. It returns early if
// another component fails.
func (e *entry) serveCallers(ctx, componentsCtx context.Context) error {
	servingCtx, stopServing := context.WithCancel(componentsCtx)
	defer stopServing()
	stopDrain := context.AfterFunc(ctx, func() {
		e.draining.Store(true)
		e.recorder.Record(timeline.Event{Kind: "draining"})
		time.AfterFunc(e.cfg.DrainDelay.Duration, stopServing)
	})
	defer stopDrain()
	if e.cfg.Callers == "" {
		<-servingCtx.Done()
		return nil
	}
	if !e.waitConfigured(servingCtx) {
		return nil
	}
	nl, err := net.Listen("tcp", e.cfg.Callers)
	if err != nil {
		return err
	}
	e.recorder.Record(timeline.Event{Kind: "serving", Detail: nl.Addr().String()})
	s := &http.Server{
		Handler:           &daemon.HeadGuard{Memory: e.held, Handler: http.HandlerFunc(e.serveCaller), Refuse: e.callerHandler.refuseHead},
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          e.log.StandardLog(),
	}
	daemon.ResetIncomplete(s)
	daemon.LimitHeader(s, 0)
	return daemon.ServeLimited(servingCtx, nl, s, e.cfg.DrainTimeout.Duration, e.cfg.resources().Connections(daemon.CallersPart))
}

// waitConfigured blocks until a configuration is active, and returns false if ctx
// ends first. An entry without a configuration would refuse every request, so it
// does not listen yet and leaves callers to the other entries.
func (e *entry) waitConfigured(ctx context.Context) bool {
	select {
	case <-e.configured:
		return true
	case <-ctx.Done():
		return false
	}
}

// serveCaller answers one request. While the entry drains, it closes the
// connection after the answer, so that the load balancer sends the caller's next
// connection to another entry.
func (e *entry) serveCaller(w http.ResponseWriter, r *http.Request) {
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	e.callerHandler.ServeHTTP(w, r)
}
