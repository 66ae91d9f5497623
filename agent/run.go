package main

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bamboostep/bamboostep"
	"github.com/bamboostep/bamboostep/backend"
	"github.com/bamboostep/bamboostep/daemon"
	"github.com/bamboostep/bamboostep/timeline"
	"github.com/bamboostep/bamboostep/wire"
)

// run runs the agent until ctx ends and its attempts have finished.
func run(ctx context.Context, cfg config) error {
	nl, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return err
	}
	return serve(ctx, cfg, nl, daemon.NewLogger(os.Stderr, cfg.Name))
}

// serve is run on a listener that is open already. The connections outlast ctx
// until the server has drained.
func serve(ctx context.Context, cfg config, nl net.Listener, logger *log.Logger) error {
	security, err := cfg.TLS.Config()
	if err != nil {
		nl.Close()
		return err
	}
	registry := daemon.NewRegistry()
	clock := &timeline.Clock{Wall: daemon.SystemClock{}}
	recorder := &timeline.Recorder{Process: cfg.Name, Clock: clock, Log: logger}
	defer recorder.Flush()
	node := &wire.Node{
		Hello:   wire.Hello{Name: cfg.Name, Role: "agent", Incarnation: uint64(time.Now().UnixNano())},
		Clock:   clock,
		Metrics: wire.NewMetrics(registry),
		TLS:     security,
	}
	server := newServer(cfg, node, nl.Addr().String())
	server.Recorder = recorder
	server.Registry = registry
	mux := &wire.Mux{}
	server.Register(mux)
	listener := &wire.Listener{Node: node, Net: nl, Handler: mux, Up: server.Up, Down: server.Down, Patient: true}
	admin := &daemon.AdminServer{Address: cfg.Admin, Registry: registry, Recorder: recorder, Ready: server.Ready}
	recorder.Record(timeline.Event{Kind: "agent_started", VM: cfg.Name, Detail: nl.Addr().String()})
	return runAll(ctx, server, listener, admin)
}

// runAll keeps the listener and the admin pages open until the server, which ctx
// stops, has drained.
func runAll(ctx context.Context, server *backend.Server, listener *wire.Listener, admin *daemon.AdminServer) error {
	open, closeAll := context.WithCancel(context.WithoutCancel(ctx))
	defer closeAll()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var adminErr error
	var all sync.WaitGroup
	all.Go(func() { _ = listener.Run(open) })
	all.Go(func() {
		adminErr = admin.Run(open)
		stop()
	})
	_ = server.Run(ctx)
	closeAll()
	all.Wait()
	return adminErr
}

func newServer(cfg config, node *wire.Node, address string) *backend.Server {
	s := &backend.Server{
		Node: node,
		VM: bamboostep.VM{
			Name:          cfg.Name,
			Address:       address,
			Place:         cfg.Place,
			FailureDomain: cfg.FailureDomain,
			State:         bamboostep.VMLive,
		},
		MemoryMiB:    cfg.MemoryMiB,
		Concurrency:  cfg.Concurrency,
		Queue:        cfg.Queue,
		DrainTimeout: cfg.DrainTimeout.Duration,
		Settle:       cfg.SettleTime.Duration,
	}
	if cfg.Kind == bamboostep.EnginePlace {
		s.Engine = newEngine(cfg.BackendURL, cfg.Name, cfg.Concurrency)
		return s
	}
	s.Application = newApplication(cfg.BackendURL)
	return s
}
